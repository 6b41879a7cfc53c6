package policy

// GiveUpReason is the reason for which an op was given up.
type GiveUpReason uint8

const (
	UnlikelyInTime      GiveUpReason = iota // an answer before the op's deadline is unlikely
	RetryBudgetExceeded                     // a retry beyond its tenant's budget during overload
	NoUsableCache                           // no cache is listed, allowed and ready
	CacheLimitReached                       // the learned concurrency limit of its cache is reached
	OriginOverloaded                        // the origin's queue is too long, or a fetch exceeds the origin's limit
	DeadlinePassed                          // no push could be made before the deadline
	PushesExhausted                         // all its pushes are used, or another one would not be safe
	FleetOverloaded                         // all caches together are overloaded, so no push would help
	ShuttingDown                            // the process ends and returns its open ops
	giveUpReasonCount
)

// giveUpReasonNames are the names used in metrics.
var giveUpReasonNames = [giveUpReasonCount]string{"no_chance", "past_budget", "no_cache", "no_room", "origin_short", "too_late",
	"no_more_pushes", "fleet_short", "ending"}

func (r GiveUpReason) String() string { return giveUpReasonNames[r] }

// Counts holds counters since the balancer's start, and the last known numbers of caches.
type Counts struct {
	InconclusiveTimeouts int                    // time-outs that hardly prove overload: most answers take longer, or this one was probably lost
	RetriesOverBudget    int                    // retries beyond their tenant's budget
	DeadlineTooShort     int                    // ops refused on arrival, as an answer before their deadline is unlikely
	ShortenedPushes      int                    // pushes given up early so that another cache can be asked
	ListedCaches         int                    // caches now in the list
	ExcludedCaches       int                    // listed caches that are suspended, or excluded by an operator
	GivenUp              [giveUpReasonCount]int // ops given up, by reason
}
