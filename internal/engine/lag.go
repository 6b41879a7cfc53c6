package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/overload"
	"minttray/internal/pulse"
)

const (
	lagThreshold     = pulse.BeatInterval   // an event, or a row of them, that takes longer is looked into
	lagCheckInterval = 5 * time.Millisecond // from then on, while it lasts
)

// lagResponder answers requests while the engine's goroutine is lagResponder, by a way that does not wait for it: what was given up here is never begun, as
// both sides move an op on by one step that only one of them can take. It runs on a timer of its own, which is set only while events are handled.
type lagResponder struct {
	engine *Engine
	timer  *time.Timer

	mu                sync.Mutex
	laggedAtLastCheck bool // the engine was behind at the last look: once may be a stall of the whole process
	stopped           bool

	Refused, Failed, Served atomic.Int64 // ops answered here
	TurnedAway              atomic.Int64 // ops not taken, as the engine was behind
}

func newLagResponder(e *Engine) *lagResponder {
	b := &lagResponder{engine: e}
	b.timer = time.AfterFunc(time.Hour, b.check)
	return b
}

// begin and end surround a row of events.
func (b *lagResponder) begin(oldest time.Time) {
	b.engine.setOldestEvent(oldest)
	b.timer.Reset(lagThreshold)
}

func (b *lagResponder) end() {
	b.engine.oldestEvent.Store(0)
	b.timer.Stop()
}

// check answers what is due, and looks again for as long as the row of events lasts.
func (b *lagResponder) check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.stopped || b.engine.oldestEvent.Load() == 0 {
		b.laggedAtLastCheck = false
		return
	}
	b.engine.StallMonitor.Beat(now) // the process runs, it is only the engine that does not come to its beat
	lag := b.engine.lag(now)
	if b.laggedAtLastCheck {
		b.answerDue(func(o *Op) overload.Action { return overload.Decide(o.overloadState(now), overload.Time(lag)) })
	}
	b.laggedAtLastCheck = lag >= lagThreshold
	b.timer.Reset(lagCheckInterval)
}

// answerAll answers all that is open, as the process ends and the engine does not come to it. It gives how many that were.
func (b *lagResponder) answerAll() int {
	now := time.Now()
	return b.answerDue(func(o *Op) overload.Action { return overload.DecideAtShutdown(o.overloadState(now)) })
}

// Remaining is how long its client still waits, by the client's own word; any goroutine may ask once it is submitted.
func (o *Op) Remaining(now time.Time) time.Duration { return o.clientWait - now.Sub(o.ReceivedAt) }

// overloadState is how an op stands, for the decision what is done for it.
func (o *Op) overloadState(now time.Time) overload.Request {
	return overload.Request{Waited: overload.Time(now.Sub(o.ReceivedAt)), Remaining: overload.Time(o.Remaining(now)),
		Attempted: progress(o.progress.Load()) == opBegun, Answered: o.ackedValue.Load() != nil}
}

// answerDue answers the ops for which something is done.
func (b *lagResponder) answerDue(what func(*Op) overload.Action) (answered int) {
	for _, o := range b.engine.unanswered.matching(func(o *Op) bool { return what(o) != overload.Wait }) {
		if b.answerOp(o, what(o)) {
			answered++
		}
	}
	return answered
}

// answerOp gives an op its one answer, if it is still to be had.
func (b *lagResponder) answerOp(o *Op, what overload.Action) bool {
	switch what {
	case overload.Wait:
		return false
	case overload.Refuse:
		if !o.claimIfWaiting() {
			return false
		}
	default:
		if _, ok := o.claim(); !ok {
			return false
		}
	}
	o.Request.Abandon() // no byte of an attempt is written from here on
	b.engine.noteAnswered(o, true)
	value := o.ackedValue.Load()
	switch {
	case value != nil:
		b.Served.Add(1)
		o.Reply.Acked(*value)
	case what == overload.Refuse:
		b.Refused.Add(1)
		o.Reply.Nacked(0)
	default:
		b.Failed.Add(1)
		o.Reply.DeadLettered()
	}
	b.engine.queue.put(answeredEvent, func() { b.engine.endAnswered(o) })
	return true
}

// LagCounters is what was answered, or not taken, while the engine was behind, for the log.
func (e *Engine) LagCounters() zerolog.LogObjectMarshaler { return e.lagResponder }

// stop ends it: nothing is answered any more.
func (b *lagResponder) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	b.timer.Stop()
}

// MarshalZerologObject writes the counters into a log line.
func (b *lagResponder) MarshalZerologObject(l *zerolog.Event) {
	l.Int64("refused", b.Refused.Load()).Int64("failed", b.Failed.Load()).Int64("served", b.Served.Load()).Int64("turned_away", b.TurnedAway.Load())
}

// setOldestEvent notes since when the event in hand has waited.
func (e *Engine) setOldestEvent(since time.Time) {
	e.oldestEvent.Store(max(int64(since.Sub(e.clockStart)), 1))
}

// lag is how long the oldest event has waited by now: the one in hand, or the first in the queue.
func (e *Engine) lag(now time.Time) time.Duration {
	if oldest := e.oldestEvent.Load(); oldest != 0 {
		return now.Sub(e.clockStart) - time.Duration(oldest)
	}
	if oldest, some := e.queue.oldest(); some {
		return now.Sub(oldest)
	}
	return 0
}

// Lag is how long the oldest event has waited by now.
func (e *Engine) Lag() time.Duration { return e.lag(time.Now()) }

// noteAnswered notes that an op has its final answer.
func (e *Engine) noteAnswered(o *Op, behind bool) {
	e.unanswered.remove(o)
	o.markTime(&o.Trace.Answered, time.Now())
	if behind {
		o.Trace.AnsweredDuringLag.Store(true)
	}
}

// endAnswered ends an op that was answered while the engine was behind.
func (e *Engine) endAnswered(o *Op) {
	if h := o.record; h != nil && !h.ended {
		e.endOp(h)
		e.module.ClientLeft(h.id)
		e.releaseOp(h)
	}
}
