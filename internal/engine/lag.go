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
	lagThreshold     = pulse.BeatInterval   // the engine lags once the oldest unfinished event was queued this long ago
	lagCheckInterval = 5 * time.Millisecond // interval of further checks while the lag lasts
)

// lagResponder answers requests while the engine's goroutine lags, without waiting for it. An op answered here is never pushed afterwards, as
// both goroutines change an op's progress with one atomic operation, so that only one of them succeeds. begin arms its timer and end stops
// it.
type lagResponder struct {
	engine *Engine
	timer  *time.Timer

	mu                sync.Mutex
	laggedAtLastCheck bool // the engine lagged at the last check; a single check may see a stall of the whole process
	stopped           bool

	Refused, Failed, Served atomic.Int64 // submitted ops answered here
	TurnedAway              atomic.Int64 // ops that Submit did not accept because the engine lagged
}

func newLagResponder(e *Engine) *lagResponder {
	r := &lagResponder{engine: e}
	r.timer = time.AfterFunc(time.Hour, r.check)
	return r
}

// begin and end enclose a batch of events that started at the given time.
func (r *lagResponder) begin(start time.Time) {
	r.engine.setOldestEvent(start)
	r.timer.Reset(lagThreshold)
}

func (r *lagResponder) end() {
	r.engine.oldestEvent.Store(0)
	r.timer.Stop()
}

// check answers the ops for which overload.Decide says so, and repeats for as long as the batch lasts.
func (r *lagResponder) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.stopped || r.engine.oldestEvent.Load() == 0 {
		r.laggedAtLastCheck = false
		return
	}
	r.engine.StallMonitor.Beat(now) // the process is running; only the engine's own beat is late
	lag := r.engine.lag(now)
	if r.laggedAtLastCheck {
		r.answerDue(func(o *Op) overload.Action { return overload.Decide(o.overloadState(now), overload.Time(lag)) })
	}
	r.laggedAtLastCheck = lag >= lagThreshold
	r.timer.Reset(lagCheckInterval)
}

// answerAll answers, at shutdown when the engine does not respond, the open ops for which overload.DecideAtShutdown is not Wait. It returns
// their number.
func (r *lagResponder) answerAll() int {
	now := time.Now()
	return r.answerDue(func(o *Op) overload.Action { return overload.DecideAtShutdown(o.overloadState(now)) })
}

// ClientWait returns how long the client waits from the request's arrival, by the client's own deadline.
func (o *Op) ClientWait() time.Duration {
	if o.clientWait > 0 {
		return o.clientWait
	}
	return max(o.Request.Deadline.Remaining(o.ReceivedAt), 0) // the engine has not taken it
}

// Remaining returns how long the client still waits, by the client's own deadline. After Submit any goroutine may call it.
func (o *Op) Remaining(now time.Time) time.Duration { return o.clientWait - now.Sub(o.ReceivedAt) }

// overloadState returns the op's state as input to the overload decision.
func (o *Op) overloadState(now time.Time) overload.Request {
	return overload.Request{Waited: overload.Time(now.Sub(o.ReceivedAt)), Remaining: overload.Time(o.Remaining(now)),
		Attempted: progress(o.progress.Load()) == opBegun, Answered: o.acked.Load() != nil}
}

// answerDue answers the ops for which the decision is not Wait.
func (r *lagResponder) answerDue(decide func(*Op) overload.Action) (answered int) {
	for _, o := range r.engine.unanswered.matching(func(o *Op) bool { return decide(o) != overload.Wait }) {
		if r.answerOp(o, decide(o)) {
			answered++
		}
	}
	return answered
}

// answerOp gives an op its final answer, unless it has one.
func (r *lagResponder) answerOp(o *Op, action overload.Action) bool {
	switch action {
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
	o.Request.Abandon() // nobody waits for it any more: no further byte of a push is written
	r.engine.noteAnswered(o, true)
	acked := o.acked.Load()
	switch {
	case acked != nil && acked.Block == nil:
		r.Served.Add(1)
		o.Reply.Acked(acked.Value)
	case acked != nil && acked.Block.TryHold(): // the engine's goroutine may have found the op answered and released the value
		r.Served.Add(1)
		o.Reply.AckedBlock(acked.Value, acked.Block)
	case action == overload.Refuse:
		r.Refused.Add(1)
		o.Reply.Nacked(0)
	default:
		r.Failed.Add(1)
		o.Reply.DeadLettered()
	}
	r.engine.queue.put(answeredEvent, func() { r.engine.endAnswered(o) })
	return true
}

// LagCounters returns the counts of ops answered or rejected because the engine lagged, for logging.
func (e *Engine) LagCounters() zerolog.LogObjectMarshaler { return e.lagResponder }

// stop ends the periodic checks. answerAll still works.
func (r *lagResponder) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.timer.Stop()
}

// MarshalZerologObject writes the counters into a log line.
func (r *lagResponder) MarshalZerologObject(l *zerolog.Event) {
	l.Int64("refused", r.Refused.Load()).Int64("failed", r.Failed.Load()).Int64("served", r.Served.Load()).Int64("turned_away", r.TurnedAway.Load())
}

// setOldestEvent sets the moment from which lag is measured. 0 means that nothing is being handled, so the least value is 1.
func (e *Engine) setOldestEvent(since time.Time) {
	e.oldestEvent.Store(max(int64(since.Sub(e.clockStart)), 1))
}

// lag returns how long the oldest event has been waiting: the current one, or the first in the queue.
func (e *Engine) lag(now time.Time) time.Duration {
	if oldest := e.oldestEvent.Load(); oldest != 0 {
		return now.Sub(e.clockStart) - time.Duration(oldest)
	}
	if oldest, ok := e.queue.oldest(); ok {
		return now.Sub(oldest)
	}
	return 0
}

// Lag returns how long the oldest event has been waiting.
func (e *Engine) Lag() time.Duration { return e.lag(time.Now()) }

// noteAnswered records that an op has its final answer.
func (e *Engine) noteAnswered(o *Op, duringLag bool) {
	e.unanswered.remove(o)
	o.markTime(&o.Trace.Answered, time.Now())
	if duringLag {
		o.Trace.AnsweredDuringLag.Store(true)
	}
}

// endAnswered ends an op that the lag responder has answered.
func (e *Engine) endAnswered(o *Op) {
	if record := o.record; record != nil && !record.ended {
		e.endOp(record)
		// To the module this is the same as a client that has left.
		e.module.ClientLeft(record.id)
		e.releaseOp(record)
	}
}
