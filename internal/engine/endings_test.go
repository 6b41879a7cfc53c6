package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"minttray/policy"
)

// countLines counts the recorded lines with a prefix.
func (s *recorder) countLines(start string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.log {
		if strings.HasPrefix(line, start) {
			n++
		}
	}
	return n
}

func (s *recorder) line(at int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log[at]
}

// opEnds are the ways in which an op ends while a push for it is open.
var opEnds = map[string]func(e *Engine, o *Op){
	"its client has left":  func(e *Engine, o *Op) { e.Abandon(o) },
	"the process ends":     func(e *Engine, o *Op) { e.AnswerAllOpen(eventTimeout) },
	"its time is long up":  func(e *Engine, o *Op) { e.Do(func(e *Engine) { e.expire(o.record) }) },
	"it was answered late": func(e *Engine, o *Op) { e.Do(func(e *Engine) { e.Nack(o.record.id, 0) }) },
}

// Guards against a push that is still dialing when its op ends being written after the op's answer or its client's leaving. Pushes that no
// server has seen are withdrawn even where servers do not support cancelling.
func TestWhatIsNotWrittenEndsWithItsOp(t *testing.T) {
	for name, end := range opEnds {
		for _, cancelling := range []bool{false, true} {
			for category := range 3 { // includes an at-most-once op
				t.Run(fmt.Sprint(name, cancelling, category), func(t *testing.T) {
					e, s := startEngine(t, func(o *Options) { o.Settings.Cancelling = cancelling })
					s.pushesUnwritten = true
					o := s.op("a", category)
					e.Submit(o)
					s.await(0, "push cache")
					end(e, o)
					s.await(0, "withdrawn cache")
					if c := drainQueue(e); c.Withdrawn != 1 || c.Pushes[policy.NotSent] != 1 || e.opCount.Load() != 0 || s.countLines("push") != 1 {
						t.Errorf("%+v", c)
					}
				})
			}
		}
	}
}

// Guards against a push in the kernel's send buffer for a hanging cache being delivered after its op has ended, maybe after this process has.
// It is aborted whatever the settings say about cancelling, as no server has it.
func TestWhatHasNotComeEndsWithItsOp(t *testing.T) {
	for name, end := range opEnds {
		for category := range 3 {
			t.Run(fmt.Sprint(name, category), func(t *testing.T) {
				e, s := startEngine(t, func(o *Options) { o.Settings.Cancelling = false })
				s.pushesUnsent = true
				o := s.op("a", category)
				e.Submit(o)
				s.await(0, "push cache")
				end(e, o)
				s.await(0, "discarded cache")
				if c := drainQueue(e); c.Withdrawn != 0 || c.Pushes[policy.Cancelled] != 1 || e.opCount.Load() != 0 || s.countLines("push") != 1 {
					t.Errorf("%+v", c)
				}
			})
		}
	}
}

// A push that was written is not aborted where servers do not support cancelling.
func TestWhatIsWrittenRunsOn(t *testing.T) {
	e, s := startEngine(t, func(o *Options) { o.Settings.Cancelling = false })
	o := s.op("a", 2)
	e.Submit(o)
	at := s.await(0, "push cache")
	e.Abandon(o)
	if c := drainQueue(e); c.Withdrawn != 0 || s.countLines("aborted") != 0 || e.opCount.Load() != 1 {
		t.Errorf("%+v", c)
	}
	s.answer(at, Result{Outcome: policy.Acked, Value: []byte("v")})
	if c := drainQueue(e); c.Acked != 0 || e.opCount.Load() != 0 || s.countLines("acked") != 0 {
		t.Errorf("%+v", c)
	}
}

// Guards against pushes for clients that left while the engine was lagging. A connection may also end between the reading of an op and its
// Submit, so that Abandon comes first.
func TestClientThatLeavesWhileTheEngineIsBehind(t *testing.T) {
	for name, play := range map[string]func(e *Engine, o *Op){
		"behind its op":   func(e *Engine, o *Op) { e.Submit(o); e.Abandon(o) },
		"ahead of its op": func(e *Engine, o *Op) { e.Abandon(o); e.Submit(o) },
	} {
		t.Run(name, func(t *testing.T) {
			const many = 300
			e, s := newTestEngine(t, func(o *Options) { o.MaxOps = 2 * many })
			released := 0
			for i := range many {
				o := s.op(fmt.Sprint("op", i), i%3)
				o.OnRelease = func() { released++ }
				play(e, o)
			}
			stop, ended := make(chan struct{}), make(chan struct{})
			go func() { e.Run(stop); close(ended) }() // the engine sees the ops only now
			c := drainQueue(e)
			close(stop)
			<-ended
			if c.ClientsLeft != many || c.Sent != 0 || released != many || e.opCount.Load() != 0 || e.byteCount.Load() != 0 || s.countLines("push") != 0 {
				t.Errorf("%d released, %d open: %+v", released, e.opCount.Load(), c)
			}
		})
	}
}

// Guards against a push for a client that left between the op's arrival and the push, while the Abandon event is still queued.
func TestAPushForAClientThatHasJustLeft(t *testing.T) {
	e, s := startEngine(t, nil)
	o := s.op("a", 0)
	e.Submit(o)
	at := s.await(0, "push cache")
	held, seen := make(chan bool), make(chan bool)
	e.Do(func(*Engine) { close(seen); <-held })
	<-seen
	s.answer(at, Result{Outcome: policy.Rejected}) // another cache would be tried next
	e.Abandon(o)
	close(held)
	if c := drainQueue(e); c.ClientsLeft+c.Nacked != 1 || c.Sent != 1 || s.countLines("push") != 1 || e.opCount.Load() != 0 {
		t.Errorf("%+v", c)
	}
}

// Guards against a push that is dialing or waiting for a connection when its cache starts to drain being written after the grace period.
func TestADrainTakesBackWhatIsNotWritten(t *testing.T) {
	at := func(id uint32, state policy.State, change func(*Member)) Member {
		m := member(id, state)
		if change != nil {
			change(&m)
		}
		return m
	}
	for name, list := range map[string]struct {
		kind    policy.ListKind
		members func(first, other uint32) []Member
		again   bool // the same cache may be tried again
	}{
		"drains": {policy.ListDelta, func(f, o uint32) []Member { return []Member{at(f, policy.Draining, nil)} }, false},
		"drains, by the whole list": {policy.ListFull, func(f, o uint32) []Member {
			return []Member{at(f, policy.Draining, nil), member(o, policy.Ready), member(9, policy.Ready)}
		}, false},
		"has gone": {policy.ListDelta, func(f, o uint32) []Member { return []Member{at(f, policy.Gone, nil)} }, false},
		"is missing": {policy.ListFull, func(f, o uint32) []Member {
			return []Member{member(o, policy.Ready), member(9, policy.Ready)}
		}, false},
		"has moved": {policy.ListDelta, func(f, o uint32) []Member {
			return []Member{at(f, policy.Ready, func(m *Member) { m.Addr = "elsewhere" })}
		}, true},
		"is replaced": {policy.ListDelta, func(f, o uint32) []Member {
			return []Member{at(f, policy.Ready, func(m *Member) { m.Start = 1 })}
		}, true},
	} {
		for _, probing := range []bool{false, true} { // probes must be withdrawn as well
			t.Run(fmt.Sprint(name, probing), func(t *testing.T) {
				e, s := startEngine(t, func(o *Options) { o.Settings.Probing = probing })
				e.Submit(s.op("a", 0))
				pushed := s.await(0, "push cache")
				first, other := uint32(1), uint32(2)
				if s.cache(pushed) != "cache1" {
					first, other = 2, 1
				}
				s.mu.Lock()
				s.pushesUnwritten = true
				s.mu.Unlock()
				e.UpdateList(list.kind, list.members(first, other))
				back := s.await(pushed, "withdrawn "+strings.TrimPrefix(s.line(pushed), "push "))
				again := s.await(back, "push ")
				for probing && !strings.Contains(s.line(again), " a ") { // another probe
					s.answer(again, Result{Outcome: policy.Acked, OpsPerSecond: 30})
					again = s.await(again+1, "push ")
				}
				if !list.again && s.cache(again) == s.cache(pushed) {
					t.Errorf("pushed again to %s", s.cache(again))
				}
				s.answer(again, Result{Outcome: policy.Acked, Value: []byte("v")})
				s.await(again, "acked a v")
			})
		}
	}
}

// Guards against a call that returns ErrBusy but takes effect: the engine may begin it just as the caller's time runs out. A call that has
// begun is awaited; one that has not never runs.
func TestACallIsDoneOrNotDone(t *testing.T) {
	const span = 20 * time.Millisecond
	e, _ := startEngine(t, nil)
	begun, hold := make(chan bool), make(chan bool)
	result := make(chan error, 1)
	go func() {
		result <- e.runCall(span, func() error { close(begun); <-hold; return nil })
	}()
	<-begun
	ran := make(chan bool, 1)
	if err := e.runCall(10*span, func() error { ran <- true; return nil }); err != ErrBusy { // the engine is blocked in the first call
		t.Errorf("call that did not run returned %v", err)
	}
	early := len(result) > 0 // by now ten times the first call's span has passed
	close(hold)
	if err := <-result; err != nil || early {
		t.Errorf("call returned %v, early: %v, though it took effect", err, early)
	}
	drainQueue(e)
	if len(ran) > 0 {
		t.Error("call ran after it had returned ErrBusy")
	}
}

// A push that was written is not aborted by a drain.
func TestADrainLeavesWhatIsWritten(t *testing.T) {
	e, s := startEngine(t, nil)
	e.Submit(s.op("a", 2))
	at := s.await(0, "push cache")
	e.UpdateList(policy.ListDelta, []Member{member(1, policy.Draining), member(2, policy.Draining)})
	drainQueue(e)
	s.answer(at, Result{Outcome: policy.Acked, Value: []byte("v")})
	s.await(at, "acked a v")
	if s.countLines("push") != 1 || s.countLines("withdrawn") != 0 {
		t.Error(s.log)
	}
}

// Guards against an op running twice: a repeat starts within the caches' deduplication window, but its connection is established late and it
// is written after the window. Ops without a window in force are not affected.
func TestARepeatIsNotWrittenBehindItsWindow(t *testing.T) {
	for name, c := range map[string]struct {
		effect    policy.Effect
		first     Result
		withdrawn bool
	}{
		"deduplicated, and may have run":  {policy.Deduplicated, Result{Outcome: policy.Errored}, true},
		"deduplicated, and has never run": {policy.Deduplicated, Result{Outcome: policy.Rejected}, false},
		"redeliverable":                   {policy.Redeliverable, Result{Outcome: policy.Errored}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, s := startEngine(t, func(o *Options) {
				o.Settings.Cancelling = false
				o.Settings.Categories[2] = policy.Category{Effect: c.effect, Window: 5000, Target: 15000, TTL: 20000, Benefit: 1}
			})
			e.Submit(s.op("a", 2))
			at := s.await(0, "push cache")
			s.mu.Lock()
			s.pushesUnwritten = true // the repeat's connection is never established
			s.mu.Unlock()
			s.answer(at, c.first)
			again := s.await(at+1, "push cache")
			s.await(again, "withdrawn cache", "aborted cache") // its window or its time is over
			s.await(again, "dead-lettered a", "nacked a")
			if got := drainQueue(e); (got.Withdrawn > 0) != c.withdrawn {
				t.Errorf("%+v", got)
			}
			if n := s.countLines("push cache"); n != 2 && c.withdrawn {
				t.Errorf("%d pushes", n)
			}
		})
	}
}

// Guards against an op running twice: a repeat was written but is in the kernel's send buffer for a hanging cache when the deduplication
// window ends, and the cache would take it later. A repeat that the cache has received goes on.
func TestARepeatThatHasNotComeEndsWithItsWindow(t *testing.T) {
	for _, unsent := range []bool{true, false} {
		t.Run(fmt.Sprint(unsent), func(t *testing.T) {
			t.Parallel()
			e, s := startEngine(t, func(o *Options) {
				o.Settings.Cancelling = false
				o.Settings.Categories[2] = policy.Category{Effect: policy.Deduplicated, Window: 5000, Target: 15000, TTL: 20000, Benefit: 1}
			})
			s.pushesUnsent = unsent
			e.Submit(s.op("a", 2))
			at := s.await(0, "push cache")
			s.answer(at, Result{Outcome: policy.Errored})
			again := s.await(at+1, "push cache")
			if unsent {
				s.await(again, "discarded")
			}
			s.await(again, "dead-lettered a", "nacked a")
			if c := drainQueue(e); s.countLines("push cache") != 2 || s.countLines("discarded") > 0 != unsent || c.Withdrawn > 0 || c.Pushes[policy.TimedOut] != 1 {
				t.Errorf("%+v", c)
			}
		})
	}
}

// Guards against telling a client that its op may have run when no connection was established and nothing was sent. If the push was written,
// the op may have run and the client must be told so.
func TestWhatNeverCameUpHasNeverRun(t *testing.T) {
	for _, unwritten := range []bool{true, false} {
		for _, effect := range []policy.Effect{policy.AtMostOnce, policy.Deduplicated} {
			t.Run(fmt.Sprint(unwritten, effect), func(t *testing.T) {
				t.Parallel()
				e, s := startEngine(t, func(o *Options) {
					o.Settings.Categories[2] = policy.Category{Effect: effect, Group: policy.GroupCell, Window: 1000, Target: 1000, TTL: 2000, Benefit: 1}
				})
				s.pushesUnwritten = unwritten
				e.Submit(s.op("a", 2))
				at := s.await(0, "push cache")
				want := "dead-lettered a"
				if unwritten {
					want = "nacked a"
				}
				s.await(at, want)
				if c := drainQueue(e); c.Nacked+c.DeadLettered != 1 || (c.Pushes[policy.ConnectFailed] > 0) != unwritten {
					t.Errorf("%+v", c)
				}
			})
		}
	}
}
