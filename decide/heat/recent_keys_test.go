package heat

import "testing"

// Guards against keys that are forgotten within a period, remembered for longer than two, or handed over to another
// process so that it remembers them longer.
func TestRecentKeysAreKeptForOneToTwoPeriods(t *testing.T) {
	var k RecentKeys
	if k.Contains(5) || !k.Add(5) || k.Add(5) || !k.Contains(5) {
		t.Error("want a key to be new once and then remembered")
	}
	k.Rotate()
	var next RecentKeys
	if next.Restore(k.Current(10)); next.Contains(5) {
		t.Error("a key of the previous period was handed over")
	}
	if !k.Contains(5) || !k.Add(5) {
		t.Error("after one period a key is still remembered, and new again when it is added")
	}
	if next.Restore(k.Current(10)); !next.Contains(5) || len(k.Current(0)) > 0 {
		t.Error("want keys of the current period handed over, and none with a limit of 0")
	}
	k.Rotate()
	k.Rotate()
	if k.Contains(5) {
		t.Error("key is remembered after two periods")
	}
}
