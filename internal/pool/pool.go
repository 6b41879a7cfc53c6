// Package pool holds the connections to one server, a cache or the origin, one push at a time on each: giving a
// push up means closing its connection, and that must not break other pushes.
package pool

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"minttray/internal/engine"
	"minttray/policy"
)

const moment = 20 * time.Millisecond // for a goroutine to note that its write has returned

// Protocol is what requests and answers look like.
type Protocol interface {
	// Append adds a request as it goes out; left is how long its answer will be waited for.
	Append(b []byte, r *engine.Request, left time.Duration) []byte
	// Answers reads what comes over one connection.
	Answers(r io.Reader) Answers
}

// Answers reads the answers of one connection.
type Answers interface {
	Wait() error // until at least a byte is there
	// Read takes one whole answer off. It is only called once a byte of it is there. keep: the connection can
	// serve another push.
	Read(r *engine.Request) (res engine.Result, keep bool, err error)
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

type conn struct {
	pool    *Pool
	nc      net.Conn
	answers Answers
	work    chan *push

	// Under the pool's mutex.
	push  *push     // nil: idle, or closed
	since time.Time // idle
	gone  bool
}

type push struct {
	request *engine.Request
	until   time.Time
	done    func(engine.Result)
	written chan struct{} // closed once writing has ended, one way or the other
	whole   bool          // valid then
	err     error         // valid then

	// Under the pool's mutex.
	on      *conn
	givenUp bool
}

// New makes a pool; nothing is opened before the first push.
func New(shared *Shared, addr string, protocol Protocol) *Pool {
	p := &Pool{shared: shared, addr: addr, protocol: protocol}
	shared.list(p, true)
	return p
}

// Push sends a request on the most recently used idle connection, or on a new one.
func (p *Pool) Push(r *engine.Request, until time.Time, done func(engine.Result)) func() {
	out := &push{request: r, until: until, done: done, written: make(chan struct{})}
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		c.take(out)
		p.mu.Unlock()
		p.shared.Reused.Add(1)
	} else {
		p.mu.Unlock()
		go p.dial(out)
	}
	return func() { p.giveUp(out) }
}

// take hands a push to a connection; the pool's mutex is held.
func (c *conn) take(out *push) {
	c.push, out.on = out, c
	c.nc.SetReadDeadline(time.Time{})
	c.work <- out // never blocks: one push at a time, and room for one
}

func (p *Pool) giveUp(out *push) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if out.givenUp {
		return
	}
	out.givenUp = true
	if c := out.on; c != nil && c.push == out {
		// Before anything else is written for this op: the server would take a second copy while this one is
		// still out on an open connection.
		c.close()
	}
}

// close closes a connection for good; the pool's mutex is held.
func (c *conn) close() {
	if c.gone {
		return
	}
	c.gone = true
	for i, o := range c.pool.idle {
		if o == c {
			c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
			break
		}
	}
	c.nc.Close()
	close(c.work)
	c.pool.shared.open.Add(-1)
}

func (p *Pool) fail(out *push, how Progress, err error) {
	f := &Fault{how, p.addr, err}
	out.done(engine.Result{Outcome: f.Outcome(), Err: f})
}

var errNoDescriptor = errors.New("no descriptor left for servers")

func (p *Pool) dial(out *push) {
	if !p.shared.take() {
		p.fail(out, NeverConnected, errNoDescriptor)
		return
	}
	nc, err := net.DialTimeout("tcp", p.addr, p.shared.Dial)
	if err != nil {
		p.shared.open.Add(-1)
		p.shared.Failed.Add(1)
		p.fail(out, NeverConnected, err)
		return
	}
	p.shared.Opened.Add(1)
	c := &conn{pool: p, nc: nc, answers: p.protocol.Answers(nc), work: make(chan *push, 1)}
	go c.write()
	p.mu.Lock()
	if out.givenUp {
		c.rest() // made for nothing, so kept for the next
	} else {
		c.take(out)
	}
	p.mu.Unlock()
	c.read()
}

// rest puts a connection with nothing out back; the pool's mutex is held.
func (c *conn) rest() {
	c.push = nil
	if c.pool.retired {
		c.close()
		return
	}
	c.since = time.Now()
	if idle := c.pool.shared.Idle; idle > 0 {
		// Closed by us well before the server does: a push written as it closes counts as one that may have run.
		c.nc.SetReadDeadline(c.since.Add(idle * 9 / 10))
	}
	c.pool.idle = append(c.pool.idle, c)
}

// write writes the pushes that the connection is handed. It reports nothing: if a write fails, it closes the
// connection, and the reader tells what became of the push.
func (c *conn) write() {
	var b []byte
	for out := range c.work {
		if b = c.send(out, b[:0]); cap(b) > 16<<10 {
			b = nil
		}
	}
}

func (c *conn) send(out *push, b []byte) []byte {
	defer close(out.written) // in any case: the reader waits for it
	defer func() {
		if fault := recover(); fault != nil {
			c.pool.panicked(fault)
			out.err = errPanic
		}
		if out.err != nil {
			c.nc.Close()
		}
	}()
	b = c.pool.protocol.Append(b, out.request, time.Until(out.until))
	n, err := c.nc.Write(b)
	out.whole, out.err = n == len(b), err
	return b
}

// panicked logs and counts a panic, which ends no more than the connection that it happened on.
func (p *Pool) panicked(fault any) {
	p.shared.Panics.Add(1)
	p.shared.Log.Error().Interface("panic", fault).Str("server", p.addr).Bytes("stack", debug.Stack()).
		Msg("panic on a connection to a server")
}

var (
	errUnasked = errors.New("an answer to nothing")
	errPanic   = errors.New("panic")
)

// read takes what comes, until the connection ends.
func (c *conn) read() {
	p := c.pool
	var out *push
	defer func() {
		if fault := recover(); fault != nil {
			p.panicked(fault)
			c.end(AnswerBegun, errPanic)
		}
	}()
	for {
		err := c.answers.Wait()
		p.mu.Lock()
		out = c.push
		if out != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			p.mu.Unlock()
			continue // its idle time ran out just as it was taken for a push
		}
		p.mu.Unlock()
		if err != nil {
			c.end(WholeWritten, err)
			return
		}
		if out == nil {
			c.end(WholeWritten, errUnasked)
			return
		}
		res, keep, err := c.answers.Read(out.request)
		if err != nil {
			c.end(AnswerBegun, err)
			return
		}
		if res.Outcome == policy.Errored && res.Err == nil {
			res.Err = errors.New("error from " + p.addr)
		}
		// An answer that overtook its own request can't be trusted, nor the connection it came on.
		keep = keep && c.answers.Rest() == 0 && out.hasWritten()
		p.mu.Lock()
		if c.push == out {
			if keep && !c.gone {
				c.rest()
			} else {
				c.push = nil
				c.close()
			}
		}
		ended := c.gone
		p.mu.Unlock()
		out.done(res)
		if ended {
			return
		}
	}
}

// hasWritten tells whether the request went out whole. The writer may be a moment behind a quick answer.
func (out *push) hasWritten() bool {
	select {
	case <-out.written:
		return out.whole
	default:
	}
	select {
	case <-out.written:
		return out.whole
	case <-time.After(moment):
		return false
	}
}

// end closes the connection and tells what became of the push that was out on it.
func (c *conn) end(how Progress, err error) {
	c.pool.mu.Lock()
	out := c.push
	c.push = nil
	c.close()
	c.pool.mu.Unlock()
	if out == nil {
		return
	}
	<-out.written // closing has ended a write that hung
	if how < AnswerBegun && !out.whole {
		how = PartWritten
	}
	if out.err != nil {
		err = out.err
	}
	c.pool.fail(out, how, err)
}

// Release closes idle connections.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.idle[0].close()
	}
}

// Retire closes idle connections now and the others once their push has ended.
func (p *Pool) Retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.Release()
	p.shared.list(p, false)
}
