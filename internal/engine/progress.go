package engine

import (
	"sync"
	"sync/atomic"
	"time"
)

// progress is the state of an op. It only moves forward, atomically, whether by the engine's goroutine or by the lag responder.
type progress uint32

const (
	opWaiting  progress = iota // no push has begun
	opBegun                    // a push has begun: the op may run
	opAnswered                 // the final answer is given, or nobody waits for it: no further push may begin
)

// beginPush moves an op on to its next push and reports whether that push may begin.
func (o *Op) beginPush() bool {
	return o.progress.CompareAndSwap(uint32(opWaiting), uint32(opBegun)) || progress(o.progress.Load()) == opBegun
}

// claim acquires the exclusive right to answer an op, from any state.
func (o *Op) claim() (from progress, ok bool) {
	from = progress(o.progress.Swap(uint32(opAnswered)))
	return from, from != opAnswered
}

// claimIfWaiting acquires it only if no push has begun.
func (o *Op) claimIfWaiting() bool {
	return o.progress.CompareAndSwap(uint32(opWaiting), uint32(opAnswered))
}

// Trace records when an op reached each state, in nanoseconds since ReceivedAt; 0: not reached. Any goroutine may read it.
type Trace struct {
	Read                                    atomic.Int64 // when its last byte was read
	Submitted, Arrived, FirstPush, Answered atomic.Int64
	Pushes                                  atomic.Int32
	AnsweredDuringLag                       atomic.Bool // the lag responder answered it
}

// MarkRead records when the op's last byte was read from its connection.
func (o *Op) MarkRead(now time.Time) { o.markTime(&o.Trace.Read, now) }

// markTime records the first time at which a state was reached.
func (o *Op) markTime(state *atomic.Int64, now time.Time) {
	state.CompareAndSwap(0, max(int64(now.Sub(o.ReceivedAt)), 1))
}

// unansweredOps is the set of submitted ops without a final answer.
type unansweredOps struct {
	mu  sync.Mutex
	ops map[*Op]struct{}
}

func (s *unansweredOps) add(o *Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ops == nil {
		s.ops = map[*Op]struct{}{}
	}
	s.ops[o] = struct{}{}
}

func (s *unansweredOps) remove(o *Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ops, o)
}

// matching returns the ops for which the predicate holds.
func (s *unansweredOps) matching(predicate func(*Op) bool) (matches []*Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := range s.ops {
		if predicate(o) {
			matches = append(matches, o)
		}
	}
	return matches
}
