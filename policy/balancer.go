// Package policy makes all routing decisions of one minttray proxy. The host calls New with settings, a seed
// and itself as Host, then one method for each event; the balancer acts by calling the Host within these calls.
//
// A key's hash is mapped over a ranked list of caches by round-mapping (docs/design.md). An op goes to the
// first of the key's candidates, drawn with different salts, that is ready and has at most twice the mean load.
// Six mechanisms extend this path:
//  1. buckets: a cache keeps its bucket while others join and leave; slow and small caches get fewer keys;
//  2. hot keys: a key that exceeds one cache's fair share is spread over as many candidates as it would fill;
//  3. slow start: pushes to a cold cache in a window are limited to a ratio of what the fleet answers;
//  4. health: a cache that can't be reached, or fails far more often than the median, is suspended; slow zones
//     and reports of peers count as well;
//  5. limits: concurrency limits to caches and origin are learned; a limit below 1 sets the interval between pushes;
//     the origin's is restored in one step and taken back after a failure; probes report queueing delay;
//  6. overload: when all caches together fall short, pushes are refused, ops of small benefit first.
package policy

import (
	"math"
	"slices"

	"minttray/decide/chance"
	"minttray/decide/circle"
	"minttray/decide/evidence"
	"minttray/decide/fleet"
	"minttray/decide/members"
	"minttray/decide/pace"
	"minttray/decide/shortage"
	"minttray/decide/site"
	"minttray/decide/slowstart"
)

// Placement of keys.
const (
	circleSlack     = 4   // initial number of buckets in round-mapping, s0 in docs/design.md
	bucketsPerSlack = 256 // the minimum number of buckets is this times circleSlack: leaves room for a fleet to grow
	maxCandidates   = 3   // caches that a key may go to
)

// Limits and evidence.
const (
	initialFleetLimit = 12                   // pushes in flight to a cache from all proxies before anything is learned
	windowQuarters    = evidence.WindowSlots // slots of the slow-start window: four complete quarters and the current one
	missWork          = 1.0 / 3              // work of a miss, relative to an answer
	suspicionPushes   = 2                    // expected pushes to a cache during which a suspicion lasts
	overloadRise      = 1.0 / 16             // share of the remaining range that a failure adds to the overload level
	overloadFall      = 1.0 / 128            // share that an answer takes off the overload level
	overloadNoise     = 1.0 / 10             // overload level that chance alone may cause
)

// Admission of ops.
const (
	minTokenBurst    = 4       // smallest token bucket, so that a quota split among many proxies still fills
	retryShare       = 1.0 / 4 // retries admitted for each answer
	maxRetryBurst    = 16      // retries admitted at once
	minAnswerChance  = 1.0 / 8 // probability of an answer in time below which an op is given up at once
	fullWaitInterval = 8       // one push in this many is waited for until the op's deadline, even where a shorter time-out would be chosen
)

// Cost of exploration and peer messages.
const (
	explorationShare    = 1.0 / 256 // maximum share of the ops' benefit spent on exploration; also the value of telling the peers of a stored key
	maxPeerMessageBytes = 32 * 8
)

// Timer tokens. Tokens from opTokenBase on hold an op's id, those from probeTokenBase on a cache's id.
const (
	tickToken      = 0
	listToken      = 1
	opTokenBase    = 2
	probeTokenBase = 1 << 32
)

// Balancer makes the decisions of one proxy. It is not safe for concurrent use.
type Balancer struct {
	Settings
	Counts            Counts
	host              Host
	random            chance.PCG
	visits            members.Visits // counts accesses to the entries of the collections below
	caches            members.Map[uint32, *cache]
	ranked            members.List[*cache] // listed caches, by start time, then id
	buckets           members.List[*cache] // caches by bucket; nil: free
	placedCaches      members.List[*cache] // caches of the buckets that are not free, in bucket order
	localPlacedCaches members.List[*cache] // those of placedCaches in the own zone
	localCacheCount   int                  // number of caches in the own zone
	candidateWalk     candidateWalk        // of the current request

	// Sums over the ranked caches.
	sums     slowstart.Sums[Time]
	failures failureShares
	inFlight int // pushes in flight to them

	staleSums     bool // the sums are recomputed at the next tick
	tickBatch     int  // number of the batch of caches that the next tick visits
	excludedCount int  // excluded or suspended caches counted in the batches so far

	bucketsStale    bool // effective weights have changed: buckets are assigned anew at the next tick
	circle          circle.Circle
	origin          *cache
	originFetches   *cache // limit and latencies of the origin, learned from pushes for which a cache may fetch from it; nil with Aside
	peerMessage     []byte // stored keys to be sent to the peers
	ops             map[uint32]*op
	originQueue     []*op
	tenants         []*tenant
	knownCategories []*Category // all categories since the start, dropped ones too
	quarterCount    int         // quarters of the slow-start window since the start
	listBackoff     fleet.Backoff[Time]
	fleetTotal      cache            // answers and failures of all caches taken together
	overloadGate    shortage.Gate    // admits only a share of the ops while the fleet as a whole is overloaded
	refusalOrder    site.LoadShedder // which ops the gate refuses first
	originPace      pace.Recovery    // restores the limit of the origin as it was before an overload
	zoneLatencies   map[int]*zoneLatency
	siteOutages     fleet.SiteHealth[Time] // zones that seem down or unreachable
	preferLocalZone bool                   // caches of the own zone come first
	learnedState                           // may be handed to a following process

	originFailureFactor  float64 // 1 after an answer of the origin; each failure in a row multiplies it by 1-load/2
	pushInterval         float64 // moving average of the time between two pushes, in units of Time
	maxBenefit           float64 // highest benefit of a category
	maxEffectiveWeight   float64 // of all ranked caches
	totalEffectiveWeight float64 // of all ranked caches
	initialLimit         float64 // concurrency limit to a cache before anything is learned
	overload             float64 // how overloaded the fleet is, 0 to 1
	slowStartDraw        float64 // random number from 0 to 1, drawn for each slow-start window
	explorationWorth     float64 // share of an op's benefit that exploration may cost
	peerCopyPrice        float64 // price of sending 8 bytes to all peers

	fullWaits           float64 // answered or timed-out pushes to caches with a time-out of at least half the target latency, not shortened; decays
	fullWaitsUnanswered float64 // those of them without an answer; decays

	targetLatency    Time // at first the mean over the categories in use, then a moving average over the pushes that end
	minTargetLatency Time // lowest target latency of a category
	lastPushAt       Time
	lastQuarterAt    Time // when the last quarter of the slow-start window began
	lastOverloadAt   Time // when a push last ended with evidence of overload
}

// New makes the balancer of one proxy. The host has to pass it a list of kind ListCached next.
func New(s Settings, seed uint64, h Host) *Balancer {
	b := &Balancer{
		host:                h,
		random:              chance.PCG{State: seed},
		ops:                 map[uint32]*op{},
		zoneLatencies:       map[int]*zoneLatency{},
		learnedState:        newLearnedState(),
		lastQuarterAt:       h.Now(),
		lastPushAt:          h.Now(),
		originFailureFactor: 1,
	}
	b.caches = members.NewMap[uint32, *cache](&b.visits)
	for _, list := range []*members.List[*cache]{&b.ranked, &b.buckets, &b.placedCaches, &b.localPlacedCaches} {
		*list = members.NewList[*cache](&b.visits)
	}
	b.siteOutages.Local = s.Zone
	if b.Retune(s); !s.Aside {
		b.originFetches = &cache{isOrigin: true}
	}
	h.Timer(tickToken, 4*s.Tick)
	if s.AskList {
		h.Timer(listToken, b.randomBetween(fleet.StartSlot(s.Index, s.Proxies, s.AskEvery/2)))
	}
	return b
}

// Retune applies new settings. Categories and tenants keep their numbers, new ones are appended, and categories
// no longer in use are marked Dropped. The tenant for clients without a quota is always the last, so a further quota
// takes over its number and state. Open ops keep the rules that they arrived under; learned state is kept.
func (b *Balancer) Retune(s Settings) {
	b.Settings = s
	b.initialLimit = max(initialFleetLimit/float64(s.Proxies), 1)
	b.maxBenefit = 0
	b.minTargetLatency = math.MaxInt64
	targetSum, count := Time(0), Time(0)
	for i, category := range s.Categories {
		if i == len(b.knownCategories) {
			b.knownCategories = append(b.knownCategories, &s.Categories[i])
		}
		if !category.Dropped {
			b.maxBenefit = max(b.maxBenefit, category.Benefit)
			b.minTargetLatency = min(b.minTargetLatency, category.Target)
			targetSum += category.Target
			count++
		}
	}
	b.targetLatency = targetSum / max(count, 1)
	b.maxBenefit = max(b.maxBenefit, math.SmallestNonzeroFloat64)
	for i, quota := range append(slices.Clip(s.Quotas), math.Inf(1)) { // the last tenant stands for clients without a quota
		rate := quota / float64(s.Proxies)
		if i == len(b.tenants) {
			b.tenants = append(b.tenants, &tenant{tokens: max(rate, minTokenBurst/2)})
			b.tenants[i].retryBudget.Deposit(maxRetryBurst, maxRetryBurst)
		}
		b.tenants[i].rate = rate
	}
	// If availability is scored in nines, each op costs more the fewer fail. The added term is the derivative of that
	// score at half of FullAtNines.
	b.explorationWorth = explorationShare * (1 + s.NinesPart/max(s.FullAtNines, 1)*math.Pow(10, s.FullAtNines/2)/math.Ln10)
	b.peerCopyPrice = s.PeerPrice * float64(s.Proxies-1) * 8 / maxPeerMessageBytes
}

func (b *Balancer) randomBetween(lo, hi Time) Time { return chance.Between(&b.random, lo, hi) }

func (b *Balancer) inTicks(t Time) float64 { return float64(t) / float64(b.Tick) }

// medianLatency is the median of a cache's answer times.
func (b *Balancer) medianLatency(c *cache) Time {
	return Time(c.latencies.Quantile(0.5) * float64(b.Tick))
}
