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

const (
	// connectGrace is how long after SIGTERM a proxy still gets new connections. Open connections are used for as long as
	// they stay open.
	connectGrace = 300 * time.Millisecond
	// pingFailureDelay is how long after its first negative answer to PING a proxy still gets clients.
	pingFailureDelay = 200 * time.Millisecond
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// maxIdleConns is the largest number of idle connections per proxy.
	maxIdleConns = 256
)

// Proxy is a proxy instance as the balancer sees it. It may run several processes in turn.
type Proxy struct {
	Addr     string
	Zone     int
	Endpoint ways.Endpoint
	// Incarnation is the number of the process that was started last, unique over all proxies; 0 before the first start. It
	// is set just before the start, stays when the process ends, and is shared by the two processes of an upgrade.
	Incarnation atomic.Uint32

	mu           sync.Mutex
	diedAt       time.Time // zero if it is not known to have died
	pingFailedAt time.Time // first negative answer to PING since the last positive one; zero if there is none
	terminatedAt time.Time // when its process was first sent SIGTERM; zero if it was not
	idle         []*conn
	servingSince time.Time // when MarkUp was last called; zero before
	restarted    bool      // MarkUp was called more than once
}

// Balancer distributes clients' connections over proxies.
type Balancer struct {
	Proxies []*Proxy
	// ConnsOpened counts opened connections.
	ConnsOpened atomic.Int64
	// ConnsRefused counts connections that were not opened: the proxy was terminating, refused, or did not answer in time.
	ConnsRefused atomic.Int64

	// Links holds the faults of links between clients and proxies; nil if there are none.
	Links *ways.RuleTable

	exp *experiment.File
}

// NewBalancer returns a balancer for proxies.
func NewBalancer(exp *experiment.File, proxies []*Proxy) *Balancer {
	return &Balancer{exp: exp, Proxies: proxies}
}

// MarkDown records that the proxy's process is gone. The balancer reacts to it only after the
// experiment's DetectionDelay.
func (p *Proxy) MarkDown() {
	p.mu.Lock()
	p.diedAt = time.Now()
	p.mu.Unlock()
}

// MarkUp records that a process of the proxy serves.
func (p *Proxy) MarkUp() {
	p.mu.Lock()
	p.diedAt, p.terminatedAt = time.Time{}, time.Time{}
	p.restarted = !p.servingSince.IsZero()
	p.servingSince = time.Now()
	p.mu.Unlock()
}

// MarkTerminating records that the proxy's process was sent SIGTERM.
func (p *Proxy) MarkTerminating() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminatedAt.IsZero() {
		p.terminatedAt = time.Now()
	}
}

// excludedFromNewConns reports whether the balancer opens no new connections to the proxy, because its process was sent SIGTERM
// more than connectGrace ago. The caller holds the mutex.
func (p *Proxy) excludedFromNewConns() bool {
	return !p.terminatedAt.IsZero() && time.Since(p.terminatedAt) > connectGrace
}

// hasIdleConn reports whether an idle connection to the proxy is open. The caller holds the mutex.
func (p *Proxy) hasIdleConn() bool {
	return slices.ContainsFunc(p.idle, func(c *conn) bool { return !c.isClosed() })
}

// ProcessAge returns the time since the last MarkUp, and whether MarkUp was called before that.
func (p *Proxy) ProcessAge() (age time.Duration, restarted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.servingSince), p.restarted
}

// RecordPing records whether the proxy's answer to PING was positive.
func (p *Proxy) RecordPing(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		p.pingFailedAt = time.Time{}
	} else if p.pingFailedAt.IsZero() {
		p.pingFailedAt = time.Now()
	}
}

// IdleConns returns the number of open connections without an op in progress.
func (p *Proxy) IdleConns() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if !c.isClosed() {
			n++
		}
	}
	return n
}

// pick chooses a proxy by the random number choice: one in the client's zone if any is available there, else an available one
// in any zone, else any proxy. A proxy is not available if it is known to be dead, if it answers PING negatively, or if it gets
// no new connections and has no idle one. A hot-proxy fault that is active at the time at receives its share of the choices
// whatever the state of its proxy.
func (b *Balancer) pick(zone int, choice uint64, at time.Duration) *Proxy {
	for _, f := range b.exp.Faults {
		if f.Kind == "hot-proxy" && activeAt(f, at) && float64(Mix64(choice)>>11)/mantissaRange < f.Size {
			return b.Proxies[min(f.Count, len(b.Proxies)-1)] // Count of a hot-proxy fault is the index of the proxy
		}
	}
	var sameZone, available []*Proxy
	for _, p := range b.Proxies {
		p.mu.Lock()
		excluded := !p.diedAt.IsZero() && time.Since(p.diedAt) > b.exp.Balancer.DetectionDelay.Std() ||
			!p.pingFailedAt.IsZero() && time.Since(p.pingFailedAt) > pingFailureDelay || p.excludedFromNewConns() && !p.hasIdleConn()
		p.mu.Unlock()
		if excluded {
			continue
		}
		if available = append(available, p); p.Zone == zone {
			sameZone = append(sameZone, p)
		}
	}
	candidates := sameZone
	if len(candidates) == 0 {
		candidates = available
	}
	if len(candidates) == 0 {
		candidates = b.Proxies
	}
	return candidates[choice%uint64(len(candidates))]
}

var errTerminating = errors.New("no new connections are opened to a terminating proxy")

// clientEndpoint returns the endpoint of the clients in a zone.
func clientEndpoint(zone int) ways.Endpoint { return ways.Endpoint{Site: zone, Name: "clients"} }

// linkFaulty reports whether a link between a zone's clients and a proxy has a fault, so that an answer given in time may
// arrive late.
func (b *Balancer) linkFaulty(zone int, p *Proxy) bool {
	return b.Links != nil && b.Links.Faulty(clientEndpoint(zone), p.Endpoint)
}

// acquire returns an idle connection from a zone to a proxy, or opens one. Where links can have faults, which depend on the
// zone, an idle connection is used only by clients of the zone that opened it.
func (b *Balancer) acquire(p *Proxy, zone int, g *Generator) (*conn, error) {
	p.mu.Lock()
	for n := len(p.idle) - 1; n >= 0; n-- {
		c := p.idle[n]
		if b.Links != nil && c.zone != zone {
			continue
		}
		p.idle = slices.Delete(p.idle, n, n+1)
		if !c.isClosed() {
			p.mu.Unlock()
			return c, nil
		}
	}
	excluded := p.excludedFromNewConns()
	p.mu.Unlock()
	if excluded {
		b.ConnsRefused.Add(1)
		return nil, errTerminating
	}
	incarnationBefore := p.Incarnation.Load()
	var netConn net.Conn
	var err error
	if b.Links != nil {
		netConn, err = b.Links.Dial(clientEndpoint(zone), p.Endpoint, p.Addr, dialTimeout)
	} else {
		netConn, err = net.DialTimeout("tcp", p.Addr, dialTimeout)
	}
	if err != nil {
		b.ConnsRefused.Add(1)
		return nil, err
	}
	b.ConnsOpened.Add(1)
	// If the proxy was restarted during the dial, the connection is attributed to the new process, whose number is higher.
	c := &conn{netConn: netConn, proxy: p, zone: zone, incarnation: max(incarnationBefore, p.Incarnation.Load()), generator: g}
	go c.read()
	return c, nil
}

// release returns a connection without an op in progress to its proxy's idle connections, or closes it.
func (b *Balancer) release(c *conn) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	if len(c.proxy.idle) < maxIdleConns && !c.isClosed() {
		c.proxy.idle = append(c.proxy.idle, c)
	} else {
		c.netConn.Close()
	}
}
