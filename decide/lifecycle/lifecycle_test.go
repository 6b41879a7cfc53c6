package lifecycle

import (
	"testing"

	"pgregory.net/rapid"
)

// Each line: an event and its moment, and what holds then: state, yes to PING, phase.
func TestLife(t *testing.T) {
	type want struct {
		state State
		yes   bool
		phase ClosePolicy
	}
	plan := Schedule{ListenFor: 4500, ListenForWithSuccessor: 500, AcceptCommandsFor: 6200, AnswerOpenAfter: 40000, CloseInformedAfter: 12000}
	for name, steps := range map[string][]struct {
		at   Time
		do   func(l *Machine, now Time)
		want want
	}{
		"sent away and taken again": {
			{0, func(l *Machine, now Time) { l.MarkListening(now, false) }, want{Serving, true, KeepOpen}},
			{100, func(l *Machine, now Time) { l.SetLameDuck(now, true) }, want{LameDuck, false, KeepOpen}},
			{4700, nil, want{LameDuck, false, CloseAfterReply}},
			{5000, func(l *Machine, now Time) { l.SetLameDuck(now, true) }, want{LameDuck, false, CloseAfterReply}}, // not begun anew
			{12100, nil, want{LameDuck, false, CloseInformed}},
			{13000, func(l *Machine, now Time) { l.SetLameDuck(now, false) }, want{Serving, true, KeepOpen}},
			{13001, func(l *Machine, now Time) { l.SetLameDuck(now, false) }, want{Serving, true, KeepOpen}},
			{14000, func(l *Machine, now Time) { l.SetLameDuck(now, true) }, want{LameDuck, false, KeepOpen}},
		},
		"ended alone": {
			{0, func(l *Machine, now Time) { l.MarkListening(now, false) }, want{Serving, true, KeepOpen}},
			{10, func(l *Machine, now Time) { l.Stop(now, false) }, want{Draining, true, KeepOpen}},
			{20, func(l *Machine, now Time) {
				if l.SetLameDuck(now, true) == nil || l.Ready() {
					t.Error("a process that ends takes a call")
				}
			}, want{Draining, true, KeepOpen}},
			{4510, nil, want{Draining, true, CloseInformed}},
			{6210, nil, want{Draining, true, CloseAll}},
			{6211, func(l *Machine, now Time) { l.MarkEmpty() }, want{Ended, true, CloseAll}},
		},
		"ended with a successor": {
			{0, func(l *Machine, now Time) { l.MarkListening(now, false) }, want{Serving, true, KeepOpen}},
			{10, func(l *Machine, now Time) { l.Stop(now, true) }, want{Draining, true, CloseAfterReply}},
			{510, func(l *Machine, now Time) { l.Stop(now, true) }, want{Draining, true, CloseAfterReply}},
			{4510, nil, want{Draining, true, CloseInformed}},
			{6210, nil, want{Draining, true, CloseAll}},
		},
		"taken over while sent away": {
			{0, func(l *Machine, now Time) { l.MarkListening(now, true) }, want{LameDuck, false, KeepOpen}},
			{10, func(l *Machine, now Time) { l.Stop(now, false) }, want{Draining, false, CloseAfterReply}},
			{4510, nil, want{Draining, false, CloseInformed}},
		},
	} {
		l := Machine{Schedule: plan}
		if l.Ready() || l.State() != Starting {
			t.Error("ready before it listens")
		}
		for _, s := range steps {
			if s.do != nil {
				s.do(&l, s.at)
			}
			if got := (want{l.State(), l.Healthy(), l.ClosePolicy(s.at)}); got != s.want {
				t.Errorf("%s, at %d: %+v, wanted %+v", name, s.at, got, s.want)
			}
		}
	}
}

// What each event makes of each state; 0 to 5 are starting, serving, sent away, draining, handing back, ended.
func TestEveryEventInEveryState(t *testing.T) {
	plan := Schedule{ListenFor: 4500, ListenForWithSuccessor: 500, AcceptCommandsFor: 6200, AnswerOpenAfter: 40000, FlushTimeout: 3000, CloseInformedAfter: 12000}
	reach := []func(l *Machine){
		func(l *Machine) {},
		func(l *Machine) { l.MarkListening(0, false) },
		func(l *Machine) { l.MarkListening(0, true) },
		func(l *Machine) { l.MarkListening(0, false); l.Stop(0, false) },
		func(l *Machine) { l.MarkListening(0, false); l.Stop(0, false); l.Advance(40000) },
		func(l *Machine) { l.Stop(0, false); l.MarkEmpty() },
	}
	for name, event := range map[string]struct {
		do   func(l *Machine)
		then [6]State
	}{
		"listening":               {func(l *Machine) { l.MarkListening(5, false) }, [6]State{1, 1, 2, 3, 4, 5}},
		"sent away":               {func(l *Machine) { l.SetLameDuck(5, true) }, [6]State{2, 2, 2, 3, 4, 5}},
		"taken again":             {func(l *Machine) { l.SetLameDuck(5, false) }, [6]State{0, 1, 1, 3, 4, 5}},
		"stop":                    {func(l *Machine) { l.Stop(5, false) }, [6]State{3, 3, 3, 3, 4, 5}},
		"a successor":             {func(l *Machine) { l.SetSuccessor(true) }, [6]State{0, 1, 2, 3, 4, 5}},
		"none any more":           {func(l *Machine) { l.SetSuccessor(false) }, [6]State{0, 1, 2, 3, 4, 5}},
		"time before it is due":   {func(l *Machine) { l.Advance(39999) }, [6]State{0, 1, 2, 3, 4, 5}},
		"time to hand back":       {func(l *Machine) { l.Advance(40000) }, [6]State{0, 1, 2, 4, 4, 5}},
		"time to end":             {func(l *Machine) { l.Advance(43000) }, [6]State{0, 1, 2, 4, 5, 5}},
		"empty":                   {func(l *Machine) { l.MarkEmpty() }, [6]State{0, 1, 2, 5, 5, 5}},
		"stop, and again at once": {func(l *Machine) { l.Stop(5, false); l.Stop(6, false); l.Advance(7) }, [6]State{3, 3, 3, 3, 4, 5}},
		"stop, and again later":   {func(l *Machine) { l.Stop(0, false); l.Stop(6200, false); l.Advance(6200) }, [6]State{4, 4, 4, 4, 4, 5}},
	} {
		for from, begin := range reach {
			l := Machine{Schedule: plan}
			begin(&l)
			if l.State() != State(from) {
				t.Fatalf("%v is not reached, but %v", State(from), l.State())
			}
			if event.do(&l); l.State() != event.then[from] {
				t.Errorf("%v, %s: %v, wanted %v", State(from), name, l.State(), event.then[from])
			}
		}
	}
}

// With a successor nobody has to come here any more; one that has died is none.
func TestListensForLessWithASuccessor(t *testing.T) {
	l := Machine{Schedule: Schedule{ListenFor: 4500, ListenForWithSuccessor: 500, AnswerOpenAfter: 9000}}
	l.MarkListening(0, false)
	l.Stop(10, true)
	for _, at := range []struct {
		now       Time
		successor bool
		want      bool
	}{{500, true, true}, {520, true, false}, {520, false, true}, {4520, false, false}, {4000, true, false}} {
		if l.SetSuccessor(at.successor); l.Accepting(at.now) != at.want {
			t.Errorf("%+v", at)
		}
	}
}

// Whatever happens in whatever order, a process that was told to stop hands back once, and then ends.
func TestEveryEndHandsBackOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, back := Machine{Schedule: Schedule{ListenFor: 45, ListenForWithSuccessor: 5, AcceptCommandsFor: 62, AnswerOpenAfter: 400, FlushTimeout: 30, CloseInformedAfter: 120}}, Time(0), 0
		due := func() Duty {
			d := l.Advance(now)
			if d == AnswerOpen {
				back++
			}
			return d
		}
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now += Time(rapid.IntRange(0, 60).Draw(t, "span"))
			yes := rapid.Bool().Draw(t, "yes")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.MarkListening(now, yes)
			case 1:
				l.SetLameDuck(now, yes)
			case 2:
				l.Stop(now, yes)
			case 3:
				l.SetSuccessor(yes)
			case 4:
				due()
			}
			if l.Ready() == (l.State() == Starting || l.State() >= Draining) || l.Accepting(now) && l.State() > Draining {
				t.Fatalf("%v: ready %v, listens %v", l.State(), l.Ready(), l.Accepting(now))
			}
		}
		l.Stop(now, false)
		ended := false
		for range 500 {
			now++
			ended = due() == Exit
		}
		if back != 1 || !ended {
			t.Fatalf("handed back %d times, ended %v", back, ended)
		}
	})
}

// Danger: whoever ends the process waits for the longest TTL and a little, not for all of the time that operators allow.
func TestWhatIsOpenIsHandedBackBehindTheLongestTTL(t *testing.T) {
	for name, c := range map[string]struct{ hand, past, longest, want Time }{
		"a short TTL":                     {35000, 5500, 4000, 9500},
		"a TTL past all that is allowed":  {35000, 5500, 60000, 35000},
		"a TTL that ends with the time":   {35000, 5500, 29500, 35000},
		"a TTL that is not known":         {35000, 5500, 0, 35000},
		"no word on how long past it is":  {35000, 0, 4000, 35000},
		"operators allow less than a TTL": {10000, 5500, 20000, 10000},
	} {
		l := Machine{Schedule: Schedule{AnswerOpenAfter: c.hand, TTLMargin: c.past, FlushTimeout: 100}}
		l.MarkListening(0, false)
		l.SetMaxTTL(60001)
		l.SetMaxTTL(c.longest) // the settings in force as it is told to stop
		l.Stop(7, false)
		if before, then := l.Advance(7+c.want-1), l.Advance(7+c.want); before != None || then != AnswerOpen {
			t.Errorf("%s: %v, then %v", name, before, then)
		}
	}
}
