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
	Exp    *experiment.File
	Book   *ledger.Writer
	Origin *Origin
	Reg    *Registry

	Ways *ways.RuleTable // nil: nothing is ever wrong between two processes, and nothing stands in between

	block  int // of its addresses
	start  time.Time
	mu     sync.Mutex
	caches []*Cache // by server number - 1; the origin is 0
	missed sync.Map // op id -> *missing
	repeat sync.Map // what deduplicated ops left behind
	conns  atomic.Uint32
}

type missing struct {
	mu     sync.Mutex
	caches []*Cache
}

// New makes a world and opens its listeners; its clock starts here.
func New(exp *experiment.File, book *ledger.Writer) (*World, error) {
	w := &World{Exp: exp, Book: book, block: nextBlock(), start: time.Now()}
	if exp.Cuts() {
		w.Ways = ways.New(exp.Seed)
	}
	w.Reg = newRegistry(w)
	o, err := newOrigin(w)
	if err != nil {
		return nil, err
	}
	w.Origin = o
	for i := range exp.Caches.Count {
		if _, err := w.Add(i%len(exp.Zones.Names), false); err != nil {
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
func (w *World) Add(zone int, cold bool) (*Cache, error) {
	w.mu.Lock()
	n := uint32(len(w.caches) + 1)
	c := newCache(w, n, fmt.Sprintf("cache-%d", n), zone)
	w.caches = append(w.caches, c)
	w.mu.Unlock()
	if err := c.up(cold); err != nil {
		return nil, err
	}
	return c, nil
}

// Replace puts a successor up at a cache's address, under a new id.
func (w *World) Replace(old *Cache) (*Cache, error) {
	// Danger: two faults at once may both bring a machine back; the address belongs to the first successor.
	if old.followed.Swap(true) {
		return old, nil
	}
	w.mu.Lock()
	n := uint32(len(w.caches) + 1)
	c := newCache(w, n, fmt.Sprintf("cache-%d", n), old.Zone)
	c.addrs = old.allAddrs()
	w.caches = append(w.caches, c)
	w.mu.Unlock()
	return c, c.up(true)
}

// Caches are all that ever were, in the order of their numbers.
func (w *World) Caches() []*Cache {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Cache(nil), w.caches...)
}

// Stalled is the share of all work at stand-ins that ended over 5 ms after its time: the lab's own stalls, which are
// told from a proxy's by this.
func (w *World) Stalled() float64 {
	ended, stalled := w.Origin.station.ended.Load(), w.Origin.station.stalled.Load()
	for _, c := range w.Caches() {
		ended, stalled = ended+c.station.ended.Load(), stalled+c.station.stalled.Load()
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
		c.down(true)
	}
	w.Origin.close()
	w.Reg.close()
}

// delay is the one-way span between two zones.
func (w *World) delay(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return w.Exp.Zones.Delay.Std()
}

// draw is a figure from 0 to 1 that hangs on the op and the place alone, so that the same seed gives the same.
func (w *World) draw(id uint64, place uint32, what string) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%x/%d/%s", w.Exp.Seed, id, place, what)
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// work is how long an op takes a core: half of the mean for certain, the other half drawn.
func (w *World) work(mean time.Duration, id uint64, place uint32) time.Duration {
	return time.Duration(float64(mean) * (0.5 - 0.5*math.Log(1-w.draw(id, place, "work")*0.999)))
}

// Value is what a server answers for an op: made for it alone, so that another's is known.
func Value(key, id string, size int) string {
	v := id + " " + key + " "
	return v + strings.Repeat(".", max(size-len(v), 0))
}

// Number is an op's number, from its id.
func Number(id string) uint64 {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return 0
	}
	return n
}

// door is where some proxies reach a server: each zone has one, or each proxy where ways between two processes may break.
type door struct {
	zone int
	from ways.Endpoint
}

func (w *World) doors() (all []door) {
	if w.Ways == nil {
		for zone := range w.Exp.Zones.Names {
			all = append(all, door{zone: zone})
		}
		return all
	}
	for n := range w.Exp.Proxies.Count {
		all = append(all, door{w.Exp.ZoneOf(n), w.Proxy(n)})
	}
	return all
}

// doorOf is the number of a proxy's door.
func (w *World) doorOf(n int) int {
	if w.Ways == nil {
		return w.Exp.ZoneOf(n)
	}
	return n
}

// Proxy is a proxy's end of its ways.
func (w *World) Proxy(n int) ways.Endpoint {
	return ways.Endpoint{Site: w.Exp.ZoneOf(n), Name: fmt.Sprintf("proxy-%d", n)}
}

// Origin's and the list's ends of their ways; the list has a replica in each site.
func (w *World) OriginEnd() ways.Endpoint       { return ways.Endpoint{Name: "origin"} }
func (w *World) listEnd(site int) ways.Endpoint { return ways.Endpoint{Site: site, Name: "list"} }

// listen opens a listener on a loopback address of its own, for those who come through a door.
func (w *World) listen(addr string, d door, near ways.Endpoint) (net.Listener, error) {
	if w.Ways == nil {
		return net.Listen("tcp", addr)
	}
	return w.Ways.Listen(addr, d.from, near)
}

// sent is when what was last read from a connection was sent.
func (w *World) sent(c net.Conn) time.Duration {
	if k, ok := c.(*ways.Conn); ok {
		return k.Sent().Sub(w.start)
	}
	return w.Now()
}

func (w *World) conn() uint32 { return w.conns.Add(1) }
