package policy

import (
	"encoding/json"
	"math"
	"testing"

	"pgregory.net/rapid"

	"minttray/decide/warm"
)

// playRandomTraffic returns a proxy after random traffic, with two cold caches in its list, and what it hands over to a
// following process.
func playRandomTraffic(t *testing.T, r *rapid.T) (*world, []Entry, warm.LearnedState) {
	w := &world{t: t, now: 1e6, seed: rapid.Uint64().Draw(r, "seed"), counts: map[string]int{}, pushes: map[uint32]int{},
		autoAnswers: map[string]answer{"*": {outcome: "acked", after: 20}, "2": {outcome: "timeout"}, "3": {outcome: "miss", after: 20}, "9": {outcome: "acked", after: 90}}}
	w.settings = Settings{Proxies: rapid.IntRange(1, 40).Draw(r, "proxies"), OriginKind: 1, ColdFrom: 0.5, WarmUp: 100000,
		FallMultiple: 2, TipAfter: 20000, Tick: 50, MaxRetryAfter: 10000, MostPushes: 4, Aside: rapid.Bool().Draw(r, "aside"), BeyondBenefit: 0.1,
		Categories: []Category{{Target: 500, TTL: 2000, Benefit: 1}}, Quotas: []float64{rapid.Float64Range(1, 1e4).Draw(r, "quota")}}
	entries := []Entry{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}, {ID: 4, Weight: 1, Start: 1e6 - 20000},
		{ID: 5, Weight: 2, Start: 1e6}, {ID: 6, Weight: 1}, {ID: 9, Kind: 1, Weight: 1}}
	w.balancer = New(w.settings, w.seed, w)
	w.balancer.ListArrived(ListCached, entries)
	for id := range uint32(rapid.IntRange(0, 400).Draw(r, "ops")) {
		w.arrive(id+1, map[string]float64{"key": float64(1<<33 + uint64(id%60))})
		w.run(w.now + Time(rapid.IntRange(1, 60).Draw(r, "gap")))
	}
	text, err := json.Marshal(w.balancer.Learned())
	if err != nil {
		r.Fatal(err)
	}
	var m warm.LearnedState
	if err := json.Unmarshal(text, &m); err != nil || m.Check() != nil {
		r.Fatal(err, m.Check())
	}
	return w, entries, m
}

func startProxy(w *world, entries []Entry, m *warm.LearnedState) *Balancer {
	b := New(w.settings, w.seed+1, w)
	b.ListArrived(ListCached, entries)
	if m != nil {
		b.Recall(*m)
	}
	return b
}

// Guards against looser limits after a restart: a process with recalled state must not admit more to cold caches, or for
// tenants, than one that knows nothing.
func TestNothingRecalledWeakensARule(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w, entries, m := playRandomTraffic(t, r)
		age := rapid.Int64Range(0, 300000).Draw(r, "age")
		m.Decay(age, 100000, 40000)
		w.now += Time(age)
		if rapid.Bool().Draw(r, "replaced") {
			entries[1].Start = w.now // the one that does not answer
		}
		fresh, b := startProxy(w, entries, nil), startProxy(w, entries, &m)
		for id, c := range b.caches.All() {
			f := fresh.caches.Get(id)
			cold := c != b.origin && b.slowStartShare(c, w.now) < 1
			if cold && (c.Limit > f.Limit || c.Sent.Sum() < f.Sent.Sum()) || c.Done.Sum() > 0 {
				r.Errorf("cache %d: %+v, without recall %+v", id, c.Record, f.Record)
			}
			if cold && b.slowStartDraw == fresh.slowStartDraw && b.slowStartAllows(c, w.now) && !fresh.slowStartAllows(f, w.now) {
				r.Errorf("cache %d: slow start admits a push that is refused without recall", id)
			}
			if c.Start == w.now && c.Bad > 0 {
				r.Errorf("cache %d: a restarted cache has the failures of its old process", id)
			}
		}
		for i := range b.tenants {
			if b.tenants[i].tokens > fresh.tenants[i].tokens {
				r.Errorf("tenant %d: %v tokens, without recall %v", i, b.tenants[i].tokens, fresh.tenants[i].tokens)
			}
		}
		if b.OpArrived(7000, 1<<33, 0, 0, false, false, 2000); len(w.log) == 0 {
			r.Error("no action followed the arrival of an op")
		}
	})
}

// State that is recalled at once must be complete, and very old state must have no effect.
func TestRecalledFiguresFade(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w, entries, m := playRandomTraffic(t, r)
		old, fresh := w.balancer, startProxy(w, entries, nil)
		m.Decay(rapid.Int64Range(0, 1).Draw(r, "one")*1e7, 100000, 40000)
		b := startProxy(w, entries, &m)
		for id, c := range b.caches.All() {
			want := old.caches.Get(id)
			if m.Confidence < 0.5 {
				want = fresh.caches.Get(id)
			}
			if limit := want.Limit; b.slowStartShare(c, w.now) >= 1 && math.Abs(c.Limit-limit) > 1e-9*limit {
				r.Errorf("limit of cache %d is %v, want %v", id, c.Limit, limit)
			}
		}
		if m.Confidence == 1 {
			if b.kindSpeeds[0].OctavesSlower != old.kindSpeeds[0].OctavesSlower || b.medianLatency(&b.fleetTotal) != old.medianLatency(&old.fleetTotal) || b.firstTryWaits[[2]int{}] != old.firstTryWaits[[2]int{}] {
				r.Errorf("recalled %+v, want %+v", b.learnedState, old.learnedState)
			}
			for _, key := range old.keptKeys.Current(1000) {
				if !b.keptKeys.Contains(key) {
					r.Errorf("key %d was not recalled", key)
				}
			}
			if got, was := b.hotKeys.Observe(1<<33, false), old.hotKeys.Observe(1<<33, false); got != was {
				r.Errorf("popularity of a hot key is %v, want %v", got, was)
			}
		} else if b.keptKeys.Contains(1<<33) || b.fleetTotal.latencies.HasEnoughSamples() {
			r.Error("very old state was recalled")
		}
	})
}

// BenchmarkLearned measures the time that a snapshot takes on the engine's goroutine, with 60 caches and the maximum
// number of keys.
func BenchmarkLearned(b *testing.B) {
	w := &world{now: 1e6, counts: map[string]int{}, pushes: map[uint32]int{}, autoAnswers: map[string]answer{}}
	w.settings = Settings{Proxies: 80, OriginKind: 1, TipAfter: 20000, Tick: 50, MostPushes: 4, Categories: []Category{{Target: 500, TTL: 2000, Benefit: 1}}}
	w.balancer = New(w.settings, 1, w)
	var entries []Entry
	for id := range uint32(60) {
		entries = append(entries, Entry{ID: id + 1, Weight: 1})
	}
	w.balancer.ListArrived(ListCached, entries)
	for key := range uint64(warm.MaxKeys) {
		w.balancer.keptKeys.Add(key)
	}
	for b.Loop() {
		w.balancer.Learned()
	}
}
