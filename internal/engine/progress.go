package engine

import (
	"sync"
	"sync/atomic"
	"time"
)

// progress is how far an op has come. It moves forward only, and in one step, whichever goroutine takes it: the engine's, or the one that answers
// while the engine is behind.
type progress uint32

const (
	opWaiting  progress = iota // no attempt has begun
	opBegun                    // an attempt has begun: it may run
	opAnswered                 // its one final answer is given, or nobody waits for it: no attempt begins any more
)

// beginPush moves an op on to its next attempt, and tells whether that may begin.
func (o *Op) beginPush() bool {
	return o.progress.CompareAndSwap(uint32(opWaiting), uint32(opBegun)) || progress(o.progress.Load()) == opBegun
}

// claim takes the one right to answer an op, from whatever it has come to.
func (o *Op) claim() (from progress, ok bool) {
	from = progress(o.progress.Swap(uint32(opAnswered)))
	return from, from != opAnswered
}

// claimIfWaiting takes it only if no attempt has begun.
func (o *Op) claimIfWaiting() bool {
	return o.progress.CompareAndSwap(uint32(opWaiting), uint32(opAnswered))
}

// Trace is when an op came to each of its states, as nanoseconds since its last byte may have come; 0: it did not. Any goroutine may read it.
type Trace struct {
	Submitted, Arrived, FirstPush, Answered atomic.Int64
	Pushes                                  atomic.Int32
	AnsweredDuringLag                       atomic.Bool // it was answered while the engine was behind
}

// markTime notes a state's first time.
func (o *Op) markTime(state *atomic.Int64, now time.Time) {
	state.CompareAndSwap(0, max(int64(now.Sub(o.ReceivedAt)), 1))
}

// unansweredOps are the ops that were handed in and have no final answer yet.
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

// matching gives the ops for which a test holds.
func (s *unansweredOps) matching(is func(*Op) bool) (some []*Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := range s.ops {
		if is(o) {
			some = append(some, o)
		}
	}
	return some
}
