package ledger

import "time"

// Category holds the parameters of an op category that the checks need.
type Category struct {
	// TTL is the longest time that a client waits for an op.
	TTL time.Duration
	// DedupWindow is how long servers recognize a repeated push of a deduplicated op.
	DedupWindow time.Duration
	// MaxRefusalDelay is the longest allowed time from the end of an op's last push to its refusal; 0 turns the check off.
	MaxRefusalDelay time.Duration
	// Effect is redeliverable, deduplicated or at-most-once.
	Effect string
	// ZoneScopedDedup is set if servers recognize repeated pushes within their own zone only.
	ZoneScopedDedup bool
}

// RuleParams are the parameters of the rules.
type RuleParams struct {
	Categories []Category
	// ServerZone maps a server to the index of its zone.
	ServerZone map[uint32]int
	// DrainGrace is how long a proxy may push to a server after it was told that the server leaves.
	DrainGrace time.Duration
	// OverloadFactor is the work that overloads a server, as a multiple of its capacity; 0 turns the check off.
	OverloadFactor float64
	// OverloadWindow is the time over which work is compared with capacity.
	OverloadWindow time.Duration
	// ColdCapacityShare is the share of its capacity, 0 to 1, that a server has right after a cold start.
	ColdCapacityShare float64
	// WarmUp is the time from a cold start until a server has its whole capacity.
	WarmUp time.Duration
	// MaxPushes is the largest allowed number of pushes of a try.
	MaxPushes int
	// AllowConcurrentPushes is set if a try may have several pushes in progress at once.
	AllowConcurrentPushes bool
	// Slack is the delay that is attributed to the machine rather than to the proxies.
	Slack time.Duration
}

// Rules, by the names that verdicts give them.
const (
	RuleAnswerLost          = "lost"      // no final answer, a late one, or the value of another op
	RuleAnsweredTwice       = "twice"     // more than one final answer
	RulePushAfterAnswer     = "after"     // pushed after its final answer
	RuleDuplicateEffect     = "copies"    // an effect that may have happened twice, or two pushes in progress at once
	RuleTooManyPushes       = "too-many"  // more pushes than allowed
	RuleUnsafeNack          = "promise"   // nacked though a push may have run
	RuleDrainedServer       = "drained"   // pushed to a leaving or removed cache after the grace period, or to a detached one
	RuleColdOverload        = "cold-push" // overloaded a cold cache
	RuleDelayedRefusal      = "held-back" // a refusal delayed with no push in progress
	RulePushAfterClientLeft = "sent-on"   // pushed though the client had left
	RuleDeadline            = "deadline"  // pushed with a longer deadline than the client had left, or with none
)

// Finding is one violation of a rule, with the history of the op.
type Finding struct {
	Rule    string   `json:"rule"`
	Op      string   `json:"op,omitempty"` // in hexadecimal
	Message string   `json:"what"`
	History []string `json:"history,omitempty"`
}

// Verdict is the result of checking a ledger.
type Verdict struct {
	// Ops is the number of checked tries.
	Ops int `json:"ops"`
	// Answers counts answers by name.
	Answers map[string]int `json:"answers"`
	// ClientsLeft counts tries whose client left before an answer.
	ClientsLeft int `json:"left"`
	// KilledOps counts tries whose proxy process the lab killed; their clients have to retry.
	KilledOps int `json:"killed"`
	// KilledAfterPush counts those of KilledOps that were pushed, and so were certainly read by the proxy. The others may
	// have reached it as it ended.
	KilledAfterPush int `json:"taken"`
	// Pushes is the number of pushes that servers received.
	Pushes int `json:"pushes"`
	// Violations counts violations by rule.
	Violations map[string]int `json:"broken"`
	// Findings holds the first violations in detail.
	Findings []Finding `json:"findings"`
	// MaxOpenOps is the largest number of tries that the checker held in memory.
	MaxOpenOps int `json:"most_open"`
	// Complete is set if the run ended regularly.
	Complete bool `json:"whole"`
	// MaxColdLoad is the largest work sent to a cold cache, as a share of its bound.
	MaxColdLoad float64 `json:"cold_most"`
	// MaxRefusalDelay is the longest time from the end of a try's last push to its refusal.
	MaxRefusalDelay time.Duration `json:"held_most"`
	// StalledOps counts tries without an answer in time because their proxy process was stopped. All other rules are
	// checked for them.
	StalledOps int `json:"stalled"`
	// Unmatched counts ops with records but without an OpSent record.
	Unmatched int `json:"unmatched"`
	// DeadlinesChecked counts pushes whose forwarded deadline was checked.
	DeadlinesChecked int `json:"deadlines"`
}

// Passed reports whether no rule was violated.
func (v *Verdict) Passed() bool { return len(v.Violations) == 0 }
