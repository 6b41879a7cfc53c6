package policy

import "cmp"

// hasRoom reports whether the learned concurrency limit of a cache or the origin admits one more push. Where even
// one push from every proxy is too much, a limit below 1 spaces pushes out: a server that keeps working on requests
// that nobody waits for would otherwise stay overloaded.
func (b *Balancer) hasRoom(c *cache, o *op) bool {
	limit, now := c.Limit, b.host.Now()
	if c != b.origin { // a reduced limit of the origin could hold ops in its queue with nothing in flight
		limit *= o.limitShare * (1 - min(max((b.overload-overloadNoise)/(1-o.quotaPenalty)-0.25, 0), 1))
	}
	return float64(c.inFlight) < limit && now >= c.suspendedUntil &&
		(limit >= 1 || float64(now-c.lastPushAt) > float64(b.minTargetLatency)/4*(1/limit-1))
}

// updateLimit applies an outcome to the concurrency limit of its server, and suspends the server where its failures
// call for it. inTime is the answer time above which the limit falls.
func (b *Balancer) updateLimit(c *cache, how Outcome, taken, inTime Time, load float64) {
	now := b.host.Now()
	switch how {
	case Acked, Miss:
		if median := b.medianLatency(c); c == b.origin {
			b.originFailureFactor = 1
			c.minLatency = min(cmp.Or(c.minLatency, median), median)
			c.minLatency += (median - c.minLatency) / 256
			// As quick as ever: the origin may be free again, and one proxy sees too few answers to raise the limit slowly.
			if taken <= c.minLatency*3/2 {
				c.Limit = b.originPace.ObserveQuick(c.Limit)
			}
		} else if !c.isOrigin && b.Aside {
			// A miss consists of network latency only. Taken for work, it would shrink the limits of remote caches to one push.
			taken -= b.zoneLatencies[c.Zone].Baseline
		}
		if taken > inTime && c == b.origin && c.Limit < 1 {
			b.cutLimit(c, now, 0.8)
		} else if taken > inTime {
			b.cutLimit(c, now, 0.95)
		} else if float64(c.inFlight+1) >= c.Limit/2 && (c.isOrigin || c.Limit < 1 || taken < inTime/3) {
			maxGrowth := c.Limit / 4
			if c.isOrigin && (c.Limit >= 1 || c.limitCutAt == 0) {
				maxGrowth = c.Limit
			}
			c.Limit += min(1/c.Limit, maxGrowth)
		}
	case Rejected:
		b.cutLimit(c, now, 0.8)
	case TimedOut, Errored, ConnectionLost:
		if c == b.origin && load > 0 { // work that nobody waits for jams the origin: each failure in a row cuts deeper
			b.cutLimit(c, now, 1-(1-0.7*b.originFailureFactor)*load)
			b.originFailureFactor *= 1 - load/2
		} else if load > 0 {
			b.cutLimit(c, now, 1-0.3*load)
		}
		if !c.isOrigin && b.unhealthy(c) {
			b.suspend(c, now)
		}
	case ConnectFailed:
		if c == b.origin {
			// The limit stays: treated as overloaded, an origin beyond a broken network path would be left at its lowest pace
			// once the path is back. Suspensions do not get longer, since no other origin can be asked meanwhile.
			c.suspension = 0
		} else {
			b.cutLimit(c, now, 0.7)
		}
		b.suspend(c, now)
	}
}

// cutLimit multiplies a limit by a factor below 1, at most once in a quarter of the lowest target latency.
func (b *Balancer) cutLimit(c *cache, now Time, by float64) {
	if now >= c.limitCutAt+b.minTargetLatency/4 {
		if c == b.origin && b.originPace.ObserveCut(&c.Limit, by < 0.9) { // the last jump was wrong, not the pace before it
			c.limitCutAt = now
			b.originFailureFactor = 1
			return
		}
		if by < 0.9 { // a failure, not one slow answer: start from what is in use
			c.Limit = min(c.Limit, float64(c.inFlight+1))
		}
		c.Limit = max(c.Limit*by, min(1.0/16, 2/float64(b.Proxies)))
		c.limitCutAt = now
	}
}

// recoverLimit raises a limit below one push over time.
func (b *Balancer) recoverLimit(c *cache, now Time, fade float64) {
	if c != nil && c.Limit < 1 && now > c.limitCutAt+4*b.targetLatency {
		c.Limit = min(c.Limit*(1+fade), 1)
	}
}
