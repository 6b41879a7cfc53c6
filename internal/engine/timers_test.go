package engine

import "testing"

// A cancelled timer neither fires nor keeps what its callback refers to, and the others keep their order.
func TestACancelledTimerIsDroppedAtOnce(t *testing.T) {
	var queue timers
	var fired []int
	set := func(n int) *timer {
		return queue.set(0, func() { fired = append(fired, n) })
	}
	first, second, third := set(1), set(2), set(3)
	queue.cancel(second)
	queue.cancel(second)
	queue.cancel(nil)
	if len(queue.heap) != 2 {
		t.Fatalf("%d timers, want 2", len(queue.heap))
	}
	for callback := queue.popDue(1); callback != nil; callback = queue.popDue(1) {
		callback()
	}
	queue.cancel(first)
	queue.cancel(third)
	if len(fired) != 2 || fired[0] != 1 || fired[1] != 3 || len(queue.heap) != 0 {
		t.Errorf("fired %v, want 1 and 3; %d timers left", fired, len(queue.heap))
	}
}
