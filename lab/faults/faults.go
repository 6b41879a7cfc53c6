// Package faults injects the faults of an experiment's timeline into the stand-ins and the proxies. A fault affects a random selection of
// the running caches, or of the proxies, that match it. The selection depends on the seed and on the fault's position in the file.
package faults

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/world"
)

// Fleet controls the proxies' processes. Proxies are numbered from 0.
type Fleet interface {
	// Count returns the number of proxies.
	Count() int
	// Kill ends a proxy with SIGKILL.
	Kill(n int)
	// Terminate ends a proxy with SIGTERM.
	Terminate(n int)
	// Start starts a proxy that has ended, at the same address.
	Start(n int) error
	// SendSignals sends a series of experiment.SignalSeries, which ends the proxy.
	SendSignals(n int, series string)
	// HoldIdleConns holds a number of idle client connections to a proxy for a duration.
	HoldIdleConns(n, size int, duration time.Duration)
	// Upgrade starts a new process beside the old one, which then ends.
	Upgrade(n int) error
	// SetLameduck sets a proxy to lameduck mode, in which it sends its clients away, or ends the mode.
	SetLameduck(n int, lameduck bool) error
	// IdleConns returns the number of open client connections to a proxy without an op in progress.
	IdleConns(n int) int
	// SetCacheDetached detaches a cache from a proxy by an operator's call, or attaches it again.
	SetCacheDetached(n int, cache string, number uint32, detach bool) error
	// Agent returns the discovery agent of a proxy.
	Agent(n int) *world.Agent
	// SetSiteDetached detaches the caches of a site from a proxy by an operator's call, or attaches them again: gradually, spread over a
	// duration, or at once if it is 0.
	SetSiteDetached(n int, site string, caches []uint32, detach bool, spread time.Duration) error
	// ReloadQuotas multiplies the tenants' quotas by a factor in a proxy's settings, and has it reload them.
	ReloadQuotas(n int, factor float64) error
	// SetStopped stops a proxy with SIGSTOP, or lets it continue.
	SetStopped(n int, stopped bool)
	// Throttle lets a proxy run for a share of the time by SIGSTOP and SIGCONT. Unlike with SetStopped, no violation is excused.
	Throttle(n int, share float64, duration time.Duration)
}

// Event is a fault that started or ended, for plots and reports.
type Event struct {
	At   float64 `json:"at"`   // seconds from the start of the load
	What string  `json:"what"` // kind of the fault, or a description
}

// Player injects the faults of a timeline.
type Player struct {
	world      *world.World
	fleet      Fleet
	mu         sync.Mutex // guards events and errs
	events     []Event
	errs       []error
	running    sync.WaitGroup
	stop       <-chan struct{}
	start      time.Duration // of the load, on the run's clock
	restarting []sync.Mutex  // by proxy: held while a fault stops and restarts the proxy's process
}

// New returns a player for the world's experiment. start is when the load starts on the run's clock; closing stop ends all waits.
func New(w *world.World, fleet Fleet, start time.Duration, stop <-chan struct{}) *Player {
	return &Player{world: w, fleet: fleet, start: start, stop: stop, restarting: make([]sync.Mutex, fleet.Count())}
}

// Run injects all faults, and returns when nothing is left to do for any of them. Faults without a duration, and pauses, may still be in
// effect then.
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

// Events returns the events so far, and the errors of faults that could not be injected.
func (p *Player) Events() ([]Event, []error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.events, p.errs
}

// sleep waits for a duration. It returns false if the run is stopped meanwhile.
func (p *Player) sleep(duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	select {
	case <-time.After(duration):
		return true
	case <-p.stop:
		return false
	}
}

// recordEvent adds an event at the present time.
func (p *Player) recordEvent(description string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, Event{(p.world.Now() - p.start).Seconds(), description})
}

// recordError adds an error, unless it is nil.
func (p *Player) recordError(err error) {
	if err != nil {
		p.mu.Lock()
		p.errs = append(p.errs, err)
		p.mu.Unlock()
	}
}

// pickCaches selects the caches that a fault affects among the running caches of its zone and machine kind: as many as its count or share
// says. A fault with neither affects all if it has a zone or a machine kind, and one cache if it has none. n is its position in the file.
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

// applyForDuration changes the injected faults of servers, and changes them back after the duration of f. With duration 0 they stay.
func (p *Player) applyForDuration(f experiment.Fault, targets []*world.Faults, change func(*world.Faults, bool)) {
	for _, target := range targets {
		target.Update(func(faults *world.Faults) { change(faults, true) })
	}
	if f.Duration > 0 {
		p.sleep(f.Duration.Std())
		for _, target := range targets {
			target.Update(func(faults *world.Faults) { change(faults, false) })
		}
		p.recordEvent(f.Kind + " is over")
	}
}

// inject injects one fault, and returns when nothing is left to do for it. A fault without a duration, or a pause, may still be in effect
// then. n is the position of the fault in the file.
func (p *Player) inject(n uint64, f experiment.Fault) {
	p.recordEvent(f.Kind)
	switch f.Kind {
	case "hot-key", "runaway", "hot-proxy", "impatient": // injected by the load generator
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

// pickProxies selects the proxies that a fault affects among those of its zone: as many as its count or share says. A fault with neither
// affects all proxies of its zone, or one proxy if it has no zone. n is its position in the file.
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

// sizeIf returns size if on is set, else 0.
func sizeIf(on bool, size float64) float64 {
	if on {
		return size
	}
	return 0
}

// injectCacheFault injects a fault of caches. n is its position in the file.
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
	case "deploy": // in batches: drain, kill, start a successor at the same addresses
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

// lameduckTimeout is how long after the start of lameduck mode a proxy may still hold idle connections.
const lameduckTimeout = 4 * time.Second

// lameduckProxies sets proxies to lameduck mode for the duration of the fault. Idle connections that a proxy still holds after
// lameduckTimeout are an error of the run; a shorter fault does not check them.
func (p *Player) lameduckProxies(n uint64, f experiment.Fault) {
	proxies := p.pickProxies(n, f)
	for _, i := range proxies {
		p.recordError(p.fleet.SetLameduck(i, true))
	}
	if p.sleep(min(f.Duration.Std(), lameduckTimeout)); f.Duration.Std() >= lameduckTimeout {
		for _, i := range proxies {
			if open := p.fleet.IdleConns(i); open > 0 {
				p.recordError(fmt.Errorf("proxy %d holds %d idle connections %v after the start of lameduck mode", i, open, lameduckTimeout))
			}
		}
	}
	p.sleep(f.Duration.Std() - lameduckTimeout)
	for _, i := range proxies {
		p.recordError(p.fleet.SetLameduck(i, false))
	}
	p.recordEvent(f.Kind + " is over")
}

// detachCaches detaches caches from all proxies, one proxy after another, for the duration of the fault.
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

// wavePause is the time from the start of one batch of restartInWaves to the start of the next.
const wavePause = 1500 * time.Millisecond

// restartInWaves restarts all proxies in turn, a batch at a time, for the duration of the fault. If the downtime is longer than
// wavePause, the processes of the next batch are stopped while those of the previous one are still down. Proxies whose previous restart
// is not complete are skipped.
func (p *Player) restartInWaves(f experiment.Fault) {
	n := p.fleet.Count()
	batch := max(int(f.BatchShare*float64(n)+0.5), 1)
	modes := []string{"term", "kill", "upgrade"}
	var wait sync.WaitGroup
	for next, deadline := 0, time.Now().Add(f.Duration.Std()); time.Now().Before(deadline); {
		for range batch {
			i, mode := next%n, f.Mode
			if mode == "mixed" {
				mode = modes[(next+next/n)%len(modes)] // a proxy's mode changes with each round, unless there are 2, 5, 8, ... proxies
			}
			next++
			if !p.restarting[i].TryLock() { // its previous restart, or one by another fault, is not complete
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
		if !p.sleep(wavePause) {
			break
		}
	}
	wait.Wait()
	p.recordEvent(f.Kind + " are over")
}

// holdIdleConns holds idle client connections to proxies for the duration of the fault.
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

// restartProxies stops proxies and starts them again after the downtime of the fault, one batch after another; an upgrade replaces their
// processes without a downtime. n is the position of the fault in the file.
func (p *Player) restartProxies(n uint64, f experiment.Fault) {
	proxies := p.pickProxies(n, f)
	batch := len(proxies)
	if f.Kind == "proxy-roll" || f.Kind == "proxy-upgrade" {
		batch = max(int(f.BatchShare*float64(p.fleet.Count())+0.5), 1)
	}
	for len(proxies) > 0 {
		wave := proxies[:min(batch, len(proxies))]
		proxies = proxies[len(wave):]
		// Skip proxies that another fault is restarting: the ledger could record a wrong cause of the exit, such as a termination for
		// a SIGKILL, and both faults could start a process.
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
		completed := p.sleep(f.Downtime.Std())
		for _, i := range wave {
			if f.Kind != "proxy-upgrade" && completed {
				p.recordError(p.fleet.Start(i))
			}
			p.restarting[i].Unlock()
		}
		if !completed {
			return
		}
	}
	p.recordEvent(f.Kind + " is over")
}
