package policy

import "testing"

// playOverloadedOrigin plays 240 proxies, one with heavy and the others with light traffic, whose caches miss three
// quarters of the ops. The origin does rate(now) fetches a second and keeps working on fetches that nobody waits for. The
// result is by second: misses, fetches, fetches answered too late, and fetches answered in time.
func playOverloadedOrigin(t *testing.T, seconds int, rate func(now Time) float64) (missed, sent, late, acked []float64) {
	const origin, proxies, target = 1000, 240, 15000
	missed, sent, late, acked = make([]float64, seconds), make([]float64, seconds), make([]float64, seconds), make([]float64, seconds)
	var list []Entry
	for i := range uint32(60) {
		list = append(list, Entry{ID: i + 1, Weight: 1})
	}
	list = append(list, Entry{ID: origin, Kind: 1, Weight: 1})
	fleet, clock := playTraffic(t, proxies, list, target, Time(seconds)*10000, func(proxy int) Time {
		if proxy == 0 {
			return 500
		}
		return 8333
	})
	backlog, drainedUntil := 0.0, Time(0)
	second := func() int { return min(int(clock.now/10000), seconds-1) }
	for i, m := range fleet {
		m.balancer.Aside, m.balancer.OriginKind, m.balancer.originFetches, m.balancer.Index, m.balancer.Tick = true, 1, nil, i, 100
		m.balancer.ListArrived(ListFull, list)
		m.serve = func(op, cache uint32, until Time) (Time, Outcome) {
			if cache != origin {
				if m.balancer.ops[op].key%4 == 0 {
					return 500, Acked
				}
				missed[second()]++
				return 300, Miss
			}
			sent[second()]++
			for ; drainedUntil < clock.now; drainedUntil += 100 {
				backlog = max(backlog-rate(drainedUntil)/100, 0)
			}
			backlog++
			wait := Time(4000)
			for remaining := backlog; remaining > 0 && wait < 600000; wait += 1000 {
				remaining -= rate(clock.now+wait) / 10
			}
			if wait >= until-clock.now {
				late[second()]++
				return until - clock.now, TimedOut
			}
			acked[second()]++
			return wait, Acked
		}
	}
	clock.run(Time(seconds) * 10000)
	return missed, sent, late, acked
}

// Guards against two failures of the recovery of the origin's limit. Each of hundreds of proxies has one fetch in several
// seconds, so small steps would restore the pace long after the origin has recovered. Or all proxies restore it at once,
// again and again, while the origin stays overloaded.
func TestTheOriginHasItsPaceBack(t *testing.T) {
	share := func(part, whole []float64, from, to int) float64 {
		a, b := 0.0, 0.0
		for i := from; i < to; i++ {
			a, b = a+part[i], b+whole[i]
		}
		return a / max(b, 1)
	}
	missed, _, _, acked := playOverloadedOrigin(t, 45, func(now Time) float64 {
		if now >= 150000 && now < 300000 {
			return 40
		}
		return 600
	})
	if before, first, then := share(acked, missed, 5, 14), share(acked, missed, 30, 40), share(acked, missed, 40, 45); before < 0.95 ||
		first < 0.25 || then < 0.75 { // 0.12 and 0.38 if the pace is restored in small steps only
		t.Errorf("share of misses served: %.2f before the overload, %.2f in the ten seconds after the origin's recovery, then %.2f", before, first, then)
	}
	missed, sent, late, acked := playOverloadedOrigin(t, 75, func(now Time) float64 {
		if now >= 150000 {
			return 60
		}
		return 600
	})
	if wasted, served := share(late, sent, 55, 75), share(acked, missed, 55, 75); wasted > 0.5 || served < 0.1 { // 0.55 and 0.11 if jumps are not taken back
		t.Errorf("lasting overload: %.2f of the fetches are answered too late, %.2f of the misses are served", wasted, served)
	}
}
