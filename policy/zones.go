package policy

import "cmp"

// extraZoneLatency is how much longer than usual answers from a cache's zone take, less the same for the own zone.
func (b *Balancer) extraZoneLatency(c *cache) Time {
	zone, local := b.zoneLatencies[c.Zone], cmp.Or(b.zoneLatencies[b.Zone], &zoneLatency{})
	if extra := zone.Excess() - max(local.Excess(), 0); c.Zone != b.Zone && extra >= b.minTargetLatency/4 {
		return extra
	}
	return 0
}

// zoneTooSlow reports whether the latency to a cache's zone alone leaves an op too little time. A small random
// share of the ops goes there all the same, to notice a recovery.
func (b *Balancer) zoneTooSlow(o *op, c *cache, now Time) bool {
	extra := b.extraZoneLatency(c)
	return extra > 0 && extra+b.medianLatency(&b.fleetTotal) > min(o.deadline-now, o.category.Target) && b.random.Next()%(8*fullWaitInterval) > 0
}
