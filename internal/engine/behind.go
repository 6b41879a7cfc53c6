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
	lookAfter = pulse.BeatInterval   // an event, or a row of them, that takes longer is looked into
	lookEvery = 5 * time.Millisecond // from then on, while it lasts
)

// behind answers requests while the engine's goroutine is behind, by a way that does not wait for it: what was given up here is never begun, as
// both sides move an op on by one step that only one of them can take. It runs on a timer of its own, which is set only while events are handled.
type behind struct {
	engine *Engine
	timer  *time.Timer

	mu    sync.Mutex
	seen  bool // the engine was behind at the last look: once may be a stall of the whole process
	ended bool

	Refused, Failed, Served atomic.Int64 // ops answered here
	TurnedAway              atomic.Int64 // ops not taken, as the engine was behind
}

func newBehind(e *Engine) *behind {
	b := &behind{engine: e}
	b.timer = time.AfterFunc(time.Hour, b.look)
	return b
}

// begin and end surround a row of events.
func (b *behind) begin(oldest time.Time) {
	b.engine.handling(oldest)
	b.timer.Reset(lookAfter)
}

func (b *behind) end() {
	b.engine.oldest.Store(0)
	b.timer.Stop()
}

// look answers what is due, and looks again for as long as the row of events lasts.
func (b *behind) look() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.ended || b.engine.oldest.Load() == 0 {
		b.seen = false
		return
	}
	b.engine.StallMonitor.Beat(now) // the process runs, it is only the engine that does not come to its beat
	lag := b.engine.lag(now)
	if b.seen {
		b.answer(func(o *Op) overload.Action { return overload.Decide(o.standing(now), overload.Time(lag)) })
	}
	b.seen = lag >= lookAfter
	b.timer.Reset(lookEvery)
}

// answerAll answers all that is open, as the process ends and the engine does not come to it. It gives how many that were.
func (b *behind) answerAll() int {
	now := time.Now()
	return b.answer(func(o *Op) overload.Action { return overload.DecideAtShutdown(o.standing(now)) })
}

// Remaining is how long its client still waits, by the client's own word; any goroutine may ask once it is submitted.
func (o *Op) Remaining(now time.Time) time.Duration { return o.wait - now.Sub(o.ReceivedAt) }

// standing is how an op stands, for the decision what is done for it.
func (o *Op) standing(now time.Time) overload.Request {
	return overload.Request{Waited: overload.Time(now.Sub(o.ReceivedAt)), Remaining: overload.Time(o.Remaining(now)),
		Attempted: progress(o.progress.Load()) == opBegun, Answered: o.came.Load() != nil}
}

// answer answers the ops for which something is done.
func (b *behind) answer(what func(*Op) overload.Action) (answered int) {
	for _, o := range b.engine.unanswered.due(func(o *Op) bool { return what(o) != overload.Wait }) {
		if b.give(o, what(o)) {
			answered++
		}
	}
	return answered
}

// give gives an op its one answer, if it is still to be had.
func (b *behind) give(o *Op, what overload.Action) bool {
	switch what {
	case overload.Wait:
		return false
	case overload.Refuse:
		if !o.claimWaiting() {
			return false
		}
	default:
		if _, ok := o.claim(); !ok {
			return false
		}
	}
	o.Request.Abandon() // no byte of an attempt is written from here on
	b.engine.answered(o, true)
	value := o.came.Load()
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
	b.engine.queue.put(settleEvent, func() { b.engine.settleAnswered(o) })
	return true
}

// LagCounters is what was answered, or not taken, while the engine was behind, for the log.
func (e *Engine) LagCounters() zerolog.LogObjectMarshaler { return e.behind }

// stop ends it: nothing is answered any more.
func (b *behind) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.timer.Stop()
}

// MarshalZerologObject writes the counters into a log line.
func (b *behind) MarshalZerologObject(l *zerolog.Event) {
	l.Int64("refused", b.Refused.Load()).Int64("failed", b.Failed.Load()).Int64("served", b.Served.Load()).Int64("turned_away", b.TurnedAway.Load())
}

// handling notes since when the event in hand has waited.
func (e *Engine) handling(since time.Time) { e.oldest.Store(max(int64(since.Sub(e.origin)), 1)) }

// lag is how long the oldest event has waited by now: the one in hand, or the first in the queue.
func (e *Engine) lag(now time.Time) time.Duration {
	if oldest := e.oldest.Load(); oldest != 0 {
		return now.Sub(e.origin) - time.Duration(oldest)
	}
	if oldest, some := e.queue.oldest(); some {
		return now.Sub(oldest)
	}
	return 0
}

// Lag is how long the oldest event has waited by now.
func (e *Engine) Lag() time.Duration { return e.lag(time.Now()) }

// answered notes that an op has its final answer.
func (e *Engine) answered(o *Op, behind bool) {
	e.unanswered.remove(o)
	o.mark(&o.Trace.Answered, time.Now())
	if behind {
		o.Trace.AnsweredDuringLag.Store(true)
	}
}

// settleAnswered ends an op that was answered while the engine was behind.
func (e *Engine) settleAnswered(o *Op) {
	if h := o.held; h != nil && !h.over {
		e.end(h)
		e.module.ClientLeft(h.id)
		e.forget(h)
	}
}
