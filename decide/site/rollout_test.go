package site

import "testing"

// Guards against a rollout that changes all caches at once, reverts a cache on the way, or is undone when the clock steps back.
func TestRollout(t *testing.T) {
	const caches, start, duration = 100, 5000, 1000
	for _, excluded := range []bool{true, false} {
		rollout := Rollout[int64]{Excluded: excluded, StartedAt: start, Duration: duration}
		last := map[uint32]bool{}
		for now := int64(start); now <= start+duration; now += 50 {
			changed := 0
			for id := uint32(0); id < caches; id++ {
				is := rollout.IsExcluded(id, now)
				if was, seen := last[id]; seen && was != is && is != excluded {
					t.Errorf("excluded %v: cache %d reverts at %d", excluded, id, now)
				}
				if last[id] = is; is == excluded {
					changed++
				}
			}
			if want := float64(now-start) / duration * caches; float64(changed) < want-20 || float64(changed) > want+20 {
				t.Errorf("excluded %v: %d of %d caches have changed at %d, want about %.0f", excluded, changed, caches, now, want)
			}
		}
		if !rollout.Done(start+duration) || rollout.Done(start+duration-1) {
			t.Errorf("excluded %v: not done exactly at the end", excluded)
		}
		if !rollout.Done(0) {
			t.Errorf("excluded %v: not done when the clock is before the start", excluded)
		}
		if rollout.IsExcluded(1, 0) != excluded || rollout.IsExcluded(1, start+duration) != excluded {
			t.Errorf("excluded %v: cache 1 has not changed before the start or at the end", excluded)
		}
	}
}
