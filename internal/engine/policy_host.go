package engine

import (
	"slices"
	"time"

	"minttray/policy"
)

// Now returns the clock reading of the current event.
func (e *Engine) Now() policy.Time { return e.now }

// Push sends an op to a server. If the op cannot be sent, the module is told so after its call has returned.
func (e *Engine) Push(id, cache uint32, until policy.Time) {
	record := e.records[id]
	if record == nil {
		return
	}
	p := &push{number: record.pushCount, cache: cache, sentAt: e.now, abort: func(AbortCondition) bool { return true }}
	record.pushCount++
	record.openPushes = append(record.openPushes, p)
	if until == 0 || until > record.deadline {
		until = record.deadline
	}
	s := e.servers[cache]
	if record.ended || record.Request.Abandoned() || !record.beginPush() || record.pushCount > record.maxPushes || until <= e.now || s == nil {
		e.deferred = append(e.deferred, func() { e.pushEnded(record, p, Result{Outcome: policy.NotSent}) })
		return
	}
	e.Counters.Sent++
	o := record.Op
	o.markTime(&o.Trace.FirstPush, time.Now())
	o.Trace.Pushes.Add(1)
	p.abort = s.Push(&record.Request, e.clockTime(until), func(r Result) {
		if r.Outcome == policy.Acked && r.Body.Size == 0 {
			o.acked.Store(&r)
		}
		e.queue.put(answerEvent, func() { e.pushEnded(record, p, r) })
	})
	p.timeout = e.timers.set(until, func() { e.drop(record, p, policy.TimedOut) })
	if record.dedupWindow > 0 && record.firstRunAt > 0 {
		// The module started the repeat within the deduplication window. If its connection is established late, or the server hangs during
		// the write, the repeat would arrive after the window and the op would run twice.
		p.windowEnd = e.timers.set(record.firstRunAt+record.dedupWindow-e.Settings.Tick, func() {
			switch {
			case !slices.Contains(record.openPushes, p):
			case p.abort(IfUnwritten):
				e.pushWithdrawn(record, p)
			case p.abort(IfUnsent):
				e.pushEnded(record, p, Result{Outcome: policy.TimedOut}) // the kernel's information may be out of date: it may have run
			}
		})
	}
}

// drop aborts an open push. Its connection is closed before the module learns of it, as no second copy may be written while the first is
// in flight on an open connection.
func (e *Engine) drop(record *opRecord, p *push, outcome policy.Outcome) {
	for _, open := range record.openPushes {
		if open == p {
			// An op that must not run twice would otherwise be answered as possibly run, though no byte of it was written.
			if outcome == policy.TimedOut && record.effect != policy.Redeliverable && p.abort(IfUnwritten) {
				outcome = policy.ConnectFailed
			}
			p.abort(Always)
			e.pushEnded(record, p, Result{Outcome: outcome})
			return
		}
	}
}

// Cancel aborts a push; its outcome is reported after the module has returned.
func (e *Engine) Cancel(id uint32, number int) {
	if record := e.records[id]; record != nil {
		for _, p := range record.openPushes {
			if p.number == number {
				p.abort(Always)
				e.deferred = append(e.deferred, func() { e.drop(record, p, policy.Cancelled) })
			}
		}
	}
}

// Nack answers that a retry is safe.
func (e *Engine) Nack(id uint32, retryAfter policy.Time) {
	if record := e.open(id); record != nil {
		e.endOp(record)
		if e.claimAnswer(record) {
			e.Counters.Nacked++
			record.Reply.Nacked(time.Duration(max(retryAfter, 0)) * timeUnit)
		}
		e.deferred = append(e.deferred, func() { e.releaseOp(record) })
	}
}

// DeadLetter answers without any statement about whether the op took effect.
func (e *Engine) DeadLetter(id uint32) {
	if record := e.open(id); record != nil {
		e.endOp(record)
		if e.claimAnswer(record) {
			e.Counters.DeadLettered++
			record.Reply.DeadLettered()
		}
		e.deferred = append(e.deferred, func() { e.releaseOp(record) })
	}
}

// open returns an op that has no answer yet, or nil.
func (e *Engine) open(id uint32) *opRecord {
	if record := e.records[id]; record != nil && !record.ended {
		return record
	}
	e.Counters.LateAnswers++
	return nil
}

// Timer passes the token to the module's TimerDue after a duration.
func (e *Engine) Timer(token uint64, after policy.Time) {
	e.timers.set(e.now+max(after, 1), func() { e.module.TimerDue(token) })
}

// SendToPeers does nothing: proxies on sockets have no channel to each other yet, and messages to peers may be lost.
func (e *Engine) SendToPeers([]byte) {}

// Probe asks a cache for its load report. Each connection carries one request at a time, so no op waits behind a probe. At most one probe
// per cache is in flight, for at most probeTimeout; the module is told its outcome exactly once.
func (e *Engine) Probe(cache uint32) {
	s := e.servers[cache]
	if s == nil || s.probing {
		e.deferred = append(e.deferred, func() { e.module.Probed(cache, false, 0, 0) })
		return
	}
	e.Counters.Probes++
	s.probing = true
	ended, until := false, e.now+probeTimeout
	var timeout *timer
	end := func(r Result) {
		if ended {
			return
		}
		ended, s.probing, s.cancelProbe = true, false, nil
		e.timers.cancel(timeout)
		reported := r.Outcome == policy.Acked && r.Err == nil
		if !reported {
			e.Counters.ProbesFailed++
		}
		e.module.Probed(cache, reported, r.QueueLength, r.OpsPerSecond)
	}
	abort := s.Push(&Request{Probe: true}, e.clockTime(until), func(r Result) { e.queue.put(probeEvent, func() { end(r) }) })
	s.cancelProbe = func() {
		if !ended && abort(IfUnwritten) {
			end(Result{Outcome: policy.NotSent})
		}
	}
	timeout = e.timers.set(until, func() {
		if !ended {
			abort(Always)
			end(Result{Outcome: policy.TimedOut})
		}
	})
}

// Watch switches the watch of the discovery list on or off.
func (e *Engine) Watch(on bool) { e.catalog.Watch(on) }

// CloseIdle closes idle connections to a cache.
func (e *Engine) CloseIdle(cache uint32) {
	if s := e.servers[cache]; s != nil {
		s.Release()
	}
}

// Log logs a message of the module.
func (e *Engine) Log(text string) { e.Logger.Info().Str("from", "module").Msg(text) }
