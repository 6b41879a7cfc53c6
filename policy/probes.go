package policy

// queueDelay is the queueing delay of an op at a cache by its last probe. It is 0 if the delay is unknown or at most a
// quarter of the lowest target latency, or if the probe is older than twice that latency.
func (b *Balancer) queueDelay(c *cache, now Time) Time {
	if c.probedDelay <= b.minTargetLatency/4 || now-c.probedAt > 2*b.minTargetLatency {
		return 0
	}
	return c.probedDelay
}

// holdForProbe holds an op while its cache is probed, and reports whether it does. Where each proxy sees little of
// a cache, only a fresh report of the cache shows a queue that all proxies fill together. Probes have a price:
// without a known queue, an op is held for one with the probability at which probes cost the share of its benefit that
// exploration may cost.
func (b *Balancer) holdForProbe(o *op, c *cache, now Time) bool {
	if !b.Probing || o.probeCount > maxCandidates || now-c.probedAt <= b.minTargetLatency/4 || o.deadline-now < b.minTargetLatency/4 ||
		!c.probeInFlight && b.queueDelay(c, now) == 0 && b.random.Float64() > b.explorationWorth/b.ProbePrice {
		return false
	}
	o.probeCount++
	c.opsAwaitingProbe = append(c.opsAwaitingProbe, o)
	if !c.probeInFlight {
		c.probeInFlight = true
		b.host.Probe(c.ID)
		b.host.Timer(probeTokenBase+uint64(c.ID), b.minTargetLatency/16)
	}
	return true
}

// Probed takes the result of a probe: how many ops wait at the cache and how many it completes per second. reported is
// false if the cache did not report them.
func (b *Balancer) Probed(id uint32, reported bool, queueLength, opsPerSecond float64) {
	c := b.caches.Get(id)
	if c == nil {
		return
	}
	waitingOps := c.opsAwaitingProbe
	c.probeInFlight = false
	c.opsAwaitingProbe = nil
	c.probedAt = b.host.Now()
	// A cache that reports nothing, perhaps because the probe is queued too, must not block ops for good.
	if c.probedDelay = b.minTargetLatency / 3; reported {
		c.probedDelay = Time(min(10000*queueLength/max(opsPerSecond, 1), 1e6))
	}
	for _, o := range waitingOps {
		if !o.finished {
			b.sendToCache(o)
		}
	}
}
