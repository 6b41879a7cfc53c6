package ledger

import (
	"slices"
	"sort"
	"time"
)

// noTime stands for the time of an event that did not happen or is unknown. As no real time is negative, "< 0" tests for it.
const noTime = time.Duration(-1)

// answerKilled replaces an answer if the lab killed the proxy process that owed it. It is no value of a record.
const answerKilled = 1 << 16

// push is a PushReceived record with the end of the push.
type push struct {
	Record
	endedAt time.Duration // noTime while it is in progress
	end     uint32        // one of the End constants
}

// mayHaveRun reports whether the push may have had an effect: nothing proves that it did not run.
func (p push) mayHaveRun() bool { return p.endedAt < 0 || p.end != EndRefused && p.end != EndMissed }

// countKilled counts an op that was held, or may have been held, by a proxy process that the lab killed.
func (j *Judge) countKilled(pushes []push) {
	if j.verdict.KilledOps++; len(pushes) > 0 {
		j.verdict.KilledAfterPush++
	}
}

// opHistory is what the records tell about one op, in order of time.
type opHistory struct {
	sent         Record
	answers      []Record
	pushes       []push
	clientLeftAt time.Duration // noTime if the client did not leave
	connClosedAt time.Duration // noTime if the client did not close its connection, or a link fault hides that
}

// history groups the records of an op, and combines pushes with their ends.
func (e *opRecords) history() opHistory {
	h := opHistory{clientLeftAt: noTime, connClosedAt: noTime}
	for _, r := range e.records {
		switch r.Kind {
		case OpSent:
			h.sent = r
		case ClientLeft:
			if h.clientLeftAt = r.At; r.A == 1 {
				h.connClosedAt = r.At
			}
		case OpAnswered:
			h.answers = append(h.answers, r)
		case PushReceived:
			h.pushes = append(h.pushes, push{r, noTime, 0})
		case PushEnded:
			h.endPush(r)
		}
	}
	return h
}

// endPush sets the end of the first push that is in progress at the server (A) and on the connection (B) of r.
func (h *opHistory) endPush(r Record) {
	for i := range h.pushes {
		if p := &h.pushes[i]; p.A == r.A && p.B == r.B && p.endedAt < 0 {
			p.endedAt, p.end = r.At, r.C
			return
		}
	}
}

// checkOp checks all rules for one op.
func (j *Judge) checkOp(e *opRecords) {
	delete(j.open, e.op)
	sort.SliceStable(e.records, func(a, b int) bool { return e.records[a].At < e.records[b].At })
	if !e.sent {
		j.verdict.Unmatched++ // the run's end cut off its client, or a push belongs to no op
		return
	}
	j.verdict.Ops++
	h := e.history()
	c := j.params.Categories[min(int(h.sent.B), len(j.params.Categories)-1)]
	wait := time.Duration(h.sent.C) * time.Microsecond
	answer := j.checkAnswers(e, h, wait)
	j.checkDuplicates(e, c, h.pushes, h.answers)
	j.checkDrainedServers(e, h.sent.A, h.pushes)
	j.checkDeadlines(e, h.sent.At+wait)
	j.checkPushesAfterClientLeft(e, h)
	if len(h.answers) > 0 {
		j.checkPushesAfterAnswer(e, h, answer)
		j.checkRefusalDelay(e, h, answer, c)
	}
}

// checkAnswers checks that an op has exactly one final answer, in time. It counts the first answer and returns it.
func (j *Judge) checkAnswers(e *opRecords, h opHistory, wait time.Duration) (first Record) {
	proxy := h.sent.A
	end := h.sent.At + wait + j.params.Slack
	exit, exited := j.exits[proxy]
	killed := exited && exit.C == ExitKilled && exit.At < end
	switch {
	case len(h.answers) == 0 && h.clientLeftAt >= 0:
		j.verdict.ClientsLeft++
		return first
	case len(h.answers) == 0 && killed:
		j.countKilled(h.pushes)
		return first
	case j.stalledBetween(proxy, h.sent.At, end) && (len(h.answers) == 0 || h.answers[0].At > end):
		j.verdict.StalledOps++
		if len(h.answers) == 0 { // the client left when its time was over
			return first
		}
		first = h.answers[0]
		j.verdict.Answers[name(answerNames, first.A)]++
		return first
	case len(h.answers) == 0:
		j.report(RuleAnswerLost, e, "no final answer within %v, %s", wait, h.progressAt(h.sent.At+wait))
		return first
	}
	first = h.answers[0]
	connLost := first.A == AnswerClosed || first.A == AnswerTruncated || first.A == AnswerIdleClosed
	switch {
	case connLost && killed && first.At >= exit.At-j.params.Slack:
		j.countKilled(h.pushes) // also for a truncated answer: its client can detect that
		first.A = answerKilled
	case first.A == AnswerIdleClosed && len(h.pushes) == 0: // the client may retry
	case first.A == AnswerClosed || first.A == AnswerIdleClosed || first.A == AnswerTruncated && len(h.pushes) == 0:
		j.report(RuleAnswerLost, e, "the connection ended with the answer owed, %s", h.progressAt(first.At))
	case first.A == AnswerWrongValue:
		j.report(RuleAnswerLost, e, "served a value that no server made for it")
	case first.At > end && (h.clientLeftAt < 0 || h.clientLeftAt > end):
		j.report(RuleAnswerLost, e, "answered %v after it was sent, %v later than its client waits", first.At-h.sent.At, first.At-end)
	}
	if first.A != answerKilled {
		j.verdict.Answers[name(answerNames, first.A)]++
	}
	if len(h.answers) > 1 {
		j.report(RuleAnsweredTwice, e, "%d final answers", len(h.answers))
	}
	return first
}

// progressAt describes how far an op had come at a moment, as its servers saw it.
func (h *opHistory) progressAt(at time.Duration) string {
	progress := "with no attempt made: it was not read, or waited in the proxy"
	for _, p := range h.pushes {
		switch {
		case p.At > at:
		case p.endedAt >= 0 && p.endedAt <= at && p.end == EndAnswered:
			return "with its server's answer not written"
		case p.endedAt < 0 || p.endedAt > at:
			progress = "with an attempt out"
		default:
			progress = "behind an attempt that had ended"
		}
	}
	return progress
}

// checkPushesAfterClientLeft checks that nothing is pushed for a client that has closed its connection.
func (j *Judge) checkPushesAfterClientLeft(e *opRecords, h opHistory) {
	if h.connClosedAt < 0 {
		return
	}
	for _, p := range h.pushes {
		excused := j.stalledBetween(h.sent.A, h.connClosedAt, p.At) || activeBetween(j.linkFaults, h.connClosedAt, p.At)
		if p.At > h.connClosedAt+clientLeftDelay+j.params.Slack && !excused {
			j.report(RulePushAfterClientLeft, e, "pushed %v after its client had left", p.At-h.connClosedAt)
		}
	}
}

// checkPushesAfterAnswer checks that nothing is pushed after the final answer.
func (j *Judge) checkPushesAfterAnswer(e *opRecords, h opHistory, answer Record) {
	for _, p := range h.pushes {
		if p.At > answer.At+j.params.Slack {
			j.report(RulePushAfterAnswer, e, "pushed %v after its final answer", p.At-answer.At)
		}
	}
}

// checkRefusalDelay checks that a refusal is not delayed while no push is in progress.
func (j *Judge) checkRefusalDelay(e *opRecords, h opHistory, answer Record, c Category) {
	// lastActive is the end of the last push before the answer: the time of sending if there was none, and the time of the answer
	// if a push is still in progress then.
	lastActive := h.sent.At
	for _, p := range h.pushes {
		switch {
		case p.At >= answer.At:
		case p.endedAt >= 0 && p.endedAt < answer.At && p.end != EndUnanswered: // an unanswered push stays in progress
			lastActive = max(lastActive, p.endedAt)
		default:
			lastActive = answer.At
		}
	}
	refused := answer.A == AnswerNacked || answer.A == AnswerDeadLettered
	// On a faulty link a proxy may wait for a push that reached no server and so has no record.
	excused := j.stalledBetween(h.sent.A, lastActive, answer.At) || activeBetween(j.linkFaults, lastActive, answer.At)
	if !refused || h.clientLeftAt >= 0 || excused {
		return
	}
	delay := answer.At - lastActive
	j.verdict.MaxRefusalDelay = max(j.verdict.MaxRefusalDelay, delay)
	if c.MaxRefusalDelay > 0 && delay > c.MaxRefusalDelay+j.params.Slack {
		j.report(RuleDelayedRefusal, e, "given up, and kept back for %v with nothing out", delay)
	}
}

// checkDuplicates checks the number of pushes, and that no effect may have happened twice. For at-most-once ops, and for ops that
// are deduplicated in one zone only, it checks that a nack is given only if no push may have run.
func (j *Judge) checkDuplicates(e *opRecords, c Category, pushes []push, answers []Record) {
	if len(pushes) > j.params.MaxPushes {
		j.report(RuleTooManyPushes, e, "%d pushes, %d are allowed", len(pushes), j.params.MaxPushes)
	}
	for i, p := range pushes {
		for _, earlier := range pushes[:i] {
			inProgress := earlier.endedAt < 0 || earlier.endedAt > p.At+j.params.Slack
			if !j.params.AllowConcurrentPushes && inProgress && earlier.end != EndConnLost {
				j.report(RuleDuplicateEffect, e, "a push while another was out on an open connection")
			}
			refusedAfterNext := earlier.endedAt >= 0 && earlier.endedAt > p.At+j.params.Slack && (earlier.end == EndRefused || earlier.end == EndMissed)
			mayHaveRun := earlier.mayHaveRun() && !refusedAfterNext
			switch {
			case !mayHaveRun || c.Effect == "redeliverable":
			case c.Effect == "at-most-once":
				j.report(RuleDuplicateEffect, e, "an at-most-once op pushed again though it may have run")
			case p.At > earlier.At+c.DedupWindow:
				j.report(RuleDuplicateEffect, e, "a repeat %v after the first, its window is %v", p.At-earlier.At, c.DedupWindow)
			case c.ZoneScopedDedup && j.params.ServerZone[p.A] != j.params.ServerZone[earlier.A]:
				j.report(RuleDuplicateEffect, e, "a repeat outside the zone that drops it")
			}
		}
	}
	if len(answers) > 0 && answers[0].A == AnswerNacked && c.Effect != "redeliverable" {
		for _, p := range pushes {
			if p.mayHaveRun() && p.At < answers[0].At && (c.Effect == "at-most-once" || c.ZoneScopedDedup) {
				j.report(RuleUnsafeNack, e, "nacked though a push may have run")
			}
		}
	}
}

// checkDeadlines checks that no push carries a deadline beyond clientDeadline, the time at which the client stops waiting.
func (j *Judge) checkDeadlines(e *opRecords, clientDeadline time.Duration) {
	for _, r := range e.records {
		if r.Kind != DeadlineForwarded {
			continue
		}
		j.verdict.DeadlinesChecked++
		forwarded, remaining := time.Duration(r.C)*time.Microsecond, clientDeadline-r.At
		if forwarded <= 0 {
			j.report(RuleDeadline, e, "pushed to server %d with no deadline", r.A)
		} else if forwarded > remaining+deadlineTolerance {
			j.report(RuleDeadline, e, "passed server %d a deadline of %v, %v were left", r.A, forwarded, remaining)
		}
	}
}

// checkDrainedServers checks that nothing is pushed to a server that the proxy knows to be leaving or removed.
func (j *Judge) checkDrainedServers(e *opRecords, proxy uint32, pushes []push) {
	for _, p := range pushes {
		// A state that is announced to a stopped process counts from the time at which the process resumes.
		noticedAt := func(at time.Duration) time.Duration {
			for _, stall := range intervals(j.stalls[proxy]) {
				if at >= stall.start && at < stall.end {
					return stall.end
				}
			}
			return at
		}
		key := proxyServer{proxy: proxy, server: p.A}
		drainedAt := noTime
		for _, change := range j.announced[key] {
			switch {
			case change.at > p.At:
			case change.state == StateActive:
				drainedAt = noTime
			case drainedAt < 0:
				drainedAt = noticedAt(change.at)
			}
		}
		detachedAt := noTime
		for _, change := range j.overrides[key] {
			switch {
			case change.at > p.At:
			case change.state == 0:
				detachedAt = noTime
			case detachedAt < 0:
				detachedAt = change.at
			}
		}
		if detachedAt >= 0 && p.At > detachedAt+j.params.Slack { // an operator's command has no grace period
			j.report(RuleDrainedServer, e, "pushed to server %d %v after an operator was told that it is out", p.A, p.At-detachedAt)
		} else if drainedAt >= 0 && p.At > drainedAt+j.params.DrainGrace+j.params.Slack {
			j.report(RuleDrainedServer, e, "pushed to server %d %v after the proxy was told that it drains or is gone", p.A, p.At-drainedAt)
		}
	}
}

// overloadBurst is the work in a burst that a cold server tolerates, in seconds of its full capacity. It is added to the bound.
const overloadBurst = 0.25

// checkColdStart checks the work that a server received during warm-up: in no OverloadWindow may it exceed OverloadFactor times
// the server's capacity in the middle of the window, plus overloadBurst.
func (j *Judge) checkColdStart(id uint32) {
	s := j.servers[id]
	if s == nil || !s.cold || j.params.OverloadFactor == 0 {
		return
	}
	slices.SortFunc(s.coldPushes, func(a, b Record) int { return int(a.At - b.At) })
	sum, from := 0.0, 0 // core seconds of work in the window, and the index of its first push
	for i, r := range s.coldPushes {
		sum += float64(r.C) / 1e6
		for s.coldPushes[from].At < r.At-j.params.OverloadWindow {
			sum -= float64(s.coldPushes[from].C) / 1e6
			from++
		}
		windowStart := max(r.At-j.params.OverloadWindow, s.startedAt)
		middle := float64(windowStart+r.At)/2 - float64(s.startedAt)
		share := j.params.ColdCapacityShare + (1-j.params.ColdCapacityShare)*min(middle/float64(j.params.WarmUp), 1)
		bound := j.params.OverloadFactor*share*s.capacity*j.params.OverloadWindow.Seconds() + overloadBurst*s.capacity
		j.verdict.MaxColdLoad = max(j.verdict.MaxColdLoad, sum/bound)
		if sum > bound {
			j.report(RuleColdOverload, nil, "server %d, %v after its start: %.2f core seconds of work in %v, %.2f are its bound (%d pushes)",
				id, r.At-s.startedAt, sum, j.params.OverloadWindow, bound, i-from+1)
			break
		}
	}
	s.coldPushes = nil
}
