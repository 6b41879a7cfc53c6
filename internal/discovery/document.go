package discovery

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/rs/zerolog"

	"minttray/decide/circle"
	"minttray/internal/engine"
	"minttray/policy"
)

// document is discovery's response: the whole list if Reset is set, otherwise the entries that have changed.
// Version is the list's version, which the next call sends back as index.
type document struct {
	Version   *uint64   `json:"generation"`
	Reset     bool      `json:"reset"`
	Instances instances `json:"instances"`
}

// instances distinguishes an empty list from a missing one.
type instances struct {
	entries []instance
	present bool
}

func (l *instances) UnmarshalJSON(text []byte) error {
	l.present = true
	return json.Unmarshal(text, &l.entries)
}

type instance struct {
	ID          string   `json:"instanceId"`
	Addr        string   `json:"hostPort"`
	Zone        string   `json:"zone"`
	MachineType string   `json:"machineType"`
	Cell        int      `json:"cell"`
	Lifecycle   string   `json:"lifecycle"`
	Weight      *float64 `json:"weight"`
	StartedAtMs int64    `json:"startedAtMs"`
}

var statesByLifecycle = map[string]policy.State{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone}

// NameTable maps instance ids, zones and machine types to the numbers that the decision module uses. A number stays the same as long
// as its name is known.
type NameTable struct {
	zones, kinds map[string]int
	ids          map[string]uint32 // number by instance id
	instanceByID map[uint32]string // instance id by number
	unknownNames atomic.Uint64     // zones and machine types that the settings lack
	log          zerolog.Logger
}

// NewNameTable returns a table that numbers the zones and machine types of the settings in their order.
func NewNameTable(zones, kinds []string, log zerolog.Logger) *NameTable {
	n := &NameTable{zones: map[string]int{}, kinds: map[string]int{}, ids: map[string]uint32{}, instanceByID: map[uint32]string{}, log: log}
	for _, zone := range zones {
		n.zones[zone] = len(n.zones)
	}
	for _, kind := range kinds {
		n.kinds[kind] = len(n.kinds)
	}
	return n
}

// idOf returns a cache's number. It is a hash of the instance id, so that it is the same at every proxy and after every restart: the
// cache's bucket depends on it. A collision takes the next free number.
func (n *NameTable) idOf(instanceID string) uint32 {
	if number, ok := n.ids[instanceID]; ok {
		return number
	}
	number := circle.ID(instanceID)
	for n.instanceByID[number] != "" {
		number++
	}
	n.ids[instanceID], n.instanceByID[number] = number, instanceID
	return number
}

// maxNames limits the zones and the machine types that get a number of their own; further ones share a number.
const maxNames = 256

// indexOf returns the number of a zone or machine type. A name that the settings lack gets the next free number.
func (n *NameTable) indexOf(names map[string]int, name string) int {
	i, ok := names[name]
	if !ok && len(names) >= maxNames {
		return maxNames
	}
	if !ok {
		n.unknownNames.Add(1)
		i = len(names)
		names[name] = i
	}
	return i
}

// decode decodes a document. It skips invalid entries and logs one line for all of them.
func (n *NameTable) decode(text []byte) (doc document, members []engine.Member, err error) {
	if err := json.Unmarshal(text, &doc); err != nil {
		return doc, nil, err
	}
	if doc.Version == nil {
		return doc, nil, fmt.Errorf("document has no generation")
	}
	if doc.Reset && !doc.Instances.present {
		// Taking it for an empty list would remove all caches.
		return doc, nil, fmt.Errorf("document of generation %d has reset set but no instances", *doc.Version)
	}
	indexByID := map[string]int{}
	invalid, lastErr := 0, error(nil)
	for _, in := range doc.Instances.entries {
		m, err := n.toMember(in)
		if err != nil {
			invalid, lastErr = invalid+1, err
			continue
		}
		if i, duplicate := indexByID[in.ID]; duplicate {
			invalid, lastErr = invalid+1, fmt.Errorf("%s: duplicate entry", in.ID)
			members[i] = m // the later entry takes precedence
			continue
		}
		indexByID[in.ID] = len(members)
		members = append(members, m)
	}
	if invalid > 0 {
		n.log.Warn().Int("entries", invalid).AnErr("last", lastErr).Msg("skipped invalid or duplicate list entries")
	}
	return doc, members, nil
}

// forgetGone removes caches that have left the list. Over a long run new caches keep arriving under new ids, and keeping all of them would
// exhaust the memory. A cache that comes back gets the same number again, as it is a hash of the id.
func (n *NameTable) forgetGone(doc document) {
	listed := map[string]bool{}
	for _, in := range doc.Instances.entries {
		if listed[in.ID] = statesByLifecycle[in.Lifecycle] != policy.Gone; !listed[in.ID] {
			n.forgetInstance(in.ID)
		}
	}
	for id := range n.ids {
		if doc.Reset && !listed[id] {
			n.forgetInstance(id)
		}
	}
}

func (n *NameTable) forgetInstance(id string) {
	if number, ok := n.ids[id]; ok {
		delete(n.ids, id)
		delete(n.instanceByID, number)
	}
}

// maxStartedAtMs bounds start times, so that their conversion to policy.Time can't overflow.
const maxStartedAtMs = 1 << 52

// toMember converts an entry, or returns an error if it is invalid.
func (n *NameTable) toMember(in instance) (engine.Member, error) {
	m := engine.Member{Addr: in.Addr, Name: in.ID}
	state, ok := statesByLifecycle[in.Lifecycle]
	if in.ID == "" {
		return m, fmt.Errorf("entry at %q has no instanceId", in.Addr)
	}
	if !ok {
		return m, fmt.Errorf("%s: unknown lifecycle %q", in.ID, in.Lifecycle)
	}
	_, port, err := net.SplitHostPort(in.Addr)
	if number, parseErr := strconv.ParseUint(port, 10, 16); err == nil && (parseErr != nil || number == 0) {
		err = fmt.Errorf("no valid port in %q", in.Addr)
	}
	if err != nil && state == policy.Ready {
		return m, fmt.Errorf("%s: %w", in.ID, err)
	} else if err != nil {
		// The entry of a draining cache must not be skipped, or the cache would stay in use. Gone is safe: without an address it gets no
		// requests in either state.
		state = policy.Gone
	}
	m.Entry = policy.Entry{ID: n.idOf(in.ID), Zone: n.indexOf(n.zones, in.Zone), Kind: n.indexOf(n.kinds, in.MachineType),
		Cell: in.Cell, State: state, Weight: 1}
	if in.Weight != nil && *in.Weight > 0 && !math.IsInf(*in.Weight, 0) {
		m.Weight = *in.Weight
	}
	if in.StartedAtMs > 0 && in.StartedAtMs < maxStartedAtMs {
		// policy.Time counts units of 0.1 ms. The end of the millisecond is taken, so that the cache never seems older than it is.
		m.Start = policy.Time(in.StartedAtMs*10 + 9)
	}
	return m, nil
}
