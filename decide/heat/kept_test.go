package heat

import "testing"

func TestKeptForOneTurnToTwo(t *testing.T) {
	var k RecentKeys
	if k.Contains(5) || !k.Add(5) || k.Add(5) || !k.Contains(5) {
		t.Error("a key is new once")
	}
	k.Rotate()
	var next RecentKeys
	if next.Restore(k.Current(10)); next.Contains(5) {
		t.Error("a process that follows would know it for a turn longer")
	}
	if !k.Contains(5) || !k.Add(5) {
		t.Error("after a turn it is still known, and worth telling again")
	}
	if next.Restore(k.Current(10)); !next.Contains(5) || len(k.Current(0)) > 0 {
		t.Error("what is known of this turn is handed over, within bounds")
	}
	k.Rotate()
	k.Rotate()
	if k.Contains(5) {
		t.Error("known after two turns")
	}
}
