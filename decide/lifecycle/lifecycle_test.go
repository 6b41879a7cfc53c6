package lifecycle

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a wrong state, PING answer or close policy at each step of typical runs. Each step has a time, an event
// and what is expected after it.
func TestRuns(t *testing.T) {
	type want struct {
		state   State
		healthy bool
		policy  ClosePolicy
	}
	schedule := Schedule{ListenFor: 4500, ListenForWithSuccessor: 500, AcceptCommandsFor: 6200, AnswerOpenAfter: 40000,
		CloseInformedAfter: 12000}
	for name, steps := range map[string][]struct {
		at   Time
		do   func(m *Machine, now Time)
		want want
	}{
		"lame duck and serving again": {
			{0, func(m *Machine, now Time) { m.MarkListening(now, false) }, want{Serving, true, KeepOpen}},
			{100, func(m *Machine, now Time) { m.SetLameDuck(now, true) }, want{LameDuck, false, KeepOpen}},
			{4700, nil, want{LameDuck, false, CloseAfterReply}},
			{5000, func(m *Machine, now Time) { m.SetLameDuck(now, true) }, want{LameDuck, false, CloseAfterReply}}, // does not restart the schedule
			{12100, nil, want{LameDuck, false, CloseInformed}},
			{13000, func(m *Machine, now Time) { m.SetLameDuck(now, false) }, want{Serving, true, KeepOpen}},
			{13001, func(m *Machine, now Time) { m.SetLameDuck(now, false) }, want{Serving, true, KeepOpen}},
			{14000, func(m *Machine, now Time) { m.SetLameDuck(now, true) }, want{LameDuck, false, KeepOpen}},
		},
		"stopped without a successor": {
			{0, func(m *Machine, now Time) { m.MarkListening(now, false) }, want{Serving, true, KeepOpen}},
			{10, func(m *Machine, now Time) { m.Stop(now, false) }, want{Draining, true, KeepOpen}},
			{20, func(m *Machine, now Time) {
				if m.SetLameDuck(now, true) == nil || m.Ready() {
					t.Error("a draining process is ready, or becomes a lame duck")
				}
			}, want{Draining, true, KeepOpen}},
			{4510, nil, want{Draining, true, CloseInformed}},
			{6210, nil, want{Draining, true, CloseAll}},
			{6211, func(m *Machine, now Time) { m.MarkEmpty() }, want{Ended, true, CloseAll}},
		},
		"stopped with a successor": {
			{0, func(m *Machine, now Time) { m.MarkListening(now, false) }, want{Serving, true, KeepOpen}},
			{10, func(m *Machine, now Time) { m.Stop(now, true) }, want{Draining, true, CloseAfterReply}},
			{510, func(m *Machine, now Time) { m.Stop(now, true) }, want{Draining, true, CloseAfterReply}},
			{4510, nil, want{Draining, true, CloseInformed}},
			{6210, nil, want{Draining, true, CloseAll}},
		},
		"taken over from a lame duck": {
			{0, func(m *Machine, now Time) { m.MarkListening(now, true) }, want{LameDuck, false, KeepOpen}},
			{10, func(m *Machine, now Time) { m.Stop(now, false) }, want{Draining, false, CloseAfterReply}},
			{4510, nil, want{Draining, false, CloseInformed}},
		},
	} {
		m := Machine{Schedule: schedule}
		if m.Ready() || m.State() != Starting {
			t.Error("ready, or not starting, before it listens")
		}
		for _, s := range steps {
			if s.do != nil {
				s.do(&m, s.at)
			}
			if got := (want{m.State(), m.Healthy(), m.ClosePolicy(s.at)}); got != s.want {
				t.Errorf("%s, at %d: %+v, want %+v", name, s.at, got, s.want)
			}
		}
	}
}

// Guards against a wrong transition for each event in each state. The numbers 0 to 5 are Starting, Serving, LameDuck,
// Draining, FlushingReplies and Ended.
func TestEveryEventInEveryState(t *testing.T) {
	schedule := Schedule{ListenFor: 4500, ListenForWithSuccessor: 500, AcceptCommandsFor: 6200, AnswerOpenAfter: 40000,
		FlushTimeout: 3000, CloseInformedAfter: 12000}
	reachState := []func(m *Machine){
		func(m *Machine) {},
		func(m *Machine) { m.MarkListening(0, false) },
		func(m *Machine) { m.MarkListening(0, true) },
		func(m *Machine) { m.MarkListening(0, false); m.Stop(0, false) },
		func(m *Machine) { m.MarkListening(0, false); m.Stop(0, false); m.Advance(40000) },
		func(m *Machine) { m.Stop(0, false); m.MarkEmpty() },
	}
	for name, event := range map[string]struct {
		do   func(m *Machine)
		want [6]State
	}{
		"listening":                   {func(m *Machine) { m.MarkListening(5, false) }, [6]State{1, 1, 2, 3, 4, 5}},
		"lame duck":                   {func(m *Machine) { m.SetLameDuck(5, true) }, [6]State{2, 2, 2, 3, 4, 5}},
		"serving again":               {func(m *Machine) { m.SetLameDuck(5, false) }, [6]State{0, 1, 1, 3, 4, 5}},
		"stop":                        {func(m *Machine) { m.Stop(5, false) }, [6]State{3, 3, 3, 3, 4, 5}},
		"a successor":                 {func(m *Machine) { m.SetSuccessor(true) }, [6]State{0, 1, 2, 3, 4, 5}},
		"no successor any more":       {func(m *Machine) { m.SetSuccessor(false) }, [6]State{0, 1, 2, 3, 4, 5}},
		"before the open ops are due": {func(m *Machine) { m.Advance(39999) }, [6]State{0, 1, 2, 3, 4, 5}},
		"open ops are due":            {func(m *Machine) { m.Advance(40000) }, [6]State{0, 1, 2, 4, 4, 5}},
		"flush timeout":               {func(m *Machine) { m.Advance(43000) }, [6]State{0, 1, 2, 4, 5, 5}},
		"last client gone":            {func(m *Machine) { m.MarkEmpty() }, [6]State{0, 1, 2, 5, 5, 5}},
		"stop, and again at once":     {func(m *Machine) { m.Stop(5, false); m.Stop(6, false); m.Advance(7) }, [6]State{3, 3, 3, 3, 4, 5}},
		"stop, and again later":       {func(m *Machine) { m.Stop(0, false); m.Stop(6200, false); m.Advance(6200) }, [6]State{4, 4, 4, 4, 4, 5}},
	} {
		for from, reach := range reachState {
			m := Machine{Schedule: schedule}
			reach(&m)
			if m.State() != State(from) {
				t.Fatalf("want to start in state %v, reached %v", State(from), m.State())
			}
			if event.do(&m); m.State() != event.want[from] {
				t.Errorf("in state %v, %s: %v, want %v", State(from), name, m.State(), event.want[from])
			}
		}
	}
}

// Guards against a process that still listens long after a successor took over, or stops listening early when its
// successor has died.
func TestListensForLessWithASuccessor(t *testing.T) {
	m := Machine{Schedule: Schedule{ListenFor: 4500, ListenForWithSuccessor: 500, AnswerOpenAfter: 9000}}
	m.MarkListening(0, false)
	m.Stop(10, true)
	for _, c := range []struct {
		now       Time
		successor bool
		want      bool
	}{{500, true, true}, {520, true, false}, {520, false, true}, {4520, false, false}, {4000, true, false}} {
		if m.SetSuccessor(c.successor); m.Accepting(c.now) != c.want {
			t.Errorf("%+v: got %v", c, !c.want)
		}
	}
}

// Guards against a stopped process that never answers its open ops, answers them twice or never ends, whatever the order
// of events.
func TestEveryShutdownAnswersOpenOpsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Machine{Schedule: Schedule{ListenFor: 45, ListenForWithSuccessor: 5, AcceptCommandsFor: 62, AnswerOpenAfter: 400,
			FlushTimeout: 30, CloseInformedAfter: 120}}
		now, answered := Time(0), 0
		advance := func() Action {
			action := m.Advance(now)
			if action == AnswerOpen {
				answered++
			}
			return action
		}
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now += Time(rapid.IntRange(0, 60).Draw(t, "span"))
			flag := rapid.Bool().Draw(t, "yes")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				m.MarkListening(now, flag)
			case 1:
				m.SetLameDuck(now, flag)
			case 2:
				m.Stop(now, flag)
			case 3:
				m.SetSuccessor(flag)
			case 4:
				advance()
			}
			if m.Ready() == (m.State() == Starting || m.State() >= Draining) || m.Accepting(now) && m.State() > Draining {
				t.Fatalf("in state %v: ready %v, accepting %v", m.State(), m.Ready(), m.Accepting(now))
			}
		}
		m.Stop(now, false)
		ended := false
		for range 500 {
			now++
			ended = advance() == Exit
		}
		if answered != 1 || !ended {
			t.Fatalf("answered open ops %d times, want 1; ended %v, want true", answered, ended)
		}
	})
}

// Guards against open ops that are answered too late: a supervisor kills the process soon after the longest TTL, before
// all of the time that operators allow has passed.
func TestOpenOpsAreAnsweredAfterTheLongestTTL(t *testing.T) {
	for name, c := range map[string]struct{ answerOpenAfter, margin, maxTTL, want Time }{
		"short TTL":                                {35000, 5500, 4000, 9500},
		"TTL beyond the allowed time":              {35000, 5500, 60000, 35000},
		"TTL and margin equal to the allowed time": {35000, 5500, 29500, 35000},
		"unknown TTL":                              {35000, 5500, 0, 35000},
		"no margin":                                {35000, 0, 4000, 35000},
		"allowed time below the TTL":               {10000, 5500, 20000, 10000},
	} {
		m := Machine{Schedule: Schedule{AnswerOpenAfter: c.answerOpenAfter, TTLMargin: c.margin, FlushTimeout: 100}}
		m.MarkListening(0, false)
		m.SetMaxTTL(60001)
		m.SetMaxTTL(c.maxTTL) // replaces the value before: the settings in force at the stop count
		m.Stop(7, false)
		if before, due := m.Advance(7+c.want-1), m.Advance(7+c.want); before != NoAction || due != AnswerOpen {
			t.Errorf("%s: action %d just before %d and %d at it, want %d and %d", name, before, c.want, due, NoAction, AnswerOpen)
		}
	}
}
