package policy

import "math"

// TimerDue takes the token of a timer that has run out. Timers can't be cancelled, so an outdated one has no effect.
func (b *Balancer) TimerDue(token uint64) {
	c, o := b.caches.Get(uint32(token-probeTokenBase)), b.ops[uint32(token-opTokenBase)]
	if token == tickToken {
		b.tick()
	} else if token == listToken {
		b.host.Watch(true)
	} else if token >= probeTokenBase && c != nil && c.probeInFlight {
		b.Probed(c.ID, false, 0, 0)
	} else if token < probeTokenBase && o != nil && !o.finished && len(o.inFlight) == 0 && b.host.Now() >= o.pushDeadline {
		b.giveUp(o, DeadlinePassed)
	}
}

// tick does the periodic work, every four ticks of the settings.
func (b *Balancer) tick() {
	now := b.host.Now()
	b.host.Timer(tickToken, 4*b.Tick)
	for _, t := range b.tenants {
		t.tokens = min(t.tokens+t.rate*float64(4*b.Tick)/10000, max(2*t.rate, minTokenBurst))
	}
	if now >= b.lastQuarterAt+b.TipAfter/(windowQuarters-1) {
		b.advanceWindow(now)
	}
	// Old evidence decays with time as well: a proxy that pushes little would otherwise never notice that it is wrong.
	fade := float64(4*b.Tick) / float64(4*b.targetLatency)
	// Hundreds of proxies would fill the caches' tables with connections that mostly end unused. A connection is worth
	// keeping for this many usual intervals between pushes to a cache, or not at all if it ends before half of one.
	idle := b.HandshakePrice / b.ConnPrice * 100 / float64(b.Proxies)
	idle *= min(math.Floor(2*idle), 1) * float64(b.ranked.Len()) * b.pushInterval
	b.Counts.ListedCaches = b.ranked.Len()
	b.maintainCaches(now, fade, idle)
	if now > b.lastOverloadAt+4*b.targetLatency {
		b.overload -= b.overload * fade
	}
	b.recoverLimit(b.origin, now, fade)
	b.recoverLimit(b.originFetches, now, fade)
	if b.bucketsStale {
		b.assignBuckets() // also recomputes the sums
	} else if b.staleSums {
		b.resetSums()
	}
	b.drainOriginQueue()
}

// maintainCaches lets evidence against caches decay, and closes connections that no push has used for a while. In a
// large fleet each tick visits one batch of the caches, and counts for as many ticks as pass until the next visit.
func (b *Balancer) maintainCaches(now Time, fade, idle float64) {
	count := b.ranked.Len()
	batches := max((count+maxCachesVisited-1)/maxCachesVisited, 1)
	from := count * (b.tickBatch % batches) / batches
	to := count * (b.tickBatch%batches + 1) / batches
	if b.tickBatch++; from == 0 {
		b.excludedCount = 0
	}
	fade *= float64(batches)
	for i := from; i < to; i++ {
		c := b.ranked.At(i)
		if c.peerSuspicion -= c.peerSuspicion * min(fade, 1); c.Excluded || now < c.suspendedUntil {
			b.excludedCount++
		}
		if c.hasConnections && c.inFlight == 0 && float64(now-c.lastPushAt) > idle { // without prices idle is NaN, and nothing is closed
			c.hasConnections = false
			b.host.CloseIdle(c.ID)
		}
		b.recoverLimit(c, now, fade)
	}
	if to == count {
		b.Counts.ExcludedCaches = b.excludedCount
	}
}

// advanceWindow begins the next quarter of the slow-start window. The result does not depend on map order.
func (b *Balancer) advanceWindow(now Time) {
	if b.lastQuarterAt = now; b.Peers && len(b.peerMessage) > 0 {
		b.host.SendToPeers(b.peerMessage)
		b.peerMessage = nil
	}
	if b.quarterCount%windowQuarters == 0 {
		b.slowStartDraw = b.random.Float64()
	}
	if b.quarterCount++; b.originFetches != nil && b.quarterCount%(2*windowQuarters) == 0 {
		b.keptKeys.Rotate()
	}
	for id, c := range b.caches.All() {
		if !c.listed && !c.probeInFlight && c.inFlight == 0 && c.Sent.Sum() == 0 {
			b.caches.Delete(id) // ids are never reused: without this they would fill the memory
		}
		c.Roll(0.8)
		c.latencies.Decay(0.5)
		c.byCategory.Decay(0.8)
	}
	for _, zone := range b.zoneLatencies { // a latency that lasts becomes the usual one
		zone.AdjustBaseline()
	}
	b.fleetTotal.latencies.Decay(0.8)
	b.fleetTotal.byCategory.Decay(0.8)
	b.fullWaits *= 0.8
	b.fullWaitsUnanswered *= 0.8
	b.staleSums = true
}
