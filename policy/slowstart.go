package policy

import "minttray/decide/slowstart"

// slowStartBudgetShare is the part of a cold cache's budget that is used; the rest is a margin for bursts.
const slowStartBudgetShare = 0.7

func (b *Balancer) slowStartRamp() slowstart.Ramp[Time] {
	return slowstart.Ramp[Time]{InitialShare: b.ColdFrom, Duration: b.WarmUp}
}

// slowStartShare is the part of its capacity that a cache has certainly reached, 0 to 1.
func (b *Balancer) slowStartShare(c *cache, now Time) float64 {
	return b.slowStartRamp().Share(c.Start, now)
}

// inUse reports whether a cache's capacity and answers are part of the sums. If caches that get no pushes were
// counted, less would be admitted than the others answer; then less is answered and the budget falls further, until
// hardly anything is admitted.
func (c *cache) inUse() bool { return c.ranked && !c.Excluded && c.State == Ready }

// resetSums recomputes the sums over all caches, when the list changes and with each quarter of the slow-start window.
// No request, answer, report or probe does so.
func (b *Balancer) resetSums() {
	b.sums.Reset(b.slowStartRamp(), b.host.Now())
	b.inFlight = 0
	b.failures = failureShares{}
	b.staleSums = false
	for _, c := range b.ranked.All() {
		b.inFlight += c.inFlight
		c.failureBucket = c.failureShareBucket()
		b.failures.Add(c.failureBucket)
		if c.inUse() {
			b.sums.Add(c.Weight, c.effectiveWeight, c.Done.Sum(), c.Start)
		}
	}
}

// recordAnswer books an answer of a cache, with its work relative to a usual answer.
func (b *Balancer) recordAnswer(c *cache, work float64) {
	c.Done[0] += work
	if c.inUse() {
		b.sums.AddAnswered(work)
	}
}

// slowStartAllows reports whether a cold cache may get one more push. It keeps all proxies together from overloading
// the cache: each may send it a ratio of what the fleet answers to that same proxy, so the sum is safe however the
// traffic is spread over the proxies.
func (b *Balancer) slowStartAllows(c *cache, now Time) bool {
	share := b.slowStartShare(c, now)
	if share >= 1 {
		return true
	}
	total := b.sums.At(now)
	// A budget below one push is decided by a random draw for each window. Without history, all proxies together may try
	// about one push.
	part := max(min(c.Weight/total.Weight, c.effectiveWeight/total.Size)*total.Answered, 1/float64(b.Proxies))
	return c.Sent.Sum()+1 <= slowStartBudgetShare*b.FallMultiple*share*part+b.slowStartDraw
}
