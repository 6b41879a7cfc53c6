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

// Sites that are lost, cut off, return and are lost again, and processes that are stopped, with real proxies at several sites. No rule
// may be broken and every try must have one end. The checks depend on counts alone.
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
			if sum < v.Ops || sum > v.Ops+v.StalledOps { // an op of a stopped proxy may have been answered too
				t.Errorf("%d tries but %d ends: %+v", v.Ops, sum, v)
			}
			if n := r.ProxyCounters; name == "site-by-hand" &&
				(n["svc_sites_out"] != 0 || n["svc_site_cache_nodes_out"] != 0 || n["unanswered"] != 0 || v.KilledOps > 0) {
				t.Errorf("sites still detached, a proxy unreachable or ops lost: %v, %d ops lost with their process", n, v.KilledOps)
			}
			if name == "stalls" && v.StalledOps == 0 {
				t.Error("no op was sent to a stopped proxy")
			}
		})
	}
}

// The judge must detect faulty proxies, and find no violation by minttray in the same experiments. The faults are: a rule that returns the
// whole load to a returned site at once, so that its cold caches are overloaded; a rule that retries an at-most-once op at another site
// after its connection was reset; proxies that push for clients that have left, that forward the client's original deadline with a retry,
// or that close a connection after reading a request or before sending its answer.
func TestPlantedFaults(t *testing.T) {
	t.Parallel()
	daemon := buildProgram(t, "minttray")
	patientClients := []string{"caches.mode=\"through\"", "clients.leave=0.5", "rules.slack=\"200ms\"", "load.rate=40"}
	for name, c := range map[string]struct {
		rule      string
		breaks    string // the ledger rule that it breaks
		file      string
		overrides []string
	}{
		"seats at once": {"rendezvous", ledger.RuleColdOverload, "site-lost-short",
			[]string{"caches.cold_from=0.05", "caches.warm_up=8s", "rules.fall_multiple=1", "load.rate=900"}},
		"sent on":      {"reckless", ledger.RuleDuplicateEffect, "site-cut-short", []string{"caches.mode=\"through\"", "load.rate=600"}},
		"for nobody":   {baseline.IgnoresClientClose, ledger.RulePushAfterClientLeft, "smoke", patientClients},
		"drops read":   {baseline.ClosesAfterRead, ledger.RuleAnswerLost, "smoke", nil},
		"drops answer": {baseline.ClosesBeforeReply, ledger.RuleAnswerLost, "smoke", nil},
		"own deadline": {baseline.ForwardsClientDeadline, ledger.RuleDeadline, "smoke", patientClients},
	} {
		for _, rule := range []string{c.rule, "minttray"} {
			t.Run(name+", "+rule, func(t *testing.T) {
				t.Parallel()
				x, err := experiment.Read("../../experiments/"+c.file+".toml", c.overrides...)
				if err != nil {
					t.Fatal(err)
				}
				if name == "sent on" {
					x.Categories[0].Share, x.Categories[2].Share = x.Categories[2].Share, x.Categories[0].Share
					for n := range 20 {
						start := time.Duration(n+1) * 500 * time.Millisecond
						x.Faults = append(x.Faults, experiment.Fault{Kind: "reset", Zone: "b", Start: experiment.Duration(start)})
					}
				}
				if name == "for nobody" || name == "own deadline" { // long deadlines, with clients that leave early
					x.Faults = nil
					for i := range x.Categories {
						c := &x.Categories[i]
						c.TTL = experiment.Duration(4 * time.Second)
						c.Target = experiment.Duration(3 * time.Second)
						c.Work = experiment.Duration(500 * time.Millisecond)
					}
				}
				o := Options{Command: []string{daemon}, Rule: rule}
				if rule != "minttray" {
					o.Command = []string{buildProgram(t, "mintbase")}
					o.Env = []string{"MINTBASE_RULE=" + rule}
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

// ComparePlan must print the planned and the measured values of each loss in the same row.
func TestComparePlan(t *testing.T) {
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
		t.Errorf("unexpected table:\n%s", out.String())
	}
}
