// Package warm is what one process leaves to the next: what it has learned, as plain figures. Those of a file fade with
// their age; those handed over by a process that still serves are halved where both together must not send more than one
// did. Times are in tenths of a millisecond. Nothing here reads a clock or a file.
package warm

import (
	"fmt"
	"math"

	"minttray/decide/evidence"
)

const (
	MaxKeys    = 4096 // kept ones
	mostServers = 1 << 13
	mostSmall   = 1 << 12 // of each other list
)

// ServerState is what was learned of a cache or of the origin.
type ServerState struct {
	Name  string          `json:"name"`  // by the list
	Start int64           `json:"start"` // a newer process gets nothing of this
	LimitCut   bool            `json:"cut"`   // its limit was ever cut, so was learned
	MinLatency  int64           `json:"near"`  // least that an answer takes
	LatencyBins  []float64       `json:"seen"`  // evidence.Spans of its answers
	Record    evidence.Record `json:"of"`
}

// ClientTimeout is a category's and tenant's usual wait.
type ClientTimeout struct {
	Category int   `json:"category"`
	Tenant   int   `json:"tenant"`
	Timeout     int64 `json:"span"`
	Votes    int   `json:"votes"`
}

// MachineKind is a kind of machine.
type MachineKind struct {
	Kind   int     `json:"kind"`
	OctavesSlower float64 `json:"slower"` // octaves
	MeanLog2   float64 `json:"mean"`
	Samples   float64 `json:"seen"`
	ReportBaseline   float64 `json:"pace"` // its usual report; 0: none
}

// HotKey is a key that was asked for lately, so often.
type HotKey struct {
	Key   uint64  `json:"key"`
	Count float64 `json:"count"`
}

// LearnedState is all of it.
type LearnedState struct {
	Caches map[uint32]ServerState `json:"caches"`
	Origin ServerState            `json:"origin"`
	Shadow ServerState            `json:"shadow"` // the origin, as pushes that may fetch show it
	LatencyBins  []float64         `json:"usual"`  // evidence.Spans of all caches' answers
	RecentKeys   []uint64          `json:"kept"`   // keys that caches hold
	HotKeys    []HotKey             `json:"hot"`
	KeyRequests  float64           `json:"asked"` // what Hot counts are of
	ClientTimeouts  []ClientTimeout            `json:"waits"`
	Tokens []float64         `json:"tokens"` // by tenant
	Kinds  []MachineKind            `json:"kinds"`
	Departed   map[string]int64  `json:"left"` // caches that were draining or gone, by name: when they had started

	HandedOver bool    `json:"-"` // by a process that serves, just now: what it knows of cold caches holds
	Confidence   float64 `json:"-"` // 0 to 1: what a learned figure counts against what a process that knows nothing begins with
	Age    int64   `json:"-"`
}

func figure(x float64) bool { return x >= 0 && x < 1<<40 }

func figures(all []float64) bool {
	for _, x := range all {
		if !figure(x) {
			return false
		}
	}
	return len(all) <= mostSmall
}

// Check tells which field of a memory that came from outside can't be.
func (m *LearnedState) Check() error {
	server := func(s ServerState) bool { return s.Record.Valid() && figures(s.LatencyBins) && s.MinLatency >= 0 }
	if len(m.Caches) > mostServers {
		return fmt.Errorf("caches: %d, at most %d", len(m.Caches), mostServers)
	}
	for id, s := range m.Caches {
		if !server(s) {
			return fmt.Errorf("caches[%d]: a figure that can't be", id)
		}
	}
	for _, part := range []struct {
		name string
		fits bool
	}{
		{"origin", m.Origin.Name == "" || server(m.Origin)},
		{"shadow", m.Shadow.Name == "" || server(m.Shadow)},
		{"usual", figures(m.LatencyBins)},
		{"kept", len(m.RecentKeys) <= MaxKeys},
		{"hot", len(m.HotKeys) <= mostSmall && figure(m.KeyRequests)},
		{"waits", len(m.ClientTimeouts) <= mostSmall},
		{"tokens", len(m.Tokens) <= mostSmall},
		{"kinds", len(m.Kinds) <= mostSmall},
		{"left", len(m.Departed) <= mostServers},
	} {
		if !part.fits {
			return fmt.Errorf("%s: too many, or a figure that can't be", part.name)
		}
	}
	for i, h := range m.HotKeys {
		if !figure(h.Count) {
			return fmt.Errorf("hot[%d]: %v can't be", i, h.Count)
		}
	}
	for i, w := range m.ClientTimeouts {
		if w.Timeout < 0 || w.Category < 0 || w.Tenant < 0 {
			return fmt.Errorf("waits[%d]: below 0", i)
		}
	}
	for i, t := range m.Tokens {
		if math.IsNaN(t) || math.IsInf(t, 0) {
			return fmt.Errorf("tokens[%d]: %v can't be", i, t)
		}
	}
	for i, k := range m.Kinds {
		if !(k.OctavesSlower >= 0 && k.OctavesSlower <= 1) || !figure(k.Samples) || !figure(k.ReportBaseline) || !(math.Abs(k.MeanLog2) < 1<<10) {
			return fmt.Errorf("kinds[%d]: a figure that can't be", i)
		}
	}
	return nil
}

// DropSettingsDependent leaves out what hangs on the settings that it was learned under: numbers of categories, tenants and kinds.
func (m *LearnedState) DropSettingsDependent() { m.ClientTimeouts, m.Tokens, m.Kinds = nil, nil, nil }

// Halve gives a half to a process that shares all servers with this one from now on.
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

// Decay lets all count for less after a time in which nobody looked: for half after each half-life. Danger: the cold budget
// goes by what caches have answered of late. That is left out, and what they were sent is left as it was: a cold cache is sent
// no more than by a process that knows nothing. Keys are known for two turns and the age at most.
func (m *LearnedState) Decay(age, half, turn int64) {
	m.Age, m.Confidence = age, math.Exp2(-float64(max(age, 0))/float64(max(half, 1)))
	fade := func(s *ServerState) {
		s.Record.Done = evidence.Window{}
		s.Record.Good, s.Record.Bad = s.Record.Good*m.Confidence, s.Record.Bad*m.Confidence
		for i := range s.LatencyBins {
			s.LatencyBins[i] *= m.Confidence
		}
	}
	for id, s := range m.Caches {
		fade(&s)
		m.Caches[id] = s
	}
	fade(&m.Origin)
	fade(&m.Shadow)
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
	if age >= turn/2 {
		m.RecentKeys = nil
	}
}

// Blend is a figure between what a process begins with and what was learned, nearer to the first the less that counts.
func (m *LearnedState) Blend(first, learned float64) float64 {
	if !(first > 0 && learned > 0) {
		return first
	}
	return first * math.Pow(learned/first, m.Confidence)
}
