package evidence

import "testing"

// Guards against ratings that miss a kind of half the speed, or that keep changing and so move keys between caches.
func TestKindsAreWeighedBySpeed(t *testing.T) {
	kinds := map[string]*Speed{"quick": {}, "slow": {}, "unseen": {}}
	changes := 0
	for range 40 {
		for kind, span := range map[string]float64{"quick": 20, "slow": 40} {
			if UpdateSpeeds(kinds, kind, span) {
				changes++
			}
		}
	}
	if kinds["slow"].OctavesSlower != 1 || kinds["quick"].OctavesSlower != 0 || kinds["unseen"].OctavesSlower != 0 || changes > 2 {
		t.Errorf("octaves slower: slow %v, quick %v, unseen %v, want 1, 0, 0; %d changes, want at most 2",
			kinds["slow"].OctavesSlower, kinds["quick"].OctavesSlower, kinds["unseen"].OctavesSlower, changes)
	}
}
