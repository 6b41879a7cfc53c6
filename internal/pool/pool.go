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

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/policy"
)

// settle is how long a connection rests before it is used again: a second copy of an answer, or the server's end of
// the connection, comes up to some milliseconds behind the answer, and is then seen before anything is written. Danger: with
// less, the next op on it is given another op's value.
const settle = 10 * time.Millisecond

// Protocol is what requests and answers look like.
type Protocol interface {
	// Append adds a request as it goes out, with the deadline that this attempt passes on. A value in parts is left out:
	// it belongs at a place that gap gives, 0 where there is none.
	Append(b []byte, r *engine.Request, passed deadline.Passed) (out []byte, gap int)
	// Answers reads what comes over one connection.
	Answers(r io.Reader) Answers
}

// ErrSpoilt is an answer that is none. The request has run, or may have; the connection is of no further use.
var ErrSpoilt = errors.New("not an answer")

// Answers reads the answers of one connection.
type Answers interface {
	Wait() error // until at least a byte is there
	// Read takes one whole answer off. It is only called once a byte of it is there. keep: the connection can
	// serve another push.
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

// conn is one connection. Its one goroutine writes a push and reads its answer; what comes while nothing is out is
// found by look before the next push is written.
type conn struct {
	pool    *Pool
	nc      net.Conn
	answers Answers
	work    chan *push
	out     []byte // what was last written; the goroutine's
	used    bool   // has served a push; the goroutine's

	// Under the pool's mutex.
	push  *push     // nil: idle, or closed
	since time.Time // idle
	gone  bool
}

type push struct {
	request *engine.Request
	until   time.Time
	done    func(engine.Result)

	// Under the pool's mutex.
	on      *conn
	givenUp bool
	begun   bool // to be written
	whole   bool // our system has all of it
}

// New makes a pool; nothing is opened before the first push.
func New(shared *Shared, addr string, protocol Protocol) *Pool {
	p := &Pool{shared: shared, addr: addr, protocol: protocol}
	shared.list(p, true)
	return p
}

// Push sends a request on the most recently used idle connection that has settled, or on a new one.
func (p *Pool) Push(r *engine.Request, until time.Time, done func(engine.Result)) func(engine.When) bool {
	out := &push{request: r, until: until, done: done}
	p.start(out)
	return func(when engine.When) bool { return p.giveUp(out, when) }
}

func (p *Pool) start(out *push) {
	fresh := p.shared.fresh(time.Now()) // its mutex comes ahead of the pool's
	p.mu.Lock()
	defer p.mu.Unlock()
	if out.givenUp {
		return
	}
	settled := time.Now().Add(-settle)
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.since.Before(settled) && c.since.After(fresh) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			c.take(out)
			p.shared.Reused.Add(1)
			return
		}
	}
	go p.dial(out)
}

// take hands a push to a connection; the pool's mutex is held.
func (c *conn) take(out *push) {
	c.push, out.on = out, c
	c.work <- out // never blocks: one push at a time, and room for one
}

func (p *Pool) giveUp(out *push, when engine.When) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	over := out.on != nil && out.on.push != out // its result is under way
	if out.givenUp || when == engine.Unwritten && out.begun || when == engine.Unsent && (over || out.whole && !out.on.holds()) {
		return out.givenUp
	}
	out.givenUp = true
	if c := out.on; c != nil && c.push == out {
		// Before anything else is written for this op: the server would take a second copy while this one is
		// still out on an open connection.
		c.abort()
	}
	return true
}

// abort closes a connection and has our system throw away what it still holds for the server; the pool's mutex is held. Danger: a
// server that hangs, or is cut off, would get that once it is back, long after the op's end.
func (c *conn) abort() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.close()
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

func (p *Pool) dial(out *push) {
	if !p.shared.take() {
		p.fail(out, NeverConnected, errNoDescriptor)
		return
	}
	nc, err := net.DialTimeout("tcp", p.addr, p.shared.dial())
	if err != nil {
		p.shared.open.Add(-1)
		p.shared.Failed.Add(1)
		p.fail(out, NeverConnected, err)
		return
	}
	p.shared.Opened.Add(1)
	c := &conn{pool: p, nc: nc, answers: p.protocol.Answers(nc), work: make(chan *push, 1)}
	p.mu.Lock()
	if out.givenUp {
		c.rest() // made for nothing, so kept for the next
	} else {
		c.take(out)
	}
	p.mu.Unlock()
	for out := range c.work {
		c.serve(out)
	}
}

// rest puts a connection with nothing out back; the pool's mutex is held.
func (c *conn) rest() {
	c.push = nil
	if c.pool.retired {
		c.close()
		return
	}
	c.since = time.Now()
	c.pool.idle = append(c.pool.idle, c)
}

var (
	errUnasked = errors.New("an answer to nothing")
	errPanic   = errors.New("panic")
	errGivenUp = errors.New("given up before it was written")
)

// serve takes one push to its end.
func (c *conn) serve(out *push) {
	p, how := c.pool, PartWritten
	defer func() {
		if fault := recover(); fault != nil {
			p.panicked(fault)
			c.end(out, how, errPanic)
		}
	}()
	if err := c.look(); c.used && err != nil {
		// Ended by the server, or holding what nobody asked for: an answer from here could be another op's.
		// Nothing has been written, so the push goes over another connection.
		p.shared.Stale.Add(1)
		p.mu.Lock()
		c.push, out.on = nil, nil
		c.close()
		p.mu.Unlock()
		p.start(out)
		return
	}
	c.used = true
	p.mu.Lock()
	if out.givenUp || out.request.Left() {
		// Its client may have left while the engine is behind: what has not begun does not begin any more.
		p.mu.Unlock()
		c.end(out, how, errGivenUp)
		return
	}
	out.begun = true
	p.mu.Unlock()
	passed, err := c.send(out)
	if errors.Is(err, deadline.ErrNoTime) {
		c.unsent(out, err)
		return
	} else if err != nil {
		c.end(out, how, err)
		return
	}
	p.mu.Lock()
	out.whole = true
	p.mu.Unlock()
	how = WholeWritten
	if p.shared.Written != nil && !out.request.Probe {
		p.shared.Written()
	}
	if err := c.wait(out, passed); err != nil {
		c.end(out, how, err)
		return
	}
	how = AnswerBegun
	res, keep, err := c.answers.Read(out.request)
	if err != nil {
		if errors.Is(err, ErrSpoilt) {
			p.shared.Spoilt.Add(1)
		}
		c.end(out, how, err)
		return
	}
	if res.Outcome == policy.Errored && res.Err == nil {
		res.Err = errors.New("error from " + p.addr)
	}
	if res.Body.Size > 0 {
		keep = c.pass(out, res)
	}
	p.mu.Lock()
	if c.push == out {
		if keep && c.answers.Rest() == 0 && !c.gone {
			c.rest()
		} else {
			c.push = nil
			c.close()
		}
	}
	p.mu.Unlock()
	if res.Body.Size == 0 {
		out.done(res)
	}
}

// alwaysHeld is the size of a request that our system takes at once, as nothing else is on its way there: the least buffer of a socket.
const alwaysHeld = 4 << 10

// keptBuffer is the largest buffer for requests that an idle connection keeps.
const keptBuffer = 16 << 10

// send writes a request. The deadline that it passes on is computed here, right ahead of the write, and nowhere else; a write
// that does not end in the time that was left out of it is broken off.
func (c *conn) send(out *push) (passed deadline.Passed, err error) {
	r := out.request
	if !r.Probe {
		how := deadline.Held
		if len(r.Parts) > 0 {
			how = deadline.Parts
		}
		if passed, err = r.Deadline.Pass(time.Now(), out.until, how); err != nil {
			return passed, err
		}
	}
	var gap int
	c.out, gap = c.pool.protocol.Append(c.out[:0], r, passed)
	if slow := r.Size()+len(c.out) > alwaysHeld; slow && !r.Probe {
		c.nc.SetWriteDeadline(passed.WriteBy())
		defer c.nc.SetWriteDeadline(time.Time{})
	}
	err = c.write(r, gap)
	if cap(c.out) > keptBuffer {
		c.out = nil
	}
	return passed, err
}

var errUndelivered = errors.New("its last byte did not come to the server in time")

// wait waits for the first byte of the answer. Danger: of a value in parts much may lie in our system's buffer, for a server that hangs, and
// would come there with a deadline that is longer than what is left by then: so it is thrown away as that begins.
func (c *conn) wait(out *push, passed deadline.Passed) error {
	if len(out.request.Parts) == 0 {
		return c.answers.Wait()
	}
	c.nc.SetReadDeadline(passed.WriteBy())
	err := c.answers.Wait()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.nc.SetReadDeadline(time.Time{})
		return err
	}
	c.pool.mu.Lock()
	if c.holds() {
		c.abort()
		c.pool.mu.Unlock()
		return errUndelivered
	}
	c.pool.mu.Unlock()
	c.nc.SetReadDeadline(time.Time{})
	return c.answers.Wait()
}

// write writes a request, with a value in parts put into its gap.
func (c *conn) write(r *engine.Request, gap int) error {
	if gap == 0 {
		n, err := c.nc.Write(c.out)
		if n < len(c.out) && err == nil {
			err = io.ErrShortWrite
		}
		return err
	}
	all := append(append(net.Buffers{c.out[:gap]}, r.Parts...), c.out[gap:])
	_, err := all.WriteTo(c.nc)
	return err
}

// unsent tells that nothing of a push was written; its connection serves others.
func (c *conn) unsent(out *push, err error) {
	c.pool.mu.Lock()
	if c.push == out && !c.gone {
		c.rest()
	}
	c.pool.mu.Unlock()
	c.pool.fail(out, PartWritten, err)
}

// stalled is how long a server may give nothing of a value that it has begun.
const stalled = 3 * time.Second

// pass hands a value on as it comes. The push has its outcome with the head: from there on only the client's own reading
// and the server's giving decide how it ends.
func (c *conn) pass(out *push, res engine.Result) (keep bool) {
	p := c.pool
	p.mu.Lock()
	if out.givenUp { // as its head came
		p.mu.Unlock()
		return false
	}
	p.mu.Unlock()
	r, w := io.Pipe()
	res.Body.ReadCloser = r
	p.shared.Passed.Add(1)
	out.done(res)
	keep, err := c.answers.Pass(w)
	if errors.Is(err, io.EOF) { // to w it would be the value's own end
		err = io.ErrUnexpectedEOF
	}
	w.CloseWithError(err) // nil: the end
	c.nc.SetReadDeadline(time.Time{})
	if err != nil {
		p.shared.CutOff.Add(1)
		p.shared.Log.Debug().Err(err).Str("server", p.addr).Msg("a value passed on in part")
	}
	return keep && err == nil
}

// patient reads with a bound on each wait.
type patient struct{ net.Conn }

// Patiently gives what bounds the waits for a value that has begun; a reader without deadlines is as it is.
func Patiently(r io.Reader) io.Reader {
	if c, ok := r.(net.Conn); ok {
		return patient{c}
	}
	return r
}

func (p patient) Read(b []byte) (int, error) {
	p.SetReadDeadline(time.Now().Add(stalled))
	return p.Conn.Read(b)
}

// panicked logs and counts a panic, which ends no more than the connection that it happened on.
func (p *Pool) panicked(fault any) {
	p.shared.Panics.Add(1)
	p.shared.Log.Error().Interface("panic", fault).Str("server", p.addr).Bytes("stack", debug.Stack()).
		Msg("panic on a connection to a server")
}

// end closes the connection and tells what became of the push that was out on it.
func (c *conn) end(out *push, how Progress, err error) {
	c.pool.mu.Lock()
	c.push = nil
	c.close()
	c.pool.mu.Unlock()
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
