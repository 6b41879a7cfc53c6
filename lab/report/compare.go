package report

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Spread is the distribution of a statistic over several runs.
type Spread struct{ Min, Median, Max float64 }

// newSpread returns the spread of values; without values, all of it is NaN.
func newSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{math.NaN(), math.NaN(), math.NaN()}
	}
	values = slices.Clone(values)
	slices.Sort(values)
	n := len(values)
	return Spread{values[0], (values[(n-1)/2] + values[n/2]) / 2, values[n-1]}
}

// String formats a spread as the median and, in brackets, the range.
func (s Spread) String() string { return fmt.Sprintf("%.4f (%.4f to %.4f)", s.Median, s.Min, s.Max) }

// neverSettledSeconds stands for the settle time of processes that did not settle: the age up to which they are measured.
const neverSettledSeconds = 10

// firstSecondBuckets is the number of age buckets in the first second of a process.
const firstSecondBuckets = 2

// statistics are the lines of a comparison.
var statistics = []struct {
	name  string
	value func(*Result) float64
}{
	{"service", func(r *Result) float64 { return r.Stats.Total.Service }},
	{"worst 10 s", func(r *Result) float64 { return r.Stats.Worst10s }},
	{"back after s", func(r *Result) float64 { // without recovery, the length of the run
		if r.Stats.RecoverySeconds < 0 {
			return float64(r.LengthSeconds)
		}
		return r.Stats.RecoverySeconds
	}},
	{"settled s", func(r *Result) float64 {
		if r.Stats.SettleSeconds < 0 {
			return neverSettledSeconds
		}
		return r.Stats.SettleSeconds
	}},
	{"first second", func(r *Result) float64 { // service of restarted processes, weighted by tries
		tries, served := 0.0, 0.0
		for _, bucket := range r.Stats.RestartedByAge[:min(firstSecondBuckets, len(r.Stats.RestartedByAge))] {
			tries, served = tries+float64(bucket.Tries), served+bucket.Service*float64(bucket.Tries)
		}
		return served / max(tries, 1)
	}},
	{"refused", func(r *Result) float64 { return float64(r.ClientConnsRefused) }},
	{"p50 ms", func(r *Result) float64 { return r.Stats.Total.P50 }},
	{"p99 ms", func(r *Result) float64 { return r.Stats.Total.P99 }},
	{"tries an op", func(r *Result) float64 { return r.Stats.TriesPerOp }},
	{"fetches", func(r *Result) float64 { return float64(r.OriginFetches) }},
	{"CPU s", func(r *Result) float64 { return r.PeakUsage.CPU }},
	{"rules broken", func(r *Result) float64 { return float64(len(r.Verdict.Violations)) }},
}

// runKey identifies the load that a run had.
type runKey struct {
	name string
	seed uint64
}

// Compare compares two sets of runs, in pairs of the same experiment and seed. A difference counts as none if the range of
// the differences of all pairs includes 0.
func Compare(a, b []*Result) string {
	bByKey := map[runKey]*Result{}
	for _, r := range b {
		bByKey[runKey{r.Name, r.Seed}] = r
	}
	var text strings.Builder
	pairs := [][2]*Result{}
	for _, r := range a {
		if other := bByKey[runKey{r.Name, r.Seed}]; other != nil {
			pairs = append(pairs, [2]*Result{r, other})
		} else {
			fmt.Fprintf(&text, "no pair for %s, seed %d\n", r.Name, r.Seed)
		}
	}
	if len(pairs) == 0 {
		return text.String() + "no two runs of the same experiment and seed\n"
	}
	fmt.Fprintf(&text, "%d pairs: A %s, B %s\n%-14s %-30s %-30s %s\n", len(pairs), pairs[0][0].Rule, pairs[0][1].Rule, "", "A", "B", "B - A, pair by pair")
	for _, statistic := range statistics {
		var aValues, bValues, differences []float64
		for _, pair := range pairs {
			x, y := statistic.value(pair[0]), statistic.value(pair[1])
			aValues, bValues, differences = append(aValues, x), append(bValues, y), append(differences, y-x)
		}
		difference := newSpread(differences)
		note := ""
		if difference.Min <= 0 && difference.Max >= 0 {
			note = "  within the spread"
		}
		fmt.Fprintf(&text, "%-14s %-30v %-30v %v%s\n", statistic.name, newSpread(aValues), newSpread(bValues), difference, note)
	}
	for _, r := range append(slices.Clone(a), b...) {
		if len(r.InvalidReasons) > 0 {
			fmt.Fprintf(&text, "VOID: %s, seed %d, %s: %s\n", r.Name, r.Seed, r.Rule, r.InvalidReasons[0])
		}
	}
	return text.String()
}

// tableCell identifies a cell of a table.
type tableCell struct {
	name string
	rule string
}

// Table returns a Markdown table of experiments by routing policies. Each cell holds the spread of the service over the
// seeds, the violated rules and the number of invalid runs.
func Table(results []*Result) string {
	var rules, names []string
	cells := map[tableCell][]*Result{}
	for _, r := range results {
		if !slices.Contains(rules, r.Rule) {
			rules = append(rules, r.Rule)
		}
		if !slices.Contains(names, r.Name) {
			names = append(names, r.Name)
		}
		cell := tableCell{r.Name, r.Rule}
		cells[cell] = append(cells[cell], r)
	}
	var b strings.Builder
	b.WriteString("| experiment |")
	for _, rule := range rules {
		b.WriteString(" " + rule + " |")
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(rules)+1) + "\n")
	for _, name := range names {
		b.WriteString("| " + name + " |")
		for _, rule := range rules {
			var services []float64
			violations, invalid := map[string]int{}, 0
			for _, r := range cells[tableCell{name, rule}] {
				services = append(services, r.Stats.Total.Service)
				if len(r.InvalidReasons) > 0 {
					invalid++
				}
				for violated, n := range r.Verdict.Violations {
					violations[violated] += n
				}
			}
			s := newSpread(services)
			fmt.Fprintf(&b, " %.3f (%.3f to %.3f)", s.Median, s.Min, s.Max)
			violated := make([]string, 0, len(violations))
			for name := range violations {
				violated = append(violated, name)
			}
			slices.Sort(violated)
			for _, name := range violated {
				fmt.Fprintf(&b, ", %s %d", name, violations[name])
			}
			if invalid > 0 {
				fmt.Fprintf(&b, ", %d void", invalid)
			}
			b.WriteString(" |")
		}
		b.WriteString("\n")
	}
	return b.String()
}
