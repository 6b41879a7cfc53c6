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

// attemptBegins moves an op on to its next attempt, and tells whether that may begin.
func (o *Op) attemptBegins() bool {
	return o.progress.CompareAndSwap(uint32(opWaiting), uint32(opBegun)) || progress(o.progress.Load()) == opBegun
}

// claim takes the one right to answer an op, from whatever it has come to.
func (o *Op) claim() (from progress, ok bool) {
	from = progress(o.progress.Swap(uint32(opAnswered)))
	return from, from != opAnswered
}

// claimWaiting takes it only if no attempt has begun.
func (o *Op) claimWaiting() bool {
	return o.progress.CompareAndSwap(uint32(opWaiting), uint32(opAnswered))
}

// Trace is when an op came to each of its states, as nanoseconds since its last byte may have come; 0: it did not. Any goroutine may read it.
type Trace struct {
	Submitted, Arrived, FirstPush, Answered atomic.Int64
	Pushes                                  atomic.Int32
	AnsweredDuringLag                       atomic.Bool // it was answered while the engine was behind
}

// mark notes a state's first time.
func (o *Op) mark(state *atomic.Int64, now time.Time) {
	state.CompareAndSwap(0, max(int64(now.Sub(o.ReceivedAt)), 1))
}

// openOps are the ops that were handed in and have no final answer yet.
type openOps struct {
	mu  sync.Mutex
	all map[*Op]struct{}
}

func (s *openOps) add(o *Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*Op]struct{}{}
	}
	s.all[o] = struct{}{}
}

func (s *openOps) remove(o *Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, o)
}

// due gives the ops for which a test holds.
func (s *openOps) due(is func(*Op) bool) (some []*Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := range s.all {
		if is(o) {
			some = append(some, o)
		}
	}
	return some
}
