package policy

import "cmp"

// hasRoom reports whether the learned concurrency limit of a cache or the origin admits one more push, and the server
// is not suspended. Where even one push from every proxy is too much, a limit below 1 spaces pushes out: a server that
// keeps working on requests that have timed out would otherwise stay overloaded.
func (b *Balancer) hasRoom(c *cache, o *op) bool {
	limit, now := c.Limit, b.host.Now()
	// The limits of caches are reduced for ops with a small share, and by overload. Not the origin's: if that fell below
	// one push, ops would stay queued with nothing in flight.
	if c != b.origin {
		limit *= o.limitShare * (1 - min(max((b.overload-overloadNoise)/(1-o.quotaPenalty)-0.25, 0), 1))
	}
	return float64(c.inFlight) < limit && now >= c.suspendedUntil &&
		(limit >= 1 || float64(now-c.lastPushAt) > float64(b.minTargetLatency)/4*(1/limit-1))
}

// updateLimit applies an outcome to the concurrency limit of its server, and suspends a server that can't be reached
// or is unhealthy. slowAbove is the answer time above which the limit falls; load is how far the outcome proves
// overload, 0 to 1.
func (b *Balancer) updateLimit(c *cache, how Outcome, taken, slowAbove Time, load float64) {
	now := b.host.Now()
	switch how {
	case Acked, Miss:
		if median := b.medianLatency(c); c == b.origin {
			b.originFailureFactor = 1
			c.minLatency = min(cmp.Or(c.minLatency, median), median)
			c.minLatency += (median - c.minLatency) / 256
			// An answer within 1.5 times the lowest median: the origin may no longer be overloaded. The limit is raised in
			// one step, since one proxy sees too few answers to raise it slowly.
			if taken <= c.minLatency*3/2 {
				c.Limit = b.originPace.ObserveQuick(c.Limit)
			}
		} else if !c.isOrigin && b.Aside {
			// With Aside a cache fetches nothing, so the answer time of a miss is network latency only. Taken for work, the
			// latency would shrink the limits of remote caches to one push.
			taken -= b.zoneLatencies[c.Zone].Baseline
		}
		if taken > slowAbove && c == b.origin && c.Limit < 1 {
			b.cutLimit(c, now, 0.8)
		} else if taken > slowAbove {
			b.cutLimit(c, now, 0.95)
		} else if float64(c.inFlight+1) >= c.Limit/2 && (c.isOrigin || c.Limit < 1 || taken < slowAbove/3) {
			maxGrowth := c.Limit / 4
			if c.isOrigin && (c.Limit >= 1 || c.limitCutAt == 0) {
				maxGrowth = c.Limit
			}
			c.Limit += min(1/c.Limit, maxGrowth)
		}
	case Rejected:
		b.cutLimit(c, now, 0.8)
	case TimedOut, Errored, ConnectionLost:
		if c == b.origin && load > 0 {
			// An overloaded origin spends its time on requests that have timed out, so each failure in a row reduces the
			// limit more.
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
			// A failed connect does not prove overload, so the limit is kept; otherwise it would be at its minimum when a
			// broken network path recovers. Suspensions do not get longer, since no other origin can be asked meanwhile.
			c.suspension = 0
		} else {
			b.cutLimit(c, now, 0.7)
		}
		b.suspend(c, now)
	}
}

// cutLimit multiplies a limit by a factor below 1, at most once in a quarter of the lowest target latency. A factor
// below 0.9 marks a failure: if it follows a raise of the origin's limit by ObserveQuick, that raise is undone instead;
// otherwise the limit first falls to what is in use. The lowest limit is 1/16, or two pushes divided
// among all proxies if that is less.
func (b *Balancer) cutLimit(c *cache, now Time, by float64) {
	if now >= c.limitCutAt+b.minTargetLatency/4 {
		if c == b.origin && b.originPace.ObserveCut(&c.Limit, by < 0.9) {
			// ObserveQuick had raised the limit too far. ObserveCut has set it to a little below its value before that.
			c.limitCutAt = now
			b.originFailureFactor = 1
			return
		}
		if by < 0.9 { // a failure, not one slow answer
			c.Limit = min(c.Limit, float64(c.inFlight+1))
		}
		c.Limit = max(c.Limit*by, min(1.0/16, 2/float64(b.Proxies)))
		c.limitCutAt = now
	}
}

// recoverLimit raises a limit below one push over time: by the share growth of its value in each call.
func (b *Balancer) recoverLimit(c *cache, now Time, growth float64) {
	if c != nil && c.Limit < 1 && now > c.limitCutAt+4*b.targetLatency {
		c.Limit = min(c.Limit*(1+growth), 1)
	}
}
