package policy

// Time is a clock reading or a span in whole tenths of a millisecond.
type Time int64

type Effect uint8

const (
	Redeliverable Effect = iota // may run again
	Deduplicated                // repeats are dropped by its group, for its window
	AtMostOnce                  // must never run twice
)

type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

type Outcome uint8

const (
	Acked Outcome = iota
	Errored
	Rejected // turned away unseen
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NotSent // never sent
	Miss // nothing is stored there under the key
)

// NotExecuted tells whether the outcome proves that the push had no effect.
func (o Outcome) NotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == Miss
}

type ListKind uint8

const (
	ListFull ListKind = iota
	ListDelta
	ListCached
	ListFailed
)

type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

// Entry is one line of the cache list.
type Entry struct {
	ID         uint32
	Zone, Kind int
	Cell       int
	State      State
	Weight     float64 // above 0
	Start      Time    // 0: long ago
	Excluded        bool    // by an operator's word; whoever returns from that is cold
}

type Category struct {
	Effect      Effect
	Group       Group
	Window      Time
	Target, TTL Time
	Benefit     float64
	Tardy       float64 // share of the benefit that a late answer keeps
	Dropped     bool    // no longer asked for, since the settings were read anew
}

// Settings holds what the module reads of a deployment's figures.
type Settings struct {
	Categories     []Category
	Quotas         []float64 // ops a second inside each tenant's share, over all proxies
	BeyondBenefit  float64   // share of its benefit that an op beyond its tenant's share keeps
	Proxies        int
	Index          int // this proxy's number, from 0
	AskList        bool
	AskEvery       Time
	Aside          bool
	OriginKind     int // -1: none is listed
	ColdFrom       float64
	WarmUp         Time
	FallMultiple   float64
	TipAfter       Time
	Tick           Time
	MaxRetryAfter  Time // 0: clients take no advice
	MostPushes     int
	Cancelling     bool
	MarksRetry     bool // clients mark tries that come again
	Peers          bool
	ConnPrice      float64 // of 100 open connections to each cache
	HandshakePrice float64 // of one new connection an op
	CrossPrice     float64 // of one push an op to another zone
	Zone, Zones    int     // this proxy's, and how many there are
	ProbePrice     float64 // of one probe an op
	PeerPrice      float64 // of one full message an op, to one peer
	NinesPart      float64 // weight of the nines: tenfold steps that the unserved share lies below the whole
	FullAtNines    float64 // so many of them are all that counts
	RoughWeights   bool    // weights are about the size of a cache, and need not say what it can do
	Probing        bool    // caches tell what waits there, and only when probed
}

// GiveUpReason is the reason for which an op was given up.
type GiveUpReason uint8

const (
	NoChance     GiveUpReason = iota // hardly any answer comes within its wait
	PastBudget              // a try that came again, past its tenant's budget under strain
	NoCache                 // none is listed, allowed and ready
	NoRoom                  // the learned limit of its cache is full
	OriginShort             // the queue for the origin would take too long, or a fetch has no room there
	TooLate                 // its time was up before a push could be made
	NoMorePushes            // its pushes are used up, or another would not be safe
	FleetShort              // the fleet is short as a whole: no push would help
	Ending                  // the process ends, and hands back what is open
	reasons
)

var whyNames = [reasons]string{"no_chance", "past_budget", "no_cache", "no_room", "origin_short", "too_late",
	"no_more_pushes", "fleet_short", "ending"}

func (w GiveUpReason) String() string { return whyNames[w] }

// Counts is what the module has judged since its start.
type Counts struct {
	InconclusiveTimeouts   int // time-outs that prove little: most answers take longer, or this one got lost
	RetriesOverBudget int // tries that came again past their tenant's budget
	DeadlineTooShort   int // ops nacked at once, as hardly any answer comes within their wait
	ShortenedPushes   int // pushes given up early, for another cache
	ListedCaches     int // caches in the list, now
	ExcludedCaches    int // and those of them that are out by an operator's word, or rest
	GivenUp     [reasons]int
}

// Host is how the module acts. Calls take effect in the order made.
type Host interface {
	Now() Time
	Push(op, cache uint32, until Time)
	Cancel(op uint32, push int)
	Nack(op uint32, comeBack Time)
	DeadLetter(op uint32)
	Timer(token uint64, after Time)
	Probe(cache uint32)
	SendToPeers(news []byte) // to all peers, 256 bytes at most
	Watch(on bool)
	CloseIdle(cache uint32) // idle connections to it
	Log(text string)
}
