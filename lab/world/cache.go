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
	Number uint32
	Name   string
	Zone   int
	Small  bool
	Faults Faults

	world *World
	addrs []string // by the door of who connects
	queue *workQueue
	store *valueStore

	mu           sync.Mutex
	alive        bool
	listeners    []net.Listener
	conns        map[*conn]bool
	startedAt    time.Duration // -1: long ago
	loadReport   string
	reportedAt   time.Time
	RefusedConns atomic.Int64 // connections over its cap
	replaced     atomic.Bool  // another process has its address
}

// Faults are what can be wrong with a server; shares from 0 to 1, read at any time.
type Faults struct {
	mu                                      sync.Mutex
	Slow, Refuse, Corrupt, DropAnswer, Fail float64
	Unresponsive                            bool
}

// Set changes what is wrong.
func (f *Faults) Update(change func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *Faults) snapshot() (slow, refuse, spoil, lose, failing float64, vanished bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Slow, f.Refuse, f.Corrupt, f.DropAnswer, f.Fail, f.Unresponsive
}

// link is one connection from a proxy.
type conn struct {
	cache       *Cache
	netConn     net.Conn
	number      uint32
	zone        int
	answers     chan chan []byte // in the order of their commands
	mu          sync.Mutex
	pendingJobs map[*job]bool
	openPushes  map[uint64]bool // pushes without their end
	closed      bool
	done        chan struct{}
}

const maxPipelined = 64 // commands on one connection that wait for their answers

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

// share is the part of its capacity that a cache has by now.
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

// up starts the process: its listeners, its name in the list.
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
	for n, d := range c.world.proxyGroups() {
		addr := c.world.cacheHost(n, c.Number) + ":0"
		if restarted {
			addr = c.addrs[n]
		}
		l, err := c.world.relisten(addr, func(addr string) (net.Listener, error) {
			return c.world.listen(addr, d, ways.Endpoint{Site: c.Zone, Name: c.Name})
		})
		if err != nil {
			c.mu.Unlock()
			return fmt.Errorf("%s: %w", c.Name, err)
		}
		c.listeners = append(c.listeners, l)
		if restarted {
			c.addrs[n] = l.Addr().String()
		} else {
			c.addrs = append(c.addrs, l.Addr().String())
		}
		go c.accept(l, d.zone)
	}
	c.alive = true
	c.mu.Unlock()
	coldStart := uint32(0)
	if cold {
		coldStart = 1
	}
	c.world.Ledger.Append(ledger.Record{Kind: ledger.ServerStarted, At: c.world.Now(), A: c.Number, B: uint32(1000 * c.queue.cores), C: coldStart})
	c.world.Registry.publishState(c, ledger.StateActive)
	return nil
}

// down ends the process; its connections are reset. The list learns it by itself, late.
func (c *Cache) stop(shutdown bool) {
	c.mu.Lock()
	c.alive = false
	for _, l := range c.listeners {
		l.Close()
	}
	c.listeners = nil
	links := c.openLinks()
	c.mu.Unlock()
	for _, l := range links {
		l.abort()
	}
	c.queue.clear()
	if !shutdown {
		c.world.Registry.publishState(c, ledger.StateOut)
	}
}

// Kill ends it without a word; Restart brings it back cold and empty under its id.
func (c *Cache) Kill()          { c.stop(false) }
func (c *Cache) Restart() error { return c.start(true) }

// Drain lets the list say that it is leaving; it finishes what it has, and goes after a span.
func (c *Cache) Drain() { c.world.Registry.publishState(c, ledger.StateLeaving) }

// Alive tells whether its process runs.
func (c *Cache) Alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alive
}

// Reset resets all its connections.
func (c *Cache) ResetConns() {
	c.mu.Lock()
	links := c.openLinks()
	c.mu.Unlock()
	for _, l := range links {
		l.abort()
	}
}

// Still lets it stand still for a span.
func (c *Cache) Pause(span time.Duration) { c.queue.pauseUntil(time.Now().Add(span)) }

// Flush voids a share of its copies, the same keys at every cache.
func (c *Cache) Invalidate(share float64) {
	c.mu.Lock()
	s := c.store
	c.mu.Unlock()
	s.removeIf(func(key string) bool { return c.world.random(OpNumber(key), 0, "flush") < share })
}

// Fill puts keys into it, as if it had been asked for them lately.
func (c *Cache) Prefill(key string, size int) { c.store.put(key, size) }

// Connections are how many are open.
func (c *Cache) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

func (c *Cache) openLinks() (openLinks []*conn) {
	for l := range c.conns {
		openLinks = append(openLinks, l)
	}
	return openLinks
}

func (c *Cache) accept(l net.Listener, zone int) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		k := &conn{cache: c, netConn: nc, number: c.world.nextConnNumber(), zone: zone, answers: make(chan chan []byte, maxPipelined), pendingJobs: map[*job]bool{},
			openPushes: map[uint64]bool{}, done: make(chan struct{})}
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
			c.queue.offer(&job{work: work, done: func() {}})
		}
		go k.writeAnswers()
		go k.readCommands()
	}
}

// reset ends a connection with a reset, as a process that dies does.
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

// read takes commands; each counts from its last byte.
func (k *conn) readCommands() {
	defer k.cleanUp()
	r := redcon.NewReader(k.netConn)
	for {
		cmd, err := r.ReadCommand()
		if err != nil {
			return
		}
		answer := make(chan []byte, 1)
		select {
		case k.answers <- answer:
		case <-time.After(time.Minute): // whoever pipes so many and reads nothing
			return
		}
		k.cache.handleCommand(k, cmd, answer)
	}
}

// write sends answers in the order of their commands.
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

// end takes back what nobody waits for any more.
func (k *conn) cleanUp() {
	k.netConn.Close()
	k.cache.mu.Lock()
	delete(k.cache.conns, k)
	k.cache.mu.Unlock()
	k.mu.Lock()
	k.closed = true
	jobs, open := k.pendingJobs, k.openPushes
	k.pendingJobs, k.openPushes = map[*job]bool{}, map[uint64]bool{}
	k.mu.Unlock()
	close(k.done)
	for j := range jobs {
		if cancel := k.cache.world.Experiment.Caches.CancelMode; cancel != "none" {
			k.cache.queue.cancel(j, cancel == "all")
		}
	}
	for op := range open {
		k.cache.world.Ledger.Append(ledger.Record{Kind: ledger.PushEnded, At: k.cache.world.Now(), Op: op, A: k.cache.Number, B: k.number, C: ledger.EndConnLost})
	}
}

// over books a push's end, once, and hands its answer to who writes; how long the way takes is added.
func (k *conn) endPush(op uint64, outcome uint32, answer chan []byte, text string) {
	delay := k.cache.world.zoneDelay(k.zone, k.cache.Zone)
	finish := func() {
		k.mu.Lock()
		open := k.openPushes[op]
		delete(k.openPushes, op)
		k.mu.Unlock()
		if open {
			k.cache.world.Ledger.Append(ledger.Record{Kind: ledger.PushEnded, At: k.cache.world.Now(), Op: op, A: k.cache.Number, B: k.number, C: outcome})
			answer <- []byte(text)
		}
	}
	if delay > 0 {
		time.AfterFunc(delay, finish)
	} else {
		finish()
	}
}

// words takes a list of names and values apart.
func parseProps(props string) map[string]string {
	values := map[string]string{}
	for _, p := range strings.Split(props, ",") {
		name, value, _ := strings.Cut(p, "=")
		values[name] = value
	}
	return values
}

// Waiting is how much waits for its cores.
func (c *Cache) QueuedRequests() int {
	_, waiting := c.queue.load()
	return waiting
}
