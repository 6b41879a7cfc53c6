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
	Fault  Faults

	w       *World
	addrs   []string // by the door of who connects
	station *station
	store   *store

	mu        sync.Mutex
	alive     bool
	listeners []net.Listener
	conns     map[*link]bool
	started   time.Duration // -1: long ago
	report    string
	reported  time.Time
	Refused   atomic.Int64 // connections over its cap
	followed  atomic.Bool  // another process has its address
}

// Faults are what can be wrong with a server; shares from 0 to 1, read at any time.
type Faults struct {
	mu                                 sync.Mutex
	Slow, Refuse, Spoil, Lose, Failing float64
	Vanished                           bool
}

// Set changes what is wrong.
func (f *Faults) Set(do func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f)
}

func (f *Faults) get() (slow, refuse, spoil, lose, failing float64, vanished bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Slow, f.Refuse, f.Spoil, f.Lose, f.Failing, f.Vanished
}

// link is one connection from a proxy.
type link struct {
	c       *Cache
	nc      net.Conn
	number  uint32
	zone    int
	answers chan chan []byte // in the order of their commands
	mu      sync.Mutex
	jobs    map[*job]bool
	open    map[uint64]bool // pushes without their end
	gone    bool
	done    chan struct{}
}

const mostPiped = 64 // commands on one connection that wait for their answers

func newCache(w *World, n uint32, name string, zone int) *Cache {
	x := w.Exp.Caches
	c := &Cache{Number: n, Name: name, Zone: zone, w: w, conns: map[*link]bool{}, started: -1}
	cores := x.Cores
	if w.draw(uint64(n), 0, "kind") < x.Small {
		c.Small, cores = true, max(cores/2, 1)
	}
	c.station = &station{cores: cores, room: x.Queue}
	c.station.speed = func(int) float64 {
		slow, _, _, _, _, _ := c.Fault.get()
		return c.share() / max(slow, 1)
	}
	c.store = newStore(int(x.MemoryMB * (1 << 20)))
	return c
}

// share is the part of its capacity that a cache has by now.
func (c *Cache) share() float64 {
	x := c.w.Exp.Caches
	c.mu.Lock()
	started := c.started
	c.mu.Unlock()
	if started < 0 {
		return 1
	}
	return min(x.ColdFrom+(1-x.ColdFrom)*float64(c.w.Now()-started)/float64(max(x.WarmUp.Std(), 1)), 1)
}

// up starts the process: its listeners, its name in the list.
func (c *Cache) up(cold bool) error {
	if c.followed.Load() {
		return nil
	}
	c.mu.Lock()
	if c.alive {
		c.mu.Unlock()
		return nil
	}
	if cold {
		c.started = c.w.Now()
		c.store = newStore(c.store.most)
	}
	again := len(c.addrs) > 0
	for n, d := range c.w.doors() {
		addr := c.w.cacheHost(n, c.Number) + ":0"
		if again {
			addr = c.addrs[n]
		}
		l, err := c.w.listenAgain(addr, func(addr string) (net.Listener, error) {
			return c.w.listen(addr, d, ways.Endpoint{Site: c.Zone, Name: c.Name})
		})
		if err != nil {
			c.mu.Unlock()
			return fmt.Errorf("%s: %w", c.Name, err)
		}
		c.listeners = append(c.listeners, l)
		if again {
			c.addrs[n] = l.Addr().String()
		} else {
			c.addrs = append(c.addrs, l.Addr().String())
		}
		go c.accept(l, d.zone)
	}
	c.alive = true
	c.mu.Unlock()
	was := uint32(0)
	if cold {
		was = 1
	}
	c.w.Book.Append(ledger.Record{Kind: ledger.ServerStarted, At: c.w.Now(), A: c.Number, B: uint32(1000 * c.station.cores), C: was})
	c.w.Reg.set(c, ledger.StateActive)
	return nil
}

// down ends the process; its connections are reset. The list learns it by itself, late.
func (c *Cache) down(quiet bool) {
	c.mu.Lock()
	c.alive = false
	for _, l := range c.listeners {
		l.Close()
	}
	c.listeners = nil
	links := c.links()
	c.mu.Unlock()
	for _, l := range links {
		l.reset()
	}
	c.station.clear()
	if !quiet {
		c.w.Reg.set(c, ledger.StateOut)
	}
}

// Kill ends it without a word; Restart brings it back cold and empty under its id.
func (c *Cache) Kill()          { c.down(false) }
func (c *Cache) Restart() error { return c.up(true) }

// Drain lets the list say that it is leaving; it finishes what it has, and goes after a span.
func (c *Cache) Drain() { c.w.Reg.set(c, ledger.StateLeaving) }

// Alive tells whether its process runs.
func (c *Cache) Alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alive
}

// Reset resets all its connections.
func (c *Cache) Reset() {
	c.mu.Lock()
	links := c.links()
	c.mu.Unlock()
	for _, l := range links {
		l.reset()
	}
}

// Still lets it stand still for a span.
func (c *Cache) Still(span time.Duration) { c.station.hold(time.Now().Add(span)) }

// Flush voids a share of its copies, the same keys at every cache.
func (c *Cache) Flush(share float64) {
	c.mu.Lock()
	s := c.store
	c.mu.Unlock()
	s.flush(func(key string) bool { return c.w.draw(Number(key), 0, "flush") < share })
}

// Fill puts keys into it, as if it had been asked for them lately.
func (c *Cache) Fill(key string, size int) { c.store.put(key, size) }

// Connections are how many are open.
func (c *Cache) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

func (c *Cache) links() (links []*link) {
	for l := range c.conns {
		links = append(links, l)
	}
	return links
}

func (c *Cache) accept(l net.Listener, zone int) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		k := &link{c: c, nc: nc, number: c.w.conn(), zone: zone, answers: make(chan chan []byte, mostPiped), jobs: map[*job]bool{},
			open: map[uint64]bool{}, done: make(chan struct{})}
		c.mu.Lock()
		if !c.alive || len(c.conns) >= c.w.Exp.Caches.Connections {
			c.mu.Unlock()
			c.Refused.Add(1)
			k.reset()
			continue
		}
		c.conns[k] = true
		c.mu.Unlock()
		if work := c.w.Exp.Caches.Handshake.Std(); work > 0 {
			c.station.offer(&job{work: work, done: func() {}})
		}
		go k.write()
		go k.read()
	}
}

// reset ends a connection with a reset, as a process that dies does.
func (k *link) reset() {
	switch c := k.nc.(type) {
	case *ways.Conn:
		c.Abort()
		return
	case *net.TCPConn:
		c.SetLinger(0)
	}
	k.nc.Close()
}

// read takes commands; each counts from its last byte.
func (k *link) read() {
	defer k.end()
	r := redcon.NewReader(k.nc)
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
		k.c.take(k, cmd, answer)
	}
}

// write sends answers in the order of their commands.
func (k *link) write() {
	for {
		select {
		case answer := <-k.answers:
			select {
			case text := <-answer:
				if _, err := k.nc.Write(text); err != nil {
					k.nc.Close()
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
func (k *link) end() {
	k.nc.Close()
	k.c.mu.Lock()
	delete(k.c.conns, k)
	k.c.mu.Unlock()
	k.mu.Lock()
	k.gone = true
	jobs, open := k.jobs, k.open
	k.jobs, k.open = map[*job]bool{}, map[uint64]bool{}
	k.mu.Unlock()
	close(k.done)
	for j := range jobs {
		if cancel := k.c.w.Exp.Caches.Cancel; cancel != "none" {
			k.c.station.cancel(j, cancel == "all")
		}
	}
	for op := range open {
		k.c.w.Book.Append(ledger.Record{Kind: ledger.PushEnded, At: k.c.w.Now(), Op: op, A: k.c.Number, B: k.number, C: ledger.EndConnLost})
	}
}

// over books a push's end, once, and hands its answer to who writes; how long the way takes is added.
func (k *link) over(op uint64, how uint32, answer chan []byte, text string) {
	way := k.c.w.delay(k.zone, k.c.Zone)
	do := func() {
		k.mu.Lock()
		open := k.open[op]
		delete(k.open, op)
		k.mu.Unlock()
		if open {
			k.c.w.Book.Append(ledger.Record{Kind: ledger.PushEnded, At: k.c.w.Now(), Op: op, A: k.c.Number, B: k.number, C: how})
			answer <- []byte(text)
		}
	}
	if way > 0 {
		time.AfterFunc(way, do)
	} else {
		do()
	}
}

// words takes a list of names and values apart.
func words(props string) map[string]string {
	all := map[string]string{}
	for _, p := range strings.Split(props, ",") {
		name, value, _ := strings.Cut(p, "=")
		all[name] = value
	}
	return all
}

// Waiting is how much waits for its cores.
func (c *Cache) Waiting() int {
	_, waiting := c.station.load()
	return waiting
}
