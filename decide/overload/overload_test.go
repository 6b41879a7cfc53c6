package overload

import "testing"

const ms = millisecond

func TestTurnAway(t *testing.T) {
	for _, c := range []struct {
		lag, left Time
		want      bool
	}{
		{0, 60 * ms, false},
		{30 * ms, 40 * ms, false}, // not behind
		{45 * ms, 60 * ms, true},
		{45 * ms, 200 * ms, false},
		{120 * ms, 200 * ms, true},
		{251 * ms, 3000 * ms, true},
		{249 * ms, 3000 * ms, false},
	} {
		if got := ShouldReject(c.lag, c.left); got != c.want {
			t.Errorf("lag %v, left %v: %v", c.lag, c.left, got)
		}
	}
}

func TestFor(t *testing.T) {
	for _, c := range []struct {
		name string
		r    Request
		lag  Time
		want Action
	}{
		{"the loop is not behind", Request{Waited: 190 * ms, Remaining: 10 * ms}, 0, Wait},
		{"behind, its half not over", Request{Waited: 90 * ms, Remaining: 110 * ms}, 90 * ms, Wait},
		{"behind, its half over", Request{Waited: 100 * ms, Remaining: 100 * ms}, 90 * ms, Refuse},
		{"little time: behind sooner", Request{Waited: 30 * ms, Remaining: 30 * ms}, 15 * ms, Refuse},
		{"past its time", Request{Waited: 300 * ms, Remaining: -100 * ms}, 50 * ms, Refuse},
		{"begun, with time left", Request{Waited: 100 * ms, Remaining: 100 * ms, Attempted: true}, 90 * ms, Wait},
		{"begun, no time left", Request{Waited: 190 * ms, Remaining: 10 * ms, Attempted: true}, 90 * ms, Fail},
		{"begun, past its time", Request{Waited: 390 * ms, Remaining: -190 * ms, Attempted: true}, 90 * ms, Fail},
		{"its answer has come", Request{Waited: 50 * ms, Remaining: 150 * ms, Attempted: true, Answered: true}, 45 * ms, Serve},
		{"its answer has just come", Request{Waited: 50 * ms, Remaining: 150 * ms, Attempted: true, Answered: true}, 5 * ms, Wait},
	} {
		if got := Decide(c.r, c.lag); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

func TestAtEnd(t *testing.T) {
	for want, r := range map[Action]Request{Refuse: {}, Fail: {Attempted: true}, Serve: {Attempted: true, Answered: true}} {
		if got := DecideAtShutdown(r); got != want {
			t.Errorf("%+v: %d, want %d", r, got, want)
		}
	}
}
