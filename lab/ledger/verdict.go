package ledger

import "time"

// Category is what the judge must know of one.
type Category struct {
	TTL, DedupWindow time.Duration
	MaxRefusalDelay        time.Duration // a refusal so long after the op's last push is held back
	Effect      string        // redeliverable, deduplicated, at-most-once
	ZoneScopedDedup        bool          // repeats are dropped within a zone only
}

// RuleParams are the rules' figures.
type RuleParams struct {
	Categories   []Category
	ServerZone   map[uint32]int
	DrainGrace        time.Duration
	OverloadFactor float64
	OverloadWindow     time.Duration
	ColdCapacityShare     float64
	WarmUp       time.Duration
	MaxPushes   int
	AllowConcurrentPushes    bool
	Slack        time.Duration // what the machine may take by itself
}

// Rules, as verdicts name them.
const (
	RuleAnswerLost     = "lost"      // no final answer in time, or none at all, or another's value
	RuleAnsweredTwice    = "twice"     // more than one final answer
	RulePushAfterAnswer    = "after"     // pushed after its final answer
	RuleDuplicateEffect   = "copies"    // an effect that may have happened twice, or two pushes out at once
	RuleTooManyPushes  = "too-many"  // more pushes than allowed
	RuleUnsafeNack  = "promise"   // a nack though a push may have run
	RuleDrainedServer  = "drained"   // pushed to a drained or gone cache after the grace, or to one that an operator took out
	RuleColdOverload = "cold-push" // a cold cache pushed over
	RuleDelayedRefusal = "held-back" // a final answer that was kept back with nothing out
	RulePushAfterClientLeft   = "sent-on"   // pushed though its client had left
	RuleDeadline = "deadline"  // a push passed its server a longer deadline than its client had left, or none
)

// Finding is one broken rule, with the history that shows it.
type Finding struct {
	Rule    string   `json:"rule"`
	Op      string   `json:"op,omitempty"`
	Message    string   `json:"what"`
	History []string `json:"history,omitempty"`
}

// Verdict is what a ledger says.
type Verdict struct {
	Ops       int            `json:"ops"`
	Answers   map[string]int `json:"answers"`
	ClientsLeft      int            `json:"left"`   // clients that went away first
	KilledOps    int            `json:"killed"` // ops held by a proxy that the lab ended: their clients' to repeat
	KilledAfterPush     int            `json:"taken"`  // of those: pushed, so surely taken by the proxy; the others may have crossed its end
	Pushes    int            `json:"pushes"`
	Violations    map[string]int `json:"broken"`
	Findings  []Finding      `json:"findings"`
	MaxOpenOps  int            `json:"most_open"` // ops that the judge held at once
	Complete     bool           `json:"whole"`
	MaxColdLoad  float64        `json:"cold_most"` // the largest part of a cold cache's bound that was used
	MaxRefusalDelay  time.Duration  `json:"held_most"`
	StalledOps   int            `json:"stalled"`   // ops without their answer in time as their proxy stood still; what it did to them is judged all the same
	Unmatched int            `json:"unmatched"` // pushes for ops that nobody sent
	DeadlinesChecked int            `json:"deadlines"` // pushes whose passed deadline was judged
}

// Passed tells whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Violations) == 0 }
