package policy

import "slices"

// retryInOtherZone sends an op to a cache in another zone before it is given up for want of an origin that lies
// beyond a slow network path, or that has not answered lately. An overloaded origin is no reason for that: a key
// that missed in one zone mostly misses in the others as well.
func (b *Balancer) retryInOtherZone(o *op, reason GiveUpReason) {
	now, zone := b.host.Now(), b.zoneLatencies[b.origin.Zone]
	if b.preferLocalZone && !o.write && o.pushCount > 0 && o.pushCount < o.maxPushes &&
		(b.extraZoneLatency(b.origin) > 0 || now > zone.LastAnswer+4*b.minTargetLatency) {
		if c := b.route(o); c != nil && !b.zoneTooSlow(o, c, now) {
			b.sendToCache(o)
			return
		}
	}
	b.giveUp(o, reason)
}

// sendToOrigin queues an op for the origin, ordered by its share of the limit less its quota penalty.
func (b *Balancer) sendToOrigin(o *op) {
	if b.origin == nil {
		b.giveUp(o, NoUsableCache)
		return
	}
	median := float64(b.medianLatency(b.origin))
	wait := float64(b.extraZoneLatency(b.origin)) + median*(1+float64(len(b.originQueue))/b.origin.Limit/(1-0.75*o.quotaPenalty))
	if now := b.host.Now(); now+Time(wait) > o.deadline && len(b.originQueue) > 0 || now < b.origin.suspendedUntil {
		b.retryInOtherZone(o, OriginOverloaded)
		return
	}
	b.host.Timer(opTokenBase+uint64(o.id), o.pushDeadline-b.host.Now()) // queued until then at most
	at := len(b.originQueue)
	for at > 0 && b.originQueue[at-1].limitShare-b.originQueue[at-1].quotaPenalty < o.limitShare-o.quotaPenalty {
		at--
	}
	b.originQueue = slices.Insert(b.originQueue, at, o)
	o.queued = true
	b.drainOriginQueue()
}

// drainOriginQueue pushes queued ops to the origin as far as its limit allows.
func (b *Balancer) drainOriginQueue() {
	for len(b.originQueue) > 0 && b.origin != nil && b.hasRoom(b.origin, b.originQueue[0]) {
		o := b.originQueue[0]
		b.originQueue = b.originQueue[1:]
		o.queued = false
		if now := b.host.Now(); now < o.pushDeadline && b.allowed(o, b.origin, now) && b.origin.latencies.AnswerProbability(
			b.inTicks(o.deadline-now-b.extraZoneLatency(b.origin)), b.inTicks(b.targetLatency)) >= 2*minAnswerChance {
			b.startPush(o, b.origin)
		} else { // with so little time left, a fetch would be wasted
			b.retryInOtherZone(o, DeadlinePassed)
		}
	}
}
