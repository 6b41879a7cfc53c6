package pool

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/policy"
)

// conn is one connection. A single goroutine writes each attempt and reads its response. Data that arrives on an idle
// connection is detected by checkIdle before the next attempt is written, or by Shared.CloseExpired.
type conn struct {
	pool      *Pool
	netConn   net.Conn
	responses ResponseReader
	attempts  chan *attempt // the attempt to serve next; closed with the connection

	// Used by the serving goroutine only.
	writeBuffer []byte // the last request written
	used        bool   // an attempt was taken up, whether or not it was written

	// Guarded by the pool's mutex.
	attempt     *attempt      // nil: idle or closed
	idleSince   time.Time     // valid while idle
	idleElement *list.Element // in the idle list of all pools; nil: not idle
	closed      bool
}

// stage is how far an attempt has been written.
type stage uint8

const (
	stageWaiting stage = iota // nothing is written yet: no connection is assigned, or the write has not begun
	stageWriting
	stageWritten // the kernel has accepted all of it
)

// attempt is one attempt of a request at the pool's server.
type attempt struct {
	request          *engine.Request
	responseDeadline time.Time           // until when the response is waited for
	complete         func(engine.Result) // reports the result

	// Guarded by the pool's mutex.
	conn      *conn
	stage     stage
	cancelled bool

	requestDropped atomic.Bool
}

// dropRequest records that the attempt no longer reads its request's value: it has been written, or never will be. Further calls
// have no effect.
func (a *attempt) dropRequest() {
	if !a.requestDropped.Swap(true) {
		a.request.Drop()
	}
}

// assign hands an attempt to a connection. The caller holds the pool's mutex.
func (c *conn) assign(a *attempt) {
	c.attempt, a.conn = a, c
	c.attempts <- a // never blocks: a connection has one attempt at a time, and the channel has room for one
}

// abort closes a connection and makes the kernel discard the unsent data. Otherwise a server that hangs or is disconnected would
// receive the request when it recovers, long after the request has ended. The caller holds the pool's mutex.
func (c *conn) abort() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.close()
}

// close closes a connection. Further calls have no effect. The caller holds the pool's mutex.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.shared.idleConns.remove(c)
	for i, idle := range c.pool.idle {
		if idle == c {
			c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
			break
		}
	}
	c.netConn.Close()
	close(c.attempts)
	c.pool.shared.openConns.Add(-1)
}

// makeIdle returns a connection without a pending attempt to the pool, or closes it if the pool is retired. The caller holds the pool's
// mutex.
func (c *conn) makeIdle() {
	c.attempt = nil
	if c.pool.retired {
		c.close()
		return
	}
	c.idleSince = time.Now()
	c.pool.idle = append(c.pool.idle, c)
	c.pool.shared.idleConns.add(c)
}

var (
	errUnsolicitedData = errors.New("data received while no request was pending")
	errPanic           = errors.New("panic")
	errCancelled       = errors.New("no longer wanted before it was written")
	errNotDelivered    = errors.New("the server's kernel did not acknowledge the whole request in time")
)

// serve processes one attempt from its request to the end of its response.
func (c *conn) serve(a *attempt) {
	progress := PartlyWritten
	defer func() {
		if recovered := recover(); recovered != nil {
			c.pool.recordPanic(recovered)
			c.closeAndFail(a, progress, errPanic)
		}
	}()
	if c.isStale() {
		c.replaceStale(a)
		return
	}
	c.used = true
	if !c.beginWrite(a) {
		c.closeAndFail(a, progress, errCancelled)
		return
	}
	attemptDeadline, err := c.send(a)
	a.dropRequest()
	if errors.Is(err, deadline.ErrNoTime) {
		c.failUnwritten(a, err)
		return
	}
	if err != nil {
		c.closeAndFail(a, progress, err)
		return
	}
	progress = FullyWritten
	c.markWritten(a)
	if err := c.awaitResponse(a, attemptDeadline); err != nil {
		c.closeAndFail(a, progress, err)
		return
	}
	progress = ResponseStarted
	res, keep, err := c.readResponse(a)
	if err != nil {
		c.closeAndFail(a, progress, err)
		return
	}
	if res.Body.Size == 0 {
		c.release(a, keep)
		a.complete(res)
		return
	}
	c.serveValue(a, res)
}

// isStale reports whether a connection that was used before has been closed by its server or holds unsolicited data, which could be
// the response to another request.
func (c *conn) isStale() bool { return c.used && c.checkIdle() != nil }

// replaceStale closes a stale connection and dispatches its attempt, of which nothing has been written, to another one.
func (c *conn) replaceStale(a *attempt) {
	p := c.pool
	p.shared.StaleConns.Add(1)
	p.mu.Lock()
	c.attempt, a.conn = nil, nil
	c.close()
	p.mu.Unlock()
	p.dispatch(a)
}

// beginWrite marks an attempt as being written and returns true, or returns false if it is no longer wanted: it was cancelled, or its
// client has disconnected and the engine has not processed that yet.
func (c *conn) beginWrite(a *attempt) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if a.cancelled || a.request.Abandoned() {
		return false
	}
	a.stage = stageWriting
	return true
}

// markWritten records that the kernel has accepted all of an attempt.
func (c *conn) markWritten(a *attempt) {
	c.pool.mu.Lock()
	a.stage = stageWritten
	c.pool.mu.Unlock()
	if c.pool.shared.OnAttemptWritten != nil && !a.request.Probe {
		c.pool.shared.OnAttemptWritten()
	}
}

// readResponse reads an attempt's response, of which at least a byte has arrived.
func (c *conn) readResponse(a *attempt) (res engine.Result, keep bool, err error) {
	res, keep, err = c.responses.ReadResponse(a.request)
	if errors.Is(err, ErrInvalidResponse) {
		c.pool.shared.InvalidResponses.Add(1)
	}
	if err == nil && res.Outcome == policy.Errored && res.Err == nil {
		res.Err = errors.New("error from " + c.pool.addr)
	}
	return res, keep, err
}

// release detaches an attempt from its connection, which becomes idle if it can be reused and is closed otherwise.
func (c *conn) release(a *attempt, keep bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.attempt != a {
		return
	}
	if keep && c.responses.Buffered() == 0 && !c.closed {
		c.makeIdle()
		return
	}
	c.attempt = nil
	c.close()
}

// awaitResponse waits for the first byte of the response. The request carries a deadline that was computed when it was written. If the
// server hangs, much of a value in parts may still be in the kernel's send buffer, and would arrive when the sent deadline exceeds the
// client's remaining time. That is the case after attemptDeadline.WriteBy(), so the attempt is aborted if data is unacknowledged then.
func (c *conn) awaitResponse(a *attempt, attemptDeadline deadline.AttemptDeadline) error {
	if len(a.request.Parts) == 0 {
		return c.responses.Wait()
	}
	c.netConn.SetReadDeadline(attemptDeadline.WriteBy()) // the read deadline serves as the timer of the acknowledgement
	err := c.responses.Wait()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.netConn.SetReadDeadline(time.Time{})
		return err
	}
	c.pool.mu.Lock()
	if c.hasUnackedData() {
		c.abort()
		c.pool.mu.Unlock()
		return errNotDelivered
	}
	c.pool.mu.Unlock()
	c.netConn.SetReadDeadline(time.Time{})
	return c.responses.Wait()
}

// failUnwritten reports the failure of an attempt of which nothing was written. Its connection becomes idle if it is still open and
// assigned to the attempt.
func (c *conn) failUnwritten(a *attempt, err error) {
	c.pool.mu.Lock()
	if c.attempt == a && !c.closed {
		c.makeIdle()
	}
	c.pool.mu.Unlock()
	c.pool.fail(a, PartlyWritten, err)
}

// closeAndFail closes the connection and reports the failure of its attempt.
func (c *conn) closeAndFail(a *attempt, progress Progress, err error) {
	c.pool.mu.Lock()
	c.attempt = nil
	c.close()
	c.pool.mu.Unlock()
	c.pool.fail(a, progress, err)
}
