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

// build puts a program of this repository where a test can start it.
func buildProgram(t *testing.T, name string) string {
	path := filepath.Join(t.TempDir(), name)
	if out, err := exec.Command("go", "build", "-o", path, "minttray/cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// Experiments that run beside each other at most: each takes most of a core, and a lab without a core runs late.
var (
	slots     = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	exclusive sync.RWMutex
)

// played plays an experiment to its verdict. Where the lab itself ran late its ledger shows nothing, neither a rule that broke nor
// one that was kept: such a run is never a pass. It is played again with no other beside it, twice at most, and fails then.
func executeValid(t *testing.T, x *experiment.File, o Options) (r *report.Result, dir string) {
	t.Helper()
	o.Stop = make(chan struct{})
	play := func() (late bool) {
		dir = t.TempDir()
		o.Dir = dir
		var err error
		if r, err = Execute(x, o); err != nil {
			t.Fatal(err)
		}
		for _, why := range r.InvalidReasons {
			if strings.HasPrefix(why, "a fault could not be played") {
				t.Fatal(why)
			}
			late = late || strings.HasPrefix(why, "the lab ran late") || strings.HasPrefix(why, "stand-ins stalled")
		}
		t.Logf("%s: %.1f%% sent in time, %.1f%% of the stand-ins' work late", x.Name, 100*r.Stats.SentWithin5ms, 100*r.StandInLateShare)
		return late
	}
	late := func() bool {
		slots <- struct{}{}
		exclusive.RLock()
		defer func() { exclusive.RUnlock(); <-slots }()
		return play()
	}()
	for again := 0; late && again < 2; again++ {
		t.Logf("proves nothing, played again alone: %s", r.Summary())
		late = func() bool {
			exclusive.Lock()
			defer exclusive.Unlock()
			return play()
		}()
	}
	if late {
		t.Fatalf("the machine is too busy to show anything: %s", r.Summary())
	}
	return r, dir
}

// Real daemons, a cache that dies, one that drains, a proxy that is killed: the verdict hangs on counts alone.
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
		t.Errorf("%d tries, %d ends: %+v", v.Ops, sum, v)
	}
	for _, name := range []string{"result.json", "summary.txt", "report.html", "service.svg", "ledger.bin"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	told := 0
	in, _ := os.Open(filepath.Join(dir, "ledger.bin"))
	defer in.Close()
	ledger.Read(in, func(r ledger.Record) {
		if r.Kind == ledger.StateAnnounced {
			told++
		}
	})
	if told < x.Proxies.Count {
		t.Errorf("proxies were told of a drain or a death %d times", told)
	}
}

// A fleet that is short as a whole, and an origin that is: no op is lost, none is held back, most of what can't be served is
// refused rather than pushed. Counts alone; how much is served hangs on the machine.
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

// Retries behind late misses, lost answers, resets, slow ways and stalls: no attempt passes its server more than its client has left, nor
// nothing. There are retries to judge, and attempts at the origin.
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
		t.Errorf("%d proxies were stopped for a while", stalls)
	}
	if v.DeadlinesChecked != v.Pushes || v.Pushes < v.Ops+200 || r.OriginFetches < 200 {
		t.Errorf("%d deadlines of %d attempts for %d tries were judged, %d fetches: too few to show anything", v.DeadlinesChecked, v.Pushes, v.Ops, r.OriginFetches)
	}
}

// Operators at work under load, played to verdicts by counts: both processes of an upgrade are one life to the ledger, so that
// what either loses is lost, a push to a cache after the yes is one to a drained cache, and a proxy that goes on saying yes, or
// holds idle connections 4 s after clients were sent away, is a failure of the run.
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
		// The proxies' own figures against the ledger, where none was replaced: what clients that had gone were owed may count.
		if n := r.ProxyCounters; name == "lameduck-short" {
			gone := int64(v.ClientsLeft + v.Answers["crossed"])
			for figure, answers := range map[string]int{"svc_served": v.Answers["acked"], "svc_refused": v.Answers["nacked"], "svc_failed": v.Answers["dead-lettered"]} {
				if n[figure] < int64(answers) || n[figure] > int64(answers)+gone {
					t.Errorf("%s is %d, and clients got %d", figure, n[figure], answers)
				}
			}
			if n["svc_in_flight"] != 0 || n["unanswered"] != 0 || n["svc_attempts"] < n["svc_served"] {
				t.Errorf("%v", n)
			}
		}
		hands := 0
		in, _ := os.Open(filepath.Join(dir, "ledger.bin"))
		defer in.Close()
		ledger.Read(in, func(r ledger.Record) {
			if r.Kind == ledger.OperatorOverride {
				hands++
			}
		})
		if hands != calls*x.Proxies.Count {
			t.Errorf("%s: %d calls of operators booked, by %d proxies", name, hands, x.Proxies.Count)
		}
	}
}

// Proxies restarted round and round by SIGTERM, SIGKILL and upgrades, and by upgrades alone: every try that was taken ends in one
// answer unless SIGKILL took its proxy, and where all restarts are upgrades nothing is lost and no connection is refused.
func TestRollingWaves(t *testing.T) {
	t.Parallel()
	daemon := buildProgram(t, "minttray")
	for _, by := range []string{"mixed", "upgrade"} {
		x, err := experiment.Read("../../experiments/waves-short.toml")
		if err != nil {
			t.Fatal(err)
		}
		x.Faults[0].Mode = by
		r, _ := executeValid(t, x, Options{Command: []string{daemon}, Rule: "minttray"})
		v := r.Verdict
		if !v.Passed() || !v.Complete || len(r.Crashes) > 0 || v.Answers["acked"] < 100 || len(r.Stats.RestartedByAge) == 0 {
			t.Errorf("%s: %s", by, r.Summary())
		}
		if by == "upgrade" && (v.KilledOps > 0 || r.ClientConnsRefused > 0) {
			t.Errorf("%d held by a process that ended, %d connections refused", v.KilledOps, r.ClientConnsRefused)
		}
	}
}

// Danger: a daemon that doesn't start must be named with what it said, and must leave nothing running.
func TestADaemonThatDoesNotStartIsNamed(t *testing.T) {
	x, err := experiment.Read("../../experiments/smoke.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, err = Execute(x, Options{Dir: t.TempDir(), Command: []string{"sh", "-c", "echo no such luck >&2; exit 3"}, Stop: make(chan struct{})})
	if err == nil || !strings.Contains(err.Error(), "no such luck") || !strings.Contains(err.Error(), "proxy ") {
		t.Errorf("%v", err)
	}
}

// A run that is interrupted ends soon, ends its processes, and is void, not lost.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	x, err := experiment.Read("../../experiments/smoke.toml", "length=10m", "proxies.count=1")
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	seconds := 0
	say := func(string, ...any) { // a line a second, once ops are sent
		if seconds++; seconds == 2 {
			close(stop)
		}
	}
	r, err := Execute(x, Options{Logf: say, Dir: t.TempDir(), Command: []string{buildProgram(t, "mintbase")}, Env: []string{"MINTBASE_RULE=rendezvous"}, Stop: stop})
	if err != nil || r.ExitStatus() != 3 || r.Verdict.Complete || !r.Verdict.Passed() || r.Verdict.Ops == 0 {
		t.Errorf("%v, %+v", err, r)
	}
}
