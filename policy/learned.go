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
	kept   heat.RecentKeys                      // keys answered lately
	hot    heat.KeyCounter                      // asked for lately
	tries  map[[2]int]evidence.ClientTimeout[Time] // by category and tenant
	speeds map[int]*evidence.Speed        // of kinds of machine
	paces  evidence.ReportBaselines                 // their usual reports
}

func nothing() learned {
	return learned{tries: map[[2]int]evidence.ClientTimeout[Time]{}, speeds: map[int]*evidence.Speed{},
		paces: evidence.ReportBaselines{}}
}

// Judged is what the module has judged since its start.
func (b *Balancer) Judged() Counts { return b.Counts }

// Record is what was sent to a cache, and learned of it; nil: it is not known.
func (b *Balancer) Record(id uint32) *evidence.Record {
	b.staleSums = true
	b.sums.ForgetAnswered() // the caller may change it; until the next tick no slow start is given more than without history
	if c := b.caches.Get(id); c != nil {
		return &c.Record
	}
	return nil
}

func remember(c *cache) warm.ServerState {
	if c == nil {
		return warm.ServerState{}
	}
	return warm.ServerState{Start: int64(c.Start), LimitCut: c.cutAt != 0, MinLatency: int64(c.near), LatencyBins: c.span.Snapshot(),
		Record: c.Record}
}

// Learned copies out what was learned. Names of servers are the host's to fill in.
func (b *Balancer) Learned() warm.LearnedState {
	m := warm.LearnedState{Caches: map[uint32]warm.ServerState{}, Origin: remember(b.origin), Shadow: remember(b.shadow),
		LatencyBins: b.all.span.Snapshot(), RecentKeys: b.kept.Current(warm.MaxKeys)}
	for id, c := range b.caches.All() {
		if c.listed && c != b.origin {
			m.Caches[id] = remember(c)
		}
	}
	hot, asked := b.hot.Snapshot()
	for _, key := range slices.Sorted(maps.Keys(hot)) {
		m.HotKeys = append(m.HotKeys, warm.HotKey{Key: key, Count: hot[key]})
	}
	m.KeyRequests = asked
	for at, w := range b.tries {
		span, votes := w.Snapshot()
		m.ClientTimeouts = append(m.ClientTimeouts, warm.ClientTimeout{Category: at[0], Tenant: at[1], Timeout: int64(span), Votes: votes})
	}
	for i := range b.Quotas { // behind them is who has no share, and no end of tokens
		m.Tokens = append(m.Tokens, b.tenants[i].tokens)
	}
	for kind, s := range b.speeds {
		mean, n := s.Snapshot()
		m.Kinds = append(m.Kinds, warm.MachineKind{Kind: kind, OctavesSlower: s.OctavesSlower, MeanLog2: mean, Samples: n, ReportBaseline: b.paces[kind]})
	}
	return m
}

// Recall takes what another process learned, once, right behind the first list and before the first op. What
// a rule hangs on is never better than at a start that knows nothing: see warm.Memory.Fade.
func (b *Balancer) Recall(m warm.LearnedState) {
	take := func(c *cache, s warm.ServerState) {
		limit := m.Blend(c.Limit, s.Record.Limit)
		if !m.HandedOver && c != b.origin && c != b.shadow && b.share(c, b.host.Now()) < 1 {
			limit = min(limit, c.Limit) // a cold cache is not trusted with more
		}
		c.Record, c.span, c.near = s.Record, evidence.RestoreHistogram(s.LatencyBins), Time(s.MinLatency)
		if c.Limit = limit; s.LimitCut {
			c.cutAt = max(b.host.Now(), 1)
		}
	}
	for id, s := range m.Caches {
		// Danger: a new process is cold, and may be well where the old one failed.
		if c := b.caches.Get(id); c != nil && c != b.origin && c.listed && int64(c.Start) == s.Start && s.Record.Limit > 0 {
			take(c, s)
		}
	}
	if b.origin != nil && m.Origin.Record.Limit > 0 {
		take(b.origin, m.Origin)
	}
	if b.shadow != nil && m.Shadow.Record.Limit > 0 {
		take(b.shadow, m.Shadow)
	}
	b.all.span = evidence.RestoreHistogram(m.LatencyBins)
	b.kept.Restore(m.RecentKeys)
	hot := map[uint64]float64{}
	for _, h := range m.HotKeys {
		hot[h.Key] = h.Count
	}
	b.hot.Restore(hot, m.KeyRequests)
	for _, w := range m.ClientTimeouts {
		if w.Category < len(b.kinds) && w.Tenant < len(b.tenants) {
			b.tries[[2]int{w.Category, w.Tenant}] = evidence.RestoreClientTimeout(Time(w.Timeout), w.Votes)
		}
	}
	for i := range b.Quotas { // what was spent stays so, and is earned again over time: no restart fills it up
		if t := b.tenants[i]; i < len(m.Tokens) {
			t.tokens = math.Min(m.Tokens[i]+t.rate*float64(m.Age)/10000, t.tokens)
		}
	}
	for _, k := range m.Kinds {
		if b.speeds[k.Kind] != nil {
			b.speeds[k.Kind] = evidence.RestoreSpeed(k.OctavesSlower, k.MeanLog2, k.Samples)
		}
		if k.ReportBaseline > 0 {
			b.paces[k.Kind] = k.ReportBaseline
		}
	}
	b.seat() // by the speeds: else its keys would live elsewhere than with its peers
}
