package pace

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against jumps without a cut before, wrong jumps that are not undone or are repeated too soon, and right ones that
// leave the next jump expensive.
func TestRecovery(t *testing.T) {
	var r Recovery
	rate := 12.0
	if r.ObserveQuick(rate) != rate {
		t.Error("the rate changed before any cut")
	}
	r.ObserveCut(&rate, true)
	rate = 0.1
	if rate = r.ObserveQuick(rate); rate != 12 {
		t.Errorf("rate %v after a fast answer, want the former 12", rate)
	}
	if !r.ObserveCut(&rate, true) || rate < 0.079 || rate > 0.081 {
		t.Errorf("rate %v after a wrong jump from 0.1, want 0.08", rate)
	}
	for i := range 3 {
		if r.ObserveQuick(rate) != rate {
			t.Errorf("jumps again after %d fast answers, want 4", i+1)
		}
	}
	if r.ObserveCut(&rate, true) {
		t.Error("a failure with no jump pending counts as a wrong jump")
	}
	n := 0
	for next := rate; next == rate; n++ {
		next = r.ObserveQuick(rate)
	}
	if n != 4 || r.ObserveCut(&rate, false) {
		t.Errorf("jumps after %d fast answers in a row, want 4; or a slow answer without a failure undoes the jump", n)
	}
	r.ObserveCut(&rate, true)
	for range 60 { // the jump is confirmed
		rate = r.ObserveQuick(rate)
	}
	if r.ObserveCut(&rate, true); r.ObserveQuick(0.1) != 12 {
		t.Error("no jump after one fast answer, although the jump before was right")
	}
}

// Guards against a server that stays overloaded and is probed as often as before: wrong jumps must get rarer, down to one
// in maxJumpAnswers fast answers. The rate must stay above 0 and never exceed the former one.
func TestWrongJumpsGetRare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, rate, former := Recovery{}, 8.0, 8.0
		r.ObserveCut(&rate, true)
		rate = rapid.Float64Range(0.01, 1).Draw(t, "pace")
		wrong := 0
		for range 1000 {
			next := r.ObserveQuick(rate)
			if next > rate { // a jump, and the next push fails
				if next > former || !r.ObserveCut(&next, true) || next <= 0 || next > rate {
					t.Fatalf("rate %v after a jump from %v", next, rate)
				}
				next, wrong = rate, wrong+1
			}
			rate = next
		}
		if wrong > 4+1000/maxJumpAnswers {
			t.Fatalf("%d wrong jumps in 1000 answers, want at most %d", wrong, 4+1000/maxJumpAnswers)
		}
	})
}
