package warm

import (
	"math"
	"strings"
	"testing"

	"minttray/decide/evidence"
)

// exampleState returns a valid state with all fields set that Decay, Halve and Check look at.
func exampleState() LearnedState {
	record := evidence.Record{Sent: evidence.Window{8}, Done: evidence.Window{6}, Limit: 4, Good: 10, Bad: 2}
	return LearnedState{
		Caches:         map[uint32]ServerState{3: {Name: "c", LatencyBins: []float64{4, 2}, Record: record}},
		LatencyBins:    []float64{1},
		RecentKeys:     []uint64{1},
		HotKeys:        []HotKey{{1, 2}},
		KeyRequests:    9,
		ClientTimeouts: []ClientTimeout{{Votes: 8}},
		Tokens:         []float64{-4},
		Kinds:          []MachineKind{{Samples: 8}},
	}
}

// Guards against old state that counts as much as new, a slow-start budget from old answers, and two processes that
// together send more than one may.
func TestDecayAndHalve(t *testing.T) {
	m := exampleState()
	m.Decay(100, 100, 200)
	c := m.Caches[3]
	if c.Record.Done.Sum() != 0 || c.Record.Sent.Sum() != 8 || c.Record.Bad != 1 || c.LatencyBins[0] != 2 || len(m.RecentKeys) != 0 || m.HotKeys[0].Count != 1 ||
		m.ClientTimeouts[0].Votes != 4 || m.Kinds[0].Samples != 4 || m.LatencyBins[0] != 0.5 {
		t.Errorf("state after one half-life: %+v", m)
	}
	if got := m.Blend(1, 4); math.Abs(got-2) > 1e-9 || m.Blend(0, 4) != 0 || m.Blend(1, 0) != 1 {
		t.Errorf("blend of 1 and 4 after one half-life is %v, want 2; a value of 0 must give the initial one", got)
	}
	m = exampleState()
	if m.Halve(); m.Caches[3].Record.Sent.Sum() != 4 || m.Caches[3].Record.Done.Sum() != 3 || m.Tokens[0] != -2 || m.Blend(1, 4) != 4 {
		t.Errorf("halved state: %+v; blend of 1 and 4 is %v, want 4", m, m.Blend(1, 4))
	}
}

// Guards against a state with impossible values that is accepted, and against an error that does not name the field.
func TestCheckNamesTheInvalidField(t *testing.T) {
	for field, corrupt := range map[string]func(m *LearnedState){
		"caches[3]": func(m *LearnedState) { m.Caches[3] = ServerState{Record: evidence.Record{Limit: math.NaN()}} },
		"caches:": func(m *LearnedState) {
			for i := range uint32(maxServers + 1) {
				m.Caches[i] = ServerState{}
			}
		},
		"origin": func(m *LearnedState) {
			m.Origin = ServerState{Name: "o", Record: evidence.Record{Limit: 1}, LatencyBins: []float64{-1}}
		},
		"shadow":    func(m *LearnedState) { m.Shadow = ServerState{Name: "o"} },
		"usual":     func(m *LearnedState) { m.LatencyBins[0] = math.Inf(1) },
		"kept":      func(m *LearnedState) { m.RecentKeys = make([]uint64, MaxKeys+1) },
		"hot:":      func(m *LearnedState) { m.KeyRequests = -1 },
		"hot[0]":    func(m *LearnedState) { m.HotKeys[0].Count = math.NaN() },
		"waits[0]":  func(m *LearnedState) { m.ClientTimeouts[0].Category = -1 },
		"tokens[0]": func(m *LearnedState) { m.Tokens[0] = math.Inf(-1) },
		"kinds[0]":  func(m *LearnedState) { m.Kinds[0].OctavesSlower = 40 },
	} {
		m := exampleState()
		if err := m.Check(); err != nil {
			t.Fatal(err)
		}
		if corrupt(&m); m.Check() == nil || !strings.HasPrefix(m.Check().Error(), field) {
			t.Errorf("want an error that begins with %q, got %v", field, m.Check())
		}
	}
}
