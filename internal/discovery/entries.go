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

type document struct {
	Generation *uint64   `json:"generation"`
	Reset      bool      `json:"reset"`
	Instances  instances `json:"instances"`
}

// instances knows whether it stands there at all.
type instances struct {
	all   []instance
	there bool
}

func (l *instances) UnmarshalJSON(text []byte) error {
	l.there = true
	return json.Unmarshal(text, &l.all)
}

type instance struct {
	ID        string   `json:"instanceId"`
	Addr      string   `json:"hostPort"`
	Zone      string   `json:"zone"`
	Machine   string   `json:"machineType"`
	Cell      int      `json:"cell"`
	Lifecycle string   `json:"lifecycle"`
	Weight    *float64 `json:"weight"`
	Started   int64    `json:"startedAtMs"`
}

var states = map[string]policy.State{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone}

// Names maps what the list names to the module's numbers, steadily.
type Names struct {
	zones, kinds map[string]int
	ids          map[string]uint32
	taken        map[uint32]string
	strange      atomic.Uint64 // zones and kinds that the settings lack
	log          zerolog.Logger
}

// NewNameTable takes the names in the settings' order.
func NewNameTable(zones, kinds []string, log zerolog.Logger) *Names {
	n := &Names{zones: map[string]int{}, kinds: map[string]int{}, ids: map[string]uint32{}, taken: map[uint32]string{}, log: log}
	for _, z := range zones {
		n.zones[z] = len(n.zones)
	}
	for _, k := range kinds {
		n.kinds[k] = len(n.kinds)
	}
	return n
}

// number is a cache's number: the same at every proxy and after every restart, since a cache's bucket hangs on it.
func (n *Names) number(id string) uint32 {
	if number, ok := n.ids[id]; ok {
		return number
	}
	number := circle.ID(id)
	for n.taken[number] != "" {
		number++
	}
	n.ids[id], n.taken[number] = number, id
	return number
}

const mostNames = 256 // of zones or kinds; later ones share a number

func (n *Names) index(names map[string]int, name string) int {
	i, ok := names[name]
	if !ok && len(names) >= mostNames {
		return mostNames
	}
	if !ok { // a name that the settings lack gets a number of its own
		n.strange.Add(1)
		i = len(names)
		names[name] = i
	}
	return i
}

// decode reads a document. Bad entries are passed over, with one line for all of them.
func (n *Names) decode(text []byte) (doc document, members []engine.Member, err error) {
	if err := json.Unmarshal(text, &doc); err != nil {
		return doc, nil, err
	}
	if doc.Generation == nil {
		return doc, nil, fmt.Errorf("no generation")
	}
	if doc.Reset && !doc.Instances.there {
		return doc, nil, fmt.Errorf("a whole list without instances") // not an empty one: all caches would be gone
	}
	at, bad, last := map[string]int{}, 0, error(nil)
	for _, in := range doc.Instances.all {
		m, err := n.member(in)
		if err != nil {
			bad, last = bad+1, err
			continue
		}
		if i, twice := at[in.ID]; twice {
			bad, last = bad+1, fmt.Errorf("%s stands there twice", in.ID)
			members[i] = m // the later word counts
			continue
		}
		at[in.ID] = len(members)
		members = append(members, m)
	}
	if bad > 0 {
		n.log.Warn().Int("entries", bad).AnErr("last", last).Msg("entries of the list passed over")
	}
	return doc, members, nil
}

// forget lets go of caches that have gone: over a long day their ids are ever new, and would fill the memory. One that
// comes back gets its number again, which is a hash of its id.
func (n *Names) forget(doc document) {
	listed := map[string]bool{}
	for _, in := range doc.Instances.all {
		if listed[in.ID] = states[in.Lifecycle] != policy.Gone; !listed[in.ID] {
			n.drop(in.ID)
		}
	}
	for id := range n.ids {
		if doc.Reset && !listed[id] {
			n.drop(id)
		}
	}
}

func (n *Names) drop(id string) {
	if number, ok := n.ids[id]; ok {
		delete(n.ids, id)
		delete(n.taken, number)
	}
}

func (n *Names) member(in instance) (engine.Member, error) {
	m := engine.Member{Addr: in.Addr, Name: in.ID}
	state, ok := states[in.Lifecycle]
	if in.ID == "" {
		return m, fmt.Errorf("an entry without an id")
	}
	if !ok {
		return m, fmt.Errorf("%s: unknown lifecycle %q", in.ID, in.Lifecycle)
	}
	_, port, err := net.SplitHostPort(in.Addr)
	if p, wrong := strconv.ParseUint(port, 10, 16); err == nil && (wrong != nil || p == 0) {
		err = fmt.Errorf("no port in %q", in.Addr)
	}
	if err != nil && state == policy.Ready {
		return m, fmt.Errorf("%s: %w", in.ID, err)
	} else if err != nil {
		state = policy.Gone // Danger: a drain that was passed over would not be kept; nothing goes there either way
	}
	m.Entry = policy.Entry{ID: n.number(in.ID), Zone: n.index(n.zones, in.Zone), Kind: n.index(n.kinds, in.Machine),
		Cell: in.Cell, State: state, Weight: 1}
	if in.Weight != nil && *in.Weight > 0 && !math.IsInf(*in.Weight, 0) {
		m.Weight = *in.Weight
	}
	if in.Started > 0 && in.Started < 1<<52 {
		m.Start = policy.Time(in.Started*10 + 9) // the end of that millisecond: never older than it is
	}
	return m, nil
}
