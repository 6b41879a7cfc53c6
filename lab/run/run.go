// Package run plays one experiment: it puts the world up, starts the proxies, plays load and faults, ends all that it
// started, and judges the ledger.
package run

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/faults"
	"minttray/lab/ledger"
	"minttray/lab/load"
	"minttray/lab/measure"
	"minttray/lab/report"
	"minttray/lab/world"
)

// Options is what a run is made of beside its file.
type Options struct {
	Dir     string   // for its results; made if it is not there
	Command []string // a proxy's program
	Env     []string
	Rule    string // what decides in it, for the report
	Logf    func(format string, args ...any)
	Stop    <-chan struct{}
}

const (
	maxSendDelay     = 5 * time.Millisecond // of the lab itself
	minPunctualShare = 0.95                 // of the ops that must be sent within that
	settleTime       = 300 * time.Millisecond
)

// Play plays an experiment. An error means that there is nothing to judge; a run that proves nothing has its reasons
// under Void.
func Execute(exp *experiment.File, options Options) (*report.Result, error) {
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(options.Dir, "ledger.bin")
	writer, err := ledger.Create(path)
	if err != nil {
		return nil, err
	}
	w, err := world.New(exp, writer)
	if err != nil {
		writer.Close()
		return nil, err
	}
	defer w.Close()
	prefillCaches(exp, w)
	proxies, err := newFleet(exp, w, options.Dir, options.Command, options.Env)
	defer proxies.stopAll()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	meter := measure.NewMeter(exp)
	balancer := load.NewBalancer(exp, proxies.proxies)
	balancer.Links = w.Links
	generator := load.NewGenerator(exp, balancer, writer, meter, w.Start())
	start := w.Now()
	player := faults.New(w, proxies, start, options.Stop)
	faultsDone := make(chan struct{})
	go func() { player.Run(); close(faultsDone) }()
	samplerDone := make(chan struct{})
	loadDone := make(chan struct{})
	var peak measure.Usage
	go func() {
		peak = sampleEverySecond(exp, w, proxies, balancer, meter, start, loadDone, options.Logf)
		close(samplerDone)
	}()
	generator.Run(start, options.Stop)
	close(loadDone)
	<-samplerDone
	interrupted := false
	select {
	case <-options.Stop:
		interrupted = true
	default:
	}
	if interrupted {
		<-faultsDone
	} else {
		select {
		case <-faultsDone:
		case <-time.After(stopTimeout + exp.Length.Std()):
		}
	}
	counters := proxies.counters()
	proxies.stopAll()
	if !interrupted {
		writer.Append(ledger.Record{Kind: ledger.RunFinished, At: w.Now()})
	}
	w.Close()
	records, err := writer.Close()
	result := &report.Result{Name: exp.Name, About: exp.About, Seed: exp.Seed, Rule: options.Rule, Stats: meter.Summarize(), LedgerRecords: records, PeakUsage: peak,
		LengthSeconds: exp.Length.Std().Seconds(), WarmUpSeconds: exp.WarmUp.Std().Seconds(), ClientConnsOpened: balancer.ConnsOpened.Load(), ProxyCounters: counters, ClientConnsRefused: balancer.ConnsRefused.Load(), OriginFetches: w.Origin.Fetches.Load(), ListBytes: w.Registry.BytesSent.Load()}
	if err != nil {
		result.InvalidReasons = append(result.InvalidReasons, "the ledger's disk: "+err.Error())
	}
	if interrupted {
		result.InvalidReasons = append(result.InvalidReasons, "interrupted")
	}
	for _, c := range w.Caches() {
		result.CacheConnsRefused += c.RefusedConns.Load()
	}
	events, errs := player.Events()
	result.Events = events
	for _, e := range errs {
		result.InvalidReasons = append(result.InvalidReasons, "a fault could not be played: "+e.Error())
	}
	result.Crashes = proxies.crashReports()
	if result.Stats.SentWithin5ms < minPunctualShare {
		result.InvalidReasons = append(result.InvalidReasons, fmt.Sprintf("the lab ran late: %.1f%% of the ops were sent within %v of their time, %.0f%% are wanted",
			100*result.Stats.SentWithin5ms, maxSendDelay, 100*minPunctualShare))
	}
	if result.StandInLateShare = w.LateWorkShare(); result.StandInLateShare > 1-minPunctualShare {
		result.InvalidReasons = append(result.InvalidReasons, fmt.Sprintf("stand-ins stalled: %.1f%% of their work ended over %v late", 100*result.StandInLateShare, maxSendDelay))
	}
	if result.Stats.UnsentOps > 0 {
		result.InvalidReasons = append(result.InvalidReasons, fmt.Sprintf("%d ops could not be sent: too many were out", result.Stats.UnsentOps))
	}
	if result.Verdict, err = Judge(path, exp, w.Zones()); err != nil {
		return result, err
	}
	return result, result.Write(options.Dir)
}

// Judge reads a ledger and gives the verdict on the rules.
func Judge(path string, exp *experiment.File, zones map[uint32]int) (*ledger.Verdict, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	params := ledger.RuleParams{ServerZone: zones, DrainGrace: exp.Rules.DrainGrace.Std(), OverloadFactor: exp.Rules.OverloadFactor, OverloadWindow: exp.Rules.OverloadWindow.Std(),
		ColdCapacityShare: exp.Caches.ColdCapacityShare, WarmUp: exp.Caches.WarmUp.Std(), MaxPushes: exp.Rules.MaxPushes, AllowConcurrentPushes: exp.Rules.AllowConcurrentPushes,
		Slack: exp.Rules.Slack.Std()}
	for _, c := range exp.Categories {
		maxRefusalDelay := exp.Rules.MaxRefusalDelay.Std()
		if maxRefusalDelay == 0 {
			maxRefusalDelay = c.TTL.Std() / 2
		}
		params.Categories = append(params.Categories, ledger.Category{TTL: c.TTL.Std(), DedupWindow: c.DedupWindow.Std(), Effect: c.Effect, ZoneScopedDedup: c.DedupGroup == "zone",
			MaxRefusalDelay: maxRefusalDelay})
	}
	judge := ledger.NewJudge(params)
	if err := ledger.Read(in, judge.Add); err != nil {
		return nil, err
	}
	return judge.Finish(), nil
}

// fill lets every cache hold the most asked keys, as many as it has room for. Which of them a proxy would ask for a
// key is not known here: the rest comes in the run's first seconds.
func prefillCaches(exp *experiment.File, w *world.World) {
	if !exp.Caches.Prefilled {
		return
	}
	size := 0
	for _, c := range exp.Categories {
		size = max(size, c.Size)
	}
	keysPerCache := int(exp.Caches.MemoryMB * (1 << 20) / float64(size))
	for _, c := range w.Caches() {
		for rank := min(keysPerCache, exp.Keys.Count) - 1; rank >= 0; rank-- {
			c.Prefill(fmt.Sprintf("%016x", load.KeyOf(exp, uint64(rank), 0)), size)
		}
	}
}

// sample takes figures each second.
func sampleEverySecond(exp *experiment.File, w *world.World, proxies *fleet, front *load.Balancer, meter *measure.Meter, start time.Duration,
	ended <-chan struct{}, logf func(string, ...any)) (peak measure.Usage) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	fetches, opened, last := w.Origin.Fetches.Load(), front.ConnsOpened.Load(), proxies.processUsage()
	for {
		select {
		case <-ended:
			return peak
		case <-ticker.C:
		}
		elapsed := w.Now() - start - time.Second/2
		cpu, memory, conns, waiting := 0.0, 0.0, 0, 0
		now := proxies.processUsage()
		for i, u := range now {
			if u.CPU >= last[i].CPU {
				cpu += u.CPU - last[i].CPU
			}
			memory += u.MemoryMB
			peak.MemoryMB = max(peak.MemoryMB, u.MemoryMB)
			peak.Descriptors = max(peak.Descriptors, u.Descriptors)
		}
		last = now
		peak.CPU += cpu
		for _, c := range w.Caches() {
			conns += c.Connections()
			waiting += c.QueuedRequests()
		}
		fetchesNow, openedNow := w.Origin.Fetches.Load(), front.ConnsOpened.Load()
		meter.UpdateSecond(elapsed, func(s *measure.Second) {
			s.Fetches, s.ConnsOpened, s.Conns, s.QueuedRequests, s.CPU, s.MemoryMB = fetchesNow-fetches, openedNow-opened, conns, waiting, cpu, memory
		})
		if logf != nil {
			ops, service := meter.RecentService(elapsed)
			logf("%3.0f s  %5d ops  %5.1f%% in time  %4d fetches  %4d connections  %.2f cores", elapsed.Seconds()+0.5, ops, 100*service,
				fetchesNow-fetches, conns, cpu)
		}
		fetches, opened = fetchesNow, openedNow
	}
}
