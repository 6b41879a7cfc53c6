package ledger

import "time"

// Category is what the judge must know of one.
type Category struct {
	TTL, Window time.Duration
	Held        time.Duration // a refusal so long after the op's last push is held back
	Effect      string        // redeliverable, deduplicated, at-most-once
	Zone        bool          // repeats are dropped within a zone only
}

// Terms are the rules' figures.
type Terms struct {
	Categories   []Category
	ServerZone   map[uint32]int
	Grace        time.Duration
	FallMultiple float64
	TipAfter     time.Duration
	ColdFrom     float64
	WarmUp       time.Duration
	MostPushes   int
	TwoAtOnce    bool
	Slack        time.Duration // what the machine may take by itself
}

// Rules, as verdicts name them.
const (
	Lost     = "lost"      // no final answer in time, or none at all, or another's value
	Twice    = "twice"     // more than one final answer
	After    = "after"     // pushed after its final answer
	Copies   = "copies"    // an effect that may have happened twice, or two pushes out at once
	TooMany  = "too-many"  // more pushes than allowed
	Promise  = "promise"   // a nack though a push may have run
	Drained  = "drained"   // pushed to a drained or gone cache after the grace, or to one that an operator took out
	PushedIn = "cold-push" // a cold cache pushed over
	HeldBack = "held-back" // a final answer that was kept back with nothing out
	SentOn   = "sent-on"   // pushed though its client had left
	Deadline = "deadline"  // a push passed its server a longer deadline than its client had left, or none
)

// Finding is one broken rule, with the history that shows it.
type Finding struct {
	Rule    string   `json:"rule"`
	Op      string   `json:"op,omitempty"`
	What    string   `json:"what"`
	History []string `json:"history,omitempty"`
}

// Verdict is what a ledger says.
type Verdict struct {
	Ops       int            `json:"ops"`
	Answers   map[string]int `json:"answers"`
	Left      int            `json:"left"`   // clients that went away first
	Killed    int            `json:"killed"` // ops held by a proxy that the lab ended: their clients' to repeat
	Taken     int            `json:"taken"`  // of those: pushed, so surely taken by the proxy; the others may have crossed its end
	Pushes    int            `json:"pushes"`
	Broken    map[string]int `json:"broken"`
	Findings  []Finding      `json:"findings"`
	MostOpen  int            `json:"most_open"` // ops that the judge held at once
	Whole     bool           `json:"whole"`
	ColdMost  float64        `json:"cold_most"` // the largest part of a cold cache's bound that was used
	HeldMost  time.Duration  `json:"held_most"`
	Stalled   int            `json:"stalled"`   // ops without their answer in time as their proxy stood still; what it did to them is judged all the same
	Unmatched int            `json:"unmatched"` // pushes for ops that nobody sent
	Deadlines int            `json:"deadlines"` // pushes whose passed deadline was judged
}

// Kept tells whether no rule was broken.
func (v *Verdict) Kept() bool { return len(v.Broken) == 0 }
