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
	Say     func(format string, args ...any)
	Stop    <-chan struct{}
}

const (
	lateBound  = 5 * time.Millisecond // of the lab itself
	lateShare  = 0.95                 // of the ops that must be sent within that
	settleTime = 300 * time.Millisecond
)

// Play plays an experiment. An error means that there is nothing to judge; a run that proves nothing has its reasons
// under Void.
func Play(x *experiment.File, o Options) (*report.Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(o.Dir, "ledger.bin")
	book, err := ledger.Create(path)
	if err != nil {
		return nil, err
	}
	w, err := world.New(x, book)
	if err != nil {
		book.Close()
		return nil, err
	}
	defer w.Close()
	fill(x, w)
	f, err := newFleet(x, w, o.Dir, o.Command, o.Env)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	meter := measure.NewMeter(x)
	front := load.NewBalancer(x, f.proxies)
	front.Links = w.Ways
	l := load.NewGenerator(x, front, book, meter, w.Start())
	from := w.Now()
	player := faults.New(w, f, from, o.Stop)
	played := make(chan struct{})
	go func() { player.Run(); close(played) }()
	sampled := make(chan struct{})
	ended := make(chan struct{})
	var peak measure.Usage
	go func() {
		peak = sample(x, w, f, front, meter, from, ended, o.Say)
		close(sampled)
	}()
	l.Run(from, o.Stop)
	close(ended)
	<-sampled
	cut := false
	select {
	case <-o.Stop:
		cut = true
	default:
	}
	if cut {
		<-played
	} else {
		select {
		case <-played:
		case <-time.After(longestStop + x.Length.Std()):
		}
	}
	vars := f.vars()
	f.stop()
	if !cut {
		book.Append(ledger.Record{Kind: ledger.RunFinished, At: w.Now()})
	}
	w.Close()
	records, err := book.Close()
	r := &report.Result{Name: x.Name, About: x.About, Seed: x.Seed, Rule: o.Rule, Stats: meter.Summarize(), LedgerRecords: records, PeakUsage: peak,
		LengthSeconds: x.Length.Std().Seconds(), WarmUpSeconds: x.WarmUp.Std().Seconds(), ClientConnsOpened: front.ConnsOpened.Load(), ProxyCounters: vars, ClientConnsRefused: front.ConnsRefused.Load(), OriginFetches: w.Origin.Fetches.Load(), ListBytes: w.Reg.Bytes.Load()}
	if err != nil {
		r.InvalidReasons = append(r.InvalidReasons, "the ledger's disk: "+err.Error())
	}
	if cut {
		r.InvalidReasons = append(r.InvalidReasons, "interrupted")
	}
	for _, c := range w.Caches() {
		r.CacheConnsRefused += c.Refused.Load()
	}
	events, errs := player.Events()
	r.Events = events
	for _, e := range errs {
		r.InvalidReasons = append(r.InvalidReasons, "a fault could not be played: "+e.Error())
	}
	r.Crashes = f.faults()
	if r.Stats.SentWithin5ms < lateShare {
		r.InvalidReasons = append(r.InvalidReasons, fmt.Sprintf("the lab ran late: %.1f%% of the ops were sent within %v of their time, %.0f%% are wanted",
			100*r.Stats.SentWithin5ms, lateBound, 100*lateShare))
	}
	if r.StandInLateShare = w.Stalled(); r.StandInLateShare > 1-lateShare {
		r.InvalidReasons = append(r.InvalidReasons, fmt.Sprintf("stand-ins stalled: %.1f%% of their work ended over %v late", 100*r.StandInLateShare, lateBound))
	}
	if r.Stats.UnsentOps > 0 {
		r.InvalidReasons = append(r.InvalidReasons, fmt.Sprintf("%d ops could not be sent: too many were out", r.Stats.UnsentOps))
	}
	if r.Verdict, err = Judge(path, x, w.Zones()); err != nil {
		return r, err
	}
	return r, r.Write(o.Dir)
}

// Judge reads a ledger and gives the verdict on the rules.
func Judge(path string, x *experiment.File, zones map[uint32]int) (*ledger.Verdict, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	t := ledger.RuleParams{ServerZone: zones, DrainGrace: x.Rules.Grace.Std(), OverloadFactor: x.Rules.FallMultiple, OverloadWindow: x.Rules.TipAfter.Std(),
		ColdCapacityShare: x.Caches.ColdFrom, WarmUp: x.Caches.WarmUp.Std(), MaxPushes: x.Rules.MostPushes, AllowConcurrentPushes: x.Rules.TwoAtOnce,
		Slack: x.Rules.Slack.Std()}
	for _, c := range x.Categories {
		held := x.Rules.Held.Std()
		if held == 0 {
			held = c.TTL.Std() / 2
		}
		t.Categories = append(t.Categories, ledger.Category{TTL: c.TTL.Std(), DedupWindow: c.DedupWindow.Std(), Effect: c.Effect, ZoneScopedDedup: c.DedupGroup == "zone",
			MaxRefusalDelay: held})
	}
	j := ledger.NewJudge(t)
	if err := ledger.Read(in, j.Add); err != nil {
		return nil, err
	}
	return j.Finish(), nil
}

// fill lets every cache hold the most asked keys, as many as it has room for. Which of them a proxy would ask for a
// key is not known here: the rest comes in the run's first seconds.
func fill(x *experiment.File, w *world.World) {
	if !x.Caches.Full {
		return
	}
	size := 0
	for _, c := range x.Categories {
		size = max(size, c.Size)
	}
	room := int(x.Caches.MemoryMB * (1 << 20) / float64(size))
	for _, c := range w.Caches() {
		for rank := min(room, x.Keys.Count) - 1; rank >= 0; rank-- {
			c.Fill(fmt.Sprintf("%016x", load.KeyOf(x, uint64(rank), 0)), size)
		}
	}
}

// sample takes figures each second.
func sample(x *experiment.File, w *world.World, f *fleet, front *load.Balancer, m *measure.Meter, from time.Duration,
	ended <-chan struct{}, say func(string, ...any)) (peak measure.Usage) {
	clock := time.NewTicker(time.Second)
	defer clock.Stop()
	fetches, opened, last := w.Origin.Fetches.Load(), front.ConnsOpened.Load(), f.use()
	for {
		select {
		case <-ended:
			return peak
		case <-clock.C:
		}
		at := w.Now() - from - time.Second/2
		cpu, memory, conns, waiting := 0.0, 0.0, 0, 0
		now := f.use()
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
			waiting += c.Waiting()
		}
		nf, no := w.Origin.Fetches.Load(), front.ConnsOpened.Load()
		m.UpdateSecond(at, func(s *measure.Second) {
			s.Fetches, s.ConnsOpened, s.Conns, s.QueuedRequests, s.CPU, s.MemoryMB = nf-fetches, no-opened, conns, waiting, cpu, memory
		})
		if say != nil {
			ops, service := m.RecentService(at)
			say("%3.0f s  %5d ops  %5.1f%% in time  %4d fetches  %4d connections  %.2f cores", at.Seconds()+0.5, ops, 100*service,
				nf-fetches, conns, cpu)
		}
		fetches, opened = nf, no
	}
}
