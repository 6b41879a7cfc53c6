package roster

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a list service that has lost its memory and empties the fleet with one answer, and against true lists that
// are never accepted.
func TestEvaluate(t *testing.T) {
	type list struct {
		at                    int64
		known, missing, named int
		want                  Verdict
	}
	for name, lists := range map[string][]list{
		"a few missing":                   {{0, 10, 4, 6, Accept}},
		"many missing, once":              {{0, 10, 5, 5, Hold}, {400, 10, 0, 10, Accept}, {900, 10, 5, 5, Hold}},
		"many missing, confirmed":         {{0, 10, 5, 5, Hold}, {400, 10, 5, 5, Hold}, {500, 10, 5, 5, Accept}, {600, 5, 3, 2, Hold}},
		"empty for long":                  {{0, 10, 10, 0, Hold}, {500, 10, 10, 0, Hold}, {90000, 10, 10, 0, Hold}, {90001, 10, 9, 1, Hold}, {90500, 10, 9, 1, Hold}, {90501, 10, 9, 1, Accept}},
		"fewer missing each time":         {{0, 10, 10, 0, Hold}, {400, 10, 8, 2, Hold}, {800, 10, 6, 4, Hold}, {1200, 10, 1, 9, Accept}},
		"last cache missing, not drained": {{0, 1, 1, 0, Hold}},
		"last cache drained":              {{0, 0, 0, 0, Accept}},
		"all replaced at once, confirmed": {{0, 10, 10, 10, Hold}, {700, 10, 10, 10, Accept}},
		"first list":                      {{0, 0, 0, 10, Accept}},
	} {
		g := Guard[int64]{MaxMissingShare: 0.5, ConfirmAfter: 500}
		for i, l := range lists {
			if got := g.Evaluate(l.at, l.known, l.missing, l.named); got != l.want || g.Holding() != (got == Hold) {
				t.Errorf("%s, list %d: verdict %d, want %d; holding %v", name, i, got, l.want, g.Holding())
			}
		}
	}
	if g := (Guard[int64]{}); g.Evaluate(0, 10, 10, 0) != Accept {
		t.Error("a guard with MaxMissingShare 0 held a list")
	}
}

// Guards against a list that stays the same and is not accepted within ConfirmAfter, and against an empty one that is.
func TestStableListsAreAcceptedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Guard[int64]{MaxMissingShare: rapid.Float64Range(0.01, 1).Draw(t, "doubt"), ConfirmAfter: 500}
		known := rapid.IntRange(1, 50).Draw(t, "known")
		missing := rapid.IntRange(0, known).Draw(t, "missing")
		named := known - missing + rapid.IntRange(0, 5).Draw(t, "new")
		now, accepted := int64(0), false
		for !accepted && now <= 500 {
			accepted = g.Evaluate(now, known, missing, named) == Accept
			now += rapid.Int64Range(1, 100).Draw(t, "span")
		}
		if !accepted {
			accepted = g.Evaluate(max(now, 500), known, missing, named) == Accept
		}
		if accepted != (named > 0) {
			t.Fatalf("accepted %v, want %v (%d caches named)", accepted, named > 0, named)
		}
	})
}
