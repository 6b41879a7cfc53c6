package ledger

import (
	"slices"
	"sort"
	"time"
)

// push is one push with its end.
type push struct {
	Record
	over time.Duration // -1: not yet
	how  uint32
}

// mayHaveRun tells whether nothing proves that it had no effect.
func (p push) mayHaveRun() bool { return p.over < 0 || p.how != EndRefused && p.how != EndMissed }

// killed books an op that a proxy which was ended had, or may have had.
func (j *Judge) killed(pushes []push) {
	if j.v.KilledOps++; len(pushes) > 0 {
		j.v.KilledAfterPush++
	}
}

// trace is what the ledger tells of one op, in order.
type trace struct {
	sent    Record
	answers []Record
	pushes  []push
	left    time.Duration // its client went away; -1: it did not
	closed  time.Duration // and closed its connection then; -1: it did not, or a broken way hides it
}

// gather puts an op's records together; those of its pushes with their ends.
func (e *entry) gather() trace {
	h := trace{left: -1, closed: -1}
	for _, r := range e.events {
		switch r.Kind {
		case OpSent:
			h.sent = r
		case ClientLeft:
			if h.left = r.At; r.A == 1 {
				h.closed = r.At
			}
		case OpAnswered:
			h.answers = append(h.answers, r)
		case PushReceived:
			h.pushes = append(h.pushes, push{r, -1, 0})
		case PushEnded:
			h.ended(r)
		}
	}
	return h
}

// ended gives the first push that is open on a connection its end.
func (h *trace) ended(r Record) {
	for i := range h.pushes {
		if p := &h.pushes[i]; p.A == r.A && p.B == r.B && p.over < 0 {
			p.over, p.how = r.At, r.C
			return
		}
	}
}

// close judges one op.
func (j *Judge) close(e *entry) {
	delete(j.open, e.op)
	sort.SliceStable(e.events, func(a, b int) bool { return e.events[a].At < e.events[b].At })
	if !e.sent {
		j.v.Unmatched++ // from a client that the run's end cut off, or a push without an op
		return
	}
	j.v.Ops++
	h := e.gather()
	c := j.terms.Categories[min(int(h.sent.B), len(j.terms.Categories)-1)]
	wait := time.Duration(h.sent.C) * time.Microsecond
	first := j.answered(e, h, wait)
	j.copies(e, c, h.pushes, h.answers)
	j.drains(e, h.sent.A, h.pushes)
	j.deadlines(e, h.sent.At+wait)
	j.sentOn(e, h)
	if len(h.answers) > 0 {
		j.after(e, h, first)
		j.heldBack(e, h, first, c)
	}
}

// answered looks for an op's one final answer in time, books it, and gives it.
func (j *Judge) answered(e *entry, h trace, wait time.Duration) (first Record) {
	proxy := h.sent.A
	end := h.sent.At + wait + j.terms.Slack
	gone, dead := j.gone[proxy]
	ended := dead && gone.C == ExitKilled && gone.At < end
	switch {
	case len(h.answers) == 0 && h.left >= 0:
		j.v.ClientsLeft++
		return first
	case len(h.answers) == 0 && ended:
		j.killed(h.pushes)
		return first
	case j.stood(proxy, h.sent.At, end) && (len(h.answers) == 0 || h.answers[0].At > end):
		j.v.StalledOps++
		if len(h.answers) == 0 { // its client went away when it was to
			return first
		}
		first = h.answers[0]
		j.v.Answers[name(answerNames, first.A)]++
		return first
	case len(h.answers) == 0:
		j.find(RuleAnswerLost, e, "no final answer within %v, %s", wait, h.stood(h.sent.At+wait))
		return first
	}
	first = h.answers[0]
	switch {
	case (first.A == AnswerClosed || first.A == AnswerTruncated || first.A == AnswerIdleClosed) && ended && first.At >= gone.At-j.terms.Slack:
		j.killed(h.pushes) // also with an answer half written: its client can tell
		first.A = killed
	case first.A == AnswerIdleClosed && len(h.pushes) == 0: // its client asks once more
	case first.A == AnswerClosed || first.A == AnswerIdleClosed || first.A == AnswerTruncated && len(h.pushes) == 0:
		j.find(RuleAnswerLost, e, "the connection ended with the answer owed, %s", h.stood(first.At))
	case first.A == AnswerWrongValue:
		j.find(RuleAnswerLost, e, "served a value that no server made for it")
	case first.At > end && (h.left < 0 || h.left > end):
		j.find(RuleAnswerLost, e, "answered %v after it was sent, %v later than its client waits", first.At-h.sent.At, first.At-end)
	}
	if first.A != killed {
		j.v.Answers[name(answerNames, first.A)]++
	}
	if len(h.answers) > 1 {
		j.find(RuleAnsweredTwice, e, "%d final answers", len(h.answers))
	}
	return first
}

// stood is how far a request had come at a moment, as its servers saw it.
func (h *trace) stood(at time.Duration) string {
	stood := "with no attempt made: it was not read, or waited in the proxy"
	for _, p := range h.pushes {
		switch {
		case p.At > at:
		case p.over >= 0 && p.over <= at && p.how == EndAnswered:
			return "with its server's answer not written"
		case p.over < 0 || p.over > at:
			stood = "with an attempt out"
		default:
			stood = "behind an attempt that had ended"
		}
	}
	return stood
}

// sentOn looks for pushes for a client that had left.
func (j *Judge) sentOn(e *entry, h trace) {
	if h.closed < 0 {
		return
	}
	for _, p := range h.pushes {
		excused := j.stood(h.sent.A, h.closed, p.At) || overlap(j.blind, h.closed, p.At)
		if p.At > h.closed+leftWithin+j.terms.Slack && !excused {
			j.find(RulePushAfterClientLeft, e, "pushed %v after its client had left", p.At-h.closed)
		}
	}
}

// after looks for pushes behind the final answer.
func (j *Judge) after(e *entry, h trace, first Record) {
	for _, p := range h.pushes {
		if p.At > first.At+j.terms.Slack {
			j.find(RulePushAfterAnswer, e, "pushed %v after its final answer", p.At-first.At)
		}
	}
}

// heldBack looks for a refusal that was kept back with nothing out.
func (j *Judge) heldBack(e *entry, h trace, first Record, c Category) {
	last := h.sent.At // when the proxy last had something out, or took the op
	for _, p := range h.pushes {
		switch {
		case p.At >= first.At:
		case p.over >= 0 && p.over < first.At && p.how != EndUnanswered: // one that nobody answers is out on an open connection
			last = max(last, p.over)
		default:
			last = first.At
		}
	}
	refused := first.A == AnswerNacked || first.A == AnswerDeadLettered
	excused := j.stood(h.sent.A, last, first.At) || overlap(j.blind, last, first.At) // what is out on a broken way is seen by no server
	if !refused || h.left >= 0 || excused {
		return
	}
	held := first.At - last
	j.v.MaxRefusalDelay = max(j.v.MaxRefusalDelay, held)
	if c.MaxRefusalDelay > 0 && held > c.MaxRefusalDelay+j.terms.Slack {
		j.find(RuleDelayedRefusal, e, "given up, and kept back for %v with nothing out", held)
	}
}

// copies looks for effects that may have happened twice, and for refusals that promised too much.
func (j *Judge) copies(e *entry, c Category, pushes []push, answers []Record) {
	if len(pushes) > j.terms.MaxPushes {
		j.find(RuleTooManyPushes, e, "%d pushes, %d are allowed", len(pushes), j.terms.MaxPushes)
	}
	for i, p := range pushes {
		for _, q := range pushes[:i] {
			if !j.terms.AllowConcurrentPushes && (q.over < 0 || q.over > p.At+j.terms.Slack) && q.how != EndConnLost {
				j.find(RuleDuplicateEffect, e, "a push while another was out on an open connection")
			}
			ran := q.mayHaveRun() && !(q.over >= 0 && q.over > p.At+j.terms.Slack && (q.how == EndRefused || q.how == EndMissed))
			switch {
			case !ran || c.Effect == "redeliverable":
			case c.Effect == "at-most-once":
				j.find(RuleDuplicateEffect, e, "an at-most-once op pushed again though it may have run")
			case p.At > q.At+c.DedupWindow:
				j.find(RuleDuplicateEffect, e, "a repeat %v after the first, its window is %v", p.At-q.At, c.DedupWindow)
			case c.ZoneScopedDedup && j.terms.ServerZone[p.A] != j.terms.ServerZone[q.A]:
				j.find(RuleDuplicateEffect, e, "a repeat outside the zone that drops it")
			}
		}
	}
	if len(answers) > 0 && answers[0].A == AnswerNacked && c.Effect != "redeliverable" {
		for _, p := range pushes {
			if p.mayHaveRun() && p.At < answers[0].At && (c.Effect == "at-most-once" || c.ZoneScopedDedup) {
				j.find(RuleUnsafeNack, e, "nacked though a push may have run")
			}
		}
	}
}

// deadlines looks for pushes that passed their server more than was left of the time up to end, when their client stops waiting.
func (j *Judge) deadlines(e *entry, end time.Duration) {
	for _, r := range e.events {
		if r.Kind != DeadlineForwarded {
			continue
		}
		j.v.DeadlinesChecked++
		passed, left := time.Duration(r.C)*time.Microsecond, end-r.At
		if passed <= 0 {
			j.find(RuleDeadline, e, "pushed to server %d with no deadline", r.A)
		} else if passed > left+deadlineTolerance {
			j.find(RuleDeadline, e, "passed server %d a deadline of %v, %v were left", r.A, passed, left)
		}
	}
}

// drains looks for pushes to what the proxy knew to drain, or to be gone.
func (j *Judge) drains(e *entry, proxy uint32, pushes []push) {
	for _, p := range pushes {
		since := time.Duration(-1)
		// What is told to a process that stands still is heard once it goes on.
		heard := func(at time.Duration) time.Duration {
			for _, s := range spans(j.stalls[proxy]) {
				if at >= s[0] && at < s[1] {
					return s[1]
				}
			}
			return at
		}
		for _, t := range j.told[[2]uint32{proxy, p.A}] {
			switch {
			case t.at > p.At:
			case t.state == StateActive:
				since = -1
			case since < 0:
				since = heard(t.at)
			}
		}
		by := time.Duration(-1)
		for _, t := range j.hands[[2]uint32{proxy, p.A}] {
			switch {
			case t.at > p.At:
			case t.state == 0:
				by = -1
			case by < 0:
				by = t.at
			}
		}
		if by >= 0 && p.At > by+j.terms.Slack { // from the yes on: no grace
			j.find(RuleDrainedServer, e, "pushed to server %d %v after an operator was told that it is out", p.A, p.At-by)
		} else if since >= 0 && p.At > since+j.terms.DrainGrace+j.terms.Slack {
			j.find(RuleDrainedServer, e, "pushed to server %d %v after the proxy was told that it drains or is gone", p.A, p.At-since)
		}
	}
}

// warm judges the cold time of a server: the work that it was sent in any window, against what it can do then.
func (j *Judge) warm(id uint32) {
	s := j.servers[id]
	if s == nil || !s.cold || j.terms.OverloadFactor == 0 {
		return
	}
	slices.SortFunc(s.work, func(a, b Record) int { return int(a.At - b.At) })
	sum, from := 0.0, 0
	for i, r := range s.work {
		sum += float64(r.C) / 1e6
		for s.work[from].At < r.At-j.terms.OverloadWindow {
			sum -= float64(s.work[from].C) / 1e6
			from++
		}
		begin := max(r.At-j.terms.OverloadWindow, s.start)
		middle := float64(begin+r.At)/2 - float64(s.start)
		share := j.terms.ColdCapacityShare + (1-j.terms.ColdCapacityShare)*min(middle/float64(j.terms.WarmUp), 1)
		bound := j.terms.OverloadFactor*share*s.capacity*j.terms.OverloadWindow.Seconds() + 0.25*s.capacity
		j.v.MaxColdLoad = max(j.v.MaxColdLoad, sum/bound)
		if sum > bound {
			j.find(RuleColdOverload, nil, "server %d, %v after its start: %.2f core seconds of work in %v, %.2f are its bound (%d pushes)",
				id, r.At-s.start, sum, j.terms.OverloadWindow, bound, i-from+1)
			break
		}
	}
	s.work = nil
}

const killed = 1 << 16 // in an answer's place: the lab ended its proxy
