package policy

import (
	"maps"
	"math"
	"slices"

	"minttray/decide/evidence"
	"minttray/decide/heat"
	"minttray/decide/warm"
)

// learnedState is what a following process may reuse, beside the records of caches. This file exports and imports it;
// it makes no routing decision.
type learnedState struct {
	keptKeys      heat.RecentKeys                         // keys answered recently, probably stored in the caches
	hotKeys       heat.KeyCounter                         // request counts of popular keys
	firstTryWaits map[[2]int]evidence.ClientTimeout[Time] // how long clients wait for a first try, by category and tenant
	kindSpeeds    map[int]*evidence.Speed                 // by kind of machine
	kindPaces     evidence.ReportBaselines                // usual load reports, by kind of machine
}

func newLearnedState() learnedState {
	return learnedState{
		firstTryWaits: map[[2]int]evidence.ClientTimeout[Time]{},
		kindSpeeds:    map[int]*evidence.Speed{},
		kindPaces:     evidence.ReportBaselines{},
	}
}

// Judged returns the counters.
func (b *Balancer) Judged() Counts { return b.Counts }

// Record returns what was sent to a cache and learned of it, nil if the cache is not known.
func (b *Balancer) Record(id uint32) *evidence.Record {
	b.staleSums = true
	b.sums.ForgetAnswered() // the caller may change the record; until the sums are rebuilt, slow starts get the budget of a fleet without history
	if c := b.caches.Get(id); c != nil {
		return &c.Record
	}
	return nil
}

// snapshotServer copies what was learned of one server.
func snapshotServer(c *cache) warm.ServerState {
	if c == nil {
		return warm.ServerState{}
	}
	return warm.ServerState{
		Start:       int64(c.Start),
		LimitCut:    c.limitCutAt != 0,
		MinLatency:  int64(c.minLatency),
		LatencyBins: c.latencies.Snapshot(),
		Record:      c.Record,
	}
}

// Learned copies all that was learned. The host fills in the names of the servers.
func (b *Balancer) Learned() warm.LearnedState {
	m := warm.LearnedState{
		Caches:      map[uint32]warm.ServerState{},
		Origin:      snapshotServer(b.origin),
		Shadow:      snapshotServer(b.originFetches),
		LatencyBins: b.fleetTotal.latencies.Snapshot(),
		RecentKeys:  b.keptKeys.Current(warm.MaxKeys),
	}
	for id, c := range b.caches.All() {
		if c.listed && c != b.origin {
			m.Caches[id] = snapshotServer(c)
		}
	}
	hot, requests := b.hotKeys.Snapshot()
	for _, key := range slices.Sorted(maps.Keys(hot)) {
		m.HotKeys = append(m.HotKeys, warm.HotKey{Key: key, Count: hot[key]})
	}
	m.KeyRequests = requests
	for categoryAndTenant, wait := range b.firstTryWaits {
		span, votes := wait.Snapshot()
		m.ClientTimeouts = append(m.ClientTimeouts, warm.ClientTimeout{Category: categoryAndTenant[0], Tenant: categoryAndTenant[1], Timeout: int64(span), Votes: votes})
	}
	for i := range b.Quotas { // the tenant behind them has no quota, and an infinite number of tokens
		m.Tokens = append(m.Tokens, b.tenants[i].tokens)
	}
	for kind, speed := range b.kindSpeeds {
		mean, n := speed.Snapshot()
		m.Kinds = append(m.Kinds, warm.MachineKind{Kind: kind, OctavesSlower: speed.OctavesSlower, MeanLog2: mean, Samples: n, ReportBaseline: b.kindPaces[kind]})
	}
	return m
}

// Recall takes what another process learned, once, directly after the first list and before the first op. The limits
// of a rule are never looser than at a start without any knowledge: see warm.LearnedState.Decay.
func (b *Balancer) Recall(m warm.LearnedState) {
	restore := func(c *cache, s warm.ServerState) {
		limit := m.Blend(c.Limit, s.Record.Limit)
		if !m.HandedOver && c != b.origin && c != b.originFetches && b.slowStartShare(c, b.host.Now()) < 1 {
			limit = min(limit, c.Limit) // a cold cache is not trusted with more
		}
		c.Record = s.Record
		c.latencies = evidence.RestoreHistogram(s.LatencyBins)
		c.minLatency = Time(s.MinLatency)
		if c.Limit = limit; s.LimitCut {
			c.limitCutAt = max(b.host.Now(), 1)
		}
	}
	for id, s := range m.Caches {
		// A cache that has restarted since is cold, and may be healthy where the old process failed.
		if c := b.caches.Get(id); c != nil && c != b.origin && c.listed && int64(c.Start) == s.Start && s.Record.Limit > 0 {
			restore(c, s)
		}
	}
	if b.origin != nil && m.Origin.Record.Limit > 0 {
		restore(b.origin, m.Origin)
	}
	if b.originFetches != nil && m.Shadow.Record.Limit > 0 {
		restore(b.originFetches, m.Shadow)
	}
	b.fleetTotal.latencies = evidence.RestoreHistogram(m.LatencyBins)
	b.keptKeys.Restore(m.RecentKeys)
	hot := map[uint64]float64{}
	for _, h := range m.HotKeys {
		hot[h.Key] = h.Count
	}
	b.hotKeys.Restore(hot, m.KeyRequests)
	for _, w := range m.ClientTimeouts {
		if w.Category < len(b.knownCategories) && w.Tenant < len(b.tenants) {
			b.firstTryWaits[[2]int{w.Category, w.Tenant}] = evidence.RestoreClientTimeout(Time(w.Timeout), w.Votes)
		}
	}
	for i := range b.Quotas { // spent tokens are earned again over time: a restart does not refill the bucket
		if t := b.tenants[i]; i < len(m.Tokens) {
			t.tokens = math.Min(m.Tokens[i]+t.rate*float64(m.Age)/10000, t.tokens)
		}
	}
	for _, k := range m.Kinds {
		if b.kindSpeeds[k.Kind] != nil {
			b.kindSpeeds[k.Kind] = evidence.RestoreSpeed(k.OctavesSlower, k.MeanLog2, k.Samples)
		}
		if k.ReportBaseline > 0 {
			b.kindPaces[k.Kind] = k.ReportBaseline
		}
	}
	b.assignBuckets() // by the recalled speeds: otherwise keys would be placed differently than at the peers
}
