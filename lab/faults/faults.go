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
	Kill(n int)                                              // SIGKILL
	Term(n int)                                              // SIGTERM; it comes back by Start
	Start(n int) error                                       // a new process at the same address
	Signals(n int, series string)                            // one of experiment.Signals; it comes back by Start
	Crowd(n, size int, span time.Duration)                   // idle connections of clients
	Upgrade(n int) error                                     // a new process beside the old one, which then ends
	Away(n int, away bool) error                             // an operator sends clients away, or has them taken again
	Idle(n int) int                                          // clients' connections there with nothing out
	Hand(n int, cache string, number uint32, out bool) error // an operator takes a cache out, or calls it back
	Agent(n int) *world.Agent
	HandSite(n int, site string, caches []uint32, out bool, over time.Duration) error // an operator takes a site out, or calls it back
	Retune(n int, quotas float64) error                                               // new settings by SIGHUP, taken
	Stall(n int, still bool)                                                          // SIGSTOP, SIGCONT
	Throttle(n int, share float64, span time.Duration)                                // the same in turns, excusing nothing
}

// Event is what was done, for plots and reports.
type Event struct {
	At   float64 `json:"at"`
	What string  `json:"what"`
}

// Player plays a timeline.
type Player struct {
	w      *world.World
	fleet  Fleet
	mu     sync.Mutex
	events []Event
	errs   []error
	wait   sync.WaitGroup
	stop   <-chan struct{}
	from   time.Duration
	busy   []sync.Mutex // by proxy: held while a fault ends its process and brings it back
}

// New makes one; times count from a moment of the run's clock.
func New(w *world.World, fleet Fleet, from time.Duration, stop <-chan struct{}) *Player {
	return &Player{w: w, fleet: fleet, from: from, stop: stop, busy: make([]sync.Mutex, fleet.Count())}
}

// Run plays all faults and returns when the last is over.
func (p *Player) Run() {
	for n, f := range p.w.Exp.Faults {
		p.wait.Add(1)
		go func() {
			defer p.wait.Done()
			if p.sleep(p.from + f.Start.Std() - p.w.Now()) {
				p.play(uint64(n), f)
			}
		}()
	}
	p.wait.Wait()
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

func (p *Player) say(what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, Event{(p.w.Now() - p.from).Seconds(), what})
}

func (p *Player) failed(err error) {
	if err != nil {
		p.mu.Lock()
		p.errs = append(p.errs, err)
		p.mu.Unlock()
	}
}

// picked are the caches that a fault is about.
func (p *Player) picked(n uint64, f experiment.Fault) []*world.Cache {
	var some []*world.Cache
	for _, c := range p.w.Caches() {
		kind := "std"
		if c.Small {
			kind = "small"
		}
		if c.Alive() && (f.Zone == "" || p.w.Exp.Zones.Names[c.Zone] == f.Zone) && (f.Of == "" || f.Of == kind) {
			some = append(some, c)
		}
	}
	count, share := f.Count, f.Share
	if count == 0 && share == 0 && (f.Zone != "" || f.Of != "") {
		share = 1
	}
	return world.Pick(p.w.Exp.Seed, n, some, count, share)
}

// set changes what is wrong with servers for the fault's span.
func (p *Player) set(f experiment.Fault, of []*world.Faults, do func(*world.Faults, bool)) {
	for _, x := range of {
		x.Set(func(x *world.Faults) { do(x, true) })
	}
	if f.Duration > 0 {
		p.sleep(f.Duration.Std())
		for _, x := range of {
			x.Set(func(x *world.Faults) { do(x, false) })
		}
		p.say(f.Kind + " is over")
	}
}

func (p *Player) play(n uint64, f experiment.Fault) {
	p.say(f.Kind)
	switch f.Kind {
	case "hot-key", "runaway", "hot-proxy", "impatient": // the load's own
		if f.Duration > 0 && p.sleep(f.Duration.Std()) {
			p.say(f.Kind + " is over")
		}
	case "grow":
		for i := range int(f.Size) {
			if _, err := p.w.Add(i%len(p.w.Exp.Zones.Names), true); err != nil {
				p.failed(err)
			}
		}
	case "flush":
		for _, c := range p.w.Caches() {
			c.Flush(f.Size)
		}
	case "origin-slow":
		p.set(f, []*world.Faults{&p.w.Origin.Fault}, func(x *world.Faults, on bool) { x.Slow = pick(on, f.Size) })
	case "origin-stop":
		p.w.Origin.Stop(f.Duration.Std())
	case "list-late", "list-silent", "list-empty":
		for i := range p.fleet.Count() {
			p.fleet.Agent(i).Set(f.Kind == "list-silent", f.Kind == "list-empty", time.Duration(f.Size*float64(time.Second)))
		}
		if f.Duration > 0 {
			p.sleep(f.Duration.Std())
			for i := range p.fleet.Count() {
				p.fleet.Agent(i).Set(false, false, 0)
			}
			p.say(f.Kind + " is over")
		}
	case "site-lost":
		p.siteLost(f)
	case "retune":
		for _, i := range p.some(n, f) {
			p.failed(p.fleet.Retune(i, f.Size))
		}
	case "site-hand":
		p.siteHand(f)
	case "site-cut", "way-slow", "way-lose", "way-reset", "way-thin":
		p.ways(f)
	case "stall":
		some := p.some(n, f)
		for _, i := range some {
			p.fleet.Stall(i, true)
		}
		p.sleep(f.Duration.Std())
		for _, i := range some {
			p.fleet.Stall(i, false)
		}
		p.say(f.Kind + " is over")
	case "throttle":
		var all sync.WaitGroup
		for _, i := range p.some(n, f) {
			all.Add(1)
			go func() {
				defer all.Done()
				p.fleet.Throttle(i, f.Size, f.Duration.Std())
			}()
		}
		all.Wait()
		p.say(f.Kind + " is over")
	case "list-lies":
		hide := func(on bool) {
			for i := range p.fleet.Count() {
				p.fleet.Agent(i).Hide(p.w.Exp.Zone(f.Zone), on)
			}
		}
		if hide(true); f.Duration > 0 {
			p.sleep(f.Duration.Std())
			hide(false)
			p.say(f.Kind + " is over")
		}
	case "lameduck":
		p.lameduck(n, f)
	case "hand":
		p.hand(n, f)
	case "proxy-waves":
		p.waves(f)
	case "crowd":
		p.crowd(n, f)
	case "proxy-kill", "proxy-term", "proxy-signals", "proxy-roll", "proxy-upgrade":
		p.proxies(n, f)
	default:
		p.caches(n, f)
	}
}

// some are the proxies that a fault is about: of a zone, all unless it says how many.
func (p *Player) some(n uint64, f experiment.Fault) []int {
	var all []int
	for i := range p.fleet.Count() {
		if f.Zone == "" || p.w.Exp.Zones.Names[p.w.Exp.ZoneOf(i)] == f.Zone {
			all = append(all, i)
		}
	}
	share := f.Share
	if f.Zone != "" && f.Count == 0 && share == 0 {
		share = 1
	}
	return world.Pick(p.w.Exp.Seed, n, all, f.Count, share)
}

func pick(on bool, size float64) float64 {
	if on {
		return size
	}
	return 0
}

func (p *Player) caches(n uint64, f experiment.Fault) {
	some := p.picked(n, f)
	var of []*world.Faults
	for _, c := range some {
		of = append(of, &c.Fault)
	}
	switch f.Kind {
	case "kill":
		for _, c := range some {
			c.Kill()
		}
		if f.Duration > 0 && p.sleep(f.Duration.Std()) {
			for _, c := range some {
				p.failed(c.Restart())
			}
			p.say("killed caches are back")
		}
	case "replace":
		for _, c := range some {
			c.Kill()
			if p.sleep(f.Down.Std()) {
				_, err := p.w.Replace(c)
				p.failed(err)
			}
		}
	case "drain":
		for _, c := range some {
			c.Drain()
		}
		if f.Duration > 0 && p.sleep(f.Duration.Std()) {
			for _, c := range some {
				c.Kill()
			}
		}
	case "deploy": // waves: drain, end, a successor at the same address
		batch := max(int(f.Batch*float64(len(p.w.Caches()))+0.5), 1)
		for len(some) > 0 {
			wave := some[:min(batch, len(some))]
			some = some[len(wave):]
			for _, c := range wave {
				c.Drain()
			}
			if !p.sleep(f.Down.Std()) {
				return
			}
			for _, c := range wave {
				c.Kill()
				_, err := p.w.Replace(c)
				p.failed(err)
			}
			if !p.sleep(f.Down.Std()) {
				return
			}
		}
		p.say("deploy is over")
	case "still":
		for _, c := range some {
			c.Still(f.Duration.Std())
		}
	case "reset":
		for _, c := range some {
			c.Reset()
		}
	case "vanish":
		p.set(f, of, func(x *world.Faults, on bool) { x.Vanished = on })
	case "slow":
		p.set(f, of, func(x *world.Faults, on bool) { x.Slow = pick(on, f.Size) })
	case "refuse":
		p.set(f, of, func(x *world.Faults, on bool) { x.Refuse = pick(on, f.Size) })
	case "spoil":
		p.set(f, of, func(x *world.Faults, on bool) { x.Spoil = pick(on, f.Size) })
	case "lose":
		p.set(f, of, func(x *world.Faults, on bool) { x.Lose = pick(on, f.Size) })
	case "error":
		p.set(f, of, func(x *world.Faults, on bool) { x.Failing = pick(on, f.Size) })
	}
}

const gone = 4 * time.Second // from the call until no client is left

// lameduck has operators send clients away from some proxies, and take them again. Each of the call's promises that is not
// kept is a failure of the run.
func (p *Player) lameduck(n uint64, f experiment.Fault) {
	some := p.some(n, f)
	for _, i := range some {
		p.failed(p.fleet.Away(i, true))
	}
	if p.sleep(min(f.Duration.Std(), gone)); f.Duration.Std() >= gone {
		for _, i := range some {
			if left := p.fleet.Idle(i); left > 0 {
				p.failed(fmt.Errorf("proxy %d holds %d idle connections %v after clients were sent away", i, left, gone))
			}
		}
	}
	p.sleep(f.Duration.Std() - gone)
	for _, i := range some {
		p.failed(p.fleet.Away(i, false))
	}
	p.say(f.Kind + " is over")
}

// hand has operators take caches out at every proxy, and call them back.
func (p *Player) hand(n uint64, f experiment.Fault) {
	some := p.picked(n, f)
	call := func(out bool) {
		for _, c := range some {
			for i := range p.fleet.Count() {
				p.failed(p.fleet.Hand(i, c.Name, c.Number, out))
			}
		}
	}
	call(true)
	p.sleep(f.Duration.Std())
	call(false)
	p.say(f.Kind + " is over")
}

// waves restarts proxies round and round, a batch at a time, for a span; the next batch begins while the last is still down,
// if it is for longer than the pause between two.
func (p *Player) waves(f experiment.Fault) {
	const pause = 1500 * time.Millisecond
	n, batch := p.fleet.Count(), max(int(f.Batch*float64(p.fleet.Count())+0.5), 1)
	ways := []string{"term", "kill", "upgrade"}
	var wait sync.WaitGroup
	for at, until := 0, time.Now().Add(f.Duration.Std()); time.Now().Before(until); {
		for range batch {
			i, way := at%n, f.By
			if way == "mixed" {
				way = ways[(at+at/n)%len(ways)] // each proxy comes by each of them in its turns
			}
			at++
			if !p.busy[i].TryLock() { // it is still on its way from its last turn
				continue
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				defer p.busy[i].Unlock()
				switch way {
				case "upgrade":
					p.failed(p.fleet.Upgrade(i))
					return
				case "kill":
					p.fleet.Kill(i)
				default:
					p.fleet.Term(i)
				}
				if p.sleep(f.Down.Std()) {
					p.failed(p.fleet.Start(i))
				}
			}()
		}
		if !p.sleep(pause) {
			break
		}
	}
	wait.Wait()
	p.say(f.Kind + " are over")
}

// crowd has idle clients hold connections to some proxies.
func (p *Player) crowd(n uint64, f experiment.Fault) {
	var all sync.WaitGroup
	for _, i := range p.some(n, f) {
		all.Add(1)
		go func() {
			defer all.Done()
			p.fleet.Crowd(i, int(f.Size), f.Duration.Std())
		}()
	}
	all.Wait()
	p.say(f.Kind + " is over")
}

// proxies ends some and brings them back, one batch after another.
func (p *Player) proxies(n uint64, f experiment.Fault) {
	some := p.some(n, f)
	batch := len(some)
	if f.Kind == "proxy-roll" || f.Kind == "proxy-upgrade" {
		batch = max(int(f.Batch*float64(p.fleet.Count())+0.5), 1)
	}
	for len(some) > 0 {
		wave := some[:min(batch, len(some))]
		some = some[len(wave):]
		// Danger: two faults that end one process would have the second's SIGKILL taken for the first's, and start it twice.
		wave = slices.DeleteFunc(slices.Clone(wave), func(i int) bool { return !p.busy[i].TryLock() })
		var ended sync.WaitGroup
		for _, i := range wave {
			ended.Add(1)
			go func() {
				defer ended.Done()
				switch f.Kind {
				case "proxy-kill":
					p.fleet.Kill(i)
				case "proxy-signals":
					p.fleet.Signals(i, f.By)
				case "proxy-upgrade":
					p.failed(p.fleet.Upgrade(i))
				default:
					p.fleet.Term(i)
				}
			}()
		}
		ended.Wait()
		goesOn := p.sleep(f.Down.Std())
		for _, i := range wave {
			if f.Kind != "proxy-upgrade" && goesOn {
				p.failed(p.fleet.Start(i))
			}
			p.busy[i].Unlock()
		}
		if !goesOn {
			return
		}
	}
	p.say(f.Kind + " is over")
}
