package policy

// Time is a clock reading or a duration in tenths of a millisecond.
type Time int64

// Effect says what running an op more than once does.
type Effect uint8

const (
	Redeliverable Effect = iota // may run any number of times
	Deduplicated                // repeats are dropped within the category's Group and Window
	AtMostOnce                  // must never run twice
)

// Group is the set of caches that recognize repeats of a deduplicated op.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Outcome is how a push ended.
type Outcome uint8

const (
	Acked Outcome = iota
	Errored
	Rejected // turned away by the cache before it ran
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NotSent
	Miss // nothing is stored at the cache under the key
)

// NotExecuted reports whether the outcome proves that the push had no effect.
func (o Outcome) NotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == Miss
}

// ListKind says what a cache list holds.
type ListKind uint8

const (
	ListFull   ListKind = iota // all caches
	ListDelta                  // changed caches only
	ListCached                 // all caches, as stored by an earlier process
	ListFailed                 // nothing: the call to the list service failed
)

// State is the lifecycle state of a cache in the list.
type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

// Entry is one cache in the cache list.
type Entry struct {
	ID       uint32
	Zone     int
	Kind     int // kind of machine
	Cell     int
	State    State
	Weight   float64 // above 0
	Start    Time    // when the process started; 0: unknown, counts as long ago
	Excluded bool    // by an operator; treated as cold once it is included again
}

// Category holds the rules for one kind of op.
type Category struct {
	Effect  Effect
	Group   Group
	Window  Time    // during which repeats are dropped
	Target  Time    // latency up to which an answer has its full benefit
	TTL     Time    // how long clients wait for an op, all tries included
	Benefit float64 // of an answer in time
	Tardy   float64 // share of the benefit that a late answer keeps, 0 to 1
	Dropped bool    // no longer in use since the settings were reloaded
}

// Settings holds the settings of a deployment that the balancer reads.
type Settings struct {
	Categories     []Category
	Quotas         []float64 // by tenant: ops a second within its quota, over all proxies
	BeyondBenefit  float64   // share of its benefit that an op beyond its tenant's quota keeps, 0 to 1
	Proxies        int       // number of proxies
	Index          int       // number of this proxy, from 0
	AskList        bool      // call the list service
	AskEvery       Time      // interval between calls of all proxies to the list service
	MaxListPause   Time      // longest pause after a failed call to the list service; 0: AskEvery alone bounds it
	Aside          bool      // cache-aside: a miss is answered by a push to the origin
	OriginKind     int       // kind of machine that marks the origin in the list; -1: no origin is listed
	ColdFrom       float64   // share of its capacity that a cache has at its start, 0 to 1
	WarmUp         Time      // time from a cache's start until it has its full capacity
	FallMultiple   float64   // multiple of its present capacity that makes a cold cache fail if kept up for TipAfter
	TipAfter       Time      // window over which pushes to a cold cache are counted
	Tick           Time      // resolution of timers
	MaxRetryAfter  Time      // longest advised delay of a retry; 0: clients take no advice
	MostPushes     int       // pushes that one op may have
	Cancelling     bool      // pushes can be cancelled
	MarksRetry     bool      // clients mark retries
	Peers          bool      // proxies send each other messages
	ConnPrice      float64   // price of 100 open connections to each cache
	HandshakePrice float64   // price of one new connection per op
	CrossPrice     float64   // price of one push to another zone per op
	Zone           int       // zone of this proxy
	Zones          int       // number of zones
	ProbePrice     float64   // price of one probe per op
	PeerPrice      float64   // price of one full message to one peer per op
	NinesPart      float64   // weight of the nines of availability: how many factors of ten the unserved share lies below 1
	FullAtNines    float64   // number of nines that earns full credit
	RoughWeights   bool      // weights give about the size of a cache, not its measured capacity
	Probing        bool      // caches report their queue only when probed
}
