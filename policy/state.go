package policy

import (
	"minttray/decide/evidence"
	"minttray/decide/fleet"
)

// cache is what the balancer knows of one cache or of the origin.
type cache struct {
	Entry
	listed         bool
	hasConnections bool // a push went there since idle connections were last closed
	isOrigin       bool // the origin itself (Balancer.origin), or the record of fetches from it (Balancer.originFetches)
	inFlight       int  // own pushes in flight

	evidence.Record                                    // pushes there, their outcomes, and the learned concurrency limit
	effectiveWeight  float64                           // listed weight, its square root if weights are rough; less for a slow kind of machine
	limitCutAt       Time                              // when the limit last fell
	lastPushAt       Time                              // when a push was last sent there
	minLatency       Time                              // lowest recent median latency, kept for the origin
	suspension       Time                              // length of the last suspension; 0 once it has answered
	suspendedUntil   Time                              // no push goes there before
	byCategory       evidence.OutcomeCounts[*Category] // answers and failures by category
	latencies        evidence.LatencyHistogram         // distribution of answer times, in ticks
	suspicion        fleet.Suspicion[Time]             // passed over while another candidate is not under suspicion
	peerSuspicion    float64                           // probability of being passed over on reports of peers, 0 to 1; decays
	reportedSlow     bool                              // by its last load report
	probeInFlight    bool                              // a probe was sent and has not returned
	opsAwaitingProbe []*op                             // ops held until the probe returns
	probedDelay      Time                              // queueing delay of an op there, by its last probe
	probedAt         Time                              // when the last probe returned

	ranked        bool               // in the list of caches, and in the sums over it
	failureBucket evidence.MedianBin // where the sums count its share of failures
	lastWalk      uint64             // number of the last candidate walk that reached it
}

// op is a request whose outcome is not yet decided, or that still has pushes in flight.
type op struct {
	id               uint32
	probeCount       int // probes that it was held for
	key              uint64
	category         *Category
	write            bool
	finished         bool    // the client has its outcome, or has left
	queued           bool    // in the origin queue
	limitShare       float64 // share of a concurrency limit that it may use, 0 to 1
	quotaPenalty     float64 // share of its benefit that is lost beyond the tenant's quota, 0 to 1
	popularity       float64 // its key's share of recent requests, 0 to 1
	deadline         Time    // time up to which an answer is worth waiting for
	pushDeadline     Time    // no push begins after that
	tenant           *tenant
	maxPushes        int // pushes that it may have by the settings
	worthwhilePushes int // pushes that its benefit justifies
	pushCount        int // pushes that it has had
	inFlight         []push
	triedCaches      []*cache
	firstExecuted    *push // the earliest push that may have been executed
}

// zoneLatency is the network latency to the caches of a zone.
type zoneLatency = evidence.PathLatency[Time]

// push is one attempt to have a cache or the origin answer an op.
type push struct {
	number    int // within its op, from 0
	cache     *cache
	sentAt    Time
	gateShare float64 // share of ops that the overload gate admitted at that time

	mayFetch  bool // the cache may lack the key and fetch it from the origin
	fullWait  bool // its time-out is the op's deadline, and at least half the target latency
	shortWait bool // its time-out is before the op's deadline
}

// tenant is the quota state of one tenant.
type tenant struct {
	tokens      float64 // ops that it may have now within its quota
	rate        float64 // its quota at this proxy, in ops a second
	retryBudget evidence.RetryBudget
}
