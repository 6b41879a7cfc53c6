package policy

import "minttray/decide/evidence"

// sendToCache pushes an op to the cache that it is routed to, or gives it up.
func (b *Balancer) sendToCache(o *op) {
	c, now := b.route(o), b.host.Now()
	switch {
	case c == nil && b.Aside && o.pushCount == 0 && !o.write:
		b.sendToOrigin(o)
	case c == nil:
		b.giveUp(o, NoUsableCache)
	case b.holdForProbe(o, c, now):
	// The report is late, and an overloaded cache works its queue off more slowly than reported.
	case float64(b.queueDelay(c, now)) > float64(o.deadline-now)*max(0.5-b.overload, 0.2):
		b.giveUp(o, UnlikelyInTime)
	case !b.hasRoom(c, o):
		b.giveUp(o, CacheLimitReached)
	case b.mayFetch(o) && !b.hasRoom(b.originFetches, o):
		b.giveUp(o, OriginOverloaded)
	default:
		b.startPush(o, c)
	}
}

// mayFetch reports whether a cache may have to fetch an op's key from the origin. Only such ops are subject to the limit
// of fetches.
func (b *Balancer) mayFetch(o *op) bool {
	return b.originFetches != nil && (o.write || !b.keptKeys.Contains(o.key))
}

// startPush sends an op to a cache or to the origin.
func (b *Balancer) startPush(o *op, c *cache) {
	now, mayFetch := b.host.Now(), b.mayFetch(o)
	until := b.waitUntil(o, c, now)
	fullWait := until == o.deadline && 2*(until-now) >= o.category.Target
	o.inFlight = append(o.inFlight, push{
		number:    o.pushCount,
		cache:     c,
		sentAt:    now,
		gateShare: b.overloadGate.AdmittedShare(),
		mayFetch:  mayFetch,
		fullWait:  fullWait,
		shortWait: until < o.deadline,
	})
	if mayFetch {
		b.originFetches.inFlight++
	}
	if c != b.origin {
		o.triedCaches = append(o.triedCaches, c)
	}
	o.pushCount++
	c.lastPushAt = now
	c.hasConnections = true
	b.addInFlight(c, 1)
	c.Sent[0]++
	b.pushInterval += (float64(now-b.lastPushAt) - b.pushInterval) / 32
	b.lastPushAt = now
	b.host.Push(o.id, c.ID, until)
}

// addInFlight books that a push to a cache begins (1) or has ended (-1).
func (b *Balancer) addInFlight(c *cache, change int) {
	if c.inFlight += change; c.ranked {
		b.inFlight += change
	}
}

// waitUntil is the time until which a push is waited for. If answers get lost, that is before the op's deadline, so
// that another cache can still answer.
func (b *Balancer) waitUntil(o *op, c *cache, now Time) Time {
	if c == b.origin || b.mayFetch(o) || o.category.Effect != Redeliverable || o.pushCount+2 > o.worthwhilePushes || b.overload >= overloadNoise ||
		b.random.Next()%fullWaitInterval == 0 {
		return o.deadline
	}
	if patience := evidence.HedgeDelay(&b.fleetTotal.latencies, b.fullWaitsUnanswered/max(b.fullWaits, 1), b.inTicks(o.deadline-now)); patience > 0 {
		return min(now+max(Time(patience*float64(b.Tick)), b.Tick)+b.extraZoneLatency(c), o.deadline)
	}
	return o.deadline
}
