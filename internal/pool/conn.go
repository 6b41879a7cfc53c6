package pool

import (
	"container/list"
	"errors"
	"net"
	"os"
	"time"

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/policy"
)

// conn is one connection. Its one goroutine writes an attempt and reads its answer; what comes while nothing is out is
// found by look before the next attempt is written.
type conn struct {
	pool    *Pool
	nc      net.Conn
	answers Answers
	work    chan *attempt
	out     []byte // what was last written; the goroutine's
	used    bool   // has served an attempt; the goroutine's

	// Under the pool's mutex.
	attempt *attempt      // nil: idle, or closed
	since   time.Time     // idle
	place   *list.Element // among the idle ones of all pools; nil: it is not idle
	gone    bool
}

// stage is how far an attempt has come.
type stage uint8

const (
	waiting stage = iota // for a connection: nothing of it is written
	writing
	written // our system has all of it
)

// attempt is one attempt of a request at the pool's server.
type attempt struct {
	request *engine.Request
	until   time.Time
	done    func(engine.Result)

	// Under the pool's mutex.
	on        *conn
	stage     stage
	cancelled bool
}

// take hands an attempt to a connection; the pool's mutex is held.
func (c *conn) take(a *attempt) {
	c.attempt, a.on = a, c
	c.work <- a // never blocks: one attempt at a time, and room for one
}

// abort closes a connection and has our system throw away what it still holds for the server; the pool's mutex is held. Danger: a
// server that hangs, or is cut off, would get that once it is back, long after the request's end.
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
	c.pool.shared.idle.remove(c)
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

// rest puts a connection with nothing out back; the pool's mutex is held.
func (c *conn) rest() {
	c.attempt = nil
	if c.pool.retired {
		c.close()
		return
	}
	c.since = time.Now()
	c.pool.idle = append(c.pool.idle, c)
	c.pool.shared.idle.add(c)
}

var (
	errUnasked   = errors.New("an answer to nothing")
	errPanic     = errors.New("panic")
	errCancelled = errors.New("cancelled before it was written")
)

// serve takes one attempt to its end.
func (c *conn) serve(a *attempt) {
	how := PartWritten
	defer func() {
		if fault := recover(); fault != nil {
			c.pool.panicked(fault)
			c.end(a, how, errPanic)
		}
	}()
	if c.stale() {
		c.replace(a)
		return
	}
	c.used = true
	if !c.begin(a) {
		c.end(a, how, errCancelled)
		return
	}
	passed, err := c.send(a)
	if errors.Is(err, deadline.ErrNoTime) {
		c.unsent(a, err)
		return
	}
	if err != nil {
		c.end(a, how, err)
		return
	}
	how = WholeWritten
	c.written(a)
	if err := c.wait(a, passed); err != nil {
		c.end(a, how, err)
		return
	}
	how = AnswerBegun
	res, keep, err := c.receive(a)
	if err != nil {
		c.end(a, how, err)
		return
	}
	if res.Body.Size == 0 {
		c.release(a, keep)
		a.done(res)
		return
	}
	c.release(a, c.pass(a, res))
}

// stale tells whether a connection that has served before was ended by its server, or holds what nobody asked for: an answer from
// there could be another request's.
func (c *conn) stale() bool { return c.used && c.look() != nil }

// replace sends an attempt, of which nothing has been written, over another connection than a stale one.
func (c *conn) replace(a *attempt) {
	p := c.pool
	p.shared.Stale.Add(1)
	p.mu.Lock()
	c.attempt, a.on = nil, nil
	c.close()
	p.mu.Unlock()
	p.start(a)
}

// begin tells whether an attempt is still wanted, and has it count as written from here on. Its client may have left while the
// engine is behind: what has not begun does not begin any more.
func (c *conn) begin(a *attempt) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if a.cancelled || a.request.Abandoned() {
		return false
	}
	a.stage = writing
	return true
}

// written notes that our system has all of an attempt.
func (c *conn) written(a *attempt) {
	c.pool.mu.Lock()
	a.stage = written
	c.pool.mu.Unlock()
	if c.pool.shared.OnAttemptWritten != nil && !a.request.Probe {
		c.pool.shared.OnAttemptWritten()
	}
}

// receive reads an attempt's answer, of which a byte is there.
func (c *conn) receive(a *attempt) (res engine.Result, keep bool, err error) {
	res, keep, err = c.answers.Read(a.request)
	if errors.Is(err, ErrSpoilt) {
		c.pool.shared.Spoilt.Add(1)
	}
	if err == nil && res.Outcome == policy.Errored && res.Err == nil {
		res.Err = errors.New("error from " + c.pool.addr)
	}
	return res, keep, err
}

// release ends an attempt's hold on its connection, which serves others where it may be kept.
func (c *conn) release(a *attempt, keep bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.attempt != a {
		return
	}
	if keep && c.answers.Rest() == 0 && !c.gone {
		c.rest()
		return
	}
	c.attempt = nil
	c.close()
}

var errUndelivered = errors.New("its last byte did not come to the server in time")

// wait waits for the first byte of the answer. Danger: of a value in parts much may lie in our system's buffer, for a server that hangs, and
// would come there with a deadline that is longer than what is left by then: so it is thrown away as that begins.
func (c *conn) wait(a *attempt, passed deadline.AttemptDeadline) error {
	if len(a.request.Parts) == 0 {
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

// unsent tells that nothing of an attempt was written; its connection serves others.
func (c *conn) unsent(a *attempt, err error) {
	c.pool.mu.Lock()
	if c.attempt == a && !c.gone {
		c.rest()
	}
	c.pool.mu.Unlock()
	c.pool.fail(a, PartWritten, err)
}

// end closes the connection and tells what became of the attempt that was out on it.
func (c *conn) end(a *attempt, how Progress, err error) {
	c.pool.mu.Lock()
	c.attempt = nil
	c.close()
	c.pool.mu.Unlock()
	c.pool.fail(a, how, err)
}
