package faults

import (
	"sync"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/ways"
	"minttray/lab/world"
)

// loseSite kills all caches and proxies of a site at once and, if LosesOrigin is set, cuts all links of the origin for the duration of
// the fault. Then caches and proxies return in the order of the fault's mode, the second group after its downtime, or at once in mode
// "together". Until both are back, changes of the list reach the agents of the site's proxies later by up to the fault's size in seconds.
func (p *Player) loseSite(f experiment.Fault) {
	caches := p.pickCaches(0, experiment.Fault{Zone: f.Zone})
	proxies := p.pickProxies(0, experiment.Fault{Zone: f.Zone})
	restoreLinks := func() {}
	if f.LosesOrigin {
		restoreLinks = p.addLinkRule(ways.Rule{
			Local:    p.world.OriginEndpoint(),
			Remote:   ways.Endpoint{Site: ways.AnySite},
			Outbound: true,
			Inbound:  true,
			Cut:      true,
		})
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
	if f.Share > 0 { // share of the caches that return
		caches = world.Pick(p.world.Experiment.Seed, 0, caches, 0, f.Share)
	}
	for _, i := range proxies {
		p.fleet.Agent(i).SetFault(false, false, time.Duration(f.Size*float64(time.Second)))
	}
	restartCaches := func() {
		for _, c := range caches {
			if f.NewIDs {
				_, err := p.world.Replace(c)
				p.recordError(err)
			} else {
				p.recordError(c.Restart())
			}
		}
	}
	restartProxies := func() {
		var started sync.WaitGroup
		for _, i := range proxies {
			started.Add(1)
			go func() {
				defer started.Done()
				p.recordError(p.fleet.Start(i))
			}()
		}
		started.Wait()
	}
	restartFirst, restartSecond := restartCaches, restartProxies
	if f.Mode == "proxies" {
		restartFirst, restartSecond = restartProxies, restartCaches
	}
	restartFirst()
	p.recordEvent(f.Kind + ", the first are back")
	if f.Mode != "together" {
		p.sleep(f.Downtime.Std())
	}
	restartSecond()
	for _, i := range proxies {
		p.fleet.Agent(i).SetFault(false, false, 0)
	}
	p.recordEvent(f.Kind + " is over")
}

// addLinkRule adds a link rule. The ledger records the start of a link fault now and its end when remove is called.
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

// breakLinks injects a fault into the links between a zone and another, or all others. The mode of the fault is the direction as seen from
// its zone: in, out, or both if it is empty.
func (p *Player) breakLinks(f experiment.Fault) {
	exp := p.world.Experiment
	r := ways.Rule{
		Local:      ways.Endpoint{Site: exp.ZoneIndex(f.Zone)},
		OtherSites: f.ToZone == "",
		Remote:     ways.Endpoint{Site: exp.ZoneIndex(f.ToZone)},
		Outbound:   f.Mode != "in",
		Inbound:    f.Mode != "out",
	}
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
		r.BytesPerSecond = f.Size * bytesPerKB
	}
	restoreLinks := p.addLinkRule(r)
	if f.Duration > 0 {
		p.sleep(f.Duration.Std())
		restoreLinks()
		p.recordEvent(f.Kind + " is over")
	}
}

// bytesPerKB converts the size of a bandwidth limit from KB to bytes per second.
const bytesPerKB = 1024

// detachSite detaches a site from all proxies for the duration of the fault, gradually over its downtime, and attaches it again in the
// same way.
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
