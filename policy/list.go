package policy

import (
	"cmp"
	"math"
	"slices"

	"minttray/decide/circle"
	"minttray/decide/evidence"
	"minttray/decide/fleet"
)

// ListArrived takes the whole cache list, changes to it, or a failed call to the list service.
func (b *Balancer) ListArrived(kind ListKind, entries []Entry) {
	if kind == ListFailed {
		b.host.Timer(listToken, b.randomBetween(b.listRetryPause()))
		return
	}
	b.listBackoff.Reset()
	for _, c := range b.caches.All() {
		c.listed = c.listed && kind == ListDelta
		c.ranked = false
	}
	for _, e := range entries {
		c := cmp.Or(b.caches.Get(e.ID), &cache{Record: evidence.Record{Limit: b.initialLimit}, probedAt: math.MinInt64 / 2})
		b.caches.Put(e.ID, c)
		if e.Start > c.Start { // a new process: the failures were not its own
			c.suspendedUntil = 0
			c.suspension = 0
			c.Bad = 0
			c.suspicion = fleet.Suspicion[Time]{}
		}
		if e.Start = max(e.Start, c.Start); c.Excluded && !e.Excluded {
			e.Start = b.host.Now() // operators restart excluded caches, and the list may not show it
		}
		b.zoneLatencies[e.Zone] = cmp.Or(b.zoneLatencies[e.Zone], &zoneLatency{})
		b.kindSpeeds[e.Kind] = cmp.Or(b.kindSpeeds[e.Kind], &evidence.Speed{})
		if c.Entry, c.listed = e, e.State != Gone; !c.listed {
			b.host.CloseIdle(e.ID)
		}
	}
	b.ranked.Reset(0)
	b.origin = nil
	for _, c := range b.caches.All() {
		if c.listed && c.Kind != b.OriginKind {
			b.ranked.Append(c)
			c.ranked = true
		} else if c.listed && (b.origin == nil || c.ID < b.origin.ID) { // the lowest id, independent of map order
			b.origin = c
			c.isOrigin = true
		}
	}
	b.ranked.Sort(func(caches []*cache) {
		slices.SortFunc(caches, func(x, y *cache) int {
			return cmp.Or(cmp.Compare(x.Start, y.Start), cmp.Compare(x.ID, y.ID))
		})
	})
	if b.originFetches != nil && b.originFetches.limitCutAt == 0 {
		b.originFetches.Limit = b.initialLimit * float64(b.ranked.Len()) / 2
	}
	if b.origin != nil && b.origin.limitCutAt == 0 {
		b.origin.Limit = float64(max(b.ranked.Len(), initialFleetLimit)) / float64(b.Proxies)
	}
	b.assignBuckets()
	b.drainOriginQueue()
}

// listRetryPause records a failed call to the list service, and returns the range from which the pause before the next one is drawn. Under
// MaxListPause it leaves out the lower half: calls can't get ever rarer then, and must not come close to each other instead.
func (b *Balancer) listRetryPause() (shortest, longest Time) {
	if b.MaxListPause == 0 {
		return 0, b.listBackoff.RecordFailure(b.AskEvery/2, 2*b.AskEvery)
	}
	limit := min(b.AskEvery/2, b.MaxListPause)
	longest = b.listBackoff.RecordFailure(limit/2, limit)
	return longest / 2, longest
}

// assignBuckets gives each ranked cache a bucket. If ranks were used as buckets, they would shift whenever a
// cache leaves, and most keys with them. So a rank only decides which cache chooses first among many buckets:
// all proxies agree on the result, and a restarted cache gets its bucket back.
func (b *Balancer) assignBuckets() {
	b.bucketsStale = false
	bucketCount := max(b.buckets.Len(), circleSlack*bucketsPerSlack)
	for bucketCount < 2*b.ranked.Len() {
		bucketCount *= 2
	}
	localWeight := 0.0
	firstAssignment := b.maxEffectiveWeight == 0
	b.circle = circle.New(circleSlack, bucketCount)
	b.maxEffectiveWeight = 0
	b.totalEffectiveWeight = 0
	b.buckets.Reset(bucketCount)
	for _, c := range b.ranked.All() {
		if c.effectiveWeight = c.Weight * math.Exp2(-b.kindSpeeds[c.Kind].OctavesSlower); b.RoughWeights {
			// Rough weights count cores, not what these achieve. Their square roots lie halfway to equal weights; learned
			// speeds still apply.
			c.effectiveWeight /= math.Sqrt(c.Weight)
		}
		b.maxEffectiveWeight = max(b.maxEffectiveWeight, c.effectiveWeight)
		b.totalEffectiveWeight += c.effectiveWeight
		if c.Zone == b.Zone {
			localWeight += c.effectiveWeight
		}
		bucket := circle.AssignBucket(uint64(c.ID), bucketCount, func(bucket int) bool { return b.buckets.At(bucket) == nil })
		b.buckets.Put(bucket, c)
	}
	b.localCacheCount = 0
	b.placedCaches.Reset(0)
	b.localPlacedCaches.Reset(0)
	for _, c := range b.buckets.All() {
		if c == nil {
			continue
		}
		if b.placedCaches.Append(c); c.Zone == b.Zone {
			b.localCacheCount++
			b.localPlacedCaches.Append(c)
		}
	}
	b.resetSums()
	// A zone with few caches can't serve what its proxies are asked for. Decided once, because a change moves keys.
	if firstAssignment {
		b.preferLocalZone = b.CrossPrice*localWeight > explorationShare*math.Pow(float64(b.Zones-1), 2)*b.totalEffectiveWeight && b.Zones > 1
	}
}
