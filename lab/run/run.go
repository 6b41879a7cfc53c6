// Package run executes an experiment: it starts the stand-ins and the proxies, generates the load, injects the faults, ends all
// processes that it started, and judges the ledger.
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

// Options are the settings of a run beside its experiment.
type Options struct {
	Dir     string                           // of its results; created if missing
	Command []string                         // that starts a proxy
	Env     []string                         // added to the environment of the proxies
	Rule    string                           // name of the decision rule that the proxies use, for the report
	Logf    func(format string, args ...any) // prints the progress each second; nil: none
	Stop    <-chan struct{}                  // closed to interrupt the run
}

const (
	maxSendDelay     = 5 * time.Millisecond   // longest delay by the laboratory itself, of an op or of the work of a stand-in, that counts as punctual
	minPunctualShare = 0.95                   // least share of ops, and of work, that is punctual in a valid run
	settleTime       = 300 * time.Millisecond // from when all proxies serve to the start of the load
)

// Execute runs an experiment and writes its results. An error means that there is nothing to judge. If a run is no valid evidence, the
// reasons are in the result's InvalidReasons.
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
	proxyFleet, err := newFleet(exp, w, options.Dir, options.Command, options.Env)
	defer proxyFleet.stopAll()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	meter := measure.NewMeter(exp)
	balancer := load.NewBalancer(exp, proxyFleet.proxies)
	balancer.Links = w.Links
	generator := load.NewGenerator(exp, balancer, writer, meter, w.Start())
	start := w.Now()
	player := faults.New(w, proxyFleet, start, options.Stop)
	faultsDone := make(chan struct{})
	go func() {
		player.Run()
		close(faultsDone)
	}()
	samplerDone := make(chan struct{})
	loadDone := make(chan struct{})
	var peak measure.Usage
	go func() {
		peak = sampleEverySecond(w, proxyFleet, balancer, meter, start, loadDone, options.Logf)
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
	counters := proxyFleet.counters()
	proxyFleet.stopAll()
	if !interrupted {
		writer.Append(ledger.Record{Kind: ledger.RunFinished, At: w.Now()})
	}
	w.Close()
	records, err := writer.Close()
	result := &report.Result{
		Name:               exp.Name,
		About:              exp.About,
		Seed:               exp.Seed,
		Rule:               options.Rule,
		Stats:              meter.Summarize(),
		LedgerRecords:      records,
		PeakUsage:          peak,
		LengthSeconds:      exp.Length.Std().Seconds(),
		WarmUpSeconds:      exp.WarmUp.Std().Seconds(),
		ClientConnsOpened:  balancer.ConnsOpened.Load(),
		ProxyCounters:      counters,
		ClientConnsRefused: balancer.ConnsRefused.Load(),
		OriginFetches:      w.Origin.Fetches.Load(),
		ListBytes:          w.Registry.BytesSent.Load(),
	}
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
	result.Crashes = proxyFleet.crashReports()
	if result.Stats.SentWithin5ms < minPunctualShare {
		result.InvalidReasons = append(result.InvalidReasons, fmt.Sprintf(
			"the lab ran late: %.1f%% of the ops were sent within %v of their time, %.0f%% are wanted",
			100*result.Stats.SentWithin5ms, maxSendDelay, 100*minPunctualShare))
	}
	if result.StandInLateShare = w.LateWorkShare(); result.StandInLateShare > 1-minPunctualShare {
		result.InvalidReasons = append(result.InvalidReasons, fmt.Sprintf(
			"stand-ins stalled: %.1f%% of their work ended over %v late", 100*result.StandInLateShare, maxSendDelay))
	}
	if result.Stats.UnsentOps > 0 {
		result.InvalidReasons = append(result.InvalidReasons, fmt.Sprintf("%d ops could not be sent: too many were out", result.Stats.UnsentOps))
	}
	if result.Verdict, err = Judge(path, exp, w.Zones()); err != nil {
		return result, err
	}
	return result, result.Write(options.Dir)
}

// Judge reads a ledger and returns the verdict on the rules. zones maps server numbers to zone indexes; nil: unknown.
func Judge(path string, exp *experiment.File, zones map[uint32]int) (*ledger.Verdict, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	params := ledger.RuleParams{
		ServerZone:            zones,
		DrainGrace:            exp.Rules.DrainGrace.Std(),
		OverloadFactor:        exp.Rules.OverloadFactor,
		OverloadWindow:        exp.Rules.OverloadWindow.Std(),
		ColdCapacityShare:     exp.Caches.ColdCapacityShare,
		WarmUp:                exp.Caches.WarmUp.Std(),
		MaxPushes:             exp.Rules.MaxPushes,
		AllowConcurrentPushes: exp.Rules.AllowConcurrentPushes,
		Slack:                 exp.Rules.Slack.Std(),
	}
	for _, c := range exp.Categories {
		maxRefusalDelay := exp.Rules.MaxRefusalDelay.Std()
		if maxRefusalDelay == 0 {
			maxRefusalDelay = c.TTL.Std() / 2
		}
		params.Categories = append(params.Categories, ledger.Category{
			TTL:             c.TTL.Std(),
			DedupWindow:     c.DedupWindow.Std(),
			Effect:          c.Effect,
			ZoneScopedDedup: c.DedupGroup == "zone",
			MaxRefusalDelay: maxRefusalDelay,
		})
	}
	judge := ledger.NewJudge(params)
	if err := ledger.Read(in, judge.Add); err != nil {
		return nil, err
	}
	return judge.Finish(), nil
}

// prefillCaches stores the most requested keys in every cache, as many as it has room for. Which cache the proxies select for a key is
// not known here; the caches adapt in the first seconds of the run.
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

// sampleEverySecond adds samples of the stand-ins and the proxies to the meter until loadDone is closed. It returns the peak usage of a single
// proxy, with the sum of all proxies' CPU seconds as CPU.
func sampleEverySecond(w *world.World, proxyFleet *fleet, balancer *load.Balancer, meter *measure.Meter, start time.Duration,
	loadDone <-chan struct{}, logf func(string, ...any)) (peak measure.Usage) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	fetches := w.Origin.Fetches.Load()
	opened := balancer.ConnsOpened.Load()
	previous := proxyFleet.processUsage()
	for {
		select {
		case <-loadDone:
			return peak
		case <-ticker.C:
		}
		elapsed := w.Now() - start - time.Second/2 // middle of the sampled second
		cpu, memory := 0.0, 0.0                    // CPU seconds of all proxies in this second; memory of all, in MB
		conns, queued := 0, 0
		usage := proxyFleet.processUsage()
		for i, u := range usage {
			if u.CPU >= previous[i].CPU {
				cpu += u.CPU - previous[i].CPU
			}
			memory += u.MemoryMB
			peak.MemoryMB = max(peak.MemoryMB, u.MemoryMB)
			peak.Descriptors = max(peak.Descriptors, u.Descriptors)
		}
		previous = usage
		peak.CPU += cpu
		for _, c := range w.Caches() {
			conns += c.Connections()
			queued += c.QueuedRequests()
		}
		fetchesNow := w.Origin.Fetches.Load()
		openedNow := balancer.ConnsOpened.Load()
		meter.UpdateSecond(elapsed, func(s *measure.Second) {
			s.Fetches = fetchesNow - fetches
			s.ConnsOpened = openedNow - opened
			s.Conns = conns
			s.QueuedRequests = queued
			s.CPU = cpu
			s.MemoryMB = memory
		})
		if logf != nil {
			ops, service := meter.RecentService(elapsed)
			logf("%3.0f s  %5d ops  %5.1f%% in time  %4d fetches  %4d connections  %.2f cores", elapsed.Seconds()+0.5, ops, 100*service,
				fetchesNow-fetches, conns, cpu)
		}
		fetches, opened = fetchesNow, openedNow
	}
}
