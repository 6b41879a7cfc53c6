package policy

import (
	"maps"
	"math"
	"slices"

	"minttray/decide/evidence"
	"minttray/decide/heat"
	"minttray/decide/warm"
)

// learned is what a process that follows may go by, beside the records of caches. This file copies it out and
// in; it decides on no op.
type learned struct {
	kept   heat.Kept                      // keys answered lately
	hot    heat.Keys                      // asked for lately
	tries  map[[2]int]evidence.Wait[Time] // by category and tenant
	speeds map[int]*evidence.Speed        // of kinds of machine
	paces  evidence.Paces                 // their usual reports
}

func nothing() learned {
	return learned{tries: map[[2]int]evidence.Wait[Time]{}, speeds: map[int]*evidence.Speed{},
		paces: evidence.Paces{}}
}

// Judged is what the module has judged since its start.
func (b *Balancer) Judged() Counts { return b.Counts }

// Record is what was sent to a cache, and learned of it; nil: it is not known.
func (b *Balancer) Record(id uint32) *evidence.Record {
	b.staleSums = true
	b.sums.Forget() // the caller may change it; until the next tick no slow start is given more than without history
	if c := b.caches.Get(id); c != nil {
		return &c.Record
	}
	return nil
}

func remember(c *cache) warm.Server {
	if c == nil {
		return warm.Server{}
	}
	return warm.Server{Start: int64(c.Start), Cut: c.cutAt != 0, Near: int64(c.near), Seen: c.span.Seen(),
		Of: c.Record}
}

// Learned copies out what was learned. Names of servers are the host's to fill in.
func (b *Balancer) Learned() warm.Memory {
	m := warm.Memory{Caches: map[uint32]warm.Server{}, Origin: remember(b.origin), Shadow: remember(b.shadow),
		Usual: b.all.span.Seen(), Kept: b.kept.Recent(warm.MostKeys)}
	for id, c := range b.caches.All() {
		if c.listed && c != b.origin {
			m.Caches[id] = remember(c)
		}
	}
	hot, asked := b.hot.Counts()
	for _, key := range slices.Sorted(maps.Keys(hot)) {
		m.Hot = append(m.Hot, warm.Hot{Key: key, Count: hot[key]})
	}
	m.Asked = asked
	for at, w := range b.tries {
		span, votes := w.Seen()
		m.Waits = append(m.Waits, warm.Wait{Category: at[0], Tenant: at[1], Span: int64(span), Votes: votes})
	}
	for i := range b.Quotas { // behind them is who has no share, and no end of tokens
		m.Tokens = append(m.Tokens, b.tenants[i].tokens)
	}
	for kind, s := range b.speeds {
		mean, n := s.Seen()
		m.Kinds = append(m.Kinds, warm.Kind{Kind: kind, Slower: s.Slower, Mean: mean, Seen: n, Pace: b.paces[kind]})
	}
	return m
}

// Recall takes what another process learned, once, right behind the first list and before the first op. What
// a rule hangs on is never better than at a start that knows nothing: see warm.Memory.Fade.
func (b *Balancer) Recall(m warm.Memory) {
	take := func(c *cache, s warm.Server) {
		limit := m.Blend(c.Limit, s.Of.Limit)
		if !m.Handed && c != b.origin && c != b.shadow && b.share(c, b.host.Now()) < 1 {
			limit = min(limit, c.Limit) // a cold cache is not trusted with more
		}
		c.Record, c.span, c.near = s.Of, evidence.Recalled(s.Seen), Time(s.Near)
		if c.Limit = limit; s.Cut {
			c.cutAt = max(b.host.Now(), 1)
		}
	}
	for id, s := range m.Caches {
		// Danger: a new process is cold, and may be well where the old one failed.
		if c := b.caches.Get(id); c != nil && c != b.origin && c.listed && int64(c.Start) == s.Start && s.Of.Limit > 0 {
			take(c, s)
		}
	}
	if b.origin != nil && m.Origin.Of.Limit > 0 {
		take(b.origin, m.Origin)
	}
	if b.shadow != nil && m.Shadow.Of.Limit > 0 {
		take(b.shadow, m.Shadow)
	}
	b.all.span = evidence.Recalled(m.Usual)
	b.kept.Recall(m.Kept)
	hot := map[uint64]float64{}
	for _, h := range m.Hot {
		hot[h.Key] = h.Count
	}
	b.hot.Recall(hot, m.Asked)
	for _, w := range m.Waits {
		if w.Category < len(b.kinds) && w.Tenant < len(b.tenants) {
			b.tries[[2]int{w.Category, w.Tenant}] = evidence.RecalledWait(Time(w.Span), w.Votes)
		}
	}
	for i := range b.Quotas { // what was spent stays so, and is earned again over time: no restart fills it up
		if t := b.tenants[i]; i < len(m.Tokens) {
			t.tokens = math.Min(m.Tokens[i]+t.rate*float64(m.Age)/10000, t.tokens)
		}
	}
	for _, k := range m.Kinds {
		if b.speeds[k.Kind] != nil {
			b.speeds[k.Kind] = evidence.RecalledSpeed(k.Slower, k.Mean, k.Seen)
		}
		if k.Pace > 0 {
			b.paces[k.Kind] = k.Pace
		}
	}
	b.seat() // by the speeds: else its keys would live elsewhere than with its peers
}
