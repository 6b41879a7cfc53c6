package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/faults"
	"minttray/lab/ledger"
	"minttray/lab/measure"
)

// result is a run of so many ops, the given share of them in time.
func result(t *testing.T, rule string, seed uint64, share float64) *Result {
	x, err := experiment.Decode("x", []byte("name = \"x\"\nlength = \"12s\"\nwarm = \"1s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	m := measure.NewMeter(x)
	for i := range 1200 {
		m.Late(time.Millisecond)
		m.Take(measure.Outcome{Due: time.Duration(i) * 10 * time.Millisecond, Span: 20 * time.Millisecond, Tries: 1,
			Acked: float64(i%100) < 100*share, Failed: float64(i%100) >= 100*share})
	}
	return &Result{Name: "x", Seed: seed, Rule: rule, LengthSeconds: 12, WarmUpSeconds: 1, Stats: m.Summarize(), Events: []faults.Event{{At: 5, What: "<kill>"}},
		Verdict: &ledger.Verdict{Ops: 1200, Answers: map[string]int{"acked": 1}, Violations: map[string]int{}}}
}

func TestARunIsWrittenAndReadBack(t *testing.T) {
	dir := t.TempDir()
	r := result(t, "minttray", 1, 0.9)
	if s := r.Stats.Total.Service; s < 0.899 || s > 0.901 || r.Stats.Total.Ops != 1100 || r.Stats.Total.P50 < 19 || r.Stats.Total.P50 > 21 ||
		r.Stats.SentWithin5ms != 1 || r.Stats.Worst10s < 0.89 || r.Stats.Worst10s > 0.91 {
		t.Errorf("%+v", r.Stats.Total)
	}
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	back, err := Read(dir)
	if err != nil || back.Summary() != r.Summary() {
		t.Errorf("%v: %s", err, back.Summary())
	}
	page, _ := os.ReadFile(filepath.Join(dir, "report.html"))
	if text := string(page); strings.Count(text, "<svg") != len(charts) || strings.Contains(text, "<kill>") || strings.Contains(text, "src=") {
		t.Error("the page is not whole by itself, or takes words for markup")
	}
}

func TestStatus(t *testing.T) {
	for _, c := range []struct {
		change func(*Result)
		want   int
	}{
		{func(*Result) {}, 0},
		{func(r *Result) { r.InvalidReasons = []string{"late"} }, 3},
		{func(r *Result) { r.Verdict.Violations["lost"] = 1 }, 1},
		{func(r *Result) { r.Crashes = []string{"proxy 1"} }, 1},
		{func(r *Result) { r.InvalidReasons, r.Verdict.Violations["lost"] = []string{"late"}, 1 }, 1},
	} {
		r := result(t, "minttray", 1, 1)
		if c.change(r); r.ExitStatus() != c.want {
			t.Errorf("%d, want %d", r.ExitStatus(), c.want)
		}
	}
}

// A difference is one only where all pairs show it.
func TestCompare(t *testing.T) {
	a := []*Result{result(t, "minttray", 1, 0.9), result(t, "minttray", 2, 0.8), result(t, "minttray", 9, 0.5)}
	b := []*Result{result(t, "random", 1, 0.7), result(t, "random", 2, 0.6)}
	text := Compare(a, b)
	for _, want := range []string{"2 pairs", "no pair for x, seed 9", "-0.2000 (-0.2000 to -0.2000)\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in:\n%s", want, text)
		}
	}
	b[1] = result(t, "random", 2, 0.95)
	if text := Compare(a, b); !strings.Contains(strings.Split(text, "\n")[3], "within the spread") {
		t.Errorf("%s", text)
	}
	if table := Table(append(a, b...)); !strings.Contains(table, "| x | 0.800 (0.500 to 0.900) |") {
		t.Errorf("%s", table)
	}
}
