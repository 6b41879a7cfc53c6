// Package engine owns the decision module: one goroutine runs it, and all else reaches it through one queue.
// It speaks ops, pushes and outcomes; what they look like on a wire is its callers' business.
package engine

import (
	"io"
	"math"
	"sync/atomic"
	"time"

	"minttray/decide/evidence"
	"minttray/decide/warm"
	"minttray/internal/deadline"
	"minttray/policy"
)

// Request is what goes on to a server, apart from its form on the wire.
type Request struct {
	Key, ID    string
	Write      bool
	Properties deadline.Properties
	Deadline   deadline.Deadline // its client's; once the request is submitted, the engine alone may lower it, and does so ahead of attempts
	Value      []byte
	Parts      [][]byte // a value that is longer than Whole, in its place
	Probe      bool     // no op, but the question for a load report

	left atomic.Bool
}

// Abandoned tells whether the op's client has gone away: no byte of it is sent from there on, however far behind the engine is.
func (r *Request) Abandoned() bool { return r.left.Load() }

// Abandon tells that it has.
func (r *Request) Abandon() { r.left.Store(true) }

// MaxContiguousBytes is the longest value that is held in one piece, MaxValueBytes that there is.
const (
	MaxContiguousBytes = 64 << 10
	MaxValueBytes      = 4 << 20
)

// Size is the value's length.
func (r *Request) Size() (n int) {
	for _, part := range r.Parts {
		n += len(part)
	}
	return n + len(r.Value)
}

// NoTenant is the number of who has no share, whatever tenants there are.
const NoTenant = math.MaxInt32

// Op is one op as a front takes it.
type Op struct {
	ReceivedAt       time.Time // when its last byte may have come
	Key              uint64    // 0: none
	Category, Tenant int
	IsRetry          bool // marked as a try that comes again
	Request          Request
	Reply            Replier
	OnRelease        func() // called on the engine's goroutine once nothing of the request is needed any more; may be nil

	Trace Trace // when it came to each of its states

	clientWait time.Duration // of its client, from At on; set as it is submitted
	record     *opRecord     // the engine's record, once it has one
	progress   atomic.Uint32
	ackedValue atomic.Pointer[[]byte] // the value of an attempt's answer, as it came
}

// Replier takes an op's one final answer. Its methods are called on the engine's goroutine and must not block.
type Replier interface {
	Acked(value []byte)
	Streamed(body Body)
	Nacked(comeBack time.Duration) // 0: no advice
	DeadLettered()
}

// Body is a value that is longer than Whole, as it comes. Whoever was handed it reads it to its end or closes it; an error in
// place of the end means that what was read is not the whole value.
type Body struct {
	Size int
	io.ReadCloser
}

// Result is how a push ended.
type Result struct {
	Outcome         policy.Outcome
	Missed          bool // the cache said that it had to fetch
	Value           []byte
	Body            Body        // in its place, with a size above 0
	Err             error       // for the log
	ReportedLatency policy.Time // how long ops take at the cache by its own report; 0: it said nothing
	ReportInvalid   bool        // a report was there, but said nothing that can be
	// What a probe's report says: ops that wait, and ops done in a second.
	QueueLength, OpsPerSecond float64
}

// AbortCondition says how far a push may have come to be given up.
type AbortCondition uint8

const (
	Always      AbortCondition = iota
	IfUnwritten                // no byte of it has been written: it has never run
	IfUnsent                   // its last byte has not come to the server's system, by the word of ours: it may have run, if that word is old
)

// Server is one cache or origin. None of its methods may block.
type Server interface {
	// Push sends a request; until is how long the answer is waited for. The result comes once through done, on
	// another goroutine. After the function returned here has been called, the push is no longer out on an
	// open connection, and its result, if one still comes, counts for nothing. It does so only as far as when says, and
	// tells whether.
	Push(r *Request, until time.Time, done func(Result)) (giveUp func(when AbortCondition) bool)
	Release() // closes idle connections
	Retire()  // closes idle connections, and the others once their push has ended
}

// Member is one entry of the list, with the address that this proxy reaches it by.
type Member struct {
	policy.Entry
	Addr string
	Name string // the same at every proxy
}

// Catalog is the list service, as the module may switch it on and off. It must not block.
type Catalog interface{ Watch(on bool) }

// Module is what decides for one proxy; policy.Balancer is the one that serves. The engine calls it on its one
// goroutine, and it acts through the policy.Host that it was made with.
type Module interface {
	ListArrived(kind policy.ListKind, entries []policy.Entry)
	OpArrived(id uint32, key uint64, category, account int, write, again bool, left policy.Time)
	Reported(cache uint32, pace policy.Time)
	Probed(cache uint32, told bool, waiting, rate float64)
	PushEnded(id uint32, n int, how policy.Outcome, missed, terminal bool, taken policy.Time)
	ClientLeft(id uint32)
	TimerDue(token uint64)
	Retune(s policy.Settings)
	HandBack(id uint32)
	Record(cache uint32) *evidence.Record
	Learned() warm.LearnedState
	Recall(m warm.LearnedState)
	Judged() policy.Counts
}
