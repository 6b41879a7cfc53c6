// Package world runs stand-ins on loopback for every server that proxies talk to: caches, the origin, and one discovery agent for
// each proxy. They speak the protocols of the real servers over TCP, and record every push in the ledger.
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

// World is the set of stand-ins of one run.
type World struct {
	Experiment *experiment.File
	Ledger     *ledger.Writer
	Origin     *Origin
	Registry   *Registry

	Links *ways.RuleTable // rules of all links; nil: the experiment breaks no links, and connections are plain TCP

	addressBlock  int       // index of the part of the loopback range that it uses; below addressBlocks
	start         time.Time // zero of the run's clock
	mu            sync.Mutex
	caches        []*Cache      // by server number - 1; the origin is server 0
	originMisses  sync.Map      // by op ID: *missedCaches of the ops that go to the origin after a miss
	appliedWrites sync.Map      // keys are those of applyWrite, of deduplicated writes within their window
	connCount     atomic.Uint32 // last connection number given
}

// missedCaches are the caches that answered an op with a miss. The origin's answer is stored in the first maxFilledPerFetch of them, if
// they run.
type missedCaches struct {
	mu     sync.Mutex
	caches []*Cache
}

// New starts the stand-ins of an experiment. The run's clock starts here.
func New(exp *experiment.File, writer *ledger.Writer) (*World, error) {
	w := &World{Experiment: exp, Ledger: writer, addressBlock: nextBlock(), start: time.Now()}
	if exp.BreaksLinks() {
		w.Links = ways.New(exp.Seed)
	}
	w.Registry = newRegistry(w)
	origin, err := newOrigin(w)
	if err != nil {
		return nil, err
	}
	w.Origin = origin
	for i := range exp.Caches.Count {
		if _, err := w.AddCache(i%len(exp.Zones.Names), false); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// Now returns the time on the run's clock, which all ledger records use.
func (w *World) Now() time.Duration { return time.Since(w.start) }

// Start returns the time at which the run's clock started.
func (w *World) Start() time.Time { return w.start }

// AddCache starts one more cache in a zone: cold, or fully warmed up.
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

// Replace starts a cold successor at a cache's addresses, under a new ID. If the cache has a successor already, Replace returns the cache.
func (w *World) Replace(old *Cache) (*Cache, error) {
	// Two faults may replace the same cache at once; the first successor keeps the addresses.
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

// Caches returns all caches of the run in the order of their numbers, those that have ended included.
func (w *World) Caches() []*Cache {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Cache(nil), w.caches...)
}

// LateWorkShare returns the share of all jobs at stand-ins that ended more than stallThreshold late, from 0 to 1. Such delays are stalls of
// the laboratory itself, not of a proxy.
func (w *World) LateWorkShare() float64 {
	ended, stalled := w.Origin.queue.completed.Load(), w.Origin.queue.stalled.Load()
	for _, c := range w.Caches() {
		ended, stalled = ended+c.queue.completed.Load(), stalled+c.queue.stalled.Load()
	}
	return float64(stalled) / float64(max(ended, 1))
}

// Zones returns the zone index of each server, by server number; the origin is in zone 0.
func (w *World) Zones() map[uint32]int {
	zones := map[uint32]int{0: 0}
	for _, c := range w.Caches() {
		zones[c.Number] = c.Zone
	}
	return zones
}

// Close closes all listeners and connections.
func (w *World) Close() {
	for _, c := range w.Caches() {
		c.stop(true)
	}
	w.Origin.close()
	w.Registry.close()
}

// zoneDelay returns the one-way delay between two zones; 0 within a zone.
func (w *World) zoneDelay(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return w.Experiment.Zones.Delay.Std()
}

// random returns a pseudo-random number in [0, 1) that depends on the seed, the op, the server and the purpose alone, so that the same
// seed reproduces it whatever the order of events.
func (w *World) random(op uint64, server uint32, purpose string) float64 {
	hasher := fnv.New64a()
	fmt.Fprintf(hasher, "%d/%x/%d/%s", w.Experiment.Seed, op, server, purpose)
	hash := hasher.Sum64()
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return float64((hash^hash>>31)>>11) / (1 << 53)
}

// drawWork draws the core time of an op: half of the mean plus an exponentially distributed half.
func (w *World) drawWork(mean time.Duration, op uint64, server uint32) time.Duration {
	return time.Duration(float64(mean) * (0.5 - 0.5*math.Log(1-w.random(op, server, "work")*0.999))) // 0.999 bounds it to 4 times the mean
}

// Value returns the value that answers an op. It holds the op's id and key, so that an answer that belongs to another op is detected.
func Value(key, id string, size int) string {
	v := id + " " + key + " "
	return v + strings.Repeat(".", max(size-len(v), 0))
}

// OpNumber parses the hexadecimal ID of an op, or a key, which has the same form; an invalid one gives 0.
func OpNumber(id string) uint64 {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return 0
	}
	return n
}

// proxyGroup is a set of proxies for which each server has a listener of its own: the proxies of a zone or, where the experiment breaks
// links between processes, a single proxy.
type proxyGroup struct {
	zone     int
	endpoint ways.Endpoint // of the proxy; zero for a whole zone
}

// proxyGroups lists the proxy groups of the run.
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

// proxyGroupOf returns the index of the group of a proxy.
func (w *World) proxyGroupOf(proxy int) int {
	if w.Links == nil {
		return w.Experiment.ZoneOfProxy(proxy)
	}
	return proxy
}

// ProxyEndpoint returns the endpoint of a proxy in link rules.
func (w *World) ProxyEndpoint(proxy int) ways.Endpoint {
	return ways.Endpoint{Site: w.Experiment.ZoneOfProxy(proxy), Name: fmt.Sprintf("proxy-%d", proxy)}
}

// OriginEndpoint returns the endpoint of the origin in link rules.
func (w *World) OriginEndpoint() ways.Endpoint { return ways.Endpoint{Name: "origin"} }

// registryEndpoint returns the endpoint of discovery in a zone, in link rules.
func (w *World) registryEndpoint(site int) ways.Endpoint {
	return ways.Endpoint{Site: site, Name: "list"}
}

// listen opens a listener for the proxies of a group.
func (w *World) listen(addr string, group proxyGroup, local ways.Endpoint) (net.Listener, error) {
	if w.Links == nil {
		return net.Listen("tcp", addr)
	}
	return w.Links.Listen(addr, group.endpoint, local)
}

// sentAt returns when the peer sent the bytes that were last read from a connection, on the run's clock. For a plain TCP connection it is
// the present time.
func (w *World) sentAt(netConn net.Conn) time.Duration {
	if link, ok := netConn.(*ways.Conn); ok {
		return link.SentAt().Sub(w.start)
	}
	return w.Now()
}

// nextConnNumber returns a new connection number for the ledger.
func (w *World) nextConnNumber() uint32 { return w.connCount.Add(1) }
