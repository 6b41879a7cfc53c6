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
		phase Phase
	}
	plan := Plan{Coming: 4500, Over: 500, Last: 6200, Hand: 40000, Turn: 12000}
	for name, steps := range map[string][]struct {
		at   Time
		do   func(l *Life, now Time)
		want want
	}{
		"sent away and taken again": {
			{0, func(l *Life, now Time) { l.Listening(now, false) }, want{Serving, true, Keep}},
			{100, func(l *Life, now Time) { l.Send(now, true) }, want{SentAway, false, Keep}},
			{4700, nil, want{SentAway, false, Answered}},
			{5000, func(l *Life, now Time) { l.Send(now, true) }, want{SentAway, false, Answered}}, // not begun anew
			{12100, nil, want{SentAway, false, Asked}},
			{13000, func(l *Life, now Time) { l.Send(now, false) }, want{Serving, true, Keep}},
			{13001, func(l *Life, now Time) { l.Send(now, false) }, want{Serving, true, Keep}},
			{14000, func(l *Life, now Time) { l.Send(now, true) }, want{SentAway, false, Keep}},
		},
		"ended alone": {
			{0, func(l *Life, now Time) { l.Listening(now, false) }, want{Serving, true, Keep}},
			{10, func(l *Life, now Time) { l.Stop(now, false) }, want{Draining, true, Keep}},
			{20, func(l *Life, now Time) {
				if l.Send(now, true) == nil || l.Ready() {
					t.Error("a process that ends takes a call")
				}
			}, want{Draining, true, Keep}},
			{4510, nil, want{Draining, true, Asked}},
			{6210, nil, want{Draining, true, All}},
			{6211, func(l *Life, now Time) { l.Empty() }, want{Ended, true, All}},
		},
		"ended with a successor": {
			{0, func(l *Life, now Time) { l.Listening(now, false) }, want{Serving, true, Keep}},
			{10, func(l *Life, now Time) { l.Stop(now, true) }, want{Draining, true, Answered}},
			{510, func(l *Life, now Time) { l.Stop(now, true) }, want{Draining, true, Answered}},
			{4510, nil, want{Draining, true, Asked}},
			{6210, nil, want{Draining, true, All}},
		},
		"taken over while sent away": {
			{0, func(l *Life, now Time) { l.Listening(now, true) }, want{SentAway, false, Keep}},
			{10, func(l *Life, now Time) { l.Stop(now, false) }, want{Draining, false, Answered}},
			{4510, nil, want{Draining, false, Asked}},
		},
	} {
		l := Life{Plan: plan}
		if l.Ready() || l.State() != Starting {
			t.Error("ready before it listens")
		}
		for _, s := range steps {
			if s.do != nil {
				s.do(&l, s.at)
			}
			if got := (want{l.State(), l.Yes(), l.Phase(s.at)}); got != s.want {
				t.Errorf("%s, at %d: %+v, wanted %+v", name, s.at, got, s.want)
			}
		}
	}
}

// What each event makes of each state; 0 to 5 are starting, serving, sent away, draining, handing back, ended.
func TestEveryEventInEveryState(t *testing.T) {
	plan := Plan{Coming: 4500, Over: 500, Last: 6200, Hand: 40000, Close: 3000, Turn: 12000}
	reach := []func(l *Life){
		func(l *Life) {},
		func(l *Life) { l.Listening(0, false) },
		func(l *Life) { l.Listening(0, true) },
		func(l *Life) { l.Listening(0, false); l.Stop(0, false) },
		func(l *Life) { l.Listening(0, false); l.Stop(0, false); l.Due(40000) },
		func(l *Life) { l.Stop(0, false); l.Empty() },
	}
	for name, event := range map[string]struct {
		do   func(l *Life)
		then [6]State
	}{
		"listening":               {func(l *Life) { l.Listening(5, false) }, [6]State{1, 1, 2, 3, 4, 5}},
		"sent away":               {func(l *Life) { l.Send(5, true) }, [6]State{2, 2, 2, 3, 4, 5}},
		"taken again":             {func(l *Life) { l.Send(5, false) }, [6]State{0, 1, 1, 3, 4, 5}},
		"stop":                    {func(l *Life) { l.Stop(5, false) }, [6]State{3, 3, 3, 3, 4, 5}},
		"a successor":             {func(l *Life) { l.Successor(true) }, [6]State{0, 1, 2, 3, 4, 5}},
		"none any more":           {func(l *Life) { l.Successor(false) }, [6]State{0, 1, 2, 3, 4, 5}},
		"time before it is due":   {func(l *Life) { l.Due(39999) }, [6]State{0, 1, 2, 3, 4, 5}},
		"time to hand back":       {func(l *Life) { l.Due(40000) }, [6]State{0, 1, 2, 4, 4, 5}},
		"time to end":             {func(l *Life) { l.Due(43000) }, [6]State{0, 1, 2, 4, 5, 5}},
		"empty":                   {func(l *Life) { l.Empty() }, [6]State{0, 1, 2, 5, 5, 5}},
		"stop, and again at once": {func(l *Life) { l.Stop(5, false); l.Stop(6, false); l.Due(7) }, [6]State{3, 3, 3, 3, 4, 5}},
		"stop, and again later":   {func(l *Life) { l.Stop(0, false); l.Stop(6200, false); l.Due(6200) }, [6]State{4, 4, 4, 4, 4, 5}},
	} {
		for from, begin := range reach {
			l := Life{Plan: plan}
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
	l := Life{Plan: Plan{Coming: 4500, Over: 500, Hand: 9000}}
	l.Listening(0, false)
	l.Stop(10, true)
	for _, at := range []struct {
		now       Time
		successor bool
		want      bool
	}{{500, true, true}, {520, true, false}, {520, false, true}, {4520, false, false}, {4000, true, false}} {
		if l.Successor(at.successor); l.Listens(at.now) != at.want {
			t.Errorf("%+v", at)
		}
	}
}

// Whatever happens in whatever order, a process that was told to stop hands back once, and then ends.
func TestEveryEndHandsBackOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, back := Life{Plan: Plan{Coming: 45, Over: 5, Last: 62, Hand: 400, Close: 30, Turn: 120}}, Time(0), 0
		due := func() Duty {
			d := l.Due(now)
			if d == HandBack {
				back++
			}
			return d
		}
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now += Time(rapid.IntRange(0, 60).Draw(t, "span"))
			yes := rapid.Bool().Draw(t, "yes")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.Listening(now, yes)
			case 1:
				l.Send(now, yes)
			case 2:
				l.Stop(now, yes)
			case 3:
				l.Successor(yes)
			case 4:
				due()
			}
			if l.Ready() == (l.State() == Starting || l.State() >= Draining) || l.Listens(now) && l.State() > Draining {
				t.Fatalf("%v: ready %v, listens %v", l.State(), l.Ready(), l.Listens(now))
			}
		}
		l.Stop(now, false)
		ended := false
		for range 500 {
			now++
			ended = due() == End
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
		l := Life{Plan: Plan{Hand: c.hand, Past: c.past, Close: 100}}
		l.Listening(0, false)
		l.Longest(60001)
		l.Longest(c.longest) // the settings in force as it is told to stop
		l.Stop(7, false)
		if before, then := l.Due(7+c.want-1), l.Due(7+c.want); before != None || then != HandBack {
			t.Errorf("%s: %v, then %v", name, before, then)
		}
	}
}
