package heat

import "testing"

func TestAsked(t *testing.T) {
	var k KeyCounter
	if got := k.Observe(1, false); got != 0 {
		t.Errorf("once is %v", got)
	}
	hot, last := 0, 0.0
	for i := range uint64(20000) { // a fifth of what is asked is one key, the rest ever new ones
		if i%5 == 0 {
			last = k.Observe(1, false)
			hot++
		} else if got := k.Observe(i+10, false); got > 0.02 {
			t.Fatalf("a key asked for once has a share of %v", got)
		}
		if len(k.count) > counters {
			t.Fatalf("%d counters", len(k.count))
		}
	}
	if last < 0.1 || last > 0.3 {
		t.Errorf("a fifth of what is asked counts as %v", last)
	}
	if sure, cheap := k.Observe(1, false), k.Observe(1, true); cheap <= sure {
		t.Errorf("in doubt %v, where a copy is cheap %v", sure, cheap)
	}
}
