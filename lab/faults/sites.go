package faults

import (
	"sync"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/ways"
	"minttray/lab/world"
)

// siteLost takes a whole site away in one moment: its caches, its proxies and, if it stands there, the origin. They return in
// the order that the fault says, the second kind a while after the first; the site's replica of the list may be late.
func (p *Player) siteLost(f experiment.Fault) {
	caches, proxies := p.picked(0, experiment.Fault{Zone: f.Zone}), p.some(0, experiment.Fault{Zone: f.Zone})
	back := func() {}
	if f.Origin {
		back = p.breaks(ways.Rule{Near: p.w.OriginEnd(), Far: ways.Endpoint{Site: ways.Any}, Out: true, In: true, Cut: true})
	}
	var ended sync.WaitGroup
	for _, i := range proxies {
		ended.Add(1)
		go func() {
			defer ended.Done()
			p.fleet.Kill(i)
		}()
	}
	for _, c := range caches {
		c.Kill()
	}
	ended.Wait()
	p.sleep(f.Duration.Std())
	back()
	if f.Share > 0 { // so many of its caches return
		caches = world.Pick(p.w.Exp.Seed, 0, caches, 0, f.Share)
	}
	for _, i := range proxies {
		p.fleet.Agent(i).Set(false, false, time.Duration(f.Size*float64(time.Second)))
	}
	power := []func(){func() {
		for _, c := range caches {
			if f.Anew {
				_, err := p.w.Replace(c)
				p.failed(err)
			} else {
				p.failed(c.Restart())
			}
		}
	}, func() {
		var up sync.WaitGroup
		for _, i := range proxies {
			up.Add(1)
			go func() {
				defer up.Done()
				p.failed(p.fleet.Start(i))
			}()
		}
		up.Wait()
	}}
	if f.By == "proxies" {
		power[0], power[1] = power[1], power[0]
	}
	power[0]()
	p.say(f.Kind + ", the first are back")
	if f.By != "together" {
		p.sleep(f.Down.Std())
	}
	power[1]()
	for _, i := range proxies {
		p.fleet.Agent(i).Set(false, false, 0)
	}
	p.say(f.Kind + " is over")
}

// breaks puts a rule, and books that ways are broken until it is over.
func (p *Player) breaks(r ways.Rule) (end func()) {
	book := func(on uint32) { p.w.Book.Append(ledger.Record{Kind: ledger.LinkFault, At: p.w.Now(), C: on}) }
	book(1)
	over := p.w.Ways.Put(r)
	return func() {
		over()
		book(0)
	}
}

// ways breaks what is between a zone and another, or all others, in the direction that the fault says.
func (p *Player) ways(f experiment.Fault) {
	x := p.w.Exp
	r := ways.Rule{Near: ways.Endpoint{Site: x.Zone(f.Zone)}, Others: f.To == "", Far: ways.Endpoint{Site: x.Zone(f.To)},
		Out: f.By != "in", In: f.By != "out"}
	switch f.Kind {
	case "site-cut":
		r.Cut = true
	case "way-slow":
		r.Delay = time.Duration(f.Size * float64(time.Second))
	case "way-lose":
		r.Lose = f.Size
	case "way-reset":
		r.Reset = f.Size
	case "way-thin":
		r.Rate = f.Size * 1024
	}
	end := p.breaks(r)
	if f.Duration > 0 {
		p.sleep(f.Duration.Std())
		end()
		p.say(f.Kind + " is over")
	}
}

// siteHand has operators take a site out at every proxy, over a span, and call it back over the same.
func (p *Player) siteHand(f experiment.Fault) {
	var numbers []uint32
	for _, c := range p.picked(0, experiment.Fault{Zone: f.Zone}) {
		numbers = append(numbers, c.Number)
	}
	for _, out := range []bool{true, false} {
		for i := range p.fleet.Count() {
			p.failed(p.fleet.HandSite(i, f.Zone, numbers, out, f.Down.Std()))
		}
		if out {
			p.sleep(f.Duration.Std())
		}
	}
	p.say(f.Kind + " is over")
}
