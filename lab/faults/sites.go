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
func (p *Player) loseSite(f experiment.Fault) {
	caches, proxies := p.pickCaches(0, experiment.Fault{Zone: f.Zone}), p.pickProxies(0, experiment.Fault{Zone: f.Zone})
	restoreLinks := func() {}
	if f.LosesOrigin {
		restoreLinks = p.addLinkRule(ways.Rule{Local: p.world.OriginEndpoint(), Remote: ways.Endpoint{Site: ways.AnySite}, Outbound: true, Inbound: true, Cut: true})
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
	restoreLinks()
	if f.Share > 0 { // so many of its caches return
		caches = world.Pick(p.world.Experiment.Seed, 0, caches, 0, f.Share)
	}
	for _, i := range proxies {
		p.fleet.Agent(i).SetFault(false, false, time.Duration(f.Size*float64(time.Second)))
	}
	restart := []func(){func() {
		for _, c := range caches {
			if f.NewIDs {
				_, err := p.world.Replace(c)
				p.recordError(err)
			} else {
				p.recordError(c.Restart())
			}
		}
	}, func() {
		var started sync.WaitGroup
		for _, i := range proxies {
			started.Add(1)
			go func() {
				defer started.Done()
				p.recordError(p.fleet.Start(i))
			}()
		}
		started.Wait()
	}}
	if f.Mode == "proxies" {
		restart[0], restart[1] = restart[1], restart[0]
	}
	restart[0]()
	p.recordEvent(f.Kind + ", the first are back")
	if f.Mode != "together" {
		p.sleep(f.Downtime.Std())
	}
	restart[1]()
	for _, i := range proxies {
		p.fleet.Agent(i).SetFault(false, false, 0)
	}
	p.recordEvent(f.Kind + " is over")
}

// breaks puts a rule, and books that ways are broken until it is over.
func (p *Player) addLinkRule(r ways.Rule) (remove func()) {
	record := func(on uint32) {
		p.world.Ledger.Append(ledger.Record{Kind: ledger.LinkFault, At: p.world.Now(), C: on})
	}
	record(1)
	removeRule := p.world.Links.Add(r)
	return func() {
		removeRule()
		record(0)
	}
}

// ways breaks what is between a zone and another, or all others, in the direction that the fault says.
func (p *Player) breakLinks(f experiment.Fault) {
	exp := p.world.Experiment
	r := ways.Rule{Local: ways.Endpoint{Site: exp.ZoneIndex(f.Zone)}, OtherSites: f.ToZone == "", Remote: ways.Endpoint{Site: exp.ZoneIndex(f.ToZone)},
		Outbound: f.Mode != "in", Inbound: f.Mode != "out"}
	switch f.Kind {
	case "site-cut":
		r.Cut = true
	case "way-slow":
		r.Delay = time.Duration(f.Size * float64(time.Second))
	case "way-lose":
		r.SilentShare = f.Size
	case "way-reset":
		r.ResetShare = f.Size
	case "way-thin":
		r.BytesPerSecond = f.Size * 1024
	}
	restoreLinks := p.addLinkRule(r)
	if f.Duration > 0 {
		p.sleep(f.Duration.Std())
		restoreLinks()
		p.recordEvent(f.Kind + " is over")
	}
}

// siteHand has operators take a site out at every proxy, over a span, and call it back over the same.
func (p *Player) detachSite(f experiment.Fault) {
	var numbers []uint32
	for _, c := range p.pickCaches(0, experiment.Fault{Zone: f.Zone}) {
		numbers = append(numbers, c.Number)
	}
	for _, detach := range []bool{true, false} {
		for i := range p.fleet.Count() {
			p.recordError(p.fleet.SetSiteDetached(i, f.Zone, numbers, detach, f.Downtime.Std()))
		}
		if detach {
			p.sleep(f.Duration.Std())
		}
	}
	p.recordEvent(f.Kind + " is over")
}
