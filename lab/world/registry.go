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

// Registry is the list of caches. It delivers each change to the agents of all proxies after a delay.
type Registry struct {
	BytesSent atomic.Int64 // bytes of lists sent to all proxies

	world   *World
	mu      sync.Mutex
	agents  []*Agent
	entries []cacheEntry // by server number; entry 0 is unused, as the origin (server 0) is not in the list
}

// cacheEntry is one cache in the list.
type cacheEntry struct {
	Number  uint32 // server number
	ID      string
	Zone    int    // index of its zone
	Kind    string // machine kind
	State   uint32 // ledger.StateActive, StateLeaving or StateOut
	Started int64  // Unix time in ms; 0: before the run
	version uint64 // number of the last change of this entry
}

// Agent is the discovery agent of one proxy. It serves the list of caches as far as it has received it.
type Agent struct {
	Addr string // host and port

	registry       *Registry
	zone           int // index of its zone
	groupIndex     int // index of the proxy group; the list has the servers' addresses for this group
	server         *http.Server
	mu             sync.Mutex
	version        uint64                // version of the list; each change gives a new one
	oldestDiffBase uint64                // oldest version from which a change set is sent; older watches get the full list
	entries        map[uint32]cacheEntry // by server number
	changedIn      map[uint32]uint64     // version of the list in which an entry last changed, by server number
	pending        []cacheEntry          // changes received that are not yet part of the list
	silent         bool                  // fault: answers nothing
	empty          bool                  // fault: lists no caches
	hiddenZones    map[int]bool          // fault: zones whose caches it leaves out of the list although they run
	extraDelay     time.Duration         // fault: added to the maximum delay of a change
	changed        chan struct{}         // closed when the list or a fault changes
	incarnation    uint32                // of the proxy that sends the requests; 0: none yet
	announced      map[uint32]uint32     // state last announced to that incarnation, by server number
}

func newRegistry(w *World) *Registry { return &Registry{world: w} }

func (r *Registry) close() {
	for _, a := range r.agents {
		a.server.Close()
	}
}

// publishState sets the state of a cache in the list and sends it to all agents. Each receives it after a random delay of its own,
// between 50 % and 100 % of the configured delay plus extraDelay, and later if the link between the zones is cut then.
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
		extraDelay := a.extraDelay
		a.mu.Unlock()
		share := 0.5 + 0.5*r.world.random(uint64(c.Number), uint32(i), fmt.Sprint("late", e.version))
		delay := time.Duration(float64(r.world.Experiment.Discovery.Delay.Std()+extraDelay) * share)
		time.AfterFunc(delay, func() { a.deliver(e) })
	}
}

// NewAgent starts the agent of a proxy, with the present list.
func (r *Registry) NewAgent(proxy int) (*Agent, error) {
	zone, group := r.world.Experiment.ZoneOfProxy(proxy), r.world.proxyGroupOf(proxy)
	l, err := r.world.listen(r.world.agentHost(proxy)+":0", r.world.proxyGroups()[group], r.world.registryEndpoint(zone))
	if err != nil {
		return nil, err
	}
	a := &Agent{
		Addr:           l.Addr().String(),
		registry:       r,
		zone:           zone,
		groupIndex:     group,
		entries:        map[uint32]cacheEntry{},
		changedIn:      map[uint32]uint64{},
		changed:        make(chan struct{}),
		version:        1,
		oldestDiffBase: 1,
		announced:      map[uint32]uint32{},
	}
	r.mu.Lock()
	for _, e := range r.entries {
		if e.Number > 0 {
			a.entries[e.Number] = e
		}
	}
	r.agents = append(r.agents, a)
	r.mu.Unlock()
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: headerTimeout}
	go a.server.Serve(l)
	return a, nil
}

// cutRetryInterval is the time between two attempts to deliver a change over a cut link.
const cutRetryInterval = 100 * time.Millisecond

// deliver brings a change from the cache's zone to the agent's. While the link between these zones is cut it retries.
func (a *Agent) deliver(e cacheEntry) {
	w := a.registry.world
	if w.Links != nil && e.Zone != a.zone && w.Links.IsCut(w.registryEndpoint(e.Zone), w.registryEndpoint(a.zone)) {
		time.AfterFunc(cutRetryInterval, func() { a.deliver(e) })
		return
	}
	a.enqueue(e)
}

// enqueue adds a change to the list: at once, or with all others that arrive within the batch interval after the first.
func (a *Agent) enqueue(e cacheEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, e)
	switch interval := a.registry.world.Experiment.Discovery.BatchInterval.Std(); {
	case interval == 0:
		a.applyPending()
	case len(a.pending) == 1:
		time.AfterFunc(interval, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.applyPending()
		})
	}
}

// applyPending applies all pending changes, as one new version of the list; the caller holds the mutex.
func (a *Agent) applyPending() {
	changed := false
	for _, e := range a.pending {
		if a.entries[e.Number].version >= e.version {
			continue // an older change that arrived after a newer one
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

// notifyWatches wakes all watches; the caller holds the mutex.
func (a *Agent) notifyWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetFault sets which of three faults the agent has: it answers no request, its list is empty, or changes reach it later by up to
// extraDelay. Zero values end the faults.
func (a *Agent) SetFault(silent, empty bool, extraDelay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent, a.extraDelay = silent, extraDelay
	if a.empty != empty {
		a.empty = empty
		a.version++
		a.oldestDiffBase = a.version
	}
	a.notifyWatches()
}

// HideZone leaves the caches of a zone out of the list, or lists them again.
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

// SetIncarnation sets the incarnation of the proxy that sends requests from now on, for the records of announced states.
func (a *Agent) SetIncarnation(incarnation uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation, a.announced = incarnation, map[uint32]uint32{}
}

// instance is a cache or the origin in a document of the discovery protocol.
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

// lifecycles are the names of server states in the discovery protocol, indexed by the ledger's State constants.
var lifecycles = []string{"active", "leaving", "left"}

// List returns the agent's full list, for use as the initial list in a proxy's configuration.
func (a *Agent) List() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullDocument()
}

// diffDocument returns the entries that changed after a version, without those of hidden zones; the caller holds the mutex.
func (a *Agent) diffDocument(since uint64) map[string]any {
	instances := []instance{}
	caches := a.registry.world.Caches()
	for n, changedIn := range a.changedIn {
		if e := a.entries[n]; changedIn > since && !a.hiddenZones[e.Zone] {
			instances = append(instances, a.instance(e, caches[n-1]))
		}
	}
	slices.SortFunc(instances, func(x, y instance) int { return strings.Compare(x.ID, y.ID) })
	return map[string]any{"generation": a.version, "reset": false, "instances": instances}
}

// fullDocument returns the origin and all entries that are not out, without those that a fault hides. Entries are in the order of
// their server numbers, which are below 1<<16. Numbers are missing while the first change of their caches has not reached the agent; the
// search ends at a missing number that exceeds the number of entries by more than 64. The caller holds the mutex.
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
	instances = append(instances, instance{
		ID:        "origin",
		Addr:      a.registry.world.Origin.addrs[a.groupIndex],
		Zone:      a.registry.world.Experiment.Zones.Names[0],
		Kind:      "origin",
		Lifecycle: "active",
		Weight:    1,
	})
	return map[string]any{"generation": a.version, "reset": true, "instances": instances}
}

// instance returns the entry of a cache in a document.
func (a *Agent) instance(e cacheEntry, c *Cache) instance {
	weight := 1.0
	if c.Small {
		weight = 0.5
	}
	return instance{
		ID:        e.ID,
		Addr:      c.addr(a.groupIndex),
		Zone:      a.registry.world.Experiment.Zones.Names[e.Zone],
		Kind:      e.Kind,
		Lifecycle: lifecycles[e.State],
		Weight:    weight,
		Started:   e.Started,
	}
}

// serve answers a request for the list. The parameter index is the version that the proxy has; without it the answer is the full list at
// once. If the list has another version, the answer is the changes since index, or the full list if index is below oldestDiffBase or unknown.
// Otherwise serve waits for a change, for as many milliseconds as the parameter wait says, at most maxWatchMillis, and then answers with an
// empty change set. A silent agent does not answer. Before any other answer than an empty change set, the states of the caches are recorded as announced.
func (a *Agent) serve(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(out, r)
		return
	}
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(min(max(waitMillis, 0), maxWatchMillis)) * time.Millisecond)
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
		case <-timeout:
			if silent {
				<-r.Context().Done()
				return
			}
			a.writeDocument(out, map[string]any{"generation": version, "reset": false, "instances": []instance{}})
			return
		}
	}
}

// maxWatchMillis is the longest wait of a watch, in milliseconds.
const maxWatchMillis = 60_000

// writeDocument sends a document, and counts its bytes.
func (a *Agent) writeDocument(out io.Writer, doc map[string]any) {
	text, _ := json.Marshal(doc) // cannot fail: maps and structs of plain fields
	a.registry.BytesSent.Add(int64(len(text)))
	out.Write(text)
}

// recordAnnounced records, for each cache that the agent knows, a state that differs from the one last announced to the incarnation.
// A cache that a fault hides counts as out. The caller holds the mutex.
func (a *Agent) recordAnnounced() {
	for n, e := range a.entries {
		state := e.State
		// With DoubtShare 0 proxies accept an empty list, which announces all caches as out. Otherwise they never accept it, and no
		// state counts as announced.
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

// Pick selects items at random: a share of them, from 0 to 1, or count of them if the share is 0, or one if both are 0. The selection
// depends on the run's seed and on n, the position of a fault in its file.
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

// FreeAddr returns an address of a host with a port that was free just now.
func FreeAddr(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
