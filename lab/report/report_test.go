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

// newResult returns the result of a run of 1200 ops, with the given share of them acked in time.
func newResult(t *testing.T, rule string, seed uint64, share float64) *Result {
	x, err := experiment.Decode("x", []byte("name = \"x\"\nlength = \"12s\"\nwarm = \"1s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	m := measure.NewMeter(x)
	for i := range 1200 {
		m.RecordSendDelay(time.Millisecond)
		m.RecordOutcome(measure.Outcome{Due: time.Duration(i) * 10 * time.Millisecond, Latency: 20 * time.Millisecond, Tries: 1,
			Acked: float64(i%100) < 100*share, Failed: float64(i%100) >= 100*share})
	}
	return &Result{
		Name:          "x",
		Seed:          seed,
		Rule:          rule,
		LengthSeconds: 12,
		WarmUpSeconds: 1,
		Stats:         m.Summarize(),
		Events:        []faults.Event{{At: 5, What: "<kill>"}},
		Verdict:       &ledger.Verdict{Ops: 1200, Answers: map[string]int{"acked": 1}, Violations: map[string]int{}},
	}
}

// TestARunIsWrittenAndReadBack checks the measurements of a run, that its result file is read back without loss, and that the
// HTML page contains all charts and escapes texts.
func TestARunIsWrittenAndReadBack(t *testing.T) {
	dir := t.TempDir()
	r := newResult(t, "minttray", 1, 0.9)
	total := r.Stats.Total
	if total.Service < 0.899 || total.Service > 0.901 || total.Ops != 1100 || total.P50 < 19 || total.P50 > 21 ||
		r.Stats.SentWithin5ms != 1 || r.Stats.Worst10s < 0.89 || r.Stats.Worst10s > 0.91 {
		t.Errorf("%+v; sent within 5 ms %v, worst 10 s %v", total, r.Stats.SentWithin5ms, r.Stats.Worst10s)
	}
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	readBack, err := Read(dir)
	if err != nil || readBack.Summary() != r.Summary() {
		t.Errorf("%v: %s", err, readBack.Summary())
	}
	page, _ := os.ReadFile(filepath.Join(dir, "report.html"))
	if text := string(page); strings.Count(text, "<svg") != len(charts) || strings.Contains(text, "<kill>") || strings.Contains(text, "src=") {
		t.Error("the page lacks a chart, refers to other files, or contains an unescaped text")
	}
}

// TestStatus checks that a violation or a crash gives exit status 1 even if the run is invalid.
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
		r := newResult(t, "minttray", 1, 1)
		if c.change(r); r.ExitStatus() != c.want {
			t.Errorf("exit status %d, want %d", r.ExitStatus(), c.want)
		}
	}
}

// TestCompare checks that a difference counts only if all pairs of runs show it.
func TestCompare(t *testing.T) {
	a := []*Result{newResult(t, "minttray", 1, 0.9), newResult(t, "minttray", 2, 0.8), newResult(t, "minttray", 9, 0.5)}
	b := []*Result{newResult(t, "random", 1, 0.7), newResult(t, "random", 2, 0.6)}
	text := Compare(a, b)
	for _, want := range []string{"2 pairs", "no pair for x, seed 9", "-0.2000 (-0.2000 to -0.2000)\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in:\n%s", want, text)
		}
	}
	b[1] = newResult(t, "random", 2, 0.95)
	if text := Compare(a, b); !strings.Contains(strings.Split(text, "\n")[3], "within the spread") {
		t.Errorf("differences of both signs are not marked:\n%s", text)
	}
	if table := Table(append(a, b...)); !strings.Contains(table, "| x | 0.800 (0.500 to 0.900) |") {
		t.Errorf("table without the median and range of the service:\n%s", table)
	}
}
