package engine

import (
	"slices"
	"time"

	"minttray/policy"
)

// Now is the clock reading of the event in hand.
func (e *Engine) Now() policy.Time { return e.now }

// Push sends an op to a server, or tells the module afterwards why it could not be sent.
func (e *Engine) Push(id, cache uint32, until policy.Time) {
	h := e.records[id]
	if h == nil {
		return
	}
	p := &push{number: h.pushCount, cache: cache, sentAt: e.now, abort: func(AbortCondition) bool { return true }}
	h.pushCount++
	h.openPushes = append(h.openPushes, p)
	if until == 0 || until > h.ttl {
		until = h.ttl
	}
	s := e.servers[cache]
	if h.ended || h.Request.Abandoned() || !h.beginPush() || h.pushCount > h.maxPushes || until <= e.now || s == nil {
		e.deferred = append(e.deferred, func() { e.pushEnded(h, p, Result{Outcome: policy.NotSent}) })
		return
	}
	e.Counters.Sent++
	o := h.Op
	o.markTime(&o.Trace.FirstPush, time.Now())
	o.Trace.Pushes.Add(1)
	p.abort = s.Push(&h.Request, e.wallTime(until), func(r Result) {
		if r.Outcome == policy.Acked && r.Body.Size == 0 {
			o.ackedValue.Store(&r.Value)
		}
		e.queue.put(answerEvent, func() { e.pushEnded(h, p, r) })
	})
	e.timers.set(until, func() { e.drop(h, p, policy.TimedOut) })
	if h.dedupWindow > 0 && h.firstRunAt > 0 {
		// Danger: the module let the repeat go within the window, and a connection that comes up late, or a server that hangs as it
		// is written, has it come behind that: the op would run twice.
		e.timers.set(h.firstRunAt+h.dedupWindow-e.Settings.Tick, func() {
			switch {
			case !slices.Contains(h.openPushes, p):
			case p.abort(IfUnwritten):
				e.pushWithdrawn(h, p)
			case p.abort(IfUnsent):
				e.pushEnded(h, p, Result{Outcome: policy.TimedOut}) // our system's word may be old: it may have run
			}
		})
	}
}

// drop gives up a push that is still out. Its connection is closed before the module hears of it: no second
// copy may be written while the first is out on an open connection.
func (e *Engine) drop(h *opRecord, p *push, how policy.Outcome) {
	for _, o := range h.openPushes {
		if o == p {
			// Danger: an op that must not run twice would be answered as one that may have run, though no byte of it was written.
			if how == policy.TimedOut && h.effect != policy.Redeliverable && p.abort(IfUnwritten) {
				how = policy.ConnectFailed
			}
			p.abort(Always)
			e.pushEnded(h, p, Result{Outcome: how})
			return
		}
	}
}

// Cancel gives up a push; its outcome follows once the module has returned.
func (e *Engine) Cancel(id uint32, n int) {
	if h := e.records[id]; h != nil {
		for _, p := range h.openPushes {
			if p.number == n {
				p.abort(Always)
				e.deferred = append(e.deferred, func() { e.drop(h, p, policy.Cancelled) })
			}
		}
	}
}

// Nack answers that a retry is safe.
func (e *Engine) Nack(id uint32, comeBack policy.Time) {
	if h := e.open(id); h != nil {
		e.endOp(h)
		if e.claimAnswer(h) {
			e.Counters.Nacked++
			h.Reply.Nacked(time.Duration(max(comeBack, 0)) * timeUnit)
		}
		e.deferred = append(e.deferred, func() { e.releaseOp(h) })
	}
}

// DeadLetter answers with no promise about the op's effect.
func (e *Engine) DeadLetter(id uint32) {
	if h := e.open(id); h != nil {
		e.endOp(h)
		if e.claimAnswer(h) {
			e.Counters.DeadLettered++
			h.Reply.DeadLettered()
		}
		e.deferred = append(e.deferred, func() { e.releaseOp(h) })
	}
}

// open finds an op that still owes its answer.
func (e *Engine) open(id uint32) *opRecord {
	if h := e.records[id]; h != nil && !h.ended {
		return h
	}
	e.Counters.LateAnswers++
	return nil
}

// Timer gives a token back after a span.
func (e *Engine) Timer(token uint64, after policy.Time) {
	e.timers.set(e.now+max(after, 1), func() { e.module.TimerDue(token) })
}

// SendToPeers: proxies on sockets have no way to talk to each other yet; a message to peers may be lost.
func (e *Engine) SendToPeers([]byte) {}

// Probe asks a cache for its load report, on a connection that no op waits behind: each carries one thing at a time.
// One probe is out to a cache at most, and for so long at most; whatever comes of it, the module hears once.
func (e *Engine) Probe(cache uint32) {
	s := e.servers[cache]
	if s == nil || s.probing {
		e.deferred = append(e.deferred, func() { e.module.Probed(cache, false, 0, 0) })
		return
	}
	e.Counters.Probes++
	s.probing = true
	over, until := false, e.now+probeTimeout
	end := func(r Result) {
		if over {
			return
		}
		over, s.probing = true, false
		told := r.Outcome == policy.Acked && r.Err == nil
		if !told {
			e.Counters.ProbesFailed++
		}
		e.module.Probed(cache, told, r.QueueLength, r.OpsPerSecond)
	}
	giveUp := s.Push(&Request{Probe: true}, e.wallTime(until), func(r Result) { e.queue.put(probeEvent, func() { end(r) }) })
	s.cancelProbe = func() {
		if !over && giveUp(IfUnwritten) {
			end(Result{Outcome: policy.NotSent})
		}
	}
	e.timers.set(until, func() {
		if !over {
			giveUp(Always)
			end(Result{Outcome: policy.TimedOut})
		}
	})
}

// Watch switches the list's watch.
func (e *Engine) Watch(on bool) { e.catalog.Watch(on) }

// CloseIdle closes idle connections to a cache.
func (e *Engine) CloseIdle(cache uint32) {
	if s := e.servers[cache]; s != nil {
		s.Release()
	}
}

// Log writes the module's text.
func (e *Engine) Log(text string) { e.Logger.Info().Str("from", "module").Msg(text) }
