package run

import (
	"strings"
	"testing"
	"time"

	"minttray/lab/baseline"
	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/measure"
	"minttray/lab/report"
)

// Sites that are lost, cut off, come back and are lost again, and processes that stand still: six real daemons over three sites.
// The verdict hangs on counts alone: every try has one end, no rule is broken, whatever was asked of the lab was done.
func TestSites(t *testing.T) {
	t.Parallel()
	daemon := buildProgram(t, "minttray")
	for _, name := range []string{"site-lost", "site-cut", "site-cut-ways", "site-flaps", "two-sites", "site-by-hand", "site-busy", "stalls"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x, err := experiment.Read("../../experiments/" + name + "-short.toml")
			if err != nil {
				t.Fatal(err)
			}
			r, _ := executeValid(t, x, Options{Command: []string{daemon}, Rule: "minttray"})
			v := r.Verdict
			if !v.Passed() || !v.Complete || len(r.Crashes) > 0 || v.Answers["acked"] < 500 {
				t.Errorf("%s", r.Summary())
			}
			sum := v.ClientsLeft + v.KilledOps + v.StalledOps
			for _, n := range v.Answers {
				sum += n
			}
			if sum < v.Ops || sum > v.Ops+v.StalledOps { // one that stood still may have answered all the same
				t.Errorf("%d tries, %d ends: %+v", v.Ops, sum, v)
			}
			if n := r.ProxyCounters; name == "site-by-hand" && (n["svc_sites_out"] != 0 || n["svc_site_cache_nodes_out"] != 0 || n["unanswered"] != 0 || v.KilledOps > 0) {
				t.Errorf("%v, %d held by processes that ended", n, v.KilledOps)
			}
			if name == "stalls" && v.StalledOps == 0 {
				t.Error("nobody was asked while it stood still")
			}
		})
	}
}

// Planted faults: a rule that gives a returned site its seats back at once, so that all proxies together push its cold caches
// over; one that sends an at-most-once op on to another site as the ways to the first are reset; a proxy that sends ops on for clients
// that have left; one that passes the client's own deadline with a retry; those that close a connection on a request that they have read,
// or whose answer has come. All are found, and the module, told the same terms on the same day, does none.
func TestPlantedFaults(t *testing.T) {
	t.Parallel()
	daemon := buildProgram(t, "minttray")
	patient := []string{"caches.mode=\"through\"", "clients.leave=0.5", "rules.slack=\"200ms\"", "load.rate=40"}
	for name, c := range map[string]struct {
		rule, breaks, file string
		set                []string
	}{
		"seats at once": {"rendezvous", ledger.RuleColdOverload, "site-lost-short", []string{"caches.cold_from=0.05", "caches.warm_up=8s", "rules.fall_multiple=1", "load.rate=900"}},
		"sent on":       {"reckless", ledger.RuleDuplicateEffect, "site-cut-short", []string{"caches.mode=\"through\"", "load.rate=600"}},
		"for nobody":    {baseline.IgnoresClientClose, ledger.RulePushAfterClientLeft, "smoke", patient},
		"drops read":    {baseline.ClosesAfterRead, ledger.RuleAnswerLost, "smoke", nil},
		"drops answer":  {baseline.ClosesBeforeReply, ledger.RuleAnswerLost, "smoke", nil},
		"own deadline":  {baseline.ForwardsClientDeadline, ledger.RuleDeadline, "smoke", patient},
	} {
		for _, rule := range []string{c.rule, "minttray"} {
			t.Run(name+", "+rule, func(t *testing.T) {
				t.Parallel()
				x, err := experiment.Read("../../experiments/"+c.file+".toml", c.set...)
				if err != nil {
					t.Fatal(err)
				}
				if name == "sent on" {
					x.Categories[0].Share, x.Categories[2].Share = x.Categories[2].Share, x.Categories[0].Share
					for n := range 20 {
						x.Faults = append(x.Faults, experiment.Fault{Kind: "reset", Zone: "b", Start: experiment.Duration(time.Duration(n+1) * 500 * time.Millisecond)})
					}
				}
				if name == "for nobody" || name == "own deadline" { // clients that wait for long, and leave early
					x.Faults = nil
					for i := range x.Categories {
						c := &x.Categories[i]
						c.TTL, c.Target, c.Work = experiment.Duration(4*time.Second), experiment.Duration(3*time.Second), experiment.Duration(500*time.Millisecond)
					}
				}
				o := Options{Command: []string{daemon}, Rule: rule}
				if rule != "minttray" {
					o.Command, o.Env = []string{buildProgram(t, "mintbase")}, []string{"MINTBASE_RULE=" + rule}
				}
				r, _ := executeValid(t, x, o)
				if name == "for nobody" && r.Verdict.ClientsLeft == 0 {
					t.Error("no client has left")
				}
				if rule == "minttray" && !r.Verdict.Passed() || rule != "minttray" && r.Verdict.Violations[c.breaks] == 0 {
					t.Errorf("%s", r.Summary())
				}
			})
		}
	}
}

// What a plan foretold and what a run showed are set beside each other for each loss; the columns are those that a reader compares.
func TestSeen(t *testing.T) {
	x, err := experiment.Read("../../experiments/site-lost.toml")
	if err != nil {
		t.Fatal(err)
	}
	r := &report.Result{}
	r.Stats.Seconds = make([]*measure.Second, 60)
	for i := range r.Stats.Seconds {
		r.Stats.Seconds[i] = &measure.Second{BenefitRequested: 10, BenefitInTime: 9, Fetches: 400}
	}
	plans := `[{"Lost":["b"],"Phases":[{"Name":"at once","Served":0.5,"Asked":{"Fetches":500}},{"Name":"settled","Served":1},{"Name":"return","Served":1}]}]`
	var out strings.Builder
	if err := ComparePlan(&out, x, strings.NewReader(plans), r); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 || strings.Join(strings.Fields(lines[1]), " ") != "site-lost b at once 0.500 0.900 500 400" {
		t.Errorf("%s", out.String())
	}
}
