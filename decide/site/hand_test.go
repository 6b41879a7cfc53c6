package site

import "testing"

// All go one after another, none comes back on the way, and a clock that stepped back leaves out what is out.
func TestHand(t *testing.T) {
	const caches, over = 100, 1000
	for _, out := range []bool{true, false} {
		h, last := Rollout[int64]{Excluded: out, StartedAt: 5000, Duration: over}, map[uint32]bool{}
		for now := int64(5000); now <= 5000+over; now += 50 {
			n := 0
			for id := uint32(0); id < caches; id++ {
				is := h.IsExcluded(id, now)
				if was, seen := last[id]; seen && was != is && is != out {
					t.Errorf("%d turns back at %d", id, now)
				}
				if last[id] = is; is == out {
					n++
				}
			}
			if want := float64(now-5000) / over * caches; float64(n) < want-20 || float64(n) > want+20 {
				t.Errorf("%d of %d have followed at %d", n, caches, now)
			}
		}
		if !h.Done(5000+over) || h.Done(5000+over-1) || !h.Done(0) || h.IsExcluded(1, 0) != out || h.IsExcluded(1, 5000+over) != out {
			t.Errorf("%v: the end", out)
		}
	}
}
