package load

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/ways"
)

// Proxy is one instance as the front layer knows it.
type Proxy struct {
	Addr string
	Zone int
	Endpoint  ways.Endpoint
	Incarnation atomic.Uint32 // which of its processes serves now, over all proxies; 0: none does

	mu   sync.Mutex
	died time.Time // zero: not known to have died
	away time.Time // since when it sends clients away; zero: it does not
	term time.Time // since when its process is to end; zero: it is not
	idle []*conn
	born time.Time // when its process began to serve
	next bool      // that one is not its first
}

// Balancer deals connections to proxies.
type Balancer struct {
	Proxies []*Proxy
	ConnsOpened  atomic.Int64
	ConnsRefused atomic.Int64 // connections that a proxy's machine refused, or nobody answered

	Links *ways.RuleTable // between clients and proxies; nil: nothing is wrong with them

	exp *experiment.File
}

// NewBalancer makes one for proxies.
func NewBalancer(exp *experiment.File, proxies []*Proxy) *Balancer {
	return &Balancer{exp: exp, Proxies: proxies}
}

// MarkDown tells that a proxy's process is gone; the front notices only later.
func (p *Proxy) MarkDown() {
	p.mu.Lock()
	p.died = time.Now()
	p.mu.Unlock()
}

// MarkUp tells that a process of it serves.
func (p *Proxy) MarkUp() {
	p.mu.Lock()
	p.died, p.term = time.Time{}, time.Time{}
	p.next = !p.born.IsZero()
	p.born = time.Now()
	p.mu.Unlock()
}

// MarkTerminating tells that its process has been sent SIGTERM.
func (p *Proxy) MarkTerminating() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term.IsZero() {
		p.term = time.Now()
	}
}

// connectable is how long after SIGTERM new connections go on coming; those that are open are used for as long as they stay so.
const connectable = 300 * time.Millisecond

// closed tells whether clients make no new connections to it; the mutex is held.
func (p *Proxy) closed() bool { return !p.term.IsZero() && time.Since(p.term) > connectable }

// reachable tells whether one of its idle connections stands; the mutex is held.
func (p *Proxy) reachable() bool {
	return slices.ContainsFunc(p.idle, func(c *conn) bool { return !c.ended() })
}

// Age is how long its process has served; again: it is not the first.
func (p *Proxy) Age() (age time.Duration, again bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.born), p.next
}

// stillComing is how long after its first no a proxy gets clients all the same.
const stillComing = 200 * time.Millisecond

// RecordPing takes what PING was answered.
func (p *Proxy) RecordPing(yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if yes {
		p.away = time.Time{}
	} else if p.away.IsZero() {
		p.away = time.Now()
	}
}

// IdleConns is how many connections to it are open with nothing out.
func (p *Proxy) IdleConns() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if !c.ended() {
			n++
		}
	}
	return n
}

// pick chooses a proxy: one of the client's zone, unless it is known to be dead or sends clients away.
func (f *Balancer) pick(zone int, chance uint64, at time.Duration) *Proxy {
	for _, x := range f.exp.Faults {
		if x.Kind == "hot-proxy" && during(x, at) && float64(Mix(chance)>>11)/(1<<53) < x.Size {
			return f.Proxies[min(x.Count, len(f.Proxies)-1)]
		}
	}
	var near, all []*Proxy
	for _, p := range f.Proxies {
		p.mu.Lock()
		known := !p.died.IsZero() && time.Since(p.died) > f.exp.Balancer.DetectionDelay.Std() ||
			!p.away.IsZero() && time.Since(p.away) > stillComing || p.closed() && !p.reachable()
		p.mu.Unlock()
		if known {
			continue
		}
		if all = append(all, p); p.Zone == zone {
			near = append(near, p)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		near = f.Proxies
	}
	return near[chance%uint64(len(near))]
}

const mostIdle = 256

var errClosed = errors.New("its process is ending")

// near is a client's end of its ways.
func near(zone int) ways.Endpoint { return ways.Endpoint{Site: zone, Name: "clients"} }

// broken tells whether something is wrong with the ways between a zone's clients and a proxy: then an answer in time may come late.
func (f *Balancer) broken(zone int, p *Proxy) bool {
	return f.Links != nil && f.Links.Faulty(near(zone), p.Endpoint)
}

// dial gives an idle connection from a zone to a proxy, or a new one.
func (f *Balancer) dial(p *Proxy, zone int, l *Load) (*conn, error) {
	p.mu.Lock()
	for n := len(p.idle) - 1; n >= 0; n-- {
		c := p.idle[n]
		if f.Links != nil && c.zone != zone {
			continue
		}
		p.idle = slices.Delete(p.idle, n, n+1)
		if !c.ended() {
			p.mu.Unlock()
			return c, nil
		}
	}
	closed := p.closed()
	p.mu.Unlock()
	if closed {
		f.ConnsRefused.Add(1)
		return nil, errClosed
	}
	life := p.Incarnation.Load()
	var nc net.Conn
	var err error
	if f.Links != nil {
		nc, err = f.Links.Dial(near(zone), p.Endpoint, p.Addr, time.Second)
	} else {
		nc, err = net.DialTimeout("tcp", p.Addr, time.Second)
	}
	if err != nil {
		f.ConnsRefused.Add(1)
		return nil, err
	}
	f.ConnsOpened.Add(1)
	c := &conn{nc: nc, proxy: p, zone: zone, life: max(life, p.Incarnation.Load()), load: l}
	go c.read()
	return c, nil
}

// back takes a connection with nothing out.
func (f *Balancer) back(c *conn) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	if len(c.proxy.idle) < mostIdle && !c.ended() {
		c.proxy.idle = append(c.proxy.idle, c)
	} else {
		c.nc.Close()
	}
}
