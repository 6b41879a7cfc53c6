// Package warm holds what a process has learned, for the process that follows it. State read from a file decays with its
// age. State handed over by a process that goes on serving is halved where the two together must not send more than one
// did. Times are in tenths of a millisecond. The package reads no clock and no files.
package warm

import (
	"fmt"
	"math"

	"minttray/decide/evidence"
)

// Limits on the lengths of lists.
const (
	MaxKeys        = 4096 // recent keys
	maxServers     = 1 << 13
	maxListEntries = 1 << 12 // of each other list
)

// ServerState is what was learned about a cache or the origin.
type ServerState struct {
	Name        string          `json:"name"`  // as in the list of caches
	Start       int64           `json:"start"` // start time of the server's process; the state of another process does not apply
	LimitCut    bool            `json:"cut"`   // the concurrency limit was reduced at least once, so it was learned
	MinLatency  int64           `json:"near"`  // minimum time of an answer
	LatencyBins []float64       `json:"seen"`  // evidence.LatencyHistogram of its answers
	Record      evidence.Record `json:"of"`
}

// ClientTimeout is how long clients of a category and tenant usually wait.
type ClientTimeout struct {
	Category int   `json:"category"`
	Tenant   int   `json:"tenant"`
	Timeout  int64 `json:"span"`
	Votes    int   `json:"votes"` // see evidence.ClientTimeout
}

// MachineKind is what was learned about a kind of machine.
type MachineKind struct {
	Kind           int     `json:"kind"`
	OctavesSlower  float64 `json:"slower"` // than the fastest kind, 0 to 1
	MeanLog2       float64 `json:"mean"`   // mean binary logarithm of its answer times
	Samples        float64 `json:"seen"`   // answers in that mean
	ReportBaseline float64 `json:"pace"`   // typical value of its load reports; 0: none
}

// HotKey is the decaying count of recent requests for a key.
type HotKey struct {
	Key   uint64  `json:"key"`
	Count float64 `json:"count"`
}

// LearnedState is all that a process has learned.
type LearnedState struct {
	Caches         map[uint32]ServerState `json:"caches"` // by cache ID
	Origin         ServerState            `json:"origin"`
	Shadow         ServerState            `json:"shadow"` // limit and latencies of the origin, learned from pushes for which a cache may fetch from it
	LatencyBins    []float64              `json:"usual"`  // evidence.LatencyHistogram of the answers of all caches
	RecentKeys     []uint64               `json:"kept"`   // keys answered recently, probably stored in the caches
	HotKeys        []HotKey               `json:"hot"`
	KeyRequests    float64                `json:"asked"` // decaying count of all requests, of which HotKeys counts a part
	ClientTimeouts []ClientTimeout        `json:"waits"`
	Tokens         []float64              `json:"tokens"` // by tenant
	Kinds          []MachineKind          `json:"kinds"`
	Departed       map[string]int64       `json:"left"` // start times of caches that were draining or gone, by name

	HandedOver bool    `json:"-"` // by a process that serves now: what it knows about cold caches still applies
	Confidence float64 `json:"-"` // weight of learned values against initial ones, 0 to 1
	Age        int64   `json:"-"` // time since the state was stored
}

// plausible reports whether a count or duration is in the range that a process can have learned.
func plausible(x float64) bool { return x >= 0 && x < 1<<40 }

func allPlausible(values []float64) bool {
	for _, x := range values {
		if !plausible(x) {
			return false
		}
	}
	return len(values) <= maxListEntries
}

// Check validates a state that came from outside the process. The error names the first field that is out of range.
func (m *LearnedState) Check() error {
	validServer := func(s ServerState) bool { return s.Record.Valid() && allPlausible(s.LatencyBins) && s.MinLatency >= 0 }
	if len(m.Caches) > maxServers {
		return fmt.Errorf("caches: %d entries, limit %d", len(m.Caches), maxServers)
	}
	for id, s := range m.Caches {
		if !validServer(s) {
			return fmt.Errorf("caches[%d]: value out of range in record %+v, minimum latency %d or %d latency bins",
				id, s.Record, s.MinLatency, len(s.LatencyBins))
		}
	}
	for _, field := range []struct {
		name  string
		valid bool
	}{
		{"origin", m.Origin.Name == "" || validServer(m.Origin)},
		{"shadow", m.Shadow.Name == "" || validServer(m.Shadow)},
		{"usual", allPlausible(m.LatencyBins)},
		{"kept", len(m.RecentKeys) <= MaxKeys},
		{"hot", len(m.HotKeys) <= maxListEntries && plausible(m.KeyRequests)},
		{"waits", len(m.ClientTimeouts) <= maxListEntries},
		{"tokens", len(m.Tokens) <= maxListEntries},
		{"kinds", len(m.Kinds) <= maxListEntries},
		{"left", len(m.Departed) <= maxServers},
	} {
		if !field.valid {
			return fmt.Errorf("%s: too many entries, or a value out of range", field.name)
		}
	}
	for i, h := range m.HotKeys {
		if !plausible(h.Count) {
			return fmt.Errorf("hot[%d]: count %v out of range", i, h.Count)
		}
	}
	for i, w := range m.ClientTimeouts {
		if w.Timeout < 0 || w.Category < 0 || w.Tenant < 0 {
			return fmt.Errorf("waits[%d]: negative value in %+v", i, w)
		}
	}
	for i, t := range m.Tokens {
		if math.IsNaN(t) || math.IsInf(t, 0) {
			return fmt.Errorf("tokens[%d]: %v is not finite", i, t)
		}
	}
	for i, k := range m.Kinds {
		if !(k.OctavesSlower >= 0 && k.OctavesSlower <= 1) || !plausible(k.Samples) || !plausible(k.ReportBaseline) ||
			!(math.Abs(k.MeanLog2) < 1<<10) {
			return fmt.Errorf("kinds[%d]: value out of range in %+v", i, k)
		}
	}
	return nil
}

// DropSettingsDependent drops what applies only under the settings it was learned with: state by category, tenant or kind
// number.
func (m *LearnedState) DropSettingsDependent() { m.ClientTimeouts, m.Tokens, m.Kinds = nil, nil, nil }

// Halve halves the records and the tokens, for a process that shares all servers with this one from now on.
func (m *LearnedState) Halve() {
	m.Confidence = 1
	for id, s := range m.Caches {
		s.Record = s.Record.Halve()
		m.Caches[id] = s
	}
	for i := range m.Tokens {
		m.Tokens[i] /= 2
	}
}

// Decay reduces the weight of the state by half for each half-life of its age, the time since it was last updated.
// The counts of answered pushes are dropped, since the slow-start budget is computed from recent answers, and those of sent
// pushes stay: a cold cache then gets no more than from a process that knows nothing. Recent keys are dropped once the
// age is half of their period, so that they are remembered for at most two periods and the age.
func (m *LearnedState) Decay(age, halfLife, period int64) {
	m.Age = age
	m.Confidence = math.Exp2(-float64(max(age, 0)) / float64(max(halfLife, 1)))
	decay := func(s *ServerState) {
		s.Record.Done = evidence.Window{}
		s.Record.Good, s.Record.Bad = s.Record.Good*m.Confidence, s.Record.Bad*m.Confidence
		for i := range s.LatencyBins {
			s.LatencyBins[i] *= m.Confidence
		}
	}
	for id, s := range m.Caches {
		decay(&s)
		m.Caches[id] = s
	}
	decay(&m.Origin)
	decay(&m.Shadow)
	for i := range m.LatencyBins {
		m.LatencyBins[i] *= m.Confidence
	}
	for i := range m.HotKeys {
		m.HotKeys[i].Count *= m.Confidence
	}
	m.KeyRequests *= m.Confidence
	for i := range m.ClientTimeouts {
		m.ClientTimeouts[i].Votes = int(float64(m.ClientTimeouts[i].Votes) * m.Confidence)
	}
	for i := range m.Kinds {
		m.Kinds[i].Samples *= m.Confidence
	}
	if age >= period/2 {
		m.RecentKeys = nil
	}
}

// Blend returns the geometric interpolation between an initial and a learned value, weighted by Confidence. It returns
// the initial value unless both are above 0.
func (m *LearnedState) Blend(initial, learned float64) float64 {
	if !(initial > 0 && learned > 0) {
		return initial
	}
	return initial * math.Pow(learned/initial, m.Confidence)
}
