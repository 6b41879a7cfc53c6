package policy

import (
	"cmp"
	"slices"
)

// allowed reports whether an op may be pushed to a cache or the origin now. Suspension, slow start and failures of
// the op's category count for caches only.
func (b *Balancer) allowed(o *op, c *cache, now Time) bool {
	if !c.listed || c.State != Ready || c.Excluded || slices.Contains(o.triedCaches, c) {
		return false
	}
	if c != b.origin && (now < c.suspendedUntil || !b.slowStartAllows(c, now) || c.byCategory.IsOutlier(&b.fleetTotal.byCategory, o.category)) {
		return false
	}
	return o.firstExecuted == nil || b.mayRepeat(o, c, now)
}

// mayRepeat reports whether an op that may have been executed may go to a cache: a repeat does no harm, or it is
// dropped within the op's group and window.
func (b *Balancer) mayRepeat(o *op, c *cache, now Time) bool {
	switch {
	case o.category.Effect == Redeliverable:
		return true
	case o.category.Effect != Deduplicated || now+b.Tick >= o.firstExecuted.sentAt+o.category.Window:
		return false
	}
	switch o.category.Group {
	case GroupAll:
		return true
	case GroupZone:
		return c.Zone == o.firstExecuted.cache.Zone
	default:
		return c.Cell == o.firstExecuted.cache.Cell
	}
}

// route returns the cache that an op goes to now, nil if none is usable.
func (b *Balancer) route(o *op) *cache {
	now := b.host.Now()
	c, considered := b.firstUsableCandidate(o, now)
	if c != nil {
		return c
	}
	return b.leastLoaded(o, considered, now)
}

// firstUsableCandidate returns the first of a key's candidates that the op may be pushed to and whose load is within
// its bound, and all candidates that it has considered. Of a popular key's candidates a random one comes first.
func (b *Balancer) firstUsableCandidate(o *op, now Time) (c *cache, considered []*cache) {
	// A key that gets more requests than one cache's mean share is spread over as many caches as it would fill;
	// popularity is its share of all requests, 0 to 1.
	spread := 1 + int(o.popularity*float64(b.ranked.Len()))
	sampled := min(spread, b.ranked.Len()) > maxHotCandidates
	var walk *candidateWalk
	if sampled {
		considered = b.hotKeyCandidates(o.key, spread)
	} else {
		walk = b.startWalk(o.key, spread)
		considered = walk.firstCandidates(spread)
		if n := len(considered); n > 1 {
			first := int(b.random.Next()) % n
			considered[0], considered[first] = considered[first], considered[0]
		}
	}
	originHasSpare := b.originHasSpareCapacity(o)
	// A skipped candidate mostly does not use up one of the tries: during a zone outage all of the first three are often
	// skipped.
	limit := max(maxCandidates, min(spread, maxHotCandidates))
	for i := 0; i < limit; i++ {
		if !sampled {
			considered = walk.firstCandidates(i + 1)
		}
		if i >= len(considered) {
			break
		}
		c := considered[i]
		switch {
		case b.skipCandidate(o, c, originHasSpare, now):
			limit = min(limit+1, 3*maxCandidates)
		// At its limit, a candidate is only passed over if the origin can take the miss that this causes.
		case b.allowed(o, c, now) && b.belowLoadBound(c) && (!originHasSpare || b.hasRoom(c, o)):
			return c, considered
		}
	}
	return nil, considered
}

// originHasSpareCapacity reports whether the origin can take a miss. A candidate at its limit is then passed over
// like one that is not ready.
func (b *Balancer) originHasSpareCapacity(o *op) bool {
	return b.origin != nil && len(b.originQueue) == 0 && b.medianLatency(b.origin) <= b.origin.minLatency*3/2 &&
		b.overload < overloadNoise+0.25 && o.quotaPenalty == 0
}

// skipCandidate reports whether a candidate is passed over for the next one: it, or its whole zone, recently failed
// this proxy; peers reported it; its zone is too slow for the op; or queueDelay shows a queue there while the origin
// has spare capacity. Own failures count only in large fleets of proxies, where each is at first allowed one push in
// flight to a cache; in a small one each proxy sees enough to rely on limits. A report of peers counts with the
// probability peerSuspicion, 0 to 1, and only if the origin can take the fetch.
func (b *Balancer) skipCandidate(o *op, c *cache, originHasSpare bool, now Time) bool {
	suspected := b.Proxies > initialFleetLimit && (c.suspicion.Active(now) || b.siteOutages.ShouldAvoid(c.Zone, o.key, now)) ||
		b.random.Float64() < c.peerSuspicion && (b.originFetches == nil || b.hasRoom(b.originFetches, o))
	return suspected || b.zoneTooSlow(o, c, now) || originHasSpare && b.queueDelay(c, now) > 0
}

// belowLoadBound reports whether a cache has at most twice the mean number of pushes in flight, in proportion to its
// weight, or at most two more than the mean if that allows more.
func (b *Balancer) belowLoadBound(c *cache) bool {
	mean := float64(b.inFlight) * c.effectiveWeight / b.totalEffectiveWeight
	return float64(c.inFlight) <= max(2*mean, mean+2)
}

// leastLoaded returns the least loaded usable cache of those considered, or of a sample of the others if none of them
// is usable. Caches are compared by queueing delay, then by pushes in flight.
func (b *Balancer) leastLoaded(o *op, considered []*cache, now Time) (least *cache) {
	visit := func(c *cache) (enough bool) {
		if b.allowed(o, c, now) && (least == nil || b.lessLoaded(c, least, now)) {
			least = c
		}
		return least != nil && least.inFlight == 0 && b.queueDelay(least, now) == 0
	}
	for _, c := range considered {
		visit(c)
	}
	if least == nil {
		b.sampleCaches(visit)
	}
	return least
}

func (b *Balancer) lessLoaded(x, y *cache, now Time) bool {
	return cmp.Or(cmp.Compare(b.queueDelay(x, now), b.queueDelay(y, now)), cmp.Compare(x.inFlight, y.inFlight)) < 0
}
