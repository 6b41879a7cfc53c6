// Package world holds stand-ins, on loopback, for all that proxies meet: caches, the origin, and one discovery agent
// for each proxy. They speak the platform's protocol over real sockets, and each tells the ledger what it was sent.
package world

import (
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/ways"
)

// World is all stand-ins of one run.
type World struct {
	Experiment *experiment.File
	Ledger     *ledger.Writer
	Origin     *Origin
	Registry   *Registry

	Links *ways.RuleTable // nil: nothing is ever wrong between two processes, and nothing stands in between

	addressBlock  int // of its addresses
	start         time.Time
	mu            sync.Mutex
	caches        []*Cache // by server number - 1; the origin is 0
	originMisses  sync.Map // op id -> *missing
	appliedWrites sync.Map // what deduplicated ops left behind
	connCount     atomic.Uint32
}

type missedCaches struct {
	mu     sync.Mutex
	caches []*Cache
}

// New makes a world and opens its listeners; its clock starts here.
func New(exp *experiment.File, book *ledger.Writer) (*World, error) {
	w := &World{Experiment: exp, Ledger: book, addressBlock: nextBlock(), start: time.Now()}
	if exp.BreaksLinks() {
		w.Links = ways.New(exp.Seed)
	}
	w.Registry = newRegistry(w)
	o, err := newOrigin(w)
	if err != nil {
		return nil, err
	}
	w.Origin = o
	for i := range exp.Caches.Count {
		if _, err := w.AddCache(i%len(exp.Zones.Names), false); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// Now is the run's one clock.
func (w *World) Now() time.Duration { return time.Since(w.start) }

// Start is when that clock began.
func (w *World) Start() time.Time { return w.start }

// Add puts one more cache up; cold: it starts now, else long ago.
func (w *World) AddCache(zone int, cold bool) (*Cache, error) {
	w.mu.Lock()
	n := uint32(len(w.caches) + 1)
	c := newCache(w, n, fmt.Sprintf("cache-%d", n), zone)
	w.caches = append(w.caches, c)
	w.mu.Unlock()
	if err := c.start(cold); err != nil {
		return nil, err
	}
	return c, nil
}

// Replace puts a successor up at a cache's address, under a new id.
func (w *World) Replace(old *Cache) (*Cache, error) {
	// Danger: two faults at once may both bring a machine back; the address belongs to the first successor.
	if old.replaced.Swap(true) {
		return old, nil
	}
	w.mu.Lock()
	n := uint32(len(w.caches) + 1)
	c := newCache(w, n, fmt.Sprintf("cache-%d", n), old.Zone)
	c.addrs = old.addresses()
	w.caches = append(w.caches, c)
	w.mu.Unlock()
	return c, c.start(true)
}

// Caches are all that ever were, in the order of their numbers.
func (w *World) Caches() []*Cache {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Cache(nil), w.caches...)
}

// Stalled is the share of all work at stand-ins that ended over 5 ms after its time: the lab's own stalls, which are
// told from a proxy's by this.
func (w *World) LateWorkShare() float64 {
	ended, stalled := w.Origin.queue.completed.Load(), w.Origin.queue.stalled.Load()
	for _, c := range w.Caches() {
		ended, stalled = ended+c.queue.completed.Load(), stalled+c.queue.stalled.Load()
	}
	return float64(stalled) / float64(max(ended, 1))
}

// Zones gives each server's zone, for the ledger.
func (w *World) Zones() map[uint32]int {
	zones := map[uint32]int{0: 0}
	for _, c := range w.Caches() {
		zones[c.Number] = c.Zone
	}
	return zones
}

// Close ends all listeners and connections.
func (w *World) Close() {
	for _, c := range w.Caches() {
		c.stop(true)
	}
	w.Origin.close()
	w.Registry.close()
}

// delay is the one-way span between two zones.
func (w *World) zoneDelay(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return w.Experiment.Zones.Delay.Std()
}

// draw is a figure from 0 to 1 that hangs on the op and the place alone, so that the same seed gives the same.
func (w *World) random(id uint64, place uint32, purpose string) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%x/%d/%s", w.Experiment.Seed, id, place, purpose)
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// work is how long an op takes a core: half of the mean for certain, the other half drawn.
func (w *World) drawWork(mean time.Duration, id uint64, place uint32) time.Duration {
	return time.Duration(float64(mean) * (0.5 - 0.5*math.Log(1-w.random(id, place, "work")*0.999)))
}

// Value is what a server answers for an op: made for it alone, so that another's is known.
func Value(key, id string, size int) string {
	v := id + " " + key + " "
	return v + strings.Repeat(".", max(size-len(v), 0))
}

// Number is an op's number, from its id.
func OpNumber(id string) uint64 {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return 0
	}
	return n
}

// door is where some proxies reach a server: each zone has one, or each proxy where ways between two processes may break.
type proxyGroup struct {
	zone     int
	endpoint ways.Endpoint
}

func (w *World) proxyGroups() (groups []proxyGroup) {
	if w.Links == nil {
		for zone := range w.Experiment.Zones.Names {
			groups = append(groups, proxyGroup{zone: zone})
		}
		return groups
	}
	for n := range w.Experiment.Proxies.Count {
		groups = append(groups, proxyGroup{w.Experiment.ZoneOfProxy(n), w.ProxyEndpoint(n)})
	}
	return groups
}

// doorOf is the number of a proxy's door.
func (w *World) proxyGroupOf(n int) int {
	if w.Links == nil {
		return w.Experiment.ZoneOfProxy(n)
	}
	return n
}

// Proxy is a proxy's end of its ways.
func (w *World) ProxyEndpoint(n int) ways.Endpoint {
	return ways.Endpoint{Site: w.Experiment.ZoneOfProxy(n), Name: fmt.Sprintf("proxy-%d", n)}
}

// Origin's and the list's ends of their ways; the list has a replica in each site.
func (w *World) OriginEndpoint() ways.Endpoint { return ways.Endpoint{Name: "origin"} }
func (w *World) registryEndpoint(site int) ways.Endpoint {
	return ways.Endpoint{Site: site, Name: "list"}
}

// listen opens a listener on a loopback address of its own, for those who come through a door.
func (w *World) listen(addr string, d proxyGroup, near ways.Endpoint) (net.Listener, error) {
	if w.Links == nil {
		return net.Listen("tcp", addr)
	}
	return w.Links.Listen(addr, d.endpoint, near)
}

// sent is when what was last read from a connection was sent.
func (w *World) sentAt(c net.Conn) time.Duration {
	if k, ok := c.(*ways.Conn); ok {
		return k.SentAt().Sub(w.start)
	}
	return w.Now()
}

func (w *World) nextConnNumber() uint32 { return w.connCount.Add(1) }
