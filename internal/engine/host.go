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
	h := e.held[id]
	if h == nil {
		return
	}
	p := &push{n: h.n, to: cache, at: e.now, giveUp: func(AbortCondition) bool { return true }}
	h.n++
	h.out = append(h.out, p)
	if until == 0 || until > h.ttl {
		until = h.ttl
	}
	s := e.servers[cache]
	if h.over || h.Request.Abandoned() || !h.attemptBegins() || h.n > h.most || until <= e.now || s == nil {
		e.later = append(e.later, func() { e.ended(h, p, Result{Outcome: policy.NotSent}) })
		return
	}
	e.Counters.Sent++
	o := h.Op
	o.mark(&o.Trace.FirstPush, time.Now())
	o.Trace.Pushes.Add(1)
	p.giveUp = s.Push(&h.Request, e.wall(until), func(r Result) {
		if r.Outcome == policy.Acked && r.Body.Size == 0 {
			o.came.Store(&r.Value)
		}
		e.queue.put(answerEvent, func() { e.ended(h, p, r) })
	})
	e.timers.set(until, func() { e.drop(h, p, policy.TimedOut) })
	if h.window > 0 && h.ran > 0 {
		// Danger: the module let the repeat go within the window, and a connection that comes up late, or a server that hangs as it
		// is written, has it come behind that: the op would run twice.
		e.timers.set(h.ran+h.window-e.Settings.Tick, func() {
			switch {
			case !slices.Contains(h.out, p):
			case p.giveUp(IfUnwritten):
				e.withdrawn(h, p)
			case p.giveUp(IfUnsent):
				e.ended(h, p, Result{Outcome: policy.TimedOut}) // our system's word may be old: it may have run
			}
		})
	}
}

// drop gives up a push that is still out. Its connection is closed before the module hears of it: no second
// copy may be written while the first is out on an open connection.
func (e *Engine) drop(h *op, p *push, how policy.Outcome) {
	for _, o := range h.out {
		if o == p {
			// Danger: an op that must not run twice would be answered as one that may have run, though no byte of it was written.
			if how == policy.TimedOut && h.effect != policy.Redeliverable && p.giveUp(IfUnwritten) {
				how = policy.ConnectFailed
			}
			p.giveUp(Always)
			e.ended(h, p, Result{Outcome: how})
			return
		}
	}
}

// Cancel gives up a push; its outcome follows once the module has returned.
func (e *Engine) Cancel(id uint32, n int) {
	if h := e.held[id]; h != nil {
		for _, p := range h.out {
			if p.n == n {
				p.giveUp(Always)
				e.later = append(e.later, func() { e.drop(h, p, policy.Cancelled) })
			}
		}
	}
}

// Nack answers that a retry is safe.
func (e *Engine) Nack(id uint32, comeBack policy.Time) {
	if h := e.open(id); h != nil {
		e.end(h)
		if e.answers(h) {
			e.Counters.Nacked++
			h.Reply.Nacked(time.Duration(max(comeBack, 0)) * unit)
		}
		e.later = append(e.later, func() { e.forget(h) })
	}
}

// DeadLetter answers with no promise about the op's effect.
func (e *Engine) DeadLetter(id uint32) {
	if h := e.open(id); h != nil {
		e.end(h)
		if e.answers(h) {
			e.Counters.DeadLettered++
			h.Reply.DeadLettered()
		}
		e.later = append(e.later, func() { e.forget(h) })
	}
}

// open finds an op that still owes its answer.
func (e *Engine) open(id uint32) *op {
	if h := e.held[id]; h != nil && !h.over {
		return h
	}
	e.Counters.Late++
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
		e.later = append(e.later, func() { e.module.Probed(cache, false, 0, 0) })
		return
	}
	e.Counters.Probes++
	s.probing = true
	over, until := false, e.now+longestProbe
	end := func(r Result) {
		if over {
			return
		}
		over, s.probing = true, false
		told := r.Outcome == policy.Acked && r.Err == nil
		if !told {
			e.Counters.ProbesUntold++
		}
		e.module.Probed(cache, told, r.QueueLength, r.OpsPerSecond)
	}
	giveUp := s.Push(&Request{Probe: true}, e.wall(until), func(r Result) { e.queue.put(probeEvent, func() { end(r) }) })
	s.unprobe = func() {
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
