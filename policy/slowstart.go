package policy

import "minttray/decide/slowstart"

// slowStartPart is the part of a server's slow-start budget that is given out; the rest is kept for bunches of requests.
const slowStartPart = 0.7

func (b *Balancer) ramp() slowstart.Ramp[Time] {
	return slowstart.Ramp[Time]{InitialShare: b.ColdFrom, Duration: b.WarmUp}
}

// share is the part of its capacity that a cache has surely reached.
func (b *Balancer) share(c *cache, now Time) float64 { return b.ramp().Share(c.Start, now) }

// counted tells whether a cache's capacity and answers are part of the sums. Danger: with those counted in that get nothing, less is let
// in than the others answer, of which less is answered, until hardly anything is let in at all.
func (c *cache) counted() bool { return c.ranked && !c.Excluded && c.State == Ready }

// resetSums makes the sums over all caches anew: as the list changes, and with each quarter of the slow-start window. No request, answer, report
// or probe does so.
func (b *Balancer) resetSums() {
	b.sums.Reset(b.ramp(), b.host.Now())
	b.out, b.failures, b.staleSums = 0, failureShares{}, false
	for _, c := range b.ranked.All() {
		b.out += c.out
		c.failurePart = c.failureShare()
		b.failures.Add(c.failurePart)
		if c.counted() {
			b.sums.Add(c.Weight, c.size, c.Done.Sum(), c.Start)
		}
	}
}

// answered books what a cache has answered.
func (b *Balancer) answered(c *cache, n float64) {
	c.Done[0] += n
	if c.counted() {
		b.sums.AddAnswered(n)
	}
}

// slowStartRoom keeps all proxies together from pushing a young cache over: each may send it a ratio to what the fleet answers that same
// proxy, so the sum is safe however the traffic is spread.
func (b *Balancer) slowStartRoom(c *cache, now Time) bool {
	share := b.share(c, now)
	if share >= 1 {
		return true
	}
	all := b.sums.At(now)
	// Under one push is drawn by chance for each window; without history all together may try about one.
	part := max(min(c.Weight/all.Weight, c.size/all.Size)*all.Answered, 1/float64(b.Proxies))
	return c.Sent.Sum()+1 <= slowStartPart*b.FallMultiple*share*part+b.windowDraw
}
