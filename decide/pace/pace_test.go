package pace

import (
	"testing"

	"pgregory.net/rapid"
)

func TestBack(t *testing.T) {
	var b Recovery
	p := 12.0
	if b.ObserveQuick(p) != p {
		t.Error("jumps with nothing lost")
	}
	b.ObserveCut(&p, true)
	p = 0.1
	if p = b.ObserveQuick(p); p != 12 {
		t.Errorf("%v, not what it was", p)
	}
	if !b.ObserveCut(&p, true) || p < 0.079 || p > 0.081 {
		t.Errorf("a wrong jump leaves %v", p)
	}
	for i := range 3 {
		if b.ObserveQuick(p) != p {
			t.Errorf("jumps again after %d", i+1)
		}
	}
	if b.ObserveCut(&p, true) {
		t.Error("a failure without a jump is taken for one")
	}
	n := 0
	for q := p; q == p; n++ {
		q = b.ObserveQuick(p)
	}
	if n != 4 || b.ObserveCut(&p, false) {
		t.Errorf("jumps after %d quick answers in a row; or one slow answer takes it back", n)
	}
	b.ObserveCut(&p, true)
	for range 60 { // held for right: the next costs one answer
		p = b.ObserveQuick(p)
	}
	if b.ObserveCut(&p, true); b.ObserveQuick(0.1) != 12 {
		t.Error("a jump that held makes the next no cheaper")
	}
}

// At a server that is short for good, one wrong jump in a row of quick answers costs less and less: of n answers, about
// the logarithm of n are to jumps, up to the dearest. The pace is never over what it once was, nor 0.
func TestWrongJumpsGetRare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, p, was := Recovery{}, 8.0, 8.0
		b.ObserveCut(&p, true)
		p = rapid.Float64Range(0.01, 1).Draw(t, "pace")
		wrong := 0
		for range 1000 {
			q := b.ObserveQuick(p)
			if q > p { // the next push fails
				if q > was || !b.ObserveCut(&q, true) || q <= 0 || q > p {
					t.Fatalf("pace %v after a jump from %v", q, p)
				}
				q, wrong = p, wrong+1
			}
			p = q
		}
		if wrong > 4+1000/dearest {
			t.Fatalf("%d wrong jumps in 1000 answers", wrong)
		}
	})
}
