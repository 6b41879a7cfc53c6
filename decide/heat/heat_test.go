package heat

import "testing"

// Guards against shares that are far off for a hot key, a key requested once that looks hot, and counters that grow
// without bound.
func TestObserve(t *testing.T) {
	var k KeyCounter
	if got := k.Observe(1, false); got != 0 {
		t.Errorf("share after the first request is %v, want 0", got)
	}
	last := 0.0
	for i := range uint64(20000) { // one fifth of the requests is for key 1, the rest for new keys
		if i%5 == 0 {
			last = k.Observe(1, false)
		} else if got := k.Observe(i+10, false); got > 0.02 {
			t.Fatalf("share of a key requested once is %v, want at most 0.02", got)
		}
		if len(k.counts) > maxCounters {
			t.Fatalf("%d counters, want at most %d", len(k.counts), maxCounters)
		}
	}
	if last < 0.1 || last > 0.3 {
		t.Errorf("share of a key with a fifth of all requests is %v, want 0.1 to 0.3", last)
	}
	if costly, cheap := k.Observe(1, false), k.Observe(1, true); cheap <= costly {
		t.Errorf("share where a copy is cheap is %v, want more than %v", cheap, costly)
	}
}
