package run

import (
	"testing"
	"time"

	"minttray/lab/experiment"
)

// soakSeeds are played in each CI run; a seed that failed once stays.
var soakSeeds = []uint64{2, 4, 5, 7, 10, 31}

const soakLength = 9 * time.Second

// Drawn deployments, timelines and faults, with the verdict of the ledger alone. A run in which the lab itself ran late shows nothing, and is played
// again by itself; one that shows a broken rule fails, whatever else it shows.
func TestSoak(t *testing.T) {
	t.Parallel()
	daemon := buildProgram(t, "minttray")
	for _, seed := range soakSeeds {
		x := experiment.Soak(seed, soakLength)
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			if err := x.Check(); err != nil {
				t.Fatal(err)
			}
			expectRulesKept(t, x, daemon)
		})
	}
}

// keeps plays an experiment to its end, and wants all rules kept and something served.
func expectRulesKept(t *testing.T, x *experiment.File, daemon string) {
	t.Helper()
	r, _ := executeValid(t, x, Options{Command: []string{daemon}, Rule: "minttray"})
	if !r.Verdict.Passed() || !r.Verdict.Complete || len(r.Crashes) > 0 || r.Verdict.Answers["acked"] == 0 {
		t.Errorf("%s", r.Summary())
	}
}

// The incident: a release of thousands of caches, most of them in slow start, under short deadlines.
func TestLargeRelease(t *testing.T) {
	t.Parallel()
	x, err := experiment.Read("../../experiments/large-release.toml", "length=16s")
	if err != nil {
		t.Fatal(err)
	}
	expectRulesKept(t, x, buildProgram(t, "minttray"))
}

// The same seed draws the same run, another one another, and each is within the bounds of experiments.
func TestSoakDraws(t *testing.T) {
	large, fewest, most := 0, 1<<20, 0
	shortest, longest := time.Hour, time.Duration(0)
	for seed := range uint64(300) {
		x, again := experiment.Soak(seed, soakLength), experiment.Soak(seed, soakLength)
		if err := x.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if x.Caches != again.Caches || len(x.Faults) != len(again.Faults) || x.Faults[0] != again.Faults[0] {
			t.Fatalf("seed %d differs", seed)
		}
		if x.Caches.Count >= 800 {
			large++
		}
		fewest, most = min(fewest, x.Caches.Count), max(most, x.Caches.Count)
		for _, c := range x.Categories {
			shortest, longest = min(shortest, c.TTL.Std()), max(longest, c.TTL.Std())
		}
	}
	if large < 30 || fewest > 5 || most < 3000 || shortest > 80*time.Millisecond || longest < 2500*time.Millisecond {
		t.Errorf("%d of 300 large, %d to %d caches, deadlines from %v to %v", large, fewest, most, shortest, longest)
	}
}
