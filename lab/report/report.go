// Package report writes the results of a run: a JSON file for programs, a text summary, plots, and an HTML page that holds
// all of it.
package report

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"minttray/lab/faults"
	"minttray/lab/ledger"
	"minttray/lab/measure"
)

// Result is the result of one run, as result.json holds it.
type Result struct {
	Name  string `json:"name"`
	About string `json:"about,omitempty"`
	Seed  uint64 `json:"seed"`
	// Rule is the routing policy: minttray, or the name of a baseline.
	Rule          string  `json:"rule"`
	LengthSeconds float64 `json:"length_s"`
	WarmUpSeconds float64 `json:"warm_s"`
	// InvalidReasons tells why the run proves nothing; empty for a valid run.
	InvalidReasons []string        `json:"void,omitempty"`
	Crashes        []string        `json:"crashes,omitempty"`
	Verdict        *ledger.Verdict `json:"verdict"`
	Stats          measure.Stats   `json:"figures"`
	Events         []faults.Event  `json:"events"`
	// PeakUsage holds the largest usage of a single proxy; its CPU is the sum over all proxies, in seconds.
	PeakUsage measure.Usage `json:"peak"`
	// StandInLateShare is the share of the work of simulated servers that ended over 5 ms late.
	StandInLateShare float64 `json:"stand_ins_stalled"`
	LedgerRecords    int64   `json:"records"`
	// ClientConnsOpened counts connections that clients opened.
	ClientConnsOpened int64 `json:"connections_opened"`
	// CacheConnsRefused counts connections that caches refused.
	CacheConnsRefused int64 `json:"connections_refused"`

	// ProxyCounters holds the proxies' own counters, summed over the processes that run at the end.
	ProxyCounters map[string]int64 `json:"vars,omitempty"`
	// ClientConnsRefused counts clients' connections that proxies refused.
	ClientConnsRefused int64 `json:"clients_refused"`
	OriginFetches      int64 `json:"origin_fetches"`
	// ListBytes is the size of all discovery lists sent to proxies.
	ListBytes int64 `json:"list_bytes"`
}

// Exit statuses of the command that ran an experiment.
const (
	exitOK      = 0
	exitFailed  = 1 // a rule was violated, or a proxy crashed
	exitInvalid = 3 // the run proves nothing
)

// ExitStatus returns the exit status of the command that ran the experiment.
func (r *Result) ExitStatus() int {
	switch {
	case r.Verdict != nil && !r.Verdict.Passed() || len(r.Crashes) > 0:
		return exitFailed
	case len(r.InvalidReasons) > 0:
		return exitInvalid
	}
	return exitOK
}

const (
	resultFile = "result.json"
	fileMode   = 0o644
)

// Write writes all result files into a directory.
func (r *Result) Write(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, resultFile), text, fileMode); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "summary.txt"), []byte(r.Summary()), fileMode); err != nil {
		return err
	}
	plots, err := r.plots()
	if err != nil {
		return err
	}
	for name, svg := range plots {
		if err := os.WriteFile(filepath.Join(dir, name+".svg"), svg, fileMode); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), r.page(plots), fileMode)
}

// Read reads a result from a run's directory, or from its result file.
func Read(path string) (*Result, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, resultFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

const (
	// maxAgeBucketsShown is the number of half seconds of restarted processes that a summary shows.
	maxAgeBucketsShown = 8
	// maxFindingsShown is the number of findings per rule that a summary shows.
	maxFindingsShown = 2
)

// Summary formats the result as text.
func (r *Result) Summary() string {
	var b strings.Builder
	s := r.Stats
	fmt.Fprintf(&b, "%s, seed %d, %s\n", r.Name, r.Seed, r.Rule)
	for _, reason := range r.InvalidReasons {
		fmt.Fprintf(&b, "VOID: %s\n", reason)
	}
	for _, crash := range r.Crashes {
		fmt.Fprintf(&b, "CRASH: %s\n", crash)
	}
	fmt.Fprintf(&b, "service %.4f   worst 10 s %.4f (from %d s)   tries an op %.2f   origin fetches %d\n", s.Total.Service, s.Worst10s, s.Worst10sStart,
		s.TriesPerOp, r.OriginFetches)
	if s.RecoverySeconds < 0 {
		b.WriteString("service is not back within 2% of before by the end of the run\n")
	} else {
		fmt.Fprintf(&b, "service is back within 2%% of before %.0f s after the last fault\n", s.RecoverySeconds)
	}
	if n := len(s.RestartedByAge); n > 0 {
		fmt.Fprintf(&b, "processes that came anew: service")
		for _, bucket := range s.RestartedByAge[:min(n, maxAgeBucketsShown)] {
			fmt.Fprintf(&b, " %.3f", bucket.Service)
		}
		fmt.Fprintf(&b, " by half second; peers %.3f; settled after %.1f s\n", s.Peers.Service, s.SettleSeconds)
	}
	fmt.Fprintf(&b, "%-20s %8s %9s %9s %9s %9s %9s\n", "", "ops", "service", "p50 ms", "p90", "p99", "max")
	for _, g := range append(append([]measure.GroupStats{s.Total}, s.Categories...), s.Tenants...) {
		fmt.Fprintf(&b, "%-20s %8d %9.4f %9.1f %9.1f %9.1f %9.1f\n", g.Name, g.Ops, g.Service, g.P50, g.P90, g.P99, g.Max)
	}
	fmt.Fprintf(&b, "proxies: %.2f CPU seconds, %.0f MB and %d descriptors at most in one; client connections opened %d, refused %d; refused by caches %d; %d KB of lists\n",
		r.PeakUsage.CPU, r.PeakUsage.MemoryMB, r.PeakUsage.Descriptors, r.ClientConnsOpened, r.ClientConnsRefused, r.CacheConnsRefused, r.ListBytes>>10)
	fmt.Fprintf(&b, "lab: %.2f%% sent within 5 ms of their time, half within %.2f ms, 99%% within %.2f ms; %.2f%% of the stand-ins' work over 5 ms late\n",
		100*s.SentWithin5ms, s.SendDelayP50, s.SendDelayP99, 100*r.StandInLateShare)
	if v := r.Verdict; v != nil {
		b.WriteString(formatVerdict(v))
	}
	return b.String()
}

// formatVerdict formats the verdict of a ledger as lines of the summary.
func formatVerdict(v *ledger.Verdict) string {
	var b strings.Builder
	answers := make([]string, 0, len(v.Answers))
	for name := range v.Answers {
		answers = append(answers, name)
	}
	sort.Strings(answers)
	fmt.Fprintf(&b, "ledger: %d tries, %d pushes;", v.Ops, v.Pushes)
	for _, name := range answers {
		fmt.Fprintf(&b, " %s %d,", name, v.Answers[name])
	}
	fmt.Fprintf(&b, " clients gone first %d, held by a proxy that was ended %d, of which %d were pushed\n", v.ClientsLeft, v.KilledOps, v.KilledAfterPush)
	if v.Passed() {
		fmt.Fprintf(&b, "rules kept (cold caches at %.0f%% of their bound at most, a refusal at most %v after its last push)\n", 100*v.MaxColdLoad,
			v.MaxRefusalDelay.Round(1e6))
		return b.String()
	}
	violated := make([]string, 0, len(v.Violations))
	for rule := range v.Violations {
		violated = append(violated, rule)
	}
	sort.Strings(violated)
	for _, rule := range violated {
		fmt.Fprintf(&b, "RULE BROKEN: %s, %d times\n", rule, v.Violations[rule])
	}
	shown := map[string]int{}
	for _, f := range v.Findings {
		if shown[f.Rule]++; shown[f.Rule] > maxFindingsShown {
			continue
		}
		fmt.Fprintf(&b, "  %s %s: %s\n", f.Rule, f.Op, f.Message)
		for _, line := range f.History {
			fmt.Fprintf(&b, "      %s\n", line)
		}
	}
	return b.String()
}
