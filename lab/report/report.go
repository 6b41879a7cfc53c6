// Package report says what a run showed: a file for programs, a summary for people, plots, and one page that holds all.
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

// Result is one run.
type Result struct {
	Name    string          `json:"name"`
	About   string          `json:"about,omitempty"`
	Seed    uint64          `json:"seed"`
	Rule    string          `json:"rule"` // what decided: minttray, or a baseline
	LengthSeconds  float64         `json:"length_s"`
	WarmUpSeconds    float64         `json:"warm_s"`
	InvalidReasons    []string        `json:"void,omitempty"` // why it proves nothing
	Crashes []string        `json:"crashes,omitempty"`
	Verdict *ledger.Verdict `json:"verdict"`
	Stats measure.Stats `json:"figures"`
	Events  []faults.Event  `json:"events"`
	PeakUsage    measure.Usage     `json:"peak"`              // CPU: seconds of all proxies together
	StandInLateShare float64         `json:"stand_ins_stalled"` // share of their work that ended over 5 ms late
	LedgerRecords int64           `json:"records"`
	ClientConnsOpened  int64           `json:"connections_opened"`  // by clients
	CacheConnsRefused int64           `json:"connections_refused"` // by caches

	ProxyCounters           map[string]int64 `json:"vars,omitempty"`  // what the proxies that run at the end count of themselves, summed
	ClientConnsRefused int64            `json:"clients_refused"` // connections of clients, by proxies
	OriginFetches        int64            `json:"origin_fetches"`
	ListBytes      int64            `json:"list_bytes"` // of lists, written to all proxies
}

// ExitStatus is the exit status that a run earns.
func (r *Result) ExitStatus() int {
	switch {
	case r.Verdict != nil && !r.Verdict.Passed() || len(r.Crashes) > 0:
		return 1
	case len(r.InvalidReasons) > 0:
		return 3
	}
	return 0
}

// Write puts everything into a directory.
func (r *Result) Write(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), text, 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "summary.txt"), []byte(r.Summary()), 0o644); err != nil {
		return err
	}
	plots, err := r.plots()
	if err != nil {
		return err
	}
	for name, svg := range plots {
		if err := os.WriteFile(filepath.Join(dir, name+".svg"), svg, 0o644); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), r.page(plots), 0o644)
}

// Read takes a result from a run's directory, or from its file.
func Read(path string) (*Result, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, "result.json")
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

// Summary is what the terminal shows.
func (r *Result) Summary() string {
	var b strings.Builder
	f := r.Stats
	fmt.Fprintf(&b, "%s, seed %d, %s\n", r.Name, r.Seed, r.Rule)
	for _, v := range r.InvalidReasons {
		fmt.Fprintf(&b, "VOID: %s\n", v)
	}
	for _, c := range r.Crashes {
		fmt.Fprintf(&b, "CRASH: %s\n", c)
	}
	fmt.Fprintf(&b, "service %.4f   worst 10 s %.4f (from %d s)   tries an op %.2f   origin fetches %d\n", f.Total.Service, f.Worst10s, f.Worst10sStart,
		f.TriesPerOp, r.OriginFetches)
	if f.RecoverySeconds < 0 {
		b.WriteString("service is not back within 2% of before by the end of the run\n")
	} else {
		fmt.Fprintf(&b, "service is back within 2%% of before %.0f s after the last fault\n", f.RecoverySeconds)
	}
	if n := len(f.RestartedByAge); n > 0 {
		fmt.Fprintf(&b, "processes that came anew: service")
		for _, a := range f.RestartedByAge[:min(n, 8)] {
			fmt.Fprintf(&b, " %.3f", a.Service)
		}
		fmt.Fprintf(&b, " by half second; peers %.3f; settled after %.1f s\n", f.Peers.Service, f.SettleSeconds)
	}
	fmt.Fprintf(&b, "%-20s %8s %9s %9s %9s %9s %9s\n", "", "ops", "service", "p50 ms", "p90", "p99", "max")
	for _, p := range append(append([]measure.Part{f.Total}, f.Categories...), f.Tenants...) {
		fmt.Fprintf(&b, "%-20s %8d %9.4f %9.1f %9.1f %9.1f %9.1f\n", p.Name, p.Ops, p.Service, p.P50, p.P90, p.P99, p.Max)
	}
	fmt.Fprintf(&b, "proxies: %.2f CPU seconds, %.0f MB and %d descriptors at most in one; client connections opened %d, refused %d; refused by caches %d; %d KB of lists\n",
		r.PeakUsage.CPU, r.PeakUsage.MemoryMB, r.PeakUsage.Descriptors, r.ClientConnsOpened, r.ClientConnsRefused, r.CacheConnsRefused, r.ListBytes>>10)
	fmt.Fprintf(&b, "lab: %.2f%% sent within 5 ms of their time, half within %.2f ms, 99%% within %.2f ms; %.2f%% of the stand-ins' work over 5 ms late\n",
		100*f.SentWithin5ms, f.SendDelayP50, f.SendDelayP99, 100*r.StandInLateShare)
	if v := r.Verdict; v != nil {
		b.WriteString(rules(v))
	}
	return b.String()
}

func rules(v *ledger.Verdict) string {
	var b strings.Builder
	names := make([]string, 0, len(v.Answers))
	for n := range v.Answers {
		names = append(names, n)
	}
	sort.Strings(names)
	fmt.Fprintf(&b, "ledger: %d tries, %d pushes;", v.Ops, v.Pushes)
	for _, n := range names {
		fmt.Fprintf(&b, " %s %d,", n, v.Answers[n])
	}
	fmt.Fprintf(&b, " clients gone first %d, held by a proxy that was ended %d, of which %d were pushed\n", v.ClientsLeft, v.KilledOps, v.KilledAfterPush)
	if v.Passed() {
		fmt.Fprintf(&b, "rules kept (cold caches at %.0f%% of their bound at most, a refusal at most %v after its last push)\n", 100*v.MaxColdLoad,
			v.MaxRefusalDelay.Round(1e6))
		return b.String()
	}
	broken := make([]string, 0, len(v.Violations))
	for n := range v.Violations {
		broken = append(broken, n)
	}
	sort.Strings(broken)
	for _, n := range broken {
		fmt.Fprintf(&b, "RULE BROKEN: %s, %d times\n", n, v.Violations[n])
	}
	shown := map[string]int{}
	for _, f := range v.Findings {
		if shown[f.Rule]++; shown[f.Rule] > 2 {
			continue
		}
		fmt.Fprintf(&b, "  %s %s: %s\n", f.Rule, f.Op, f.Message)
		for _, h := range f.History {
			fmt.Fprintf(&b, "      %s\n", h)
		}
	}
	return b.String()
}
