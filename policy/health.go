package policy

import "minttray/decide/evidence"

// failureShares is the distribution of the caches' failure shares, in which an unhealthy cache is an outlier.
type failureShares = evidence.Median

// failureShareBucket is the place of a cache's failure share in the distribution.
func (c *cache) failureShareBucket() evidence.MedianBin {
	return evidence.MedianBinOf(c.Bad / max(c.Good+c.Bad, 1))
}

// recordHealth books what the end of a push proves of its server's health.
func (b *Balancer) recordHealth(c *cache, good, ill float64) {
	c.Good += good
	c.Bad += ill
	if c.ranked {
		bucket := c.failureShareBucket()
		b.failures.Move(c.failureBucket, bucket)
		c.failureBucket = bucket
	}
}

// unhealthy reports whether a cache's share of failures is an outlier against the fleet's median.
func (b *Balancer) unhealthy(c *cache) bool {
	return c.Bad >= 3 && b.failures.IsOutlier(c.Bad/(c.Good+c.Bad))
}

// suspect makes candidate selection pass a cache over for about the time of this proxy's next few pushes there.
func (b *Balancer) suspect(c *cache) {
	c.suspicion.Raise(b.host.Now(), min(Time(suspicionPushes*b.pushInterval*float64(b.ranked.Len())), 64*b.minTargetLatency))
}

// suspend excludes a server for a while, longer each time until it answers, so that one that is down does not keep
// getting a share of the ops.
func (b *Balancer) suspend(c *cache, now Time) {
	if now >= c.suspendedUntil {
		c.suspension = min(max(2*c.suspension, b.minTargetLatency), 16*b.minTargetLatency)
		c.suspendedUntil = now + b.randomBetween(c.suspension/2, c.suspension)
	}
}
