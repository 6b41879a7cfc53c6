package run

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/report"
)

// buildProgram builds a program of this repository and returns its path.
func buildProgram(t *testing.T, name string) string {
	path := filepath.Join(t.TempDir(), name)
	if out, err := exec.Command("go", "build", "-o", path, "minttray/cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

var (
	// slots limits the experiments that run in parallel: each takes most of a core, and without a core the laboratory runs late.
	slots = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	// exclusive is locked for writing by an experiment that must run alone.
	exclusive sync.RWMutex
)

// executeValid runs an experiment to its verdict. Where the laboratory itself ran late the ledger shows neither a broken rule nor a kept
// one, so such a run never passes: it is repeated alone, twice at most, and the test fails then.
func executeValid(t *testing.T, exp *experiment.File, options Options) (result *report.Result, dir string) {
	t.Helper()
	options.Stop = make(chan struct{})
	execute := func() (late bool) {
		dir = t.TempDir()
		options.Dir = dir
		var err error
		if result, err = Execute(exp, options); err != nil {
			t.Fatal(err)
		}
		for _, reason := range result.InvalidReasons {
			if strings.HasPrefix(reason, "a fault could not be played") {
				t.Fatal(reason)
			}
			late = late || strings.HasPrefix(reason, "the lab ran late") || strings.HasPrefix(reason, "stand-ins stalled")
		}
		t.Logf("%s: %.1f%% sent in time, %.1f%% of the stand-ins' work late", exp.Name, 100*result.Stats.SentWithin5ms, 100*result.StandInLateShare)
		return late
	}
	late := func() bool {
		slots <- struct{}{}
		exclusive.RLock()
		defer func() {
			exclusive.RUnlock()
			<-slots
		}()
		return execute()
	}()
	for retries := 0; late && retries < 2; retries++ {
		t.Logf("invalid run, repeated alone: %s", result.Summary())
		late = func() bool {
			exclusive.Lock()
			defer exclusive.Unlock()
			return execute()
		}()
	}
	if late {
		t.Fatalf("no valid run, the machine is too busy: %s", result.Summary())
	}
	return result, dir
}

// Real proxies, while a cache dies, another drains and a proxy is killed: no rule may be broken, every try must have one end, and all
// result files must be written. The checks depend on counts alone, not on the speed of the machine.
func TestSmoke(t *testing.T) {
	t.Parallel()
	x, err := experiment.Read("../../experiments/smoke.toml")
	if err != nil {
		t.Fatal(err)
	}
	r, dir := executeValid(t, x, Options{Command: []string{buildProgram(t, "minttray")}, Rule: "minttray"})
	v := r.Verdict
	if !v.Passed() || !v.Complete || len(r.Crashes) > 0 || v.Answers["acked"] < 100 || v.Pushes < v.Answers["acked"] {
		t.Errorf("%s", r.Summary())
	}
	if sum := v.Answers["acked"] + v.Answers["nacked"] + v.Answers["dead-lettered"] + v.Answers["crossed"] + v.ClientsLeft + v.KilledOps; sum != v.Ops {
		t.Errorf("%d tries but %d ends: %+v", v.Ops, sum, v)
	}
	for _, name := range []string{"result.json", "summary.txt", "report.html", "service.svg", "ledger.bin"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	announced := 0
	in, _ := os.Open(filepath.Join(dir, "ledger.bin"))
	defer in.Close()
	ledger.Read(in, func(r ledger.Record) {
		if r.Kind == ledger.StateAnnounced {
			announced++
		}
	})
	if announced < x.Proxies.Count {
		t.Errorf("%d drains and deaths announced to %d proxies", announced, x.Proxies.Count)
	}
}

// When all caches or the origin lack capacity, no op may be lost and no refusal held back. The share that is served depends on the
// machine and is not checked.
func TestShortages(t *testing.T) {
	t.Parallel()
	daemon := buildProgram(t, "minttray")
	for _, name := range []string{"all-slow-short", "origin-short-short"} {
		x, err := experiment.Read("../../experiments/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		r, _ := executeValid(t, x, Options{Command: []string{daemon}, Rule: "minttray"})
		v := r.Verdict
		if !v.Passed() || !v.Complete || len(r.Crashes) > 0 || v.Answers["acked"] < 100 {
			t.Errorf("%s: %s", name, r.Summary())
		}
	}
}

// After late misses, lost answers, resets, slow links and stalls, no attempt may forward a deadline later than its client's, or none. The
// run must have enough retries and attempts at the origin to judge.
func TestDeadlines(t *testing.T) {
	t.Parallel()
	x, err := experiment.Read("../../experiments/deadlines-short.toml")
	if err != nil {
		t.Fatal(err)
	}
	r, dir := executeValid(t, x, Options{Command: []string{buildProgram(t, "minttray")}, Rule: "minttray"})
	v := r.Verdict
	if !v.Passed() || !v.Complete || len(r.Crashes) > 0 || v.Answers["acked"] < 500 {
		t.Errorf("%s", r.Summary())
	}
	in, err := os.Open(filepath.Join(dir, "ledger.bin"))
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	stalls := 0
	ledger.Read(in, func(r ledger.Record) {
		if r.Kind == ledger.ProxyStalled && r.C == 1 {
			stalls++
		}
	})
	if stalls != 2 {
		t.Errorf("%d proxies were stopped, want 2", stalls)
	}
	if v.DeadlinesChecked != v.Pushes || v.Pushes < v.Ops+200 || r.OriginFetches < 200 {
		t.Errorf("%d deadlines checked of %d attempts for %d tries, %d fetches: not all checked, or too few",
			v.DeadlinesChecked, v.Pushes, v.Ops, r.OriginFetches)
	}
}

// Operators' calls under load. Both processes of an upgrade are one incarnation in the ledger, so that an op lost by either is a
// violation. So is a push to a cache after the successful answer to its detachment. A proxy that still answers PING in lameduck mode, or
// holds idle connections after 4 s of it, is an error of the run.
func TestOperators(t *testing.T) {
	t.Parallel()
	daemon := buildProgram(t, "minttray")
	for name, calls := range map[string]int{"upgrade-short": 2, "lameduck-short": 0} {
		x, err := experiment.Read("../../experiments/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		r, dir := executeValid(t, x, Options{Command: []string{daemon}, Rule: "minttray"})
		v := r.Verdict
		if !v.Passed() || !v.Complete || len(r.Crashes) > 0 || v.Answers["acked"] < 100 || v.KilledOps > 0 {
			t.Errorf("%s: %s", name, r.Summary())
		}
		// Compare the proxies' counters with the ledger where no proxy was replaced. Answers to clients that had left may be counted too.
		if n := r.ProxyCounters; name == "lameduck-short" {
			unanswered := int64(v.ClientsLeft + v.Answers["crossed"])
			answersByCounter := map[string]int{
				"svc_served":  v.Answers["acked"],
				"svc_refused": v.Answers["nacked"],
				"svc_failed":  v.Answers["dead-lettered"],
			}
			for counter, answers := range answersByCounter {
				if n[counter] < int64(answers) || n[counter] > int64(answers)+unanswered {
					t.Errorf("%s is %d, but clients received %d answers and %d may have missed one", counter, n[counter], answers, unanswered)
				}
			}
			if n["svc_in_flight"] != 0 || n["unanswered"] != 0 || n["svc_attempts"] < n["svc_served"] {
				t.Errorf("inconsistent counters: %v", n)
			}
		}
		overrides := 0
		in, _ := os.Open(filepath.Join(dir, "ledger.bin"))
		defer in.Close()
		ledger.Read(in, func(r ledger.Record) {
			if r.Kind == ledger.OperatorOverride {
				overrides++
			}
		})
		if overrides != calls*x.Proxies.Count {
			t.Errorf("%s: %d operators' calls recorded for %d proxies", name, overrides, x.Proxies.Count)
		}
	}
}

// Proxies are restarted in turn by SIGTERM, SIGKILL and upgrades, or by upgrades alone. Every accepted try must end in one answer unless
// its proxy was killed. With upgrades alone no op may be lost and no connection refused.
func TestRollingWaves(t *testing.T) {
	t.Parallel()
	daemon := buildProgram(t, "minttray")
	for _, mode := range []string{"mixed", "upgrade"} {
		x, err := experiment.Read("../../experiments/waves-short.toml")
		if err != nil {
			t.Fatal(err)
		}
		x.Faults[0].Mode = mode
		r, _ := executeValid(t, x, Options{Command: []string{daemon}, Rule: "minttray"})
		v := r.Verdict
		if !v.Passed() || !v.Complete || len(r.Crashes) > 0 || v.Answers["acked"] < 100 || len(r.Stats.RestartedByAge) == 0 {
			t.Errorf("%s: %s", mode, r.Summary())
		}
		if mode == "upgrade" && (v.KilledOps > 0 || r.ClientConnsRefused > 0) {
			t.Errorf("%d ops lost with their process, %d connections refused", v.KilledOps, r.ClientConnsRefused)
		}
	}
}

// The error for a proxy that does not start must name the proxy and quote its log.
func TestStartFailureQuotesLog(t *testing.T) {
	x, err := experiment.Read("../../experiments/smoke.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, err = Execute(x, Options{Dir: t.TempDir(), Command: []string{"sh", "-c", "echo no such luck >&2; exit 3"}, Stop: make(chan struct{})})
	if err == nil || !strings.Contains(err.Error(), "no such luck") || !strings.Contains(err.Error(), "proxy ") {
		t.Errorf("%v", err)
	}
}

// An interrupted run must end soon with an invalid result, and its ledger must still be judged.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	x, err := experiment.Read("../../experiments/smoke.toml", "length=10m", "proxies.count=1")
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	seconds := 0
	logf := func(string, ...any) { // called each second once ops are sent
		if seconds++; seconds == 2 {
			close(stop)
		}
	}
	r, err := Execute(x, Options{
		Logf:    logf,
		Dir:     t.TempDir(),
		Command: []string{buildProgram(t, "mintbase")},
		Env:     []string{"MINTBASE_RULE=rendezvous"},
		Stop:    stop,
	})
	if err != nil || r.ExitStatus() != 3 || r.Verdict.Complete || !r.Verdict.Passed() || r.Verdict.Ops == 0 {
		t.Errorf("%v, %+v", err, r)
	}
}
