// Package pool holds the connections to one server, a cache or the origin, one attempt at a time on each:
// cancelling an attempt means closing its connection, and that must not break others.
package pool

import (
	"errors"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"minttray/internal/deadline"
	"minttray/internal/engine"
)

// settle is how long a connection rests before it is used again: a second copy of an answer, or the server's end of
// the connection, comes up to some milliseconds behind the answer, and is then seen before anything is written. Danger: with
// less, the next request on it is given another's value.
const settle = 10 * time.Millisecond

// Protocol is what requests and answers look like.
type Protocol interface {
	// Append adds a request as it goes out, with the deadline that this attempt passes on. A value in parts is left out:
	// it belongs at a place that gap gives, 0 where there is none.
	Append(b []byte, r *engine.Request, passed deadline.AttemptDeadline) (out []byte, gap int)
	// Answers reads what comes over one connection.
	Answers(r io.Reader) Answers
}

// ErrSpoilt is an answer that is none. The request has run, or may have; the connection is of no further use.
var ErrSpoilt = errors.New("not an answer")

// Answers reads the answers of one connection.
type Answers interface {
	Wait() error // until at least a byte is there
	// Read takes one whole answer off. It is only called once a byte of it is there. keep: the connection can
	// serve another attempt.
	Read(r *engine.Request) (res engine.Result, keep bool, err error)
	// Pass writes the value that the last result announced by its body's size, and reads the answer to its end. An error
	// comes before the value's end is said to w.
	Pass(w *io.PipeWriter) (keep bool, err error)
	Rest() int // bytes that have come and not been taken
}

// Pool is a Server.
type Pool struct {
	shared   *Shared
	addr     string
	protocol Protocol

	mu      sync.Mutex
	idle    []*conn // the most recently used last
	retired bool
}

// New makes a pool; nothing is opened before the first attempt.
func New(shared *Shared, addr string, protocol Protocol) *Pool {
	p := &Pool{shared: shared, addr: addr, protocol: protocol}
	shared.list(p, true)
	return p
}

// Push makes an attempt on the most recently used idle connection that has settled, or on a new one.
func (p *Pool) Push(r *engine.Request, until time.Time, done func(engine.Result)) func(engine.AbortCondition) bool {
	a := &attempt{request: r, until: until, done: done}
	p.start(a)
	return func(when engine.AbortCondition) bool { return p.cancel(a, when) }
}

// start hands an attempt to a connection, or has one made for it.
func (p *Pool) start(a *attempt) {
	fresh := p.shared.fresh(time.Now()) // its mutex comes ahead of the pool's
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.cancelled {
		return
	}
	settled := time.Now().Add(-settle)
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.since.Before(settled) && c.since.After(fresh) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.shared.idle.remove(c)
			c.take(a)
			p.shared.Reused.Add(1)
			return
		}
	}
	go p.dial(a)
}

// cancel cancels an attempt that has come no further than when says, and tells whether it is cancelled.
func (p *Pool) cancel(a *attempt, when engine.AbortCondition) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.cancelled {
		return true
	}
	switch when {
	case engine.IfUnwritten:
		if a.stage >= writing {
			return false
		}
	case engine.IfUnsent:
		over := a.on != nil && a.on.attempt != a // its result is under way
		if over || a.stage == written && !a.on.holds() {
			return false
		}
	}
	a.cancelled = true
	if c := a.on; c != nil && c.attempt == a {
		// Before anything else is written for this request: the server would take a second copy while this one is
		// still out on an open connection.
		c.abort()
	}
	return true
}

// fail tells how far an attempt had come as it failed.
func (p *Pool) fail(a *attempt, how Progress, err error) {
	f := &Fault{how, p.addr, err}
	a.done(engine.Result{Outcome: f.Outcome(), Err: f})
}

// dial makes a connection for an attempt, and serves on it until it is closed.
func (p *Pool) dial(a *attempt) {
	if !p.shared.take() {
		p.fail(a, NeverConnected, errNoDescriptor)
		return
	}
	nc, err := net.DialTimeout("tcp", p.addr, p.shared.dial())
	if err != nil {
		p.shared.open.Add(-1)
		p.shared.Failed.Add(1)
		p.fail(a, NeverConnected, err)
		return
	}
	p.shared.Opened.Add(1)
	c := &conn{pool: p, nc: nc, answers: p.protocol.Answers(nc), work: make(chan *attempt, 1)}
	p.mu.Lock()
	if a.cancelled {
		c.rest() // made for nothing, so kept for the next
	} else {
		c.take(a)
	}
	p.mu.Unlock()
	for a := range c.work {
		c.serve(a)
	}
}

// panicked logs and counts a panic, which ends no more than the connection that it happened on.
func (p *Pool) panicked(fault any) {
	p.shared.Panics.Add(1)
	p.shared.Log.Error().Interface("panic", fault).Str("server", p.addr).Bytes("stack", debug.Stack()).
		Msg("panic on a connection to a server")
}

// Release closes idle connections.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.idle[0].close()
	}
}

// Retire closes idle connections now and the others once their attempt has ended.
func (p *Pool) Retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.Release()
	p.shared.list(p, false)
}
