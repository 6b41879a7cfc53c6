package overload

import "testing"

const ms = millisecond

// Guards against requests that are rejected while the loop keeps up, or accepted when it can't reach them in time.
func TestShouldReject(t *testing.T) {
	for _, c := range []struct {
		lag, remaining Time
		want           bool
	}{
		{0, 60 * ms, false},
		{30 * ms, 40 * ms, false}, // not behind
		{45 * ms, 60 * ms, true},
		{45 * ms, 200 * ms, false},
		{120 * ms, 200 * ms, true},
		{251 * ms, 3000 * ms, true},
		{249 * ms, 3000 * ms, false},
	} {
		if got := ShouldReject(c.lag, c.remaining); got != c.want {
			t.Errorf("lag %d, remaining %d: rejected %v, want %v", c.lag, c.remaining, got, c.want)
		}
	}
}

// Guards against a request that is refused after an attempt may have run, answered before it must be, or left to a loop
// that does not reach it in time.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name string
		r    Request
		lag  Time
		want Action
	}{
		{"loop not behind", Request{Waited: 190 * ms, Remaining: 10 * ms}, 0, Wait},
		{"behind, before half of the timeout", Request{Waited: 90 * ms, Remaining: 110 * ms}, 90 * ms, Wait},
		{"behind, at half of the timeout", Request{Waited: 100 * ms, Remaining: 100 * ms}, 90 * ms, Refuse},
		{"short timeout: behind sooner", Request{Waited: 30 * ms, Remaining: 30 * ms}, 15 * ms, Refuse},
		{"past its timeout", Request{Waited: 300 * ms, Remaining: -100 * ms}, 50 * ms, Refuse},
		{"attempted, with time left", Request{Waited: 100 * ms, Remaining: 100 * ms, Attempted: true}, 90 * ms, Wait},
		{"attempted, hardly any time left", Request{Waited: 190 * ms, Remaining: 10 * ms, Attempted: true}, 90 * ms, Fail},
		{"attempted, past its timeout", Request{Waited: 390 * ms, Remaining: -190 * ms, Attempted: true}, 90 * ms, Fail},
		{"answered", Request{Waited: 50 * ms, Remaining: 150 * ms, Attempted: true, Answered: true}, 45 * ms, Serve},
		{"answered, loop not behind", Request{Waited: 50 * ms, Remaining: 150 * ms, Attempted: true, Answered: true}, 5 * ms, Wait},
	} {
		if got := Decide(c.r, c.lag); got != c.want {
			t.Errorf("%s: action %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a request that is refused at shutdown although it may have run, or that fails although it was answered.
func TestDecideAtShutdown(t *testing.T) {
	for want, r := range map[Action]Request{Refuse: {}, Fail: {Attempted: true}, Serve: {Attempted: true, Answered: true}} {
		if got := DecideAtShutdown(r); got != want {
			t.Errorf("%+v: action %d, want %d", r, got, want)
		}
	}
}
