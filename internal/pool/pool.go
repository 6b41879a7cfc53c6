// Package pool manages the connections to one server, a cache or the origin. Each connection carries one attempt at a time:
// cancelling an attempt closes its connection, which must not affect other attempts.
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

// reuseDelay is how long a connection stays unused after a response. A duplicate response, or the server's close of the connection,
// arrives up to some milliseconds after the response and is then detected before the next request is written. With a shorter
// delay, the next request on the connection could receive another request's value.
const reuseDelay = 10 * time.Millisecond

// Protocol encodes requests and decodes responses.
type Protocol interface {
	// AppendRequest appends an encoded request to b, with the deadline of this attempt. It omits a value longer than
	// engine.MaxInlineBytes: the caller inserts the request's pieces at valueOffset, which is 0 if there is nothing to insert.
	AppendRequest(b []byte, r *engine.Request, attemptDeadline deadline.AttemptDeadline) (encoded []byte, valueOffset int)
	// NewResponseReader returns a reader for the responses of one connection.
	NewResponseReader(r io.Reader) ResponseReader
}

// ErrInvalidResponse means that a response violates the protocol. The request may have been executed, and the connection can't be
// reused.
var ErrInvalidResponse = errors.New("invalid response")

// ResponseReader reads the responses of one connection.
type ResponseReader interface {
	// Wait blocks until at least one byte has arrived.
	Wait() error
	// ReadResponse reads one complete response. It must only be called after Wait has succeeded. keep reports whether the connection can
	// carry another attempt.
	ReadResponse(r *engine.Request) (res engine.Result, keep bool, err error)
	// StreamValue writes the value that the last result announced by its body's size to w, and reads the response to its end. If
	// the value is incomplete, it returns an error and leaves w open.
	StreamValue(w *io.PipeWriter) (keep bool, err error)
	// Buffered returns the number of bytes that have been received and not consumed.
	Buffered() int
}

// Pool holds the connections to one server. It implements engine.Server.
type Pool struct {
	shared   *Shared
	addr     string
	protocol Protocol

	mu      sync.Mutex
	idle    []*conn // the most recently used last
	retired bool
}

// New returns a pool for the server at addr. It opens no connection before the first attempt.
func New(shared *Shared, addr string, protocol Protocol) *Pool {
	p := &Pool{shared: shared, addr: addr, protocol: protocol}
	shared.setRegistered(p, true)
	return p
}

// Push makes an attempt on the most recently used idle connection whose reuse delay is over, or on a new connection.
func (p *Pool) Push(r *engine.Request, until time.Time, done func(engine.Result)) func(engine.AbortCondition) bool {
	r.Hold()
	a := &attempt{request: r, responseDeadline: until, complete: done}
	p.dispatch(a)
	return func(condition engine.AbortCondition) bool { return p.cancel(a, condition) }
}

// dispatch assigns an attempt to an idle connection, or starts to dial a new one.
func (p *Pool) dispatch(a *attempt) {
	cutoff := p.shared.idleCutoff(time.Now()) // lock order: the shared mutex before the pool's
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.cancelled {
		a.dropRequest()
		return
	}
	reusableBefore := time.Now().Add(-reuseDelay)
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.idleSince.Before(reusableBefore) && c.idleSince.After(cutoff) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.shared.idleConns.remove(c)
			c.assign(a)
			p.shared.Reused.Add(1)
			return
		}
	}
	go p.dialAndServe(a)
}

// cancel cancels an attempt if it meets the condition, and reports whether it is cancelled.
func (p *Pool) cancel(a *attempt, condition engine.AbortCondition) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.cancelled {
		return true
	}
	switch condition {
	case engine.IfUnwritten:
		if a.stage >= stageWriting {
			return false
		}
	case engine.IfUnsent:
		ended := a.conn != nil && a.conn.attempt != a // its result is about to be reported
		if ended || a.stage == stageWritten && !a.conn.hasUnackedData() {
			return false
		}
	}
	a.cancelled = true
	if c := a.conn; c != nil && c.attempt == a {
		// Closed before the next attempt of this request is written: the server counts a second copy while the first is still
		// pending on an open connection.
		c.abort()
	}
	return true
}

// fail reports the failure of an attempt.
func (p *Pool) fail(a *attempt, progress Progress, err error) {
	a.dropRequest()
	attemptErr := &AttemptError{progress, p.addr, err}
	a.complete(engine.Result{Outcome: attemptErr.Outcome(), Err: attemptErr})
}

// dialAndServe opens a connection for an attempt, and serves attempts on it until it is closed.
func (p *Pool) dialAndServe(a *attempt) {
	if !p.shared.reserveConn() {
		p.fail(a, NeverConnected, errNoDescriptor)
		return
	}
	netConn, err := net.DialTimeout("tcp", p.addr, p.shared.dialTimeout())
	if err != nil {
		p.shared.openConns.Add(-1)
		p.shared.DialFailures.Add(1)
		p.fail(a, NeverConnected, err)
		return
	}
	p.shared.Opened.Add(1)
	c := &conn{pool: p, netConn: netConn, responses: p.protocol.NewResponseReader(netConn), attempts: make(chan *attempt, 1)}
	p.mu.Lock()
	if a.cancelled {
		a.dropRequest()
		c.makeIdle() // kept for the next attempt
	} else {
		c.assign(a)
	}
	p.mu.Unlock()
	for a := range c.attempts {
		c.serve(a)
	}
}

// recordPanic logs and counts a recovered panic. Only the connection on which it occurred is closed.
func (p *Pool) recordPanic(recovered any) {
	p.shared.Panics.Add(1)
	p.shared.Log.Error().Interface("panic", recovered).Str("server", p.addr).Bytes("stack", debug.Stack()).
		Msg("panic on a connection to a server")
}

// Release closes the idle connections.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.idle[0].close()
	}
}

// Retire closes the idle connections immediately and each other connection when its attempt has ended.
func (p *Pool) Retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.Release()
	p.shared.setRegistered(p, false)
}
