package policy

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against taking impatient clients for a failed fleet: if clients wait for less time than an answer takes, every
// push times out, and refusing ops would only bring their retries at once. Time-outs below the usual answer time must
// not lower a limit or raise the overload level.
func TestCensoredPushesProveNothing(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		usual := Time(rapid.IntRange(100, 1500).Draw(r, "usual")) // target 5000
		w := &world{t: t, now: 1000, seed: rapid.Uint64().Draw(r, "seed"), counts: map[string]int{},
			pushes: map[uint32]int{}, autoAnswers: map[string]answer{"*": {outcome: "acked", after: usual}}}
		w.settings = Settings{Proxies: rapid.IntRange(1, 4).Draw(r, "proxies"), OriginKind: -1, ColdFrom: 0.5, WarmUp: 100000,
			FallMultiple: 2, TipAfter: 20000, Tick: 50, MaxRetryAfter: 10000, MostPushes: 4, Cancelling: true,
			Aside: true, MarksRetry: rapid.Bool().Draw(r, "marks"),
			Categories: []Category{{Target: 5000, TTL: 10000, Benefit: 1}}}
		w.balancer = New(w.settings, w.seed, w)
		w.balancer.ListArrived(ListCached, []Entry{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}})
		for id := uint32(1); id <= 200; id++ {
			w.arrive(id, map[string]float64{"key": float64(id), "left": 700})
			w.run(w.now + 50)
		}
		w.run(w.now + 5000)
		strain, limits := w.balancer.overload, map[uint32]float64{}
		for id, c := range w.balancer.caches.All() {
			limits[id] = c.Limit
		}
		w.autoAnswers = map[string]answer{"*": {outcome: "timeout"}}
		waits := rapid.SliceOfN(rapid.IntRange(1, int(usual)*2/3), 50, 200).Draw(r, "waits")
		for i, wait := range waits {
			id := uint32(1000 + i)
			w.balancer.OpArrived(id, uint64(id), 0, 0, false, i%2 > 0, Time(wait)+w.settings.Tick)
			w.run(w.now + Time(rapid.IntRange(1, 100).Draw(r, "gap")))
		}
		w.run(w.now + usual)
		if w.balancer.overload > strain {
			r.Errorf("overload level rose from %v to %v", strain, w.balancer.overload)
		}
		for id, c := range w.balancer.caches.All() {
			if c.Limit < limits[id] {
				r.Errorf("limit of cache %d fell from %v to %v", id, limits[id], c.Limit)
			}
		}
	})
}
