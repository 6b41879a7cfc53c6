package policy

import (
	"encoding/json"
	"math"
	"testing"

	"pgregory.net/rapid"

	"minttray/decide/warm"
)

// played is a proxy after some traffic, with two cold caches among its own, and what it leaves to the next.
func played(t *testing.T, r *rapid.T) (*world, []Entry, warm.LearnedState) {
	w := &world{t: t, now: 1e6, seed: rapid.Uint64().Draw(r, "seed"), counts: map[string]int{}, pushes: map[uint32]int{},
		auto: map[string]answer{"*": {outcome: "acked", after: 20}, "2": {outcome: "timeout"}, "3": {outcome: "miss", after: 20}, "9": {outcome: "acked", after: 90}}}
	w.s = Settings{Proxies: rapid.IntRange(1, 40).Draw(r, "proxies"), OriginKind: 1, ColdFrom: 0.5, WarmUp: 100000,
		FallMultiple: 2, TipAfter: 20000, Tick: 50, MaxRetryAfter: 10000, MostPushes: 4, Aside: rapid.Bool().Draw(r, "aside"), BeyondBenefit: 0.1,
		Categories: []Category{{Target: 500, TTL: 2000, Benefit: 1}}, Quotas: []float64{rapid.Float64Range(1, 1e4).Draw(r, "quota")}}
	entries := []Entry{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}, {ID: 4, Weight: 1, Start: 1e6 - 20000},
		{ID: 5, Weight: 2, Start: 1e6}, {ID: 6, Weight: 1}, {ID: 9, Kind: 1, Weight: 1}}
	w.b = New(w.s, w.seed, w)
	w.b.ListArrived(ListCached, entries)
	for id := range uint32(rapid.IntRange(0, 400).Draw(r, "ops")) {
		w.op(id+1, map[string]float64{"key": float64(1<<33 + uint64(id%60))})
		w.run(w.now + Time(rapid.IntRange(1, 60).Draw(r, "gap")))
	}
	text, err := json.Marshal(w.b.Learned())
	if err != nil {
		r.Fatal(err)
	}
	var m warm.LearnedState
	if err := json.Unmarshal(text, &m); err != nil || m.Check() != nil {
		r.Fatal(err, m.Check())
	}
	return w, entries, m
}

func begun(w *world, entries []Entry, m *warm.LearnedState) *Balancer {
	b := New(w.s, w.seed+1, w)
	b.ListArrived(ListCached, entries)
	if m != nil {
		b.Recall(*m)
	}
	return b
}

// Danger: a process that was restarted lets more in than one that knows nothing: to cold caches, or for tenants.
func TestNothingRecalledWeakensARule(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w, entries, m := played(t, r)
		age := rapid.Int64Range(0, 300000).Draw(r, "age")
		m.Decay(age, 100000, 40000)
		w.now += Time(age)
		if rapid.Bool().Draw(r, "replaced") {
			entries[1].Start = w.now // the one that failed
		}
		fresh, b := begun(w, entries, nil), begun(w, entries, &m)
		for id, c := range b.caches.All() {
			f := fresh.caches.Get(id)
			cold := c != b.origin && b.share(c, w.now) < 1
			if cold && (c.Limit > f.Limit || c.Sent.Sum() < f.Sent.Sum()) || c.Done.Sum() > 0 {
				r.Errorf("cache %d: %+v, from nothing %+v", id, c.Record, f.Record)
			}
			if cold && b.windowDraw == fresh.windowDraw && b.slowStartRoom(c, w.now) && !fresh.slowStartRoom(f, w.now) {
				r.Errorf("cache %d: let in where one that knows nothing lets nothing in", id)
			}
			if c.Start == w.now && c.Bad > 0 {
				r.Errorf("cache %d: a new process has its predecessor's failures", id)
			}
		}
		for i := range b.tenants {
			if b.tenants[i].tokens > fresh.tenants[i].tokens {
				r.Errorf("tenant %d: %v tokens, from nothing %v", i, b.tenants[i].tokens, fresh.tenants[i].tokens)
			}
		}
		if b.OpArrived(7000, 1<<33, 0, 0, false, false, 2000); len(w.log) == 0 {
			r.Error("nothing became of an op")
		}
	})
}

// What was learned just now is all there; what is old is as good as nothing, and lies between at any age.
func TestRecalledFiguresFade(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w, entries, m := played(t, r)
		old, fresh := w.b, begun(w, entries, nil)
		m.Decay(rapid.Int64Range(0, 1).Draw(r, "one")*1e7, 100000, 40000)
		b := begun(w, entries, &m)
		for id, c := range b.caches.All() {
			want := old.caches.Get(id)
			if m.Confidence < 0.5 {
				want = fresh.caches.Get(id)
			}
			if limit := want.Limit; b.share(c, w.now) >= 1 && math.Abs(c.Limit-limit) > 1e-9*limit {
				r.Errorf("limit of %d is %v, not %v", id, c.Limit, limit)
			}
		}
		if m.Confidence == 1 {
			if b.speeds[0].OctavesSlower != old.speeds[0].OctavesSlower || b.usually(&b.all) != old.usually(&old.all) || b.tries[[2]int{}] != old.tries[[2]int{}] {
				r.Errorf("%+v, was %+v", b.learned, old.learned)
			}
			for _, key := range old.kept.Current(1000) {
				if !b.kept.Contains(key) {
					r.Errorf("key %d is not known", key)
				}
			}
			if got, was := b.hot.Observe(1<<33, false), old.hot.Observe(1<<33, false); got != was {
				r.Errorf("a hot key has %v, was %v", got, was)
			}
		} else if b.kept.Contains(1<<33) || b.all.span.HasEnoughSamples() {
			r.Error("what is old is known")
		}
	})
}

// BenchmarkLearned is what a snapshot takes from the engine's goroutine, with 60 caches and as many keys as are ever written.
func BenchmarkLearned(b *testing.B) {
	w := &world{now: 1e6, counts: map[string]int{}, pushes: map[uint32]int{}, auto: map[string]answer{}}
	w.s = Settings{Proxies: 80, OriginKind: 1, TipAfter: 20000, Tick: 50, MostPushes: 4, Categories: []Category{{Target: 500, TTL: 2000, Benefit: 1}}}
	w.b = New(w.s, 1, w)
	var entries []Entry
	for id := range uint32(60) {
		entries = append(entries, Entry{ID: id + 1, Weight: 1})
	}
	w.b.ListArrived(ListCached, entries)
	for key := range uint64(warm.MaxKeys) {
		w.b.kept.Add(key)
	}
	for b.Loop() {
		w.b.Learned()
	}
}
