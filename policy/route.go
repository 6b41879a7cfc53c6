package policy

import (
	"cmp"
	"slices"
)

// allowed tells whether the rules and the cache's state let this op go there now.
func (b *Balancer) allowed(o *op, c *cache, now Time) bool {
	if !c.listed || c.State != Ready || c.Excluded || slices.Contains(o.tried, c) {
		return false
	}
	if c != b.origin && (now < c.restUntil || !b.slowStartRoom(c, now) || c.by.IsOutlier(&b.all.by, o.cat)) {
		return false
	}
	return o.ran == nil || b.repeatable(o, c, now)
}

// repeatable tells whether an op that may have run may go to a cache: it is harmless, or dropped inside its group and window.
func (b *Balancer) repeatable(o *op, c *cache, now Time) bool {
	switch {
	case o.cat.Effect == Redeliverable:
		return true
	case o.cat.Effect != Deduplicated || now+b.Tick >= o.ran.at+o.cat.Window:
		return false
	}
	switch o.cat.Group {
	case GroupAll:
		return true
	case GroupZone:
		return c.Zone == o.ran.to.Zone
	default:
		return c.Cell == o.ran.to.Cell
	}
}

// route gives the cache that an op goes to now; nil: none may be used.
func (b *Balancer) route(o *op) *cache {
	now := b.host.Now()
	c, choices := b.candidate(o, now)
	if c != nil {
		return c
	}
	return b.leastCrowded(o, choices, now)
}

// candidate gives the first of a key's candidates that is ready and not far over its mean load, and all that it has looked at.
func (b *Balancer) candidate(o *op, now Time) (c *cache, choices []*cache) {
	// A key that asks for more than a mean cache's fair share is spread over as many as it would fill.
	spread := 1 + int(o.heat*float64(b.ranked.Len()))
	hot := min(spread, b.ranked.Len()) > mostSpread
	var walk *candidateWalk
	if hot {
		choices = b.window(o.key, spread)
	} else {
		walk = b.walk(o.key, spread)
		choices = walk.first(spread)
		if n := len(choices); n > 1 {
			first := int(b.rnd.Next()) % n
			choices[0], choices[first] = choices[first], choices[0]
		}
	}
	spare := b.originSpare(o)
	most := max(candidates, min(spread, mostSpread)) // those in doubt are not counted: of a lost zone, three would often be
	for i := 0; i < most; i++ {
		if !hot {
			choices = walk.first(i + 1)
		}
		if i >= len(choices) {
			break
		}
		c := choices[i]
		switch {
		case b.passedOver(o, c, spare, now): // else a pass is a miss in vain
			most = min(most+1, 3*candidates)
		case b.allowed(o, c, now) && b.belowMean(c) && (!spare || b.room(c, o)):
			return c, choices
		}
	}
	return nil, choices
}

// originSpare tells whether the origin has room for a miss: then a choice at its limit is passed over like one that is not ready.
func (b *Balancer) originSpare(o *op) bool {
	return b.origin != nil && len(b.queue) == 0 && b.usually(b.origin) <= b.origin.near*3/2 &&
		b.strain < calm+0.25 && o.beyond == 0
}

// passedOver tells whether a candidate is passed over for the next one: it, or all of its zone, lately failed this proxy or its peers, its
// way is too long, or it is crowded. Few proxies each see enough to go by limits.
func (b *Balancer) passedOver(o *op, c *cache, spare bool, now Time) bool {
	doubt := b.Proxies > firstLimit && (c.doubt.Active(now) || b.sites.ShouldAvoid(c.Zone, o.key, now)) ||
		b.rnd.Float64() < c.shun && (b.shadow == nil || b.room(b.shadow, o))
	return doubt || b.far(o, c, now) || spare && b.crowded(c, now) > 0
}

// belowMean tells whether a cache has at most twice the mean load out, in proportion to its size.
func (b *Balancer) belowMean(c *cache) bool {
	mean := float64(b.out) * c.size / b.sizes
	return float64(c.out) <= max(2*mean, mean+2)
}

// leastCrowded gives the least crowded of the candidates that may be used, or of other caches if no candidate may.
func (b *Balancer) leastCrowded(o *op, choices []*cache, now Time) (least *cache) {
	look := func(c *cache) (enough bool) {
		if b.allowed(o, c, now) && (least == nil || b.lessCrowded(c, least, now)) {
			least = c
		}
		return least != nil && least.out == 0 && b.crowded(least, now) == 0
	}
	for _, c := range choices {
		look(c)
	}
	if least == nil {
		b.sample(look)
	}
	return least
}

func (b *Balancer) lessCrowded(x, y *cache, now Time) bool {
	return cmp.Or(cmp.Compare(b.crowded(x, now), b.crowded(y, now)), cmp.Compare(x.out, y.out)) < 0
}
