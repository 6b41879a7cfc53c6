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

const (
	zipfOffset      = 8               // added to each rank in the Zipf distribution of keys; must equal that of the load generator
	detectionWindow = 2 * time.Second // length of the window after the detection of a loss in which plan and run are compared
	returnWindow    = 3 * time.Second // length of the windows before and after the return of a site
)

// PlanInput returns an experiment's deployment as the text of an input file of minttray plan, so that a plan can be compared with a run of
// the same experiment. The hit share follows from the popularity of the keys and the caches' memory.
func PlanInput(exp *experiment.File) string {
	var text strings.Builder
	maxValueSize := 0 // bytes; that of the largest category, so keysPerCache is a lower bound
	for _, c := range exp.Categories {
		maxValueSize = max(maxValueSize, c.Size)
	}
	keysPerCache := float64(int(exp.Caches.MemoryMB * (1 << 20) / float64(maxValueSize)))
	deployment := site.Deployment{
		KeyCount:     float64(exp.Keys.Count),
		ZipfExponent: exp.Keys.ZipfExponent,
		ZipfOffset:   zipfOffset,
	}
	hitShare := deployment.TopKeysShare(keysPerCache * float64(exp.Caches.Count))
	for _, c := range exp.Categories {
		if c.Write { // each write invalidates the copies of its key, so that the next read misses
			hitShare *= 1 - c.Share
		}
	}
	fmt.Fprintf(&text, "# %s, as input of minttray plan\n[keys]\ncount = %d\nzipf = %v\nflat = %d\nhits = %.4f\n\n",
		exp.Name, exp.Keys.Count, exp.Keys.ZipfExponent, zipfOffset, hitShare)
	// miss_work is the work of a lookup that misses as a share of a hit's; a cache in mode "aside" has lookupWorkDivisor 8 in lab/world.
	fmt.Fprintf(&text, "[origin]\nsite = %q\nfetches = %.1f\nmiss_work = 0.125\n\n",
		exp.Zones.Names[0], float64(exp.Origin.Cores)/exp.Origin.Work.Std().Seconds())
	fmt.Fprintf(&text, "[cold]\nfrom = %v\nwarm_up = %q\nfall_multiple = %v\ntip_after = %q\n\n",
		exp.Caches.ColdCapacityShare, exp.Caches.WarmUp.Std(), exp.Rules.OverloadFactor, exp.Rules.OverloadWindow.Std())
	proxies := make([]int, len(exp.Zones.Names))
	for n := range exp.Proxies.Count {
		proxies[exp.ZoneOfProxy(n)]++
	}
	for i, name := range exp.Zones.Names {
		fmt.Fprintf(&text, "[[site]]\nname = %q\nops = %.1f\nproxies = %d\n\n", name, exp.Load.Rate/float64(len(exp.Zones.Names)), proxies[i])
	}
	for n := range exp.Caches.Count {
		fmt.Fprintf(&text, "[[cache]]\nname = \"cache-%d\"\nsite = %q\ncores = %d\nkeys = %.0f\n\n",
			n+1, exp.Zones.Names[n%len(exp.Zones.Names)], exp.Caches.Cores, keysPerCache)
	}
	for _, c := range exp.Categories {
		fmt.Fprintf(&text, "[[category]]\nname = %q\nshare = %v\nbenefit = %v\nwork = %q\nwrite = %v\n\n",
			c.Name, c.Share, c.Benefit, c.Work.Std(), c.Write)
	}
	return text.String()
}

// ComparePlan prints a table of plans, as minttray plan --json writes them, and the measurements of a run of the same experiment. For
// each loss or cut of a site it compares three phases: the first seconds after the balancer has detected it, the last seconds before the
// site returns, and the first seconds after that. Served values are shares of the requested benefit.
func ComparePlan(out io.Writer, exp *experiment.File, plansJSON io.Reader, result *report.Result) error {
	var plans []site.Plan
	if err := json.NewDecoder(plansJSON).Decode(&plans); err != nil {
		return fmt.Errorf("reading the plans: %w", err)
	}
	table := tabwriter.NewWriter(out, 2, 4, 2, ' ', 0)
	fmt.Fprintln(table, "loss\tphase\tserved, planned\tserved, measured\tfetches/s, planned\tfetches/s, measured")
	for _, f := range exp.Faults {
		cut := f.Kind == "site-cut"
		i := slices.IndexFunc(plans, func(plan site.Plan) bool {
			return plan.Cut == cut && slices.Equal(plan.Lost, []string{f.Zone})
		})
		if i < 0 || f.Kind != "site-lost" && !cut {
			continue
		}
		detectedAt := f.Start.Std() + exp.Balancer.DetectionDelay.Std()
		returnAt := f.Start.Std() + f.Duration.Std()
		windows := [][2]time.Duration{
			{detectedAt, detectedAt + detectionWindow},
			{returnAt - returnWindow, returnAt},
			{returnAt, returnAt + returnWindow},
		}
		for phase, window := range windows {
			if phase == 1 && window[0] < detectedAt+detectionWindow { // the loss is too short for a settled phase
				continue
			}
			benefitRequested, benefitInTime, fetches, seconds := 0.0, 0.0, 0.0, 0.0
			for s := int(window[0] / time.Second); s < int(window[1]/time.Second) && s < len(result.Stats.Seconds); s++ {
				second := result.Stats.Seconds[s]
				benefitRequested += second.BenefitRequested
				benefitInTime += second.BenefitInTime
				fetches += float64(second.Fetches)
				seconds++
			}
			// The plan of a cut covers the clients of the cut site, which send 1/sites of the load. To all other clients the site
			// is lost. Clients of the cut site cause no more fetches than the
			// origin has capacity for, which is 0 if the cut separates the site from it.
			plannedPhase := plans[i].Phases[phase]
			served, fetchesPlanned := plannedPhase.Served, plannedPhase.Asked.Fetches
			if cut {
				loss := slices.IndexFunc(plans, func(plan site.Plan) bool {
					return !plan.Cut && slices.Equal(plan.Lost, []string{f.Zone})
				})
				sites := float64(len(exp.Zones.Names))
				served = plannedPhase.Served/sites + plans[loss].Phases[phase].Served*(1-1/sites)
				fetchesPlanned = min(plannedPhase.Asked.Fetches, plannedPhase.Has.Fetches) + plans[loss].Phases[phase].Asked.Fetches*(1-1/sites)
			}
			fmt.Fprintf(table, "%s %s\t%s\t%.3f\t%.3f\t%.0f\t%.0f\n",
				f.Kind, f.Zone, plannedPhase.Name, served, benefitInTime/max(benefitRequested, 1), fetchesPlanned, fetches/max(seconds, 1))
		}
	}
	return table.Flush()
}
