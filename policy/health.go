package policy

import "minttray/decide/evidence"

// failureShares are the caches' shares of failures, from which one that is sick stands out.
type failureShares = evidence.Median

// failureShare is the place of a cache's share among all.
func (c *cache) failureShare() evidence.MedianBin {
	return evidence.MedianBinOf(c.Bad / max(c.Good+c.Bad, 1))
}

// judged books what an attempt's end says of its cache's health.
func (b *Balancer) judged(c *cache, good, ill float64) {
	c.Good, c.Bad = c.Good+good, c.Bad+ill
	if c.ranked {
		now := c.failureShare()
		b.failures.Move(c.failurePart, now)
		c.failurePart = now
	}
}

// sick tells whether a cache's share of failures stands out against the fleet's median.
func (b *Balancer) sick(c *cache) bool {
	return c.Bad >= 3 && b.failures.IsOutlier(c.Bad/(c.Good+c.Bad))
}

// suspect lets a cache be passed over until this proxy's next few pushes there would come.
func (b *Balancer) suspect(c *cache) {
	c.doubt.Raise(b.host.Now(), min(Time(doubts*b.gap*float64(b.ranked.Len())), 64*b.shortest))
}

// suspend rests a cache, longer each time until it answers, lest one that stands still is fed a share of ops.
func (b *Balancer) suspend(c *cache, now Time) {
	if now >= c.restUntil {
		c.rest = min(max(2*c.rest, b.shortest), 16*b.shortest)
		c.restUntil = now + b.between(c.rest/2, c.rest)
	}
}
