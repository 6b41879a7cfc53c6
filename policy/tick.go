package policy

import "math"

func (b *Balancer) tick() {
	now := b.host.Now()
	b.host.Timer(tokenTick, 4*b.Tick)
	for _, t := range b.tenants {
		t.tokens = min(t.tokens+t.rate*float64(4*b.Tick)/10000, max(2*t.rate, leastTokens))
	}
	if now >= b.rolled+b.TipAfter/(quarters-1) {
		b.roll(now)
	}
	// Old evidence fades with time as well: a proxy that pushes little would else never hear that it is wrong.
	fade := float64(4*b.Tick) / float64(4*b.target)
	// Danger: hundreds of proxies fill the caches' tables with connections that mostly end unused all the same.
	idle := b.HandshakePrice / b.ConnPrice * 100 / float64(b.Proxies)    // in usual spans between pushes there
	idle *= min(math.Floor(2*idle), 1) * float64(b.ranked.Len()) * b.gap // none, if they end before half of one
	b.Counts.ListedCaches = b.ranked.Len()
	b.lookAfter(now, fade, idle)
	if now > b.failed+4*b.target {
		b.strain -= b.strain * fade
	}
	b.giveBack(b.origin, now, fade)
	b.giveBack(b.shadow, now, fade)
	if b.reseat {
		b.seat() // which makes the sums anew as well
	} else if b.staleSums {
		b.resetSums()
	}
	b.pump()
}

// lookAfter lets evidence against caches fade, and closes connections that no push has used for a while. Of many caches each tick looks at some,
// and counts for each by as many ticks as there are until it comes to that one again.
func (b *Balancer) lookAfter(now Time, fade, idle float64) {
	n := b.ranked.Len()
	turns := max((n+mostLooks-1)/mostLooks, 1)
	from := n * (b.tickTurn % turns) / turns
	to := n * (b.tickTurn%turns + 1) / turns
	if b.tickTurn++; from == 0 {
		b.avoided = 0
	}
	fade *= float64(turns)
	for i := from; i < to; i++ {
		c := b.ranked.At(i)
		if c.shun -= c.shun * min(fade, 1); c.Excluded || now < c.restUntil {
			b.avoided++
		}
		if c.open && c.out == 0 && float64(now-c.sentAt) > idle { // without prices idle is no number, and nothing is closed
			c.open = false
			b.host.CloseIdle(c.ID)
		}
		b.giveBack(c, now, fade)
	}
	if to == n {
		b.Counts.ExcludedCaches = b.avoided
	}
}

// giveBack gives a limit below one push back with time.
func (b *Balancer) giveBack(c *cache, now Time, fade float64) {
	if c != nil && c.Limit < 1 && now > c.cutAt+4*b.target {
		c.Limit = min(c.Limit*(1+fade), 1)
	}
}

// roll lets a quarter of the cold window pass; no map's order matters here.
func (b *Balancer) roll(now Time) {
	if b.rolled = now; b.Peers && len(b.news) > 0 {
		b.host.SendToPeers(b.news)
		b.news = nil
	}
	if b.turn%quarters == 0 {
		b.windowDraw = b.rnd.Float64()
	}
	if b.turn++; b.shadow != nil && b.turn%(2*quarters) == 0 {
		b.kept.Rotate()
	}
	for id, c := range b.caches.All() {
		if !c.listed && !c.asking && c.out == 0 && c.Sent.Sum() == 0 {
			b.caches.Delete(id) // ids are ever new: kept for good, they would fill the memory
		}
		c.Roll(0.8)
		c.span.Decay(0.5)
		c.by.Decay(0.8)
	}
	for _, z := range b.zones { // a way that stays slow is its way
		z.AdjustBaseline()
	}
	b.all.span.Decay(0.8)
	b.all.by.Decay(0.8)
	b.waited, b.silent = b.waited*0.8, b.silent*0.8
	b.staleSums = true
}
