package report

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

func plotDraw(c vg.CanvasSizer) draw.Canvas { return draw.New(c) }

// Spread is a figure over several runs.
type Spread struct{ Min, Median, Max float64 }

func spread(all []float64) Spread {
	if len(all) == 0 {
		return Spread{math.NaN(), math.NaN(), math.NaN()}
	}
	all = slices.Clone(all)
	slices.Sort(all)
	n := len(all)
	return Spread{all[0], (all[(n-1)/2] + all[n/2]) / 2, all[n-1]}
}

func (s Spread) String() string { return fmt.Sprintf("%.4f (%.4f to %.4f)", s.Median, s.Min, s.Max) }

// Compare sets runs of two kinds side by side, in pairs of the same experiment and seed. A difference whose spread
// over the pairs holds 0 is none.
func Compare(a, b []*Result) string {
	type figure struct {
		name string
		of   func(*Result) float64
	}
	figures := []figure{
		{"service", func(r *Result) float64 { return r.Stats.Total.Service }},
		{"worst 10 s", func(r *Result) float64 { return r.Stats.Worst10s }},
		{"back after s", func(r *Result) float64 { // one that does not come back counts as the rest of its run
			if r.Stats.RecoverySeconds < 0 {
				return float64(r.LengthSeconds)
			}
			return r.Stats.RecoverySeconds
		}},
		{"settled s", func(r *Result) float64 {
			if r.Stats.SettleSeconds < 0 {
				return 10 // longer than is looked at
			}
			return r.Stats.SettleSeconds
		}},
		{"first second", func(r *Result) float64 { // of processes that came anew
			asked, got := 0.0, 0.0
			for _, a := range r.Stats.RestartedByAge[:min(2, len(r.Stats.RestartedByAge))] {
				asked, got = asked+float64(a.Tries), got+a.Service*float64(a.Tries)
			}
			return got / max(asked, 1)
		}},
		{"refused", func(r *Result) float64 { return float64(r.ClientConnsRefused) }},
		{"p50 ms", func(r *Result) float64 { return r.Stats.Total.P50 }},
		{"p99 ms", func(r *Result) float64 { return r.Stats.Total.P99 }},
		{"tries an op", func(r *Result) float64 { return r.Stats.TriesPerOp }},
		{"fetches", func(r *Result) float64 { return float64(r.OriginFetches) }},
		{"CPU s", func(r *Result) float64 { return r.PeakUsage.CPU }},
		{"rules broken", func(r *Result) float64 { return float64(len(r.Verdict.Violations)) }},
	}
	key := func(r *Result) string { return fmt.Sprintf("%s/%d", r.Name, r.Seed) }
	byKey := map[string]*Result{}
	for _, r := range b {
		byKey[key(r)] = r
	}
	var out strings.Builder
	pairs := [][2]*Result{}
	for _, r := range a {
		if other := byKey[key(r)]; other != nil {
			pairs = append(pairs, [2]*Result{r, other})
		} else {
			fmt.Fprintf(&out, "no pair for %s, seed %d\n", r.Name, r.Seed)
		}
	}
	if len(pairs) == 0 {
		return out.String() + "no two runs of the same experiment and seed\n"
	}
	fmt.Fprintf(&out, "%d pairs: A %s, B %s\n%-14s %-30s %-30s %s\n", len(pairs), pairs[0][0].Rule, pairs[0][1].Rule, "", "A", "B", "B - A, pair by pair")
	for _, f := range figures {
		var as, bs, ds []float64
		for _, p := range pairs {
			x, y := f.of(p[0]), f.of(p[1])
			as, bs, ds = append(as, x), append(bs, y), append(ds, y-x)
		}
		d := spread(ds)
		note := ""
		if d.Min <= 0 && d.Max >= 0 {
			note = "  within the spread"
		}
		fmt.Fprintf(&out, "%-14s %-30v %-30v %v%s\n", f.name, spread(as), spread(bs), d, note)
	}
	for _, r := range append(slices.Clone(a), b...) {
		if len(r.InvalidReasons) > 0 {
			fmt.Fprintf(&out, "VOID: %s, seed %d, %s: %s\n", r.Name, r.Seed, r.Rule, r.InvalidReasons[0])
		}
	}
	return out.String()
}

// Table sets experiments and rules side by side: the median service over the seeds, and what was broken.
func Table(all []*Result) string {
	var rules, names []string
	cells := map[string][]*Result{}
	for _, r := range all {
		if !slices.Contains(rules, r.Rule) {
			rules = append(rules, r.Rule)
		}
		if !slices.Contains(names, r.Name) {
			names = append(names, r.Name)
		}
		cells[r.Name+"\x00"+r.Rule] = append(cells[r.Name+"\x00"+r.Rule], r)
	}
	var b strings.Builder
	b.WriteString("| experiment |")
	for _, r := range rules {
		b.WriteString(" " + r + " |")
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(rules)+1) + "\n")
	for _, n := range names {
		b.WriteString("| " + n + " |")
		for _, rule := range rules {
			var service []float64
			broken, void := map[string]int{}, 0
			for _, r := range cells[n+"\x00"+rule] {
				service = append(service, r.Stats.Total.Service)
				if len(r.InvalidReasons) > 0 {
					void++
				}
				for k, v := range r.Verdict.Violations {
					broken[k] += v
				}
			}
			s := spread(service)
			fmt.Fprintf(&b, " %.3f (%.3f to %.3f)", s.Median, s.Min, s.Max)
			keys := make([]string, 0, len(broken))
			for k := range broken {
				keys = append(keys, k)
			}
			slices.Sort(keys)
			for _, k := range keys {
				fmt.Fprintf(&b, ", %s %d", k, broken[k])
			}
			if void > 0 {
				fmt.Fprintf(&b, ", %d void", void)
			}
			b.WriteString(" |")
		}
		b.WriteString("\n")
	}
	return b.String()
}
