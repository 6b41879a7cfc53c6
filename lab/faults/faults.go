// Package faults plays an experiment's timeline against the world and the proxies. What it picks hangs on the seed and
// the fault's place in the file alone.
package faults

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/world"
)

// Fleet is the proxies, as faults act on them.
type Fleet interface {
	Count() int
	Kill(n int)                                                          // SIGKILL
	Terminate(n int)                                                     // SIGTERM; it comes back by Start
	Start(n int) error                                                   // a new process at the same address
	SendSignals(n int, series string)                                    // one of experiment.Signals; it comes back by Start
	HoldIdleConns(n, size int, span time.Duration)                       // idle connections of clients
	Upgrade(n int) error                                                 // a new process beside the old one, which then ends
	SetLameduck(n int, away bool) error                                  // an operator sends clients away, or has them taken again
	IdleConns(n int) int                                                 // clients' connections there with nothing out
	SetCacheDetached(n int, cache string, number uint32, out bool) error // an operator takes a cache out, or calls it back
	Agent(n int) *world.Agent
	SetSiteDetached(n int, site string, caches []uint32, out bool, over time.Duration) error // an operator takes a site out, or calls it back
	ReloadQuotas(n int, quotas float64) error                                                // new settings by SIGHUP, taken
	SetStopped(n int, still bool)                                                            // SIGSTOP, SIGCONT
	Throttle(n int, share float64, span time.Duration)                                       // the same in turns, excusing nothing
}

// Event is what was done, for plots and reports.
type Event struct {
	At   float64 `json:"at"`
	What string  `json:"what"`
}

// Player plays a timeline.
type Player struct {
	world      *world.World
	fleet      Fleet
	mu         sync.Mutex
	events     []Event
	errs       []error
	running    sync.WaitGroup
	stop       <-chan struct{}
	start      time.Duration
	restarting []sync.Mutex // by proxy: held while a fault ends its process and brings it back
}

// New makes one; times count from a moment of the run's clock.
func New(w *world.World, fleet Fleet, from time.Duration, stop <-chan struct{}) *Player {
	return &Player{world: w, fleet: fleet, start: from, stop: stop, restarting: make([]sync.Mutex, fleet.Count())}
}

// Run plays all faults and returns when the last is over.
func (p *Player) Run() {
	for n, f := range p.world.Experiment.Faults {
		p.running.Add(1)
		go func() {
			defer p.running.Done()
			if p.sleep(p.start + f.Start.Std() - p.world.Now()) {
				p.inject(uint64(n), f)
			}
		}()
	}
	p.running.Wait()
}

// Events are what was done; errors are what could not be.
func (p *Player) Events() ([]Event, []error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.events, p.errs
}

func (p *Player) sleep(span time.Duration) bool {
	if span <= 0 {
		return true
	}
	select {
	case <-time.After(span):
		return true
	case <-p.stop:
		return false
	}
}

func (p *Player) recordEvent(description string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, Event{(p.world.Now() - p.start).Seconds(), description})
}

func (p *Player) recordError(err error) {
	if err != nil {
		p.mu.Lock()
		p.errs = append(p.errs, err)
		p.mu.Unlock()
	}
}

// picked are the caches that a fault is about.
func (p *Player) pickCaches(n uint64, f experiment.Fault) []*world.Cache {
	var caches []*world.Cache
	for _, c := range p.world.Caches() {
		kind := "std"
		if c.Small {
			kind = "small"
		}
		if c.Alive() && (f.Zone == "" || p.world.Experiment.Zones.Names[c.Zone] == f.Zone) && (f.MachineKind == "" || f.MachineKind == kind) {
			caches = append(caches, c)
		}
	}
	count, share := f.Count, f.Share
	if count == 0 && share == 0 && (f.Zone != "" || f.MachineKind != "") {
		share = 1
	}
	return world.Pick(p.world.Experiment.Seed, n, caches, count, share)
}

// set changes what is wrong with servers for the fault's span.
func (p *Player) applyForDuration(f experiment.Fault, targets []*world.Faults, change func(*world.Faults, bool)) {
	for _, x := range targets {
		x.Update(func(x *world.Faults) { change(x, true) })
	}
	if f.Duration > 0 {
		p.sleep(f.Duration.Std())
		for _, x := range targets {
			x.Update(func(x *world.Faults) { change(x, false) })
		}
		p.recordEvent(f.Kind + " is over")
	}
}

func (p *Player) inject(n uint64, f experiment.Fault) {
	p.recordEvent(f.Kind)
	switch f.Kind {
	case "hot-key", "runaway", "hot-proxy", "impatient": // the load's own
		if f.Duration > 0 && p.sleep(f.Duration.Std()) {
			p.recordEvent(f.Kind + " is over")
		}
	case "grow":
		for i := range int(f.Size) {
			if _, err := p.world.AddCache(i%len(p.world.Experiment.Zones.Names), true); err != nil {
				p.recordError(err)
			}
		}
	case "flush":
		for _, c := range p.world.Caches() {
			c.Invalidate(f.Size)
		}
	case "origin-slow":
		p.applyForDuration(f, []*world.Faults{&p.world.Origin.Faults}, func(target *world.Faults, on bool) { target.Slow = sizeIf(on, f.Size) })
	case "origin-stop":
		p.world.Origin.Pause(f.Duration.Std())
	case "list-late", "list-silent", "list-empty":
		for i := range p.fleet.Count() {
			p.fleet.Agent(i).SetFault(f.Kind == "list-silent", f.Kind == "list-empty", time.Duration(f.Size*float64(time.Second)))
		}
		if f.Duration > 0 {
			p.sleep(f.Duration.Std())
			for i := range p.fleet.Count() {
				p.fleet.Agent(i).SetFault(false, false, 0)
			}
			p.recordEvent(f.Kind + " is over")
		}
	case "site-lost":
		p.loseSite(f)
	case "retune":
		for _, i := range p.pickProxies(n, f) {
			p.recordError(p.fleet.ReloadQuotas(i, f.Size))
		}
	case "site-hand":
		p.detachSite(f)
	case "site-cut", "way-slow", "way-lose", "way-reset", "way-thin":
		p.breakLinks(f)
	case "stall":
		proxies := p.pickProxies(n, f)
		for _, i := range proxies {
			p.fleet.SetStopped(i, true)
		}
		p.sleep(f.Duration.Std())
		for _, i := range proxies {
			p.fleet.SetStopped(i, false)
		}
		p.recordEvent(f.Kind + " is over")
	case "throttle":
		var done sync.WaitGroup
		for _, i := range p.pickProxies(n, f) {
			done.Add(1)
			go func() {
				defer done.Done()
				p.fleet.Throttle(i, f.Size, f.Duration.Std())
			}()
		}
		done.Wait()
		p.recordEvent(f.Kind + " is over")
	case "list-lies":
		hide := func(on bool) {
			for i := range p.fleet.Count() {
				p.fleet.Agent(i).HideZone(p.world.Experiment.ZoneIndex(f.Zone), on)
			}
		}
		if hide(true); f.Duration > 0 {
			p.sleep(f.Duration.Std())
			hide(false)
			p.recordEvent(f.Kind + " is over")
		}
	case "lameduck":
		p.lameduckProxies(n, f)
	case "hand":
		p.detachCaches(n, f)
	case "proxy-waves":
		p.restartInWaves(f)
	case "crowd":
		p.holdIdleConns(n, f)
	case "proxy-kill", "proxy-term", "proxy-signals", "proxy-roll", "proxy-upgrade":
		p.restartProxies(n, f)
	default:
		p.injectCacheFault(n, f)
	}
}

// some are the proxies that a fault is about: of a zone, all unless it says how many.
func (p *Player) pickProxies(n uint64, f experiment.Fault) []int {
	var proxies []int
	for i := range p.fleet.Count() {
		if f.Zone == "" || p.world.Experiment.Zones.Names[p.world.Experiment.ZoneOfProxy(i)] == f.Zone {
			proxies = append(proxies, i)
		}
	}
	share := f.Share
	if f.Zone != "" && f.Count == 0 && share == 0 {
		share = 1
	}
	return world.Pick(p.world.Experiment.Seed, n, proxies, f.Count, share)
}

func sizeIf(on bool, size float64) float64 {
	if on {
		return size
	}
	return 0
}

func (p *Player) injectCacheFault(n uint64, f experiment.Fault) {
	caches := p.pickCaches(n, f)
	var targets []*world.Faults
	for _, c := range caches {
		targets = append(targets, &c.Faults)
	}
	switch f.Kind {
	case "kill":
		for _, c := range caches {
			c.Kill()
		}
		if f.Duration > 0 && p.sleep(f.Duration.Std()) {
			for _, c := range caches {
				p.recordError(c.Restart())
			}
			p.recordEvent("killed caches are back")
		}
	case "replace":
		for _, c := range caches {
			c.Kill()
			if p.sleep(f.Downtime.Std()) {
				_, err := p.world.Replace(c)
				p.recordError(err)
			}
		}
	case "drain":
		for _, c := range caches {
			c.Drain()
		}
		if f.Duration > 0 && p.sleep(f.Duration.Std()) {
			for _, c := range caches {
				c.Kill()
			}
		}
	case "deploy": // waves: drain, end, a successor at the same address
		batch := max(int(f.BatchShare*float64(len(p.world.Caches()))+0.5), 1)
		for len(caches) > 0 {
			wave := caches[:min(batch, len(caches))]
			caches = caches[len(wave):]
			for _, c := range wave {
				c.Drain()
			}
			if !p.sleep(f.Downtime.Std()) {
				return
			}
			for _, c := range wave {
				c.Kill()
				_, err := p.world.Replace(c)
				p.recordError(err)
			}
			if !p.sleep(f.Downtime.Std()) {
				return
			}
		}
		p.recordEvent("deploy is over")
	case "still":
		for _, c := range caches {
			c.Pause(f.Duration.Std())
		}
	case "reset":
		for _, c := range caches {
			c.ResetConns()
		}
	case "vanish":
		p.applyForDuration(f, targets, func(target *world.Faults, on bool) { target.Unresponsive = on })
	case "slow":
		p.applyForDuration(f, targets, func(target *world.Faults, on bool) { target.Slow = sizeIf(on, f.Size) })
	case "refuse":
		p.applyForDuration(f, targets, func(target *world.Faults, on bool) { target.Refuse = sizeIf(on, f.Size) })
	case "spoil":
		p.applyForDuration(f, targets, func(target *world.Faults, on bool) { target.Corrupt = sizeIf(on, f.Size) })
	case "lose":
		p.applyForDuration(f, targets, func(target *world.Faults, on bool) { target.DropAnswer = sizeIf(on, f.Size) })
	case "error":
		p.applyForDuration(f, targets, func(target *world.Faults, on bool) { target.Fail = sizeIf(on, f.Size) })
	}
}

const lameduckTimeout = 4 * time.Second // from the call until no client is left

// lameduck has operators send clients away from some proxies, and take them again. Each of the call's promises that is not
// kept is a failure of the run.
func (p *Player) lameduckProxies(n uint64, f experiment.Fault) {
	proxies := p.pickProxies(n, f)
	for _, i := range proxies {
		p.recordError(p.fleet.SetLameduck(i, true))
	}
	if p.sleep(min(f.Duration.Std(), lameduckTimeout)); f.Duration.Std() >= lameduckTimeout {
		for _, i := range proxies {
			if open := p.fleet.IdleConns(i); open > 0 {
				p.recordError(fmt.Errorf("proxy %d holds %d idle connections %v after clients were sent away", i, open, lameduckTimeout))
			}
		}
	}
	p.sleep(f.Duration.Std() - lameduckTimeout)
	for _, i := range proxies {
		p.recordError(p.fleet.SetLameduck(i, false))
	}
	p.recordEvent(f.Kind + " is over")
}

// hand has operators take caches out at every proxy, and call them back.
func (p *Player) detachCaches(n uint64, f experiment.Fault) {
	caches := p.pickCaches(n, f)
	setDetached := func(detach bool) {
		for _, c := range caches {
			for i := range p.fleet.Count() {
				p.recordError(p.fleet.SetCacheDetached(i, c.Name, c.Number, detach))
			}
		}
	}
	setDetached(true)
	p.sleep(f.Duration.Std())
	setDetached(false)
	p.recordEvent(f.Kind + " is over")
}

// waves restarts proxies round and round, a batch at a time, for a span; the next batch begins while the last is still down,
// if it is for longer than the pause between two.
func (p *Player) restartInWaves(f experiment.Fault) {
	const pause = 1500 * time.Millisecond
	n, batch := p.fleet.Count(), max(int(f.BatchShare*float64(p.fleet.Count())+0.5), 1)
	modes := []string{"term", "kill", "upgrade"}
	var wait sync.WaitGroup
	for next, deadline := 0, time.Now().Add(f.Duration.Std()); time.Now().Before(deadline); {
		for range batch {
			i, mode := next%n, f.Mode
			if mode == "mixed" {
				mode = modes[(next+next/n)%len(modes)] // each proxy comes by each of them in its turns
			}
			next++
			if !p.restarting[i].TryLock() { // it is still on its way from its last turn
				continue
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				defer p.restarting[i].Unlock()
				switch mode {
				case "upgrade":
					p.recordError(p.fleet.Upgrade(i))
					return
				case "kill":
					p.fleet.Kill(i)
				default:
					p.fleet.Terminate(i)
				}
				if p.sleep(f.Downtime.Std()) {
					p.recordError(p.fleet.Start(i))
				}
			}()
		}
		if !p.sleep(pause) {
			break
		}
	}
	wait.Wait()
	p.recordEvent(f.Kind + " are over")
}

// crowd has idle clients hold connections to some proxies.
func (p *Player) holdIdleConns(n uint64, f experiment.Fault) {
	var done sync.WaitGroup
	for _, i := range p.pickProxies(n, f) {
		done.Add(1)
		go func() {
			defer done.Done()
			p.fleet.HoldIdleConns(i, int(f.Size), f.Duration.Std())
		}()
	}
	done.Wait()
	p.recordEvent(f.Kind + " is over")
}

// proxies ends some and brings them back, one batch after another.
func (p *Player) restartProxies(n uint64, f experiment.Fault) {
	proxies := p.pickProxies(n, f)
	batch := len(proxies)
	if f.Kind == "proxy-roll" || f.Kind == "proxy-upgrade" {
		batch = max(int(f.BatchShare*float64(p.fleet.Count())+0.5), 1)
	}
	for len(proxies) > 0 {
		wave := proxies[:min(batch, len(proxies))]
		proxies = proxies[len(wave):]
		// Danger: two faults that end one process would have the second's SIGKILL taken for the first's, and start it twice.
		wave = slices.DeleteFunc(slices.Clone(wave), func(i int) bool { return !p.restarting[i].TryLock() })
		var ended sync.WaitGroup
		for _, i := range wave {
			ended.Add(1)
			go func() {
				defer ended.Done()
				switch f.Kind {
				case "proxy-kill":
					p.fleet.Kill(i)
				case "proxy-signals":
					p.fleet.SendSignals(i, f.Mode)
				case "proxy-upgrade":
					p.recordError(p.fleet.Upgrade(i))
				default:
					p.fleet.Terminate(i)
				}
			}()
		}
		ended.Wait()
		notStopped := p.sleep(f.Downtime.Std())
		for _, i := range wave {
			if f.Kind != "proxy-upgrade" && notStopped {
				p.recordError(p.fleet.Start(i))
			}
			p.restarting[i].Unlock()
		}
		if !notStopped {
			return
		}
	}
	p.recordEvent(f.Kind + " is over")
}
