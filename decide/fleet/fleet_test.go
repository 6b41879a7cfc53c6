package fleet

import "testing"

// Guards against slots that leave gaps or overlap, so that proxies call in bursts, and against a proxy number out of range
// that gives an empty slot or one outside the span.
func TestStartSlotsFillTheSpanInOrder(t *testing.T) {
	for _, n := range []int{1, 2, 80} {
		last := int64(0)
		for i := range n {
			from, to := StartSlot(i, n, int64(50000))
			if from != last || to <= from {
				t.Fatalf("slot %d of %d: %d to %d, the slot before ended at %d", i, n, from, to, last)
			}
			last = to
		}
		if last != 50000 {
			t.Errorf("%d slots end at %d, want 50000", n, last)
		}
	}
	for _, c := range [][2]int{{-1, 80}, {80, 80}, {5, 0}, {1 << 40, 3}} { // invalid configurations
		if from, to := StartSlot(c[0], c[1], int64(50000)); from < 0 || to > 50000 || from >= to {
			t.Errorf("proxy %d of %d: slot from %d to %d, want a non-empty part of 0 to 50000", c[0], c[1], from, to)
		}
	}
}

// Guards against delays that overflow, exceed the limit, stay long after an answer, or are 0.
func TestBackoffDoublesToItsLimit(t *testing.T) {
	var b Backoff[int64]
	for i, want := range []int64{50, 100, 200, 200, 200} {
		if got := b.RecordFailure(50, 200); got != want {
			t.Errorf("failure %d: delay %d, want %d", i, got, want)
		}
	}
	for range 100 {
		if got := b.RecordFailure(50, 200); got != 200 {
			t.Fatalf("delay %d after many failures, want 200", got)
		}
	}
	if b.Reset(); b.RecordFailure(50, 200) != 50 {
		t.Error("delay is not reset by an answer")
	}
	if b.Reset(); b.RecordFailure(0, 0) != 1 {
		t.Error("initial delay 0: want 1, since 0 would retry at once")
	}
}

// Guards against suspicions that start without a failure, are prolonged by pushes already in flight, grow past their limit
// or outlast an answer.
func TestSuspicion(t *testing.T) {
	var suspicion Suspicion[int64]
	if suspicion.Active(0) {
		t.Error("suspected without a failure")
	}
	at := int64(100)
	for i, want := range []int64{10, 20, 40, 40} {
		suspicion.Raise(at, 10)
		suspicion.Raise(at+1, 10) // sent before the suspicion, or for lack of a better server
		if !suspicion.Active(at+want-1) || suspicion.Active(at+want) {
			t.Errorf("failure %d: not suspected for exactly %d", i, want)
		}
		at += want
	}
	suspicion.Raise(at, 10)
	if suspicion.Clear(); suspicion.Active(at) {
		t.Error("still suspected after an answer")
	}
	var group GroupSuspicion[int64]
	for i := range siteFailureThreshold {
		if group.Active(at) {
			t.Fatalf("group is suspected after %d failures, want %d", i, siteFailureThreshold)
		}
		group.RecordFailure(at, 10, siteFailureThreshold)
	}
	if !group.Active(at) || group.Active(at+10) {
		t.Errorf("group is not suspected for 10 after %d failures", siteFailureThreshold)
	}
	if group.RecordFailure(at+10, 10, siteFailureThreshold); !group.Active(at + 29) {
		t.Error("one more failure does not renew the suspicion for twice as long")
	}
	if group.RecordAnswer(); group.Active(at + 11) {
		t.Error("group is still suspected after an answer")
	}
}

// Guards against a cut-off site that is found only once each remote site has failed often enough by itself, against a lost
// site that takes healthy ones with it, and against answers of the local site that hide the failures of remote ones.
func TestSiteHealth(t *testing.T) {
	s, pushes := SiteHealth[int64]{Local: 0}, 0
	for ; !s.ShouldAvoid(4, 0, 0) && pushes < 100; pushes++ {
		s.RecordAnswer(0, 0)
		s.RecordFailure(1+pushes%5, 0, 10)
	}
	if pushes != remoteFailureThreshold || s.ShouldAvoid(0, 0, 0) || !s.ShouldAvoid(9, 0, 0) {
		t.Errorf("remote sites are avoided after %d failed pushes to five of them, want %d, and the local one not", pushes, remoteFailureThreshold)
	}
	if s.RecordAnswer(3, 0); s.ShouldAvoid(4, 0, 0) {
		t.Error("an answer from one remote site does not end the suspicion of all")
	}
	s = SiteHealth[int64]{Local: 0}
	for i := range 40 {
		s.RecordFailure(1, int64(i), 10)
		if i%3 == 0 {
			s.RecordAnswer(2, int64(i))
		}
	}
	if !s.ShouldAvoid(1, 0, 41) || s.ShouldAvoid(2, 0, 41) || s.ShouldAvoid(0, 0, 41) {
		t.Error("want site 1 avoided, and sites 0 and 2 not")
	}
}

// Guards against a flapping site that gets all its keys back at once each time, returns that take longer than their limit,
// keys that leave again during a return, and losses that count for ever.
func TestAFlappingSiteReturnsMoreSlowly(t *testing.T) {
	const unit = 100
	var s SiteHealth[int64]
	now := int64(0)
	loseAndReturn := func() {
		for range siteFailureThreshold {
			now++
			s.RecordFailure(1, now, unit)
		}
		now += unit
		s.RecordAnswer(1, now)
	}
	returnTime := func() (took int64) {
		avoided := 100
		for at := now; ; at++ {
			n := 0
			for key := range uint64(100) {
				if s.ShouldAvoid(1, key, at) {
					n++
				}
			}
			if n > avoided {
				t.Fatalf("%d keys leave again at %d, during a return", n-avoided, at)
			}
			if avoided = n; n == 0 {
				return at - now
			}
		}
	}
	for i, want := range []int64{0, 2, 4, 8, 8} {
		if loseAndReturn(); returnTime() < want*unit*9/10 || returnTime() > want*unit {
			t.Errorf("return %d takes %d, want %d", i+1, returnTime(), want*unit)
		}
	}
	now += lossForgetsAfter * unit
	if loseAndReturn(); returnTime() != 0 {
		t.Errorf("return takes %d, want 0 long after the last loss", returnTime())
	}
}
