package roster

import (
	"testing"

	"pgregory.net/rapid"
)

func TestWhole(t *testing.T) {
	type list struct {
		at                  int64
		known, lacks, named int
		want                Verdict
	}
	for name, lists := range map[string][]list{
		"a few have gone":               {{0, 10, 4, 6, Take}},
		"many, once":                    {{0, 10, 5, 5, Hold}, {400, 10, 0, 10, Take}, {900, 10, 5, 5, Hold}},
		"many, truly":                   {{0, 10, 5, 5, Hold}, {400, 10, 5, 5, Hold}, {500, 10, 5, 5, Take}, {600, 5, 3, 2, Hold}},
		"none for ever":                 {{0, 10, 10, 0, Hold}, {500, 10, 10, 0, Hold}, {90000, 10, 10, 0, Hold}, {90001, 10, 9, 1, Hold}, {90500, 10, 9, 1, Hold}, {90501, 10, 9, 1, Take}},
		"more each time":                {{0, 10, 10, 0, Hold}, {400, 10, 8, 2, Hold}, {800, 10, 6, 4, Hold}, {1200, 10, 1, 9, Take}},
		"the last one, undrained":       {{0, 1, 1, 0, Hold}},
		"the last one was drained":      {{0, 0, 0, 0, Take}},
		"all replaced at once, truly":   {{0, 10, 10, 10, Hold}, {700, 10, 10, 10, Take}},
		"nothing was known before this": {{0, 0, 0, 10, Take}},
	} {
		g := Guard[int64]{MaxMissingShare: 0.5, ConfirmAfter: 500}
		for i, l := range lists {
			if got := g.Evaluate(l.at, l.known, l.lacks, l.named); got != l.want || g.Holding() != (got == Hold) {
				t.Errorf("%s, list %d: %v, held %v", name, i, got, g.Holding())
			}
		}
	}
	if g := (Guard[int64]{}); g.Evaluate(0, 10, 10, 0) != Take {
		t.Error("on without being switched on")
	}
}

// A list that goes on to say the same is taken within the span, unless it names nothing; then it is never.
func TestTrueListsAreTakenInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Guard[int64]{MaxMissingShare: rapid.Float64Range(0.01, 1).Draw(t, "doubt"), ConfirmAfter: 500}
		known := rapid.IntRange(1, 50).Draw(t, "known")
		lacks := rapid.IntRange(0, known).Draw(t, "lacks")
		named := known - lacks + rapid.IntRange(0, 5).Draw(t, "new")
		now, taken := int64(0), false
		for !taken && now <= 500 {
			taken = g.Evaluate(now, known, lacks, named) == Take
			now += rapid.Int64Range(1, 100).Draw(t, "span")
		}
		if !taken {
			taken = g.Evaluate(max(now, 500), known, lacks, named) == Take
		}
		if taken != (named > 0) {
			t.Fatalf("taken %v", taken)
		}
	})
}
