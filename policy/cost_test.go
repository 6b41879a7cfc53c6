package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// maxVisits is the number of entries that one event may visit, whatever the number of servers: two routes, each with a
// bounded walk over the salts of a key and a bounded search for any other server.
const maxVisits = 1200

// perServerEvents may visit each server a few times: a change of the list, and the tick that begins a quarter of the
// slow-start window.
var perServerEvents = []string{"list", "tick"}

// maxVisitsByEvent plays a stream and returns, for each kind of event, the highest number of entries that one event
// visited. wrap may replace the stream's module.
func maxVisitsByEvent(f fleetState, wrap func(*stream, *Balancer)) map[string]int {
	s, b := newStream(f, 1)
	if wrap != nil {
		wrap(s, b)
	}
	most := map[string]int{}
	s.aroundEvent = func(kind string, event func()) {
		before := b.visits.Count()
		event()
		most[kind] = max(most[kind], b.visits.Count()-before)
	}
	s.run(300, 40)
	if f.ownZoneGone {
		s.loseOwnZone()
	}
	s.run(300, 40)
	return most
}

// Guards against events that take longer in a larger fleet: the cost of a request, answer, failure, report, probe or
// timer must not depend on the number of servers.
func TestCostOfAnEventIsBounded(t *testing.T) {
	for _, servers := range []int{200, 800, 3200} {
		for _, f := range fleetStates(servers) {
			most := maxVisitsByEvent(f, nil)
			for _, kind := range slices.Sorted(maps.Keys(most)) {
				bound := maxVisits
				if slices.Contains(perServerEvents, kind) {
					bound = 16*servers + maxVisits
				}
				if most[kind] > bound {
					t.Errorf("%d servers, %s: one %s visits %d entries, limit is %d", servers, f.name, kind, most[kind], bound)
				}
			}
		}
	}
}

// walkingModule visits all servers on each report.
type walkingModule struct{ *Balancer }

func (w walkingModule) Reported(id uint32, pace Time) {
	for range w.ranked.All() {
	}
	w.Balancer.Reported(id, pace)
}

// Checks the check: an event that visits all servers must be counted.
func TestAPlantedWalkIsCounted(t *testing.T) {
	f := fleetState{name: "warm", servers: 3200}
	most := maxVisitsByEvent(f, func(s *stream, b *Balancer) { s.module = walkingModule{b} })
	if most["report"] < f.servers {
		t.Errorf("a report that visits all %d servers is counted with %d visits", f.servers, most["report"])
	}
}

// BenchmarkTick measures one tick of the balancer, without an engine.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{200, 800, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			s, module := newStream(fleetState{servers: servers, cold: 0.3}, 1)
			s.run(300, 40)
			s.ticksStopped = true
			for b.Loop() {
				s.now += 200
				module.TimerDue(tickToken)
				s.events = s.events[:0]
			}
		})
	}
}

// BenchmarkRequest measures a request from its arrival to its answer in the balancer, without an engine or ticks.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{200, 800, 3200} {
		for _, f := range []fleetState{
			{name: "warm", servers: servers},
			{name: "cold 0.3, draining 0.3", servers: servers, cold: 0.3, draining: 0.3, staysCold: true},
			{name: "cold 0.9", servers: servers, cold: 0.9, staysCold: true},
			{name: "hot key", servers: servers, hot: true},
			{name: "failing 0.2", servers: servers, failing: 0.2},
		} {
			b.Run(fmt.Sprintf("%s/%d", strings.ReplaceAll(f.name, " ", "_"), servers), func(b *testing.B) {
				s, _ := newStream(f, 1)
				s.run(300, 40)
				s.ticksStopped = true
				for b.Loop() {
					s.run(1, 40)
				}
			})
		}
	}
}
