package policy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// mostVisits is how many entries one event may look at, whatever the number of servers: two routes, each of a bounded walk over the salts of
// a key and a bounded look for any other server.
const mostVisits = 1200

// perServer are the events that may look at each server a few times: they come as the list changes, or the tick at the end of a quarter of the
// slow-start window.
var perServer = []string{"list", "tick"}

// visitsOf plays a stream, and gives the most entries that one event of each kind looked at. in may put a module of its own in between.
func visitsOf(f fleetState, in func(*stream, *Balancer)) map[string]int {
	s, b := newStream(f, 1)
	if in != nil {
		in(s, b)
	}
	most := map[string]int{}
	s.around = func(kind string, event func()) {
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

// What one request, answer, failure, report, probe or timer costs does not depend on how many servers there are.
func TestCostOfAnEventIsBounded(t *testing.T) {
	for _, servers := range []int{200, 800, 3200} {
		for _, f := range fleetStates(servers) {
			most := visitsOf(f, nil)
			for _, kind := range slices.Sorted(maps.Keys(most)) {
				bound := mostVisits
				if slices.Contains(perServer, kind) {
					bound = 16*servers + mostVisits
				}
				if most[kind] > bound {
					t.Errorf("%d servers, %s: one %s looks at %d entries, %d at most are allowed", servers, f.name, kind, most[kind], bound)
				}
			}
		}
	}
}

// walking is a module with a planted walk over all servers on each report.
type walking struct{ *Balancer }

func (w walking) Reported(id uint32, pace Time) {
	for range w.ranked.All() {
	}
	w.Balancer.Reported(id, pace)
}

// A planted walk over all servers is caught.
func TestAPlantedWalkIsCounted(t *testing.T) {
	f := fleetState{name: "warm", servers: 3200}
	most := visitsOf(f, func(s *stream, b *Balancer) { s.module = walking{b} })
	if most["report"] < f.servers {
		t.Errorf("%v", most)
	}
}

// BenchmarkTick is one tick, in the module alone.
func BenchmarkTick(b *testing.B) {
	for _, servers := range []int{200, 800, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			s, module := newStream(fleetState{servers: servers, cold: 0.3}, 1)
			s.run(300, 40)
			s.still = true
			for b.Loop() {
				s.now += 200
				module.TimerDue(tokenTick)
				s.due = s.due[:0]
			}
		})
	}
}

// BenchmarkRequest is a request from its arrival to its answer, in the module alone; no tick is played beside it.
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
				s.still = true
				for b.Loop() {
					s.run(1, 40)
				}
			})
		}
	}
}
