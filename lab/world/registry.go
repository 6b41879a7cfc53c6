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
	BytesSent atomic.Int64 // of lists, written to all proxies

	world   *World
	mu      sync.Mutex
	agents  []*Agent
	entries []cacheEntry // by server number; 0 is the origin
}

type cacheEntry struct {
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

	registry       *Registry
	zone           int
	listenerIndex  int
	server         *http.Server
	mu             sync.Mutex
	version        uint64
	oldestDiffBase uint64 // watches on older versions get the whole list
	entries        map[uint32]cacheEntry
	changedIn      map[uint32]uint64 // the version that an entry last changed with
	pending        []cacheEntry      // come, and not yet taken
	silent         bool
	empty          bool
	hiddenZones    map[int]bool // zones whose caches this list lacks, though they run
	extraDelay     time.Duration
	changed        chan struct{}
	incarnation    uint32
	announced      map[uint32]uint32
}

func newRegistry(w *World) *Registry { return &Registry{world: w} }

func (r *Registry) close() {
	for _, a := range r.agents {
		a.server.Close()
	}
}

// set has news of a cache; each agent learns it late, and not all at the same moment.
func (r *Registry) publishState(c *Cache, state uint32) {
	kind, started := "std", int64(0)
	if c.Small {
		kind = "small"
	}
	c.mu.Lock()
	if c.startedAt >= 0 {
		started = r.world.start.Add(c.startedAt).UnixMilli()
	}
	c.mu.Unlock()
	e := cacheEntry{Number: c.Number, ID: c.Name, Zone: c.Zone, Kind: kind, State: state, Started: started}
	r.mu.Lock()
	for len(r.entries) <= int(c.Number) {
		r.entries = append(r.entries, cacheEntry{})
	}
	e.version = r.entries[c.Number].version + 1
	r.entries[c.Number] = e
	agents := append([]*Agent(nil), r.agents...)
	r.mu.Unlock()
	for i, a := range agents {
		a.mu.Lock()
		late := a.extraDelay
		a.mu.Unlock()
		span := time.Duration(float64(r.world.Experiment.Discovery.Delay.Std()+late) * (0.5 + 0.5*r.world.random(uint64(c.Number), uint32(i), fmt.Sprint("late", e.version))))
		time.AfterFunc(span, func() { a.deliver(e) })
	}
}

// Agent opens one for a proxy in a zone. It begins with the list as it is.
func (r *Registry) NewAgent(n int) (*Agent, error) {
	zone, at := r.world.Experiment.ZoneOfProxy(n), r.world.proxyGroupOf(n)
	l, err := r.world.listen(r.world.agentHost(n)+":0", r.world.proxyGroups()[at], r.world.registryEndpoint(zone))
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), registry: r, zone: zone, listenerIndex: at, entries: map[uint32]cacheEntry{}, changedIn: map[uint32]uint64{}, changed: make(chan struct{}),
		version: 1, oldestDiffBase: 1, announced: map[uint32]uint32{}}
	r.mu.Lock()
	for _, e := range r.entries {
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

const cutRetryInterval = 100 * time.Millisecond // of a replica whose way to another site is cut

// hear has news come from a cache's site to the agent's; over a cut way it waits.
func (a *Agent) deliver(e cacheEntry) {
	w := a.registry.world
	if w.Links != nil && e.Zone != a.zone && w.Links.IsCut(w.registryEndpoint(e.Zone), w.registryEndpoint(a.zone)) {
		time.AfterFunc(cutRetryInterval, func() { a.deliver(e) })
		return
	}
	a.enqueue(e)
}

func (a *Agent) enqueue(e cacheEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, e)
	switch every := a.registry.world.Experiment.Discovery.BatchInterval.Std(); {
	case every == 0:
		a.applyPending()
	case len(a.pending) == 1:
		time.AfterFunc(every, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.applyPending()
		})
	}
}

// publish takes all news into one version; the mutex is held.
func (a *Agent) applyPending() {
	changed := false
	for _, e := range a.pending {
		if a.entries[e.Number].version >= e.version {
			continue // older news that came late
		}
		a.entries[e.Number] = e
		a.changedIn[e.Number] = a.version + 1
		changed = true
	}
	a.pending = a.pending[:0]
	if changed {
		a.version++
		a.notifyWatches()
	}
}

func (a *Agent) notifyWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Set changes how the agent fares.
func (a *Agent) SetFault(silent, empty bool, late time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent, a.extraDelay = silent, late
	if a.empty != empty {
		a.empty = empty
		a.version++
		a.oldestDiffBase = a.version
	}
	a.notifyWatches()
}

// Hide has the list lack a zone's caches, or name them again.
func (a *Agent) HideZone(zone int, hidden bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hiddenZones == nil {
		a.hiddenZones = map[int]bool{}
	}
	a.hiddenZones[zone] = hidden
	a.version++
	a.oldestDiffBase = a.version
	a.notifyWatches()
}

// Life says which life of its proxy asks from now on, for the ledger.
func (a *Agent) SetIncarnation(life uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation, a.announced = life, map[uint32]uint32{}
}

type instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

var lifecycles = []string{"active", "leaving", "left"}

// List is the whole list as the agent has it; a proxy may be started with it.
func (a *Agent) List() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullDocument()
}

// changes are the entries that are newer than a version; the mutex is held.
func (a *Agent) diffDocument(index uint64) map[string]any {
	instances := []instance{}
	caches := a.registry.world.Caches()
	for n, since := range a.changedIn {
		if e := a.entries[n]; since > index && !a.hiddenZones[e.Zone] {
			instances = append(instances, a.instance(e, caches[n-1]))
		}
	}
	slices.SortFunc(instances, func(x, y instance) int { return strings.Compare(x.ID, y.ID) })
	return map[string]any{"generation": a.version, "reset": false, "instances": instances}
}

func (a *Agent) fullDocument() map[string]any {
	instances := []instance{}
	caches := a.registry.world.Caches()
	for n := uint32(1); !a.empty && n < 1<<16 && len(a.entries) > 0; n++ {
		e, ok := a.entries[n]
		if !ok {
			if int(n) > len(a.entries)+64 {
				break
			}
			continue
		}
		if e.State != ledger.StateOut && !a.hiddenZones[e.Zone] {
			instances = append(instances, a.instance(e, caches[n-1]))
		}
	}
	instances = append(instances, instance{ID: "origin", Addr: a.registry.world.Origin.addrs[a.listenerIndex], Zone: a.registry.world.Experiment.Zones.Names[0], Kind: "origin", Lifecycle: "active", Weight: 1})
	return map[string]any{"generation": a.version, "reset": true, "instances": instances}
}

func (a *Agent) instance(e cacheEntry, c *Cache) instance {
	weight := 1.0
	if c.Small {
		weight = 0.5
	}
	return instance{ID: e.ID, Addr: c.addr(a.listenerIndex), Zone: a.registry.world.Experiment.Zones.Names[e.Zone], Kind: e.Kind, Lifecycle: lifecycles[e.State],
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
			if err == nil && index >= a.oldestDiffBase && index < version {
				doc = a.diffDocument(index)
			} else {
				doc = a.fullDocument()
			}
			a.recordAnnounced()
			a.mu.Unlock()
			a.writeDocument(out, doc)
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
			a.writeDocument(out, map[string]any{"generation": version, "reset": false, "instances": []instance{}})
			return
		}
	}
}

// send writes a document, and counts its bytes.
func (a *Agent) writeDocument(out io.Writer, doc map[string]any) {
	text, _ := json.Marshal(doc) // maps and structs of plain fields
	a.registry.BytesSent.Add(int64(len(text)))
	out.Write(text)
}

// tell books what this answer says of each server, where it says something new.
func (a *Agent) recordAnnounced() {
	for n, e := range a.entries {
		state := e.State
		// Where operators have told proxies to doubt such a list, one that names nothing is no word that all have gone.
		if a.empty && a.registry.world.Experiment.Proxies.DoubtShare == 0 {
			state = ledger.StateOut
		} else if a.empty {
			continue
		}
		if a.hiddenZones[e.Zone] {
			state = ledger.StateOut
		}
		if previous, known := a.announced[n]; a.incarnation > 0 && (!known && state != ledger.StateActive || known && previous != state) {
			a.registry.world.Ledger.Append(ledger.Record{Kind: ledger.StateAnnounced, At: a.registry.world.Now(), A: a.incarnation, B: n, C: state})
		}
		a.announced[n] = state
	}
}

// Pick draws count (or a share) of some, from the run's seed and a fault's number.
func Pick[T any](seed, n uint64, items []T, count int, share float64) []T {
	items = append([]T(nil), items...)
	rand.New(rand.NewPCG(seed, n)).Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	if share > 0 {
		count = int(share*float64(len(items)) + 0.5)
	} else if count == 0 {
		count = 1
	}
	return items[:min(count, len(items))]
}

// Free finds an address on loopback that nobody listens on.
func FreeAddr(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
