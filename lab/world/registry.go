package world

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"minttray/lab/ledger"
)

// Registry is what the list of caches says, and when each proxy's agent has it.
type Registry struct {
	Bytes atomic.Int64 // of lists, written to all proxies

	w      *World
	mu     sync.Mutex
	agents []*Agent
	state  []entry // by server number; 0 is the origin
}

type entry struct {
	Number  uint32
	ID      string
	Zone    int
	Kind    string
	State   uint32
	Started int64
	version uint64
}

// Agent is the discovery agent on one proxy's machine: it answers at once with what it has been sent.
type Agent struct {
	Addr string

	reg     *Registry
	zone    int
	door    int
	server  *http.Server
	mu      sync.Mutex
	version uint64
	whole   uint64 // watches on older versions get the whole list
	entries map[uint32]entry
	since   map[uint32]uint64 // the version that an entry last changed with
	news    []entry           // come, and not yet taken
	silent  bool
	empty   bool
	hidden  map[int]bool // zones whose caches this list lacks, though they run
	late    time.Duration
	changed chan struct{}
	life    uint32
	told    map[uint32]uint32
}

func newRegistry(w *World) *Registry { return &Registry{w: w} }

func (r *Registry) close() {
	for _, a := range r.agents {
		a.server.Close()
	}
}

// set has news of a cache; each agent learns it late, and not all at the same moment.
func (r *Registry) set(c *Cache, state uint32) {
	kind, started := "std", int64(0)
	if c.Small {
		kind = "small"
	}
	c.mu.Lock()
	if c.started >= 0 {
		started = r.w.start.Add(c.started).UnixMilli()
	}
	c.mu.Unlock()
	e := entry{Number: c.Number, ID: c.Name, Zone: c.Zone, Kind: kind, State: state, Started: started}
	r.mu.Lock()
	for len(r.state) <= int(c.Number) {
		r.state = append(r.state, entry{})
	}
	e.version = r.state[c.Number].version + 1
	r.state[c.Number] = e
	agents := append([]*Agent(nil), r.agents...)
	r.mu.Unlock()
	for i, a := range agents {
		a.mu.Lock()
		late := a.late
		a.mu.Unlock()
		span := time.Duration(float64(r.w.Exp.List.Late.Std()+late) * (0.5 + 0.5*r.w.draw(uint64(c.Number), uint32(i), fmt.Sprint("late", e.version))))
		time.AfterFunc(span, func() { a.hear(e) })
	}
}

// Agent opens one for a proxy in a zone. It begins with the list as it is.
func (r *Registry) Agent(n int) (*Agent, error) {
	zone, at := r.w.Exp.ZoneOf(n), r.w.doorOf(n)
	l, err := r.w.listen(r.w.agentHost(n)+":0", r.w.doors()[at], r.w.listEnd(zone))
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), reg: r, zone: zone, door: at, entries: map[uint32]entry{}, since: map[uint32]uint64{}, changed: make(chan struct{}),
		version: 1, whole: 1, told: map[uint32]uint32{}}
	r.mu.Lock()
	for _, e := range r.state {
		if e.Number > 0 {
			a.entries[e.Number] = e
		}
	}
	r.agents = append(r.agents, a)
	r.mu.Unlock()
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: 10 * time.Second}
	go a.server.Serve(l)
	return a, nil
}

const askAgain = 100 * time.Millisecond // of a replica whose way to another site is cut

// hear has news come from a cache's site to the agent's; over a cut way it waits.
func (a *Agent) hear(e entry) {
	w := a.reg.w
	if w.Ways != nil && e.Zone != a.zone && w.Ways.Cut(w.listEnd(e.Zone), w.listEnd(a.zone)) {
		time.AfterFunc(askAgain, func() { a.hear(e) })
		return
	}
	a.learn(e)
}

func (a *Agent) learn(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.news = append(a.news, e)
	switch every := a.reg.w.Exp.List.Every.Std(); {
	case every == 0:
		a.publish()
	case len(a.news) == 1:
		time.AfterFunc(every, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.publish()
		})
	}
}

// publish takes all news into one version; the mutex is held.
func (a *Agent) publish() {
	changed := false
	for _, e := range a.news {
		if a.entries[e.Number].version >= e.version {
			continue // older news that came late
		}
		a.entries[e.Number] = e
		a.since[e.Number] = a.version + 1
		changed = true
	}
	a.news = a.news[:0]
	if changed {
		a.version++
		a.wake()
	}
}

func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Set changes how the agent fares.
func (a *Agent) Set(silent, empty bool, late time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent, a.late = silent, late
	if a.empty != empty {
		a.empty = empty
		a.version++
		a.whole = a.version
	}
	a.wake()
}

// Hide has the list lack a zone's caches, or name them again.
func (a *Agent) Hide(zone int, hidden bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hidden == nil {
		a.hidden = map[int]bool{}
	}
	a.hidden[zone] = hidden
	a.version++
	a.whole = a.version
	a.wake()
}

// Life says which life of its proxy asks from now on, for the ledger.
func (a *Agent) Life(life uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.life, a.told = life, map[uint32]uint32{}
}

type instance struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	Cycle   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
}

var cycles = []string{"active", "leaving", "left"}

// List is the whole list as the agent has it; a proxy may be started with it.
func (a *Agent) List() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list()
}

// changes are the entries that are newer than a version; the mutex is held.
func (a *Agent) changes(index uint64) map[string]any {
	all := []instance{}
	caches := a.reg.w.Caches()
	for n, since := range a.since {
		if e := a.entries[n]; since > index && !a.hidden[e.Zone] {
			all = append(all, a.instance(e, caches[n-1]))
		}
	}
	slices.SortFunc(all, func(x, y instance) int { return strings.Compare(x.ID, y.ID) })
	return map[string]any{"generation": a.version, "reset": false, "instances": all}
}

func (a *Agent) list() map[string]any {
	all := []instance{}
	caches := a.reg.w.Caches()
	for n := uint32(1); !a.empty && n < 1<<16 && len(a.entries) > 0; n++ {
		e, ok := a.entries[n]
		if !ok {
			if int(n) > len(a.entries)+64 {
				break
			}
			continue
		}
		if e.State != ledger.StateOut && !a.hidden[e.Zone] {
			all = append(all, a.instance(e, caches[n-1]))
		}
	}
	all = append(all, instance{ID: "origin", Addr: a.reg.w.Origin.addrs[a.door], Zone: a.reg.w.Exp.Zones.Names[0], Kind: "origin", Cycle: "active", Weight: 1})
	return map[string]any{"generation": a.version, "reset": true, "instances": all}
}

func (a *Agent) instance(e entry, c *Cache) instance {
	weight := 1.0
	if c.Small {
		weight = 0.5
	}
	return instance{ID: e.ID, Addr: c.addr(a.door), Zone: a.reg.w.Exp.Zones.Names[e.Zone], Kind: e.Kind, Cycle: cycles[e.State],
		Weight: weight, Started: e.Started}
}

// serve answers the whole list, or a watch on it with what has changed. All that the agent has by then counts as told.
func (a *Agent) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(out, r)
		return
	}
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	until := time.After(time.Duration(min(max(wait, 0), 60000)) * time.Millisecond)
	for {
		a.mu.Lock()
		silent, changed, version := a.silent, a.changed, a.version
		if !silent && (err != nil || version != index) {
			var doc map[string]any
			if err == nil && index >= a.whole && index < version {
				doc = a.changes(index)
			} else {
				doc = a.list()
			}
			a.tell()
			a.mu.Unlock()
			a.send(out, doc)
			return
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-until:
			if silent {
				<-r.Context().Done()
				return
			}
			a.send(out, map[string]any{"generation": version, "reset": false, "instances": []instance{}})
			return
		}
	}
}

// send writes a document, and counts its bytes.
func (a *Agent) send(out io.Writer, doc map[string]any) {
	text, _ := json.Marshal(doc) // maps and structs of plain fields
	a.reg.Bytes.Add(int64(len(text)))
	out.Write(text)
}

// tell books what this answer says of each server, where it says something new.
func (a *Agent) tell() {
	for n, e := range a.entries {
		state := e.State
		// Where operators have told proxies to doubt such a list, one that names nothing is no word that all have gone.
		if a.empty && a.reg.w.Exp.Proxies.Doubt == 0 {
			state = ledger.StateOut
		} else if a.empty {
			continue
		}
		if a.hidden[e.Zone] {
			state = ledger.StateOut
		}
		if was, known := a.told[n]; a.life > 0 && (!known && state != ledger.StateActive || known && was != state) {
			a.reg.w.Book.Append(ledger.Record{Kind: ledger.StateAnnounced, At: a.reg.w.Now(), A: a.life, B: n, C: state})
		}
		a.told[n] = state
	}
}

// Pick draws count (or a share) of some, from the run's seed and a fault's number.
func Pick[T any](seed, n uint64, all []T, count int, share float64) []T {
	all = append([]T(nil), all...)
	rand.New(rand.NewPCG(seed, n)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if share > 0 {
		count = int(share*float64(len(all)) + 0.5)
	} else if count == 0 {
		count = 1
	}
	return all[:min(count, len(all))]
}

// Free finds an address on loopback that nobody listens on.
func Free(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
