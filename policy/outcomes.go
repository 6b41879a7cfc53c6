package policy

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"minttray/decide/evidence"
)

// PushEnded takes the one outcome of a push. missed: the cache had to fetch from the origin; terminal: the client
// needs nothing more.
func (b *Balancer) PushEnded(id uint32, n int, how Outcome, missed, terminal bool, taken Time) {
	o := cmp.Or(b.ops[id], &op{})
	i := slices.IndexFunc(o.inFlight, func(p push) bool { return p.number == n })
	if i < 0 {
		return
	}
	p := o.inFlight[i]
	c, blamed := p.cache, p.cache
	o.inFlight = slices.Delete(o.inFlight, i, i+1)
	if !how.NotExecuted() && (o.firstExecuted == nil || p.sentAt < o.firstExecuted.sentAt) {
		o.firstExecuted = &p
	}
	if b.addInFlight(c, -1); p.mayFetch {
		b.originFetches.inFlight--
	}
	now, good := b.host.Now(), 0.0
	// Over a slow network path, answers of healthy caches and of a healthy origin come late. The extra latency of the
	// path is taken off, so that nothing is learned from it about the server.
	zone := b.zoneLatencies[c.Zone]
	answered := how == Acked && !missed || how == Miss
	if c != b.origin && answered {
		zone.ObserveAnswer(taken, now)
	}
	if c != b.origin && (answered || how == TimedOut) {
		zone.ObserveLowerBound(min(taken, o.category.Target)) // an answer after a time-out would have come later still
	}
	taken = max(taken-b.extraZoneLatency(c), b.Tick)
	load, ill := b.weighOutcome(o, p, how, missed, taken)
	if how == Acked || how == Miss {
		good = 1
		c.suspension = 0
		b.overload -= b.overload * overloadFall
		if p.fullWait {
			c.latencies.Add(b.inTicks(taken))
			if c != b.origin {
				b.fleetTotal.latencies.Add(b.inTicks(taken))
			}
		}
	} else if c == b.origin && how == TimedOut && p.fullWait {
		c.latencies.Add(4 * b.inTicks(taken)) // when the answer would have come is unknown: far later
	} else if c != b.origin && load > 0 {
		b.overload += (1 - b.overload) * overloadRise * load
		b.lastOverloadAt = now
	}
	if c != b.origin && (how == ConnectFailed || how == TimedOut && ill >= 0.5) {
		b.siteOutages.RecordFailure(c.Zone, now, 4*b.minTargetLatency)
	} else if c != b.origin && how != TimedOut && how != Cancelled && how != NotSent {
		b.siteOutages.RecordAnswer(c.Zone, now)
	}
	if c != b.origin && (how == ConnectFailed || how != ConnectionLost && ill >= 0.25) {
		b.suspect(c)
		// Without messages, each of hundreds of proxies loses an op of its own before it finds a failing or overloaded
		// cache. Only proxies of the cache's zone report it, and not failed connections: the network path, or setting
		// up connections, may be at fault.
		if b.Peers && how == TimedOut && c.Zone == b.Zone && b.random.Float64()*b.peerCopyPrice < minAnswerChance {
			message := binary.LittleEndian.AppendUint64(nil, uint64(c.ID))
			b.host.SendToPeers(message)
			b.PeerMessageReceived(message)
		}
	} else if how == Acked && !c.reportedSlow {
		c.suspicion.Clear()
	}
	if c != b.origin && (how == Acked && !missed || how == TimedOut && ill >= 0.5) && b.slowStartShare(c, now) >= 1 {
		b.bucketsStale = evidence.UpdateSpeeds(b.kindSpeeds, c.Kind, b.inTicks(taken)) || b.bucketsStale
	}
	b.recordHealth(c, good, ill)
	c.byCategory.Add(o.category, good, ill)
	b.fleetTotal.byCategory.Add(o.category, good, ill)
	if p.fullWait && c != b.origin && (good > 0 || how == TimedOut) {
		b.fullWaits++
		b.fullWaitsUnanswered += ill
	}
	if how == Miss {
		// Counted in full, the cheap misses of a fleet that mostly misses would raise the slow-start budget, and admit too
		// many pushes to cold caches whose answers are hits.
		b.recordAnswer(c, missWork)
	} else if how == Acked {
		b.recordAnswer(c, 1)
		o.tenant.retryBudget.Deposit(retryShare, maxRetryBurst)
		// Where a message goes to hundreds of peers, few keys are worth it. A key that looks like a cache's id would be
		// taken for a report of a failing cache.
		if b.originFetches != nil && b.keptKeys.Add(o.key) && len(b.peerMessage) < maxPeerMessageBytes &&
			b.random.Float64()*b.peerCopyPrice < b.explorationWorth && o.key > math.MaxUint32 {
			b.peerMessage = binary.LittleEndian.AppendUint64(b.peerMessage, o.key)
		}
	}
	// A failed fetch is the origin's fault; but time-outs of an unhealthy cache must not block fetches of all keys.
	if b.originFetches != nil && (missed || p.mayFetch && how == TimedOut && !b.unhealthy(c)) {
		blamed = b.originFetches
	}
	if c != b.origin && answered {
		b.overloadGate.ObservePush(1/max(c.Sent.Sum(), 1), float64(taken)/float64(o.category.Target), p.gateShare)
	} else if c != b.origin && blamed == c { // a failed fetch says nothing of the cache; a rejection is quick, but counts as late
		b.overloadGate.ObservePush(load/max(c.Sent.Sum(), 1), 1, p.gateShare)
	}
	// One latency target serves all categories: that of the strictest one would cut a cache's limit for work that
	// takes longer by nature.
	b.targetLatency += (o.category.Target - b.targetLatency) / 64
	b.updateLimit(blamed, how, taken, b.targetLatency/3, load)
	if p.mayFetch && how == Acked && !missed { // no fetch was needed: the limit of fetches must not learn from failures alone
		b.updateLimit(b.originFetches, how, taken, b.targetLatency/3, load)
	}
	switch {
	case terminal || o.finished:
		b.finish(o)
	case len(o.inFlight) > 0:
	case how == Miss && b.Aside && o.pushCount < o.maxPushes:
		b.sendToOrigin(o)
	// During overload a further push mostly meets another full queue, and costs a connection there.
	case missed && how == Errored || now >= o.pushDeadline || float64(o.pushCount) >= float64(o.worthwhilePushes)*(1-b.overload) ||
		o.firstExecuted != nil && o.category.Effect == AtMostOnce:
		b.giveUp(o, PushesExhausted)
	case c == b.origin:
		b.sendToOrigin(o)
	default:
		b.sendToCache(o)
	}
	if c == b.origin {
		b.drainOriginQueue()
	}
}

// weighOutcome is how much the end of a push proves of overload and of ill health of its server, from 0 to 1 each.
// A push cut short by its op proves only that no answer came by then; a lost answer or a quick error proves nothing
// of a queue, and a broken connection nothing of load.
func (b *Balancer) weighOutcome(o *op, p push, how Outcome, missed bool, taken Time) (load, ill float64) {
	usual, fleet := &p.cache.latencies, &b.fleetTotal.latencies
	if p.cache.isOrigin {
		fleet = usual
	} else if !usual.HasEnoughSamples() {
		usual = fleet
	}
	span, target := b.inTicks(taken), b.inTicks(o.category.Target)
	switch {
	case how == Rejected || how == Errored && (missed || p.cache.isOrigin):
		return 1, 0
	case how == ConnectionLost:
		return 0, 1
	case how == Errored:
		return evidence.TimeoutWeight(usual, span, target), 1
	case how != TimedOut || b.Aside && b.extraZoneLatency(p.cache) > 0: // a slow network path loses answers as well
		return 0, 0
	}
	load, ill = evidence.TimeoutWeight(usual, span, target), evidence.TimeoutWeight(fleet, span, target)
	if !p.cache.isOrigin {
		load *= 1 - 0.95*evidence.LossProbability(usual, p.cache.Good, p.cache.Bad, target)
	}
	if p.shortWait { // it was given up when it was as likely to be slow as to be lost
		ill /= 2
		b.Counts.ShortenedPushes++
	}
	if load < 0.5 {
		b.Counts.InconclusiveTimeouts++
	}
	return load, ill
}

// Reported takes a cache's own report of how long its ops take, which reflects the traffic of all proxies.
func (b *Balancer) Reported(id uint32, latency Time) {
	if c := b.caches.Get(id); c != nil && c != b.origin {
		if c.reportedSlow = b.kindPaces.ObserveSlow(c.Kind, float64(latency)); c.reportedSlow {
			b.suspect(c)
		}
	}
}
