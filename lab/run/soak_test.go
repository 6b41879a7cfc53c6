package run

import (
	"testing"
	"time"

	"minttray/lab/experiment"
)

// soakSeeds are run in CI; a seed that has failed once stays in the list.
var soakSeeds = []uint64{2, 4, 5, 7, 10, 31}

const soakLength = 9 * time.Second

// Drawn deployments and faults must break no rule, by the verdict of the ledger alone.
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

// expectRulesKept runs an experiment to its end; no rule may be broken and some ops must be served.
func expectRulesKept(t *testing.T, x *experiment.File, daemon string) {
	t.Helper()
	r, _ := executeValid(t, x, Options{Command: []string{daemon}, Rule: "minttray"})
	if !r.Verdict.Passed() || !r.Verdict.Complete || len(r.Crashes) > 0 || r.Verdict.Answers["acked"] == 0 {
		t.Errorf("%s", r.Summary())
	}
}

// A release of thousands of caches, most of them in warm-up, under short deadlines. Guards against a repetition of such an incident.
func TestLargeRelease(t *testing.T) {
	t.Parallel()
	x, err := experiment.Read("../../experiments/large-release.toml", "length=16s")
	if err != nil {
		t.Fatal(err)
	}
	expectRulesKept(t, x, buildProgram(t, "minttray"))
}

// Drawn experiments must be valid, reproducible from their seed, and cover the intended range of sizes and deadlines.
func TestSoakDraws(t *testing.T) {
	large, minCaches, maxCaches := 0, 1<<20, 0
	minTTL, maxTTL := time.Hour, time.Duration(0)
	for seed := range uint64(300) {
		x, again := experiment.Soak(seed, soakLength), experiment.Soak(seed, soakLength)
		if err := x.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if x.Caches != again.Caches || len(x.Faults) != len(again.Faults) || x.Faults[0] != again.Faults[0] {
			t.Fatalf("seed %d gives two different experiments", seed)
		}
		if x.Caches.Count >= 800 {
			large++
		}
		minCaches, maxCaches = min(minCaches, x.Caches.Count), max(maxCaches, x.Caches.Count)
		for _, c := range x.Categories {
			minTTL, maxTTL = min(minTTL, c.TTL.Std()), max(maxTTL, c.TTL.Std())
		}
	}
	if large < 30 || minCaches > 5 || maxCaches < 3000 || minTTL > 80*time.Millisecond || maxTTL < 2500*time.Millisecond {
		t.Errorf("range not covered: %d of 300 experiments are large, %d to %d caches, deadlines from %v to %v", large, minCaches, maxCaches, minTTL, maxTTL)
	}
}
