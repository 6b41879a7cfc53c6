package site

import (
	"fmt"
	"math"
	"slices"
)

// Loss is a case to plan for: the loss of sites, or a network partition between some sites and all others.
type Loss struct {
	Sites []int
	Cut   bool // the sites still run and reach each other, but no other site; the plan covers these sites
}

// Phase is one part of a loss and what can be served in it. Rates are per second.
type Phase struct {
	Name             string
	HitRatio         float64   `json:"Hits"` // share of the reads that hit, of those that reach a cache
	Asked            Capacity  // needed to serve all ops
	Has              Capacity  // available
	Served           float64   // share of the benefit that can be served
	ServedByCategory []float64 `json:"By"` // share of each category's ops that is served
	Refused          []string  // classes that are shed, first to last, with the shed share in percent
	Shortages        []string  `json:"Short"`    // resources that fall short; empty: all ops are served
	MaxCacheLoad     float64   `json:"MostLoad"` // load of the busiest cache if all ops were served, as a part of its capacity
}

// Step is a part of the caches' return.
type Step struct {
	StartSeconds     float64 `json:"From"`  // since the caches came back
	PushLimit        float64 `json:"Cold"`  // work that all proxies together may push to each returned cache, as a part of its warm capacity
	ReturnedKeyShare float64 `json:"Seats"` // share of the returned caches' keys that may be mapped to them by then
}

// Plan is the outcome of a loss. Its JSON form keeps the names in the tags; lab runs compare it with what they measure.
type Plan struct {
	Lost             []string    // names of the lost or cut off sites
	Cut              bool        // as Loss.Cut
	MovedKeyShare    float64     `json:"Moved"`  // share of all keys that move to another cache
	CacheKeyShares   []float64   `json:"Load"`   // share of all keys at each remaining cache
	SiteOpRates      []float64   `json:"Ops"`    // ops per second at each site's proxies, once clients have moved
	CrossSiteOpRates [][]float64 `json:"Across"` // ops per second from the proxies of a site (first index) to the caches of a site, itself included
	Phases           [3]Phase    // at once, with the moved keys not cached; settled, once the origin has refilled them; return
	RefillSeconds    float64     `json:"Filled"` // until the moved keys are refilled, at best; 0: none to refill; +Inf: not within maxRefillSeconds
	Steps            []Step      // of the return
	ReturnSeconds    float64     `json:"Returns"` // from the caches' return until all is as before, at best
}

// Indexes of Plan.Phases.
const (
	phaseAtOnce = iota
	phaseSettled
	phaseReturn
)

const (
	// maxColdPushShare limits what all proxies together push to a cold cache, as a part of the load at which it fails.
	maxColdPushShare = 0.7
	// returnSteps is the number of intervals of the return. There is a Step at the start of each, and one at the end.
	returnSteps = 4

	maxRefillSeconds  = 600.0 // how far a plan looks ahead
	refillTickSeconds = 0.1
	// unfilledShare is the share of the initial misses at which a refill counts as done, if that is more than the steady rate of
	// fetches.
	unfilledShare = 0.1
)

// For returns the plan for a loss.
func (d *Deployment) For(l Loss) Plan {
	// A site is gone if the plan does not cover it: it is lost, or it is on the other side of the partition.
	gone := func(site int) bool { return slices.Contains(l.Sites, site) != l.Cut }
	p := Plan{Cut: l.Cut, SiteOpRates: make([]float64, len(d.Sites)), CrossSiteOpRates: make([][]float64, len(d.Sites))}
	for _, s := range l.Sites {
		p.Lost = append(p.Lost, d.Sites[s].Name)
	}
	var remaining []Cache
	var capacity Capacity
	keyCapacity, totalKeyCapacity := 0.0, 0.0
	for _, c := range d.Caches {
		totalKeyCapacity += c.KeyCapacity
		if !gone(c.Site) {
			remaining = append(remaining, c)
			keyCapacity += c.KeyCapacity
			capacity.Work += c.Cores * d.UsableShare
		}
	}
	if !gone(d.OriginSite) {
		capacity.Fetches = d.OriginFetches
	}
	before, _ := place(d.Caches)
	if len(remaining) > 0 {
		after, shares := place(remaining)
		p.CacheKeyShares = shares
		for n := range after {
			if previous := d.Caches[before[n]]; previous.ID != remaining[after[n]].ID {
				p.MovedKeyShare += 1.0 / sampleKeys
			}
		}
	} else {
		p.MovedKeyShare = 1
	}
	// Clients of a lost site spread evenly over the remaining proxies. A site that is cut off serves its own clients only.
	proxies, movedOpRate, remainingOpRate := 0, 0.0, 0.0
	for i, s := range d.Sites {
		if !gone(i) && s.Proxies > 0 {
			p.SiteOpRates[i] = s.OpRate
			proxies += s.Proxies
		} else if !l.Cut {
			movedOpRate += s.OpRate
		}
	}
	for i, s := range d.Sites {
		if !gone(i) && proxies > 0 {
			p.SiteOpRates[i] += movedOpRate * float64(s.Proxies) / float64(proxies)
		}
		remainingOpRate += p.SiteOpRates[i]
		p.CrossSiteOpRates[i] = make([]float64, len(d.Sites))
		for n, c := range remaining {
			p.CrossSiteOpRates[i][c.Site] += p.SiteOpRates[i] * p.CacheKeyShares[n]
		}
	}
	opRate := remainingOpRate // of the clients that the plan covers
	if proxies == 0 && !l.Cut {
		opRate = movedOpRate
	}
	settledHits := d.hitRatio(keyCapacity, totalKeyCapacity)
	if len(remaining) == 0 {
		settledHits = 0
	}
	coldHits := settledHits * (1 - p.MovedKeyShare)
	refilledHits := settledHits
	if capacity.Fetches == 0 { // without the origin no moved key is refilled
		refilledHits = coldHits
	}
	returnCapacity := Capacity{Work: capacity.Work, Fetches: d.OriginFetches}
	for _, c := range d.Caches {
		if gone(c.Site) {
			returnCapacity.Work += c.Cores * d.UsableShare * d.ColdFrom
		}
	}
	p.Phases[phaseAtOnce] = d.phase("at once", opRate, coldHits, capacity, remaining, p.CacheKeyShares)
	p.Phases[phaseSettled] = d.phase("settled", opRate, refilledHits, capacity, remaining, p.CacheKeyShares)
	// Returning caches get their keys back no faster than they can serve them. The caches that replaced them still hold the keys,
	// so the hit ratio stays as it is and only the capacity for work grows.
	p.Phases[phaseReturn] = d.phase("return", opRate, settledHits, returnCapacity, remaining, p.CacheKeyShares)
	p.planRefill(d, opRate, coldHits, settledHits, capacity)
	p.planReturn(d)
	return p
}

// phase computes what is served at a rate of ops and a hit ratio.
func (d *Deployment) phase(name string, opRate, hitRatio float64, capacity Capacity, remaining []Cache, keyShares []float64) Phase {
	p := Phase{Name: name, HitRatio: hitRatio, Has: capacity}
	var classes []WorkClass
	var names []string
	var categories []int // index of each class's category
	totalBenefit := 0.0
	add := func(category int, name string, c WorkClass) {
		if c.Rate > 0 {
			classes = append(classes, c)
			names = append(names, name)
			categories = append(categories, category)
			p.Asked.Work += c.Rate * c.Work
			p.Asked.Fetches += c.Rate * c.Fetches
			totalBenefit += c.Rate * c.Benefit
		}
	}
	for i, c := range d.Categories {
		for _, part := range []struct {
			name          string
			share, factor float64
		}{
			{"", 1 - c.OverQuotaShare, 1},
			{", beyond its share", c.OverQuotaShare, c.OverQuotaFactor},
		} {
			rate, benefit := opRate*c.Share*part.share, c.Benefit*part.factor
			if c.Write {
				add(i, c.Name+part.name, WorkClass{rate, benefit, c.Work * d.MissWorkRatio, 1})
				continue
			}
			add(i, c.Name+part.name+", hits", WorkClass{rate * hitRatio, benefit, c.Work, 0})
			add(i, c.Name+part.name+", fetches", WorkClass{rate * (1 - hitRatio), benefit, c.Work * d.MissWorkRatio, 1})
		}
	}
	served, order := Allocate(classes, capacity)
	p.ServedByCategory = make([]float64, len(d.Categories))
	benefit := 0.0
	for i, c := range classes {
		category := categories[i]
		benefit += served[i] * c.Rate * c.Benefit
		p.ServedByCategory[category] += served[i] * c.Rate / max(opRate*d.Categories[category].Share, minDivisor)
	}
	for _, i := range order {
		if served[i] < 1-tolerance {
			p.Refused = append(p.Refused, fmt.Sprintf("%s (%.0f%%)", names[i], 100*(1-served[i])))
		}
	}
	p.Served = 1
	if totalBenefit > 0 {
		p.Served = benefit / totalBenefit
	}
	if p.Asked.Work > capacity.Work*(1+tolerance) {
		p.Shortages = append(p.Shortages, fmt.Sprintf("caches: %.2f cores needed, %.2f available", p.Asked.Work, capacity.Work))
	}
	if p.Asked.Fetches > capacity.Fetches*(1+tolerance) {
		p.Shortages = append(p.Shortages,
			fmt.Sprintf("origin: %.0f fetches per second needed, %.0f available", p.Asked.Fetches, capacity.Fetches))
	}
	for i, c := range remaining {
		if c.Cores > 0 {
			p.MaxCacheLoad = max(p.MaxCacheLoad, p.Asked.Work*keyShares[i]/c.Cores)
		}
	}
	return p
}

// planRefill estimates how soon the origin can refill the moved keys, with the fetches beyond the steady rate. Such a fetch is
// for a missing key, chosen with a probability proportional to its popularity, and lowers the share of misses by its popularity.
func (p *Plan) planRefill(d *Deployment, opRate, coldHits, settledHits float64, capacity Capacity) {
	if capacity.Work == 0 || capacity.Fetches == 0 {
		p.RefillSeconds = math.Inf(1)
		return
	} else if settledHits <= coldHits {
		return
	}
	reads, keys := 0.0, 0.0 // reads per second; keys that all caches hold
	for _, c := range d.Categories {
		if !c.Write {
			reads += opRate * c.Share
		}
	}
	for _, c := range d.Caches {
		keys += c.KeyCapacity
	}
	keys = min(keys, d.KeyCount)
	initialMisses, steadyFetches := settledHits-coldHits, p.Phases[phaseSettled].Asked.Fetches
	misses, rank := initialMisses, 0.0 // share of the reads that miss a moved key; keys up to this rank are refilled
	for at := 0.0; at < maxRefillSeconds; at += refillTickSeconds {
		if reads*misses <= max(steadyFetches, reads*initialMisses*unfilledShare) {
			p.RefillSeconds = at
			return
		}
		// The keys still missing are approximately the less popular ones. A fetch lowers the share of misses by the mean of their
		// popularities, weighted by popularity.
		for rank < keys && 1-d.TopKeysShare(rank)/d.TopKeysShare(keys) > misses/initialMisses {
			rank = rank*1.1 + 1
		}
		perFetch := d.squaredPopularity(rank, keys) / max(d.TopKeysShare(keys)-d.TopKeysShare(rank), minDivisor)
		fetches := min(reads*misses, capacity.Fetches-steadyFetches)
		if fetches <= 0 {
			break
		}
		misses -= fetches * refillTickSeconds * perFetch * settledHits / max(d.TopKeysShare(keys), minDivisor)
	}
	p.RefillSeconds = math.Inf(1)
}

// planReturn paces the return: pushes to a cold cache stay below the load that makes it fail, and its keys return as it warms.
// A returned cache takes about as long to be filled as the refill after the loss.
func (p *Plan) planReturn(d *Deployment) {
	for n := range returnSteps + 1 {
		progress := float64(n) / returnSteps
		share := d.ColdFrom + (1-d.ColdFrom)*progress
		p.Steps = append(p.Steps, Step{
			StartSeconds:     progress * d.WarmUp,
			PushLimit:        min(maxColdPushShare*d.FallMultiple*share, 1),
			ReturnedKeyShare: share,
		})
	}
	p.ReturnSeconds = max(d.WarmUp, p.RefillSeconds)
}
