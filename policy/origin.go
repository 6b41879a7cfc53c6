package policy

import "slices"

// retryOrGiveUp handles an op that the origin can't answer. If the origin is in a zone with extra latency, or its zone
// has not answered for four times the lowest target latency, the op is sent to another cache; otherwise it is given up.
// An overloaded origin is no reason for another push: a key that missed in one zone mostly misses in the others as
// well.
func (b *Balancer) retryOrGiveUp(o *op, reason GiveUpReason) {
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

// sendToOrigin queues an op for the origin, ordered by its share of the limit less its quota penalty, unless it would
// be answered too late or the origin is suspended.
func (b *Balancer) sendToOrigin(o *op) {
	if b.origin == nil {
		b.giveUp(o, NoUsableCache)
		return
	}
	median := float64(b.medianLatency(b.origin))
	// Others overtake an op with a quota penalty, so its time in the queue counts up to four times.
	expectedTime := float64(b.extraZoneLatency(b.origin)) + median*(1+float64(len(b.originQueue))/b.origin.Limit/(1-0.75*o.quotaPenalty))
	if now := b.host.Now(); now+Time(expectedTime) > o.deadline && len(b.originQueue) > 0 || now < b.origin.suspendedUntil {
		b.retryOrGiveUp(o, OriginOverloaded)
		return
	}
	// At pushDeadline the timer gives the op up if it is still queued.
	b.host.Timer(opTokenBase+uint64(o.id), o.pushDeadline-b.host.Now())
	at := len(b.originQueue)
	for at > 0 && b.originQueue[at-1].limitShare-b.originQueue[at-1].quotaPenalty < o.limitShare-o.quotaPenalty {
		at--
	}
	b.originQueue = slices.Insert(b.originQueue, at, o)
	o.queued = true
	b.drainOriginQueue()
}

// drainOriginQueue pushes queued ops to the origin as far as its limit allows, and drops those that it may not be sent
// or would hardly answer in time.
func (b *Balancer) drainOriginQueue() {
	for len(b.originQueue) > 0 && b.origin != nil && b.hasRoom(b.origin, b.originQueue[0]) {
		o := b.originQueue[0]
		b.originQueue = b.originQueue[1:]
		o.queued = false
		if now := b.host.Now(); now < o.pushDeadline && b.allowed(o, b.origin, now) && b.origin.latencies.AnswerProbability(
			b.inTicks(o.deadline-now-b.extraZoneLatency(b.origin)), b.inTicks(b.targetLatency)) >= 2*minAnswerChance {
			b.startPush(o, b.origin)
		} else { // the op may not go to the origin, or the fetch would probably be wasted
			b.retryOrGiveUp(o, DeadlinePassed)
		}
	}
}
