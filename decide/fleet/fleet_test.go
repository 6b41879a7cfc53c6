package fleet

import "testing"

func TestTurnsFillTheSpanInOrder(t *testing.T) {
	for _, n := range []int{1, 2, 80} {
		last := int64(0)
		for i := range n {
			from, to := StartSlot(i, n, int64(50000))
			if from != last || to <= from {
				t.Fatalf("turn %d of %d: %d to %d after %d", i, n, from, to, last)
			}
			last = to
		}
		if last != 50000 {
			t.Errorf("%d turns end at %d", n, last)
		}
	}
	for _, c := range [][2]int{{-1, 80}, {80, 80}, {5, 0}, {1 << 40, 3}} { // what a bad configuration may say
		if from, to := StartSlot(c[0], c[1], int64(50000)); from < 0 || to > 50000 || from >= to {
			t.Errorf("number %d of %d: %d to %d", c[0], c[1], from, to)
		}
	}
}

func TestBackoffDoublesToItsMost(t *testing.T) {
	var b Backoff[int64]
	for i, want := range []int64{50, 100, 200, 200, 200} {
		if got := b.RecordFailure(50, 200); got != want {
			t.Errorf("failure %d: %d, want %d", i, got, want)
		}
	}
	for range 100 {
		if got := b.RecordFailure(50, 200); got != 200 {
			t.Fatalf("overflows to %d", got)
		}
	}
	if b.Reset(); b.RecordFailure(50, 200) != 50 {
		t.Error("an answer does not end it")
	}
	if b.Reset(); b.RecordFailure(0, 0) != 1 {
		t.Error("no span at all would call again at once")
	}
}

func TestDoubtAndSilence(t *testing.T) {
	var d Suspicion[int64]
	if d.Active(0) {
		t.Error("doubt without a failure")
	}
	at := int64(100)
	for i, want := range []int64{10, 20, 40, 40} {
		d.Raise(at, 10)
		d.Raise(at+1, 10) // sent before the doubt, or for want of a better one
		if !d.Active(at+want-1) || d.Active(at+want) {
			t.Errorf("failure %d: not in doubt for %d", i, want)
		}
		at += want
	}
	d.Raise(at, 10)
	if d.Clear(); d.Active(at) {
		t.Error("an answer does not end it")
	}
	var s Silence[int64]
	for i := range inARow {
		if s.Active(at) {
			t.Fatalf("silent after %d", i)
		}
		s.Silent(at, 10, inARow)
	}
	if !s.Active(at) || s.Active(at+10) {
		t.Error("failures in a row are not heard")
	}
	if s.Silent(at+10, 10, inARow); !s.Active(at + 29) {
		t.Error("one more does not renew it for longer")
	}
	if s.Heard(); s.Active(at + 11) {
		t.Error("an answer does not end it")
	}
}

// The own site cut off is told from all others together, long before each of them has failed often enough by itself; a lost one
// among others that answer is told alone, and what is heard of the own says nothing of the rest.
func TestSites(t *testing.T) {
	s, pushes := SiteHealth[int64]{Local: 0}, 0
	for ; !s.ShouldAvoid(4, 0, 0) && pushes < 100; pushes++ {
		s.RecordAnswer(0, 0)
		s.RecordFailure(1+pushes%5, 0, 10)
	}
	if pushes != ofAllOthers || s.ShouldAvoid(0, 0, 0) || !s.ShouldAvoid(9, 0, 0) {
		t.Errorf("told after %d pushes to five other sites", pushes)
	}
	if s.RecordAnswer(3, 0); s.ShouldAvoid(4, 0, 0) {
		t.Error("an answer from one of them does not end it")
	}
	s = SiteHealth[int64]{Local: 0}
	for i := range 40 {
		s.RecordFailure(1, int64(i), 10)
		if i%3 == 0 {
			s.RecordAnswer(2, int64(i))
		}
	}
	if !s.ShouldAvoid(1, 0, 41) || s.ShouldAvoid(2, 0, 41) || s.ShouldAvoid(0, 0, 41) {
		t.Error("a lost site is not told alone")
	}
}

// A site that flaps has its keys back more slowly each time, up to a bound, none of them lost again on the way; after a while
// without a loss it is forgiven.
func TestAFlappingSiteReturnsMoreSlowly(t *testing.T) {
	const unit = 100
	var s SiteHealth[int64]
	now := int64(0)
	lose := func() {
		for range inARow {
			now++
			s.RecordFailure(1, now, unit)
		}
		now += unit
		s.RecordAnswer(1, now)
	}
	over := func() (took int64) {
		passed := 100
		for at := now; ; at++ {
			n := 0
			for key := range uint64(100) {
				if s.ShouldAvoid(1, key, at) {
					n++
				}
			}
			if n > passed {
				t.Fatalf("%d keys go away again at %d", n-passed, at)
			}
			if passed = n; n == 0 {
				return at - now
			}
		}
	}
	for i, want := range []int64{0, 2, 4, 8, 8} {
		if lose(); over() < want*unit*9/10 || over() > want*unit {
			t.Errorf("return %d takes %d, wanted %d", i+1, over(), want*unit)
		}
	}
	now += forgiven * unit
	if lose(); over() != 0 {
		t.Error("it is not forgiven")
	}
}
