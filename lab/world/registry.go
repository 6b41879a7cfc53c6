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

// Registry is the list of caches. It forwards each change to the agents of all proxies after a delay.
type Registry struct {
	BytesSent atomic.Int64 // bytes of lists sent to all proxies

	world   *World
	mu      sync.Mutex
	agents  []*Agent
	entries []cacheEntry // by server number; 0 is the origin, which is not registered here
}

// cacheEntry is one cache in the list.
type cacheEntry struct {
	Number  uint32 // server number
	ID      string
	Zone    int    // index of its zone
	Kind    string // machine kind
	State   uint32 // ledger.StateActive, StateLeaving or StateOut
	Started int64  // Unix time in ms; 0: before the run
	version uint64 // counts the changes of this entry
}

// Agent is the discovery agent of one proxy. It serves the list of caches as far as it has received it.
type Agent struct {
	Addr string // host and port

	registry       *Registry
	zone           int // index of its zone
	listenerIndex  int // proxy group, whose listeners it names
	server         *http.Server
	mu             sync.Mutex
	version        uint64                // of the list
	oldestDiffBase uint64                // watches on older versions get the full list
	entries        map[uint32]cacheEntry // by server number
	changedIn      map[uint32]uint64     // version of the list in which an entry last changed, by server number
	pending        []cacheEntry          // received, and not yet part of the list
	silent         bool                  // fault: answers nothing
	empty          bool                  // fault: lists no caches
	hiddenZones    map[int]bool          // fault: zones whose caches it does not list, though they run
	extraDelay     time.Duration         // fault: added to the delay of each change
	changed        chan struct{}         // closed when the list or a fault changes
	incarnation    uint32                // of the proxy that asks; 0: none yet
	announced      map[uint32]uint32     // state last sent to that incarnation, by server number
}

func newRegistry(w *World) *Registry { return &Registry{world: w} }

func (r *Registry) close() {
	for _, a := range r.agents {
		a.server.Close()
	}
}

// publishState records a new state of a cache and sends it to all agents. Each receives it after a delay of its own, between half and
// all of the configured one.
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

// NewAgent starts the agent of a proxy, with the list as it is now.
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
		listenerIndex:  group,
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

// cutRetryInterval is how often a replica of the list retries to send a change over a cut link to another site.
const cutRetryInterval = 100 * time.Millisecond

// deliver brings a change from the cache's site to the agent. While the link between their sites is cut it retries.
func (a *Agent) deliver(e cacheEntry) {
	w := a.registry.world
	if w.Links != nil && e.Zone != a.zone && w.Links.IsCut(w.registryEndpoint(e.Zone), w.registryEndpoint(a.zone)) {
		time.AfterFunc(cutRetryInterval, func() { a.deliver(e) })
		return
	}
	a.enqueue(e)
}

// enqueue adds a change to the list, at once or with the next batch.
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

// applyPending makes one new version of the list from all pending changes; the caller holds the mutex.
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

// notifyWatches wakes all waiting requests; the caller holds the mutex.
func (a *Agent) notifyWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetFault makes the agent silent, its list empty or its changes late, or ends these faults.
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

// HideZone removes a zone's caches from the list, or lists them again.
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

// SetIncarnation sets which incarnation of the proxy asks from now on, for the records of announced states.
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

// lifecycles are the names of the ledger's server states in the discovery protocol, by state.
var lifecycles = []string{"active", "leaving", "left"}

// List returns the full list as the agent has it, as the initial list of a proxy's configuration.
func (a *Agent) List() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullDocument()
}

// diffDocument returns the entries that changed after a version; the caller holds the mutex.
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

// fullDocument returns all entries that are not out, and the origin; the caller holds the mutex.
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
		Addr:      a.registry.world.Origin.addrs[a.listenerIndex],
		Zone:      a.registry.world.Experiment.Zones.Names[0],
		Kind:      "origin",
		Lifecycle: "active",
		Weight:    1,
	})
	return map[string]any{"generation": a.version, "reset": true, "instances": instances}
}

// instance returns the document entry of a cache.
func (a *Agent) instance(e cacheEntry, c *Cache) instance {
	weight := 1.0
	if c.Small {
		weight = 0.5
	}
	return instance{
		ID:        e.ID,
		Addr:      c.addr(a.listenerIndex),
		Zone:      a.registry.world.Experiment.Zones.Names[e.Zone],
		Kind:      e.Kind,
		Lifecycle: lifecycles[e.State],
		Weight:    weight,
		Started:   e.Started,
	}
}

// serve answers a request for the list, or a watch on a version of it: with the changes since, or with an empty change set after the
// requested wait. The states in an answer are recorded as announced.
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

// maxWatchMillis is the longest time that a watch may ask to wait.
const maxWatchMillis = 60_000

// writeDocument sends a document, and counts its bytes.
func (a *Agent) writeDocument(out io.Writer, doc map[string]any) {
	text, _ := json.Marshal(doc) // cannot fail: maps and structs of plain fields
	a.registry.BytesSent.Add(int64(len(text)))
	out.Write(text)
}

// recordAnnounced records the state of each server in an answer where it differs from what the incarnation was told before; the caller
// holds the mutex.
func (a *Agent) recordAnnounced() {
	for n, e := range a.entries {
		state := e.State
		// Proxies that are configured to doubt a list with many caches missing do not take an empty list for the end of all caches.
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

// Pick selects count items, or a share of them, at random from the run's seed and a fault's number. With neither it selects one.
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

// FreeAddr returns an address with a free port on a loopback host.
func FreeAddr(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
