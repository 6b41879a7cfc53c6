package run

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"minttray/decide/site"
	"minttray/lab/experiment"
	"minttray/lab/report"
)

// Forecast writes an experiment's deployment as the file that minttray plan reads, so that what it says and what a run of the
// same experiment shows can be set side by side. What hits is worked out from the keys' popularity and the caches' memory.
func PlanInput(x *experiment.File) string {
	var b strings.Builder
	size := 0
	for _, c := range x.Categories {
		size = max(size, c.Size)
	}
	keysPerCache := float64(int(x.Caches.MemoryMB * (1 << 20) / float64(size)))
	const zipfOffset = 8 // of the lab's draw
	d := site.Deployment{KeyCount: float64(x.Keys.Count), ZipfExponent: x.Keys.ZipfExponent, ZipfOffset: zipfOffset}
	hitShare := d.TopKeysShare(keysPerCache * float64(x.Caches.Count))
	for _, c := range x.Categories {
		if c.Write { // each voids the copies of its key, which the next read misses
			hitShare *= 1 - c.Share
		}
	}
	fmt.Fprintf(&b, "# %s, as a plan reads it\n[keys]\ncount = %d\nzipf = %v\nflat = %d\nhits = %.4f\n\n", x.Name, x.Keys.Count, x.Keys.ZipfExponent, zipfOffset,
		hitShare)
	fmt.Fprintf(&b, "[origin]\nsite = %q\nfetches = %.1f\nmiss_work = 0.125\n\n", x.Zones.Names[0], float64(x.Origin.Cores)/x.Origin.Work.Std().Seconds())
	fmt.Fprintf(&b, "[cold]\nfrom = %v\nwarm_up = %q\nfall_multiple = %v\ntip_after = %q\n\n", x.Caches.ColdCapacityShare, x.Caches.WarmUp.Std(), x.Rules.OverloadFactor,
		x.Rules.OverloadWindow.Std())
	proxies := make([]int, len(x.Zones.Names))
	for n := range x.Proxies.Count {
		proxies[x.ZoneOfProxy(n)]++
	}
	for i, name := range x.Zones.Names {
		fmt.Fprintf(&b, "[[site]]\nname = %q\nops = %.1f\nproxies = %d\n\n", name, x.Load.Rate/float64(len(x.Zones.Names)), proxies[i])
	}
	for n := range x.Caches.Count {
		fmt.Fprintf(&b, "[[cache]]\nname = \"cache-%d\"\nsite = %q\ncores = %d\nkeys = %.0f\n\n", n+1, x.Zones.Names[n%len(x.Zones.Names)], x.Caches.Cores, keysPerCache)
	}
	for _, c := range x.Categories {
		fmt.Fprintf(&b, "[[category]]\nname = %q\nshare = %v\nbenefit = %v\nwork = %q\nwrite = %v\n\n", c.Name, c.Share, c.Benefit, c.Work.Std(), c.Write)
	}
	return b.String()
}

// Seen sets what plans foretold (as minttray plan --json writes them) beside what a run of the same experiment showed, for each
// site that it lost or cut off: the two seconds after the front has noticed, the last three ahead of the return, the first
// three after it.
func ComparePlan(out io.Writer, x *experiment.File, plansJSON io.Reader, r *report.Result) error {
	var plans []site.Plan
	if err := json.NewDecoder(plansJSON).Decode(&plans); err != nil {
		return fmt.Errorf("plans: %w", err)
	}
	t := tabwriter.NewWriter(out, 2, 4, 2, ' ', 0)
	fmt.Fprintln(t, "loss\tphase\tserved, foretold\tseen\tfetches/s, foretold\tseen")
	for _, f := range x.Faults {
		cut := f.Kind == "site-cut"
		i := slices.IndexFunc(plans, func(p site.Plan) bool { return p.Cut == cut && slices.Equal(p.Lost, []string{f.Zone}) })
		if i < 0 || f.Kind != "site-lost" && !cut {
			continue
		}
		noticedAt := f.Start.Std() + x.Balancer.DetectionDelay.Std()
		returnAt := f.Start.Std() + f.Duration.Std()
		for n, window := range [][2]time.Duration{{noticedAt, noticedAt + 2*time.Second}, {returnAt - 3*time.Second, returnAt}, {returnAt, returnAt + 3*time.Second}} {
			if n == 1 && window[0] < noticedAt+2*time.Second { // too short a loss for anything to settle
				continue
			}
			requested, inTime, fetches, seconds := 0.0, 0.0, 0.0, 0.0
			for s := int(window[0] / time.Second); s < int(window[1]/time.Second) && s < len(r.Stats.Seconds); s++ {
				second := r.Stats.Seconds[s]
				requested, inTime, fetches, seconds = requested+second.BenefitRequested, inTime+second.BenefitInTime, fetches+float64(second.Fetches), seconds+1
			}
			// A cut concerns the clients of its site alone; the others go on as in the loss of that site.
			p := plans[i].Phases[n]
			served, wanted := p.Served, p.Asked.Fetches
			if cut {
				rest := slices.IndexFunc(plans, func(p site.Plan) bool { return !p.Cut && slices.Equal(p.Lost, []string{f.Zone}) })
				sites := float64(len(x.Zones.Names))
				served = p.Served/sites + plans[rest].Phases[n].Served*(1-1/sites)
				wanted = min(p.Asked.Fetches, p.Has.Fetches) + plans[rest].Phases[n].Asked.Fetches*(1-1/sites)
			}
			fmt.Fprintf(t, "%s %s\t%s\t%.3f\t%.3f\t%.0f\t%.0f\n", f.Kind, f.Zone, p.Name, served, inTime/max(requested, 1), wanted, fetches/max(seconds, 1))
		}
	}
	return t.Flush()
}
