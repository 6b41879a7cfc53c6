package world

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"minttray/lab/ledger"
	"minttray/lab/ways"
)

// Cache is a stand-in for one cache server. It speaks RESP2: CACHE.GET and CACHE.SET as proxies send them.
type Cache struct {
	Number uint32 // server number in the ledger, from 1
	Name   string // ID in the list of caches
	Zone   int    // index of its zone
	Small  bool   // of machine kind "small": half the cores
	Faults Faults

	world *World
	addrs []string // by proxy group
	queue *workQueue
	store *valueStore

	mu           sync.Mutex
	alive        bool
	listeners    []net.Listener
	conns        map[*conn]bool
	startedAt    time.Duration // last cold start, on the run's clock; negative: none, it was warm from the beginning of the run
	loadReport   string        // text of the last load report
	reportedAt   time.Time     // when loadReport was made
	RefusedConns atomic.Int64  // connections reset when accepted, because the limit was reached or the cache had stopped; not guarded by mu
	replaced     atomic.Bool   // a successor uses its addresses; not guarded by mu
}

// Faults are the faults injected into a server. They may change at any time.
type Faults struct {
	mu           sync.Mutex
	Slow         float64 // factor on the time of each job; 1 or less: no slowdown
	Refuse       float64 // share of requests refused, from 0 to 1
	Corrupt      float64 // share of values sent corrupted, from 0 to 1
	DropAnswer   float64 // share of requests without an answer, from 0 to 1
	Fail         float64 // share of requests answered with an error at once, from 0 to 1
	Unresponsive bool    // no request is answered
}

// Update changes the faults atomically.
func (f *Faults) Update(change func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// snapshot returns all faults as they are now.
func (f *Faults) snapshot() (slow, refuse, corrupt, dropAnswer, fail float64, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Slow, f.Refuse, f.Corrupt, f.DropAnswer, f.Fail, f.Unresponsive
}

// conn is a connection from a proxy to a cache.
type conn struct {
	cache      *Cache
	netConn    net.Conn
	number     uint32           // connection number in the ledger
	zone       int              // index of the proxy's zone
	answers    chan chan []byte // the channel of each answer, in the order of the commands
	mu         sync.Mutex
	jobs       map[*job]bool   // of this connection, queued or running
	openPushes map[uint64]bool // numbers of the ops received whose end is not recorded yet
	closed     bool
	done       chan struct{} // closed by cleanUp
}

// milliCoresPerCore converts cores to the ledger's unit of capacity, a thousandth of a core.
const milliCoresPerCore = 1000

// maxPipelined is the number of commands on one connection that may wait behind the one whose answer is sent next.
const maxPipelined = 64

// pipelineTimeout is how long a further command waits while maxPipelined are waiting. After that the connection is closed.
const pipelineTimeout = time.Minute

// newCache makes a cache that is not started yet.
func newCache(w *World, number uint32, name string, zone int) *Cache {
	settings := w.Experiment.Caches
	c := &Cache{Number: number, Name: name, Zone: zone, world: w, conns: map[*conn]bool{}, startedAt: -1}
	cores := settings.Cores
	if w.random(uint64(number), 0, "kind") < settings.SmallShare {
		c.Small, cores = true, max(cores/2, 1)
	}
	c.queue = &workQueue{cores: cores, queueLimit: settings.QueueLimit}
	c.queue.speed = func(int) float64 {
		slow, _, _, _, _, _ := c.Faults.snapshot()
		return c.capacityShare() / max(slow, 1)
	}
	c.store = newStore(int(settings.MemoryMB * (1 << 20)))
	return c
}

// capacityShare returns the share of its full speed that the cache has now. It rises linearly from the cold share to 1 during the
// warm-up after a cold start.
func (c *Cache) capacityShare() float64 {
	settings := c.world.Experiment.Caches
	c.mu.Lock()
	started := c.startedAt
	c.mu.Unlock()
	if started < 0 {
		return 1
	}
	return min(settings.ColdCapacityShare+(1-settings.ColdCapacityShare)*float64(c.world.Now()-started)/float64(max(settings.WarmUp.Std(), 1)), 1)
}

// start opens the listeners and announces the cache as active. With cold set it starts empty and with the cold share of its capacity; see
// capacityShare. It does nothing if the cache runs or has been replaced.
func (c *Cache) start(cold bool) error {
	if c.replaced.Load() {
		return nil
	}
	c.mu.Lock()
	if c.alive {
		c.mu.Unlock()
		return nil
	}
	if cold {
		c.startedAt = c.world.Now()
		c.store = newStore(c.store.maxBytes)
	}
	restarted := len(c.addrs) > 0
	for group, g := range c.world.proxyGroups() {
		addr := c.world.cacheHost(group, c.Number) + ":0"
		if restarted {
			addr = c.addrs[group]
		}
		l, err := c.world.relisten(addr, func(addr string) (net.Listener, error) {
			return c.world.listen(addr, g, ways.Endpoint{Site: c.Zone, Name: c.Name})
		})
		if err != nil {
			c.mu.Unlock()
			return fmt.Errorf("%s: %w", c.Name, err)
		}
		c.listeners = append(c.listeners, l)
		if restarted {
			c.addrs[group] = l.Addr().String()
		} else {
			c.addrs = append(c.addrs, l.Addr().String())
		}
		go c.accept(l, g.zone)
	}
	c.alive = true
	c.mu.Unlock()
	coldStart := uint32(0)
	if cold {
		coldStart = 1
	}
	c.world.Ledger.Append(ledger.Record{
		Kind: ledger.ServerStarted,
		At:   c.world.Now(),
		A:    c.Number,
		B:    uint32(milliCoresPerCore * c.queue.cores),
		C:    coldStart,
	})
	c.world.Registry.publishState(c, ledger.StateActive)
	return nil
}

// stop closes the listeners, resets all connections and drops all work. Unless shutdown is set, for the end of the run, it publishes the
// cache as out.
func (c *Cache) stop(shutdown bool) {
	c.mu.Lock()
	c.alive = false
	for _, l := range c.listeners {
		l.Close()
	}
	c.listeners = nil
	conns := c.openConns()
	c.mu.Unlock()
	for _, k := range conns {
		k.abort()
	}
	c.queue.clear()
	if !shutdown {
		c.world.Registry.publishState(c, ledger.StateOut)
	}
}

// Kill stops the cache at once, as a crash does.
func (c *Cache) Kill() { c.stop(false) }

// Restart starts a killed cache cold and empty, with the same ID and addresses.
func (c *Cache) Restart() error { return c.start(true) }

// Drain publishes the cache as leaving. It continues to serve until it is killed.
func (c *Cache) Drain() { c.world.Registry.publishState(c, ledger.StateLeaving) }

// Alive reports whether the cache runs.
func (c *Cache) Alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alive
}

// ResetConns closes all connections with a TCP reset.
func (c *Cache) ResetConns() {
	c.mu.Lock()
	conns := c.openConns()
	c.mu.Unlock()
	for _, k := range conns {
		k.abort()
	}
}

// Pause stops the cache from starting work for a duration, and returns at once. Running jobs continue.
func (c *Cache) Pause(duration time.Duration) { c.queue.pauseUntil(time.Now().Add(duration)) }

// Invalidate removes a share of the keys, from 0 to 1, the same keys at every cache.
func (c *Cache) Invalidate(share float64) {
	c.mu.Lock()
	store := c.store
	c.mu.Unlock()
	store.removeIf(func(key string) bool { return c.world.random(OpNumber(key), 0, "flush") < share })
}

// Prefill stores a key as the most recently used one, with a value of size bytes.
func (c *Cache) Prefill(key string, size int) { c.store.put(key, size) }

// Connections returns the number of open connections.
func (c *Cache) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// openConns lists the open connections; the caller holds the mutex.
func (c *Cache) openConns() []*conn {
	var conns []*conn
	for k := range c.conns {
		conns = append(conns, k)
	}
	return conns
}

// accept serves the connections of one listener, and resets those above the limit.
func (c *Cache) accept(l net.Listener, zone int) {
	for {
		netConn, err := l.Accept()
		if err != nil {
			return
		}
		k := &conn{
			cache:      c,
			netConn:    netConn,
			number:     c.world.nextConnNumber(),
			zone:       zone,
			answers:    make(chan chan []byte, maxPipelined),
			jobs:       map[*job]bool{},
			openPushes: map[uint64]bool{},
			done:       make(chan struct{}),
		}
		c.mu.Lock()
		if !c.alive || len(c.conns) >= c.world.Experiment.Caches.MaxConns {
			c.mu.Unlock()
			c.RefusedConns.Add(1)
			k.abort()
			continue
		}
		c.conns[k] = true
		c.mu.Unlock()
		if work := c.world.Experiment.Caches.HandshakeWork.Std(); work > 0 {
			c.queue.offer(&job{work: work, done: func() {}}) // a full queue drops it, and the connection is served all the same
		}
		go k.writeAnswers()
		go k.readCommands()
	}
}

// abort closes the connection with a TCP reset, as the kernel does for a process that dies.
func (k *conn) abort() {
	switch c := k.netConn.(type) {
	case *ways.Conn:
		c.Abort()
		return
	case *net.TCPConn:
		c.SetLinger(0)
	}
	k.netConn.Close()
}

// readCommands handles commands until the connection ends. A command counts as received once its last byte is read.
func (k *conn) readCommands() {
	defer k.cleanUp()
	reader := redcon.NewReader(k.netConn)
	for {
		cmd, err := reader.ReadCommand()
		if err != nil {
			return
		}
		answer := make(chan []byte, 1)
		select {
		case k.answers <- answer:
		case <-time.After(pipelineTimeout): // no answer was taken: the peer reads none, or the cache gives none
			return
		}
		k.cache.handleCommand(k, cmd, answer)
	}
}

// writeAnswers sends the answers in the order of their commands, until the connection ends.
func (k *conn) writeAnswers() {
	for {
		select {
		case answer := <-k.answers:
			select {
			case text := <-answer:
				if _, err := k.netConn.Write(text); err != nil {
					k.netConn.Close()
				}
			case <-k.done:
				return
			}
		case <-k.done:
			return
		}
	}
}

// cleanUp closes the connection, cancels its jobs as configured by CancelMode, and records the end of its open pushes as a lost connection.
func (k *conn) cleanUp() {
	k.netConn.Close()
	k.cache.mu.Lock()
	delete(k.cache.conns, k)
	k.cache.mu.Unlock()
	k.mu.Lock()
	k.closed = true
	jobs, openPushes := k.jobs, k.openPushes
	k.jobs, k.openPushes = map[*job]bool{}, map[uint64]bool{}
	k.mu.Unlock()
	close(k.done)
	for j := range jobs {
		if cancel := k.cache.world.Experiment.Caches.CancelMode; cancel != "none" {
			k.cache.queue.cancel(j, cancel == "all")
		}
	}
	for op := range openPushes {
		k.cache.world.Ledger.Append(ledger.Record{
			Kind: ledger.PushEnded,
			At:   k.cache.world.Now(),
			Op:   op,
			A:    k.cache.Number,
			B:    k.number,
			C:    ledger.EndConnLost,
		})
	}
}

// endPush records the end of a push and passes its answer to writeAnswers, both after the one-way delay between the zones. It does nothing
// if the end was recorded before.
func (k *conn) endPush(op uint64, outcome uint32, answer chan []byte, text string) {
	delay := k.cache.world.zoneDelay(k.zone, k.cache.Zone)
	finish := func() {
		k.mu.Lock()
		open := k.openPushes[op]
		delete(k.openPushes, op)
		k.mu.Unlock()
		if open {
			k.cache.world.Ledger.Append(ledger.Record{
				Kind: ledger.PushEnded,
				At:   k.cache.world.Now(),
				Op:   op,
				A:    k.cache.Number,
				B:    k.number,
				C:    outcome,
			})
			answer <- []byte(text)
		}
	}
	if delay > 0 {
		time.AfterFunc(delay, finish)
	} else {
		finish()
	}
}

// parseProps parses properties of the form "name=value,name=value".
func parseProps(props string) map[string]string {
	values := map[string]string{}
	for _, p := range strings.Split(props, ",") {
		name, value, _ := strings.Cut(p, "=")
		values[name] = value
	}
	return values
}

// QueuedRequests returns the number of jobs that wait for a core: requests and handshakes.
func (c *Cache) QueuedRequests() int {
	_, waiting := c.queue.load()
	return waiting
}
