// Package engine runs the decision module of one proxy. A single goroutine owns the module and everything else reaches it through one
// queue. The package deals in ops, pushes and outcomes; their wire formats belong to its callers.
package engine

import (
	"io"
	"math"
	"sync/atomic"
	"time"

	"minttray/decide/evidence"
	"minttray/decide/warm"
	"minttray/internal/deadline"
	"minttray/internal/memory"
	"minttray/policy"
)

// Request is what is sent to a server, independent of the wire format.
type Request struct {
	Key        string
	ID         string // unique per op
	Write      bool
	Properties deadline.Properties
	Deadline   deadline.Deadline // the client's deadline; after Submit only the engine may lower it, and only before the first push
	Value      []byte
	Parts      [][]byte // replaces Value for a value longer than MaxContiguousBytes
	Probe      bool     // a request for a load report in place of an op
	// MayStream is called when the head of a response with a long value has arrived, and reports whether the value may be passed on as it
	// arrives. Otherwise it is held whole before the attempt counts as acked. It may block for a moment. nil: it may.
	MayStream func() bool

	abandoned atomic.Bool
	holders   atomic.Int32 // the engine and each attempt that may still read the request
	onUnused  func()       // called when the last holder drops the request; nil: nothing is to be done
}

// Hold keeps the request's memory until a call of Drop. An attempt holds its request for as long as it may read it: the engine may
// end the op while the request is being written.
func (r *Request) Hold() { r.holders.Add(1) }

// Holders returns the number of Holds that have not been dropped.
func (r *Request) Holders() int { return int(r.holders.Load()) }

// Drop ends a Hold.
func (r *Request) Drop() {
	if r.holders.Add(-1) == 0 && r.onUnused != nil {
		r.onUnused()
	}
}

// Abandoned reports whether nobody waits for the request any more. From then on no byte of it is sent, however late the engine runs.
func (r *Request) Abandoned() bool { return r.abandoned.Load() }

// Abandon marks the request as one that nobody waits for: its client has left, or already has an answer.
func (r *Request) Abandon() { r.abandoned.Store(true) }

const (
	MaxInlineBytes     = 2 << 10  // longest value that is copied with the command around it
	MaxContiguousBytes = 64 << 10 // longest value kept in one slice
	MaxValueBytes      = 4 << 20  // longest value accepted
)

// Pieces returns the value in the slices that it is kept in.
func (r *Request) Pieces() [][]byte {
	if len(r.Parts) > 0 {
		return r.Parts
	}
	return [][]byte{r.Value}
}

// Size returns the length of the value in bytes.
func (r *Request) Size() (n int) {
	for _, part := range r.Parts {
		n += len(part)
	}
	return n + len(r.Value)
}

// NoTenant is the index of an op without a tenant, whatever tenants are configured.
const NoTenant = math.MaxInt32

// Op is one client op as submitted by the front.
type Op struct {
	ReceivedAt       time.Time // earliest time at which the last byte may have arrived
	Key              uint64    // hash of the key; 0: no key
	Category, Tenant int
	IsRetry          bool // the client marked the op as a retry
	AtMostOnce       bool // the op must never run twice
	Request          Request
	Reply            Replier
	OnRelease        func() // called when neither the engine nor an attempt uses the request any more; may be nil

	Trace Trace // when the op reached each of its states

	clientWait time.Duration // how long the client waits, from ReceivedAt; set by Submit
	record     *opRecord     // the engine's record, nil until the op has arrived there
	progress   atomic.Uint32
	acked      atomic.Pointer[Result] // of a push that was acked with a value, which may not have reached the engine's goroutine yet
}

// opOverhead is what an open op takes in bytes beside its request: its records here, in the module and at the front, and its timers.
const opOverhead = 1 << 10

// heldBytes returns what the op counts towards Options.MaxBytes. Values and properties over MaxInlineBytes are in blocks, which their
// pools limit.
func (o *Op) heldBytes() int64 {
	bytes := opOverhead + len(o.Request.Key) + len(o.Request.ID)
	for _, n := range []int{len(o.Request.Value), o.Request.Properties.Size()} {
		if n <= MaxInlineBytes {
			bytes += n
		}
	}
	return int64(bytes)
}

// Replier receives an op's single final answer. Calls come from the engine's goroutine, or the lag responder's while the engine lags, and
// must not block.
type Replier interface {
	Acked(value []byte)
	AckedBlock(value []byte, block *memory.Block) // the receiver releases the block, which holds the value
	Streamed(body Body)
	Nacked(retryAfter time.Duration) // retryAfter 0: no advice on when to retry
	DeadLettered()
}

// Body is a value longer than MaxContiguousBytes, read as it arrives. The receiver must read it to its end or close it; an error before
// the end means that the value is incomplete.
type Body struct {
	Size int
	io.ReadCloser
}

// Result is the outcome of a push.
type Result struct {
	Outcome         policy.Outcome
	Missed          bool // the cache reported that it fetched from the origin
	Value           []byte
	Block           *memory.Block // holds the value; nil: the value is allocated
	Body            Body          // replaces Value if its size is above 0
	Err             error         // for logging only
	ReportedLatency policy.Time   // latency per op in the cache's load report; 0: no report
	ReportInvalid   bool          // a load report was present but unusable
	// Contents of the load report that answers a probe: queued ops, and ops completed per second.
	QueueLength  float64
	OpsPerSecond float64
}

// deliver answers a request with the value of an acked push.
func (r *Result) deliver(reply Replier) {
	switch {
	case r.Body.Size > 0:
		reply.Streamed(r.Body) // the op is not retried if the stream fails: the cache's bytes go straight to the client
	case r.Block != nil:
		reply.AckedBlock(r.Value, r.Block)
	default:
		reply.Acked(r.Value)
	}
}

// drop ends a result that is not delivered.
func (r *Result) drop() {
	if r.Body.Size > 0 {
		r.Body.Close()
	}
	r.Block.Release()
}

// AbortCondition limits a call to abort a push to pushes that have not got beyond a given point.
type AbortCondition uint8

const (
	Always      AbortCondition = iota
	IfUnwritten                // only if no byte of it was written: it never ran
	IfUnsent                   // only if the local kernel has not seen its last byte acknowledged: it may have run if that information is out of date
)

// Server is one cache or the origin. No method may block.
type Server interface {
	// Push sends a request and waits for its answer until the given time. The result is passed to done once, on another goroutine.
	// The returned function aborts the push if the condition holds, and reports whether it did. After an abort the push is no longer
	// in flight on an open connection, and a result that still arrives is ignored.
	Push(r *Request, until time.Time, done func(Result)) (abort func(condition AbortCondition) bool)
	Release() // closes idle connections
	Retire()  // closes idle connections at once, the others when their push has ended
}

// Member is one entry of the discovery list, with the address by which this proxy reaches it.
type Member struct {
	policy.Entry
	Addr string // address to dial
	Name string // the same at every proxy
}

// Catalog is the discovery service, whose watch the module switches on and off. It must not block.
type Catalog interface{ Watch(on bool) }

// Module makes the decisions for one proxy; policy.Balancer is the implementation in production. The engine calls it on its single
// goroutine, and it acts through the policy.Host that it was created with.
type Module interface {
	ListArrived(kind policy.ListKind, entries []policy.Entry)
	OpArrived(id uint32, key uint64, category, tenant int, write, isRetry bool, remaining policy.Time)
	Reported(cache uint32, latency policy.Time)
	Probed(cache uint32, reported bool, queueLength, opsPerSecond float64)
	PushEnded(id uint32, number int, outcome policy.Outcome, missed, terminal bool, duration policy.Time)
	ClientLeft(id uint32)
	TimerDue(token uint64)
	Retune(s policy.Settings)
	HandBack(id uint32)
	Record(cache uint32) *evidence.Record
	Learned() warm.LearnedState
	Recall(m warm.LearnedState)
	Judged() policy.Counts
}
