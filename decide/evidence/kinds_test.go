package evidence

import "testing"

func TestKindsAreWeighedBySpeed(t *testing.T) {
	kinds := map[string]*Speed{"quick": {}, "slow": {}, "unseen": {}}
	turns := 0
	for range 40 {
		for kind, span := range map[string]float64{"quick": 20, "slow": 40} {
			if UpdateSpeeds(kinds, kind, span) {
				turns++
			}
		}
	}
	if kinds["slow"].OctavesSlower != 1 || kinds["quick"].OctavesSlower != 0 || kinds["unseen"].OctavesSlower != 0 || turns > 2 {
		t.Errorf("slow %v, quick %v, unseen %v octaves slower, weighed anew %d times",
			kinds["slow"].OctavesSlower, kinds["quick"].OctavesSlower, kinds["unseen"].OctavesSlower, turns)
	}
}
