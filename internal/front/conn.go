package front

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"minttray/internal/buffer"
	"minttray/internal/engine"
)

const (
	// maxOutstandingCommands bounds the commands of one connection whose answers are not yet taken up for writing.
	maxOutstandingCommands = 256
	// minOutstandingCommands is the number of them that a connection may have when all clients together have Server.MaxCommands.
	minOutstandingCommands = 16
	// maxUnreadAnswerBytes bounds the bytes of answers that one client has not read.
	maxUnreadAnswerBytes = 1 << 20
	// firstCommandTimeout is how long a new connection has to send the first bytes of a command.
	firstCommandTimeout = 2500 * time.Millisecond
	// partialCommandTimeout is how long the rest of a command, or the next bytes of a long value, may take.
	partialCommandTimeout = 2500 * time.Millisecond
	// idleTimeout is how long a connection stays open without a request: many clients send one request and keep the
	// connection.
	idleTimeout = 2 * time.Second
	// maxBadCommands is the number of bad commands after which a connection is closed.
	maxBadCommands = 16
	// writeTimeout bounds one write to a client.
	writeTimeout = 10 * time.Second
	// closingReadTimeout is how long the rest of a partly read command may take on a connection that closes.
	closingReadTimeout = 500 * time.Millisecond
	// lingerTimeout is how long the client's end of stream is awaited after the proxy has closed its sending side, and how
	// long the client's kernel may acknowledge nothing while output is outstanding.
	lingerTimeout = 300 * time.Millisecond
	// maxLinger bounds the wait for a client that goes on reading the last answer.
	maxLinger = 10 * time.Second
	// unsentPollInterval is the time between two checks whether the client's kernel has acknowledged the last answer.
	unsentPollInterval = 5 * time.Millisecond
)

// conn is one client's connection. One goroutine reads commands, another writes answers in the commands' order.
type conn struct {
	server        *Server
	nc            net.Conn
	createdAt     time.Time
	drainPosition float64 // 0 to 1: if unused, it is closed once ApplyPhase's fraction exceeds this

	overflow bool // admitted above Server.MaxConns: its requests are refused

	// Owned by the reader.
	source        *arrivalReader
	input         *turnReader // of source
	buf           buffer.Buffer
	accountedSize int       // bytes of buf that are included in server.bufferedBytes
	partialSince  time.Time // when the partial command in buf began to arrive
	badCommands   int
	submitting    *slot // whose op is being submitted

	writer atomic.Int32 // writerState
	batch  batch        // changed by the writer alone, with the mutex held

	mu                sync.Mutex
	slots             []*slot // in command order; not yet written
	unwrittenBytes    int     // bytes of answers not yet written
	lastActive        time.Time
	spaceFreed        sync.Cond    // the reader waits for it while too much is outstanding
	commandSeen       bool         // a complete command has been read
	hasUnhandledInput bool         // input has been read that has no slot yet
	closing           bool         // closes as soon as everything read is answered
	graceUsed         bool         // the reader has used its only wait for the rest of a partial command while closing
	streaming         *engine.Body // the long value being copied to the client
	graceDeadline     time.Time    // end of that wait
	halfClosed        bool         // all is answered and the proxy's sending side is closed; the client's end of stream is awaited
	readStopped       bool         // no further command is read
	writing           bool         // answers removed from slots are being written
	writingValue      bool         // one of them is a value in a block
	writingSince      time.Time    // valid while writing
	evicted           bool         // closes to make room for another connection
	inputRechecked    bool         // the closing reader has checked once for a first command that arrived unread
	closed            bool

	readWait      readWait  // what the reader waits for, or has last waited for
	readDeadline  time.Time // until when, as nextReadWait returned it
	readTimedOut  bool      // the last read ended at readDeadline
	pauseOwner    *slot     // the reader has to pause before its next read, until this slot gives the pause up; nil: it need not
	readPaused    bool      // the reader pauses
	readerChanged sync.Cond // signals a change of readStopped, readPaused, readWait, slots or closed

	readerDone chan struct{} // closed once the reader has finished with the connection
}

// newConn returns a connection on which nothing had arrived at notBefore.
func newConn(srv *Server, nc net.Conn, notBefore time.Time) *conn {
	c := &conn{server: srv, nc: nc, source: newArrivalReader(nc, notBefore, srv.Pulse), readerDone: make(chan struct{}), createdAt: time.Now()}
	c.buf.Blocks = srv.Blocks.Commands
	c.input = newTurnReader(c.source, srv.turns)
	c.lastActive = c.createdAt
	c.spaceFreed.L = &c.mu
	c.readerChanged.L = &c.mu
	return c
}

// requestClose has the connection closed once everything read is answered. The reader stops between commands.
func (c *conn) requestClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginClose()
}

// beginClose is requestClose with the mutex held.
func (c *conn) beginClose() {
	if !c.closing {
		c.closing = true
		c.nc.SetReadDeadline(pastDeadline)
	}
}

// isUnused reports whether no work is pending and the client has had time to send a request. A client that sends
// requests continuously is closed after an answer instead.
func (c *conn) isUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workState() == workNone && time.Since(c.lastActive) > activityGrace && time.Since(c.createdAt) > firstCommandGrace
}

// hadTimeForCommand reports whether the client has sent a command, or connected before createdBefore.
func (c *conn) hadTimeForCommand(createdBefore time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.commandSeen || c.createdAt.Before(createdBefore)
}

// closeGracefully closes a connection without pending work whose reader has stopped. Closing with unread input resets
// the connection, and the reset could overtake the last answer: so the sending side is closed first, and the client's
// end of stream is awaited. Input that arrives meanwhile stays unread: a request that was read would be lost by the
// close, whereas a client can resend one that was not read.
func (c *conn) closeGracefully() {
	if writeCloser, ok := c.nc.(interface{ CloseWrite() error }); ok && writeCloser.CloseWrite() == nil {
		c.nc.SetReadDeadline(pastDeadline)
		<-c.readerDone // from here on only this goroutine waits on the connection
		c.mu.Lock()
		c.halfClosed = true
		if c.nc.SetReadDeadline(time.Now().Add(lingerTimeout)); c.evicted {
			c.nc.SetReadDeadline(pastDeadline)
		}
		c.mu.Unlock()
		c.linger()
	}
	c.abort(allAnswered)
}

// linger waits until the client has closed its side, or the read deadline set by the caller is over and the client's
// kernel has acknowledged all output. A client that reads a long value slowly is waited for as long as it goes on.
func (c *conn) linger() {
	beganAt := time.Now()
	unacked, progressAt := unackedOutput(c.nc), beganAt
	for waitRemoteClose(c.nc) != nil {
		now, left := time.Now(), unackedOutput(c.nc)
		if left < unacked {
			unacked, progressAt = left, now
		}
		if left == 0 || now.Sub(progressAt) >= lingerTimeout || now.Sub(beganAt) >= maxLinger {
			return
		}
		c.nc.SetReadDeadline(now.Add(unsentPollInterval))
	}
}

// abort closes the connection at once and abandons its open requests.
func (c *conn) abort(reason closeReason) {
	c.mu.Lock()
	c.abortAndUnlock(reason)
}

// abortAndUnlock is abort with the mutex held; it releases the mutex.
func (c *conn) abortAndUnlock(reason closeReason) {
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	for _, s := range c.slots {
		if s.op != nil {
			c.server.logUnanswered(s.op, s.workState(), reason)
		}
	}
	c.server.unwrittenBytes.Add(-int64(c.unwrittenBytes))
	c.server.commands.Add(-int64(len(c.slots)))
	var abandoned []*engine.Op
	for _, s := range c.slots {
		if s.op != nil && s.answer == nil {
			abandoned = append(abandoned, s.op)
		}
		s.closePayload()
		s.recordOutcome(c.server, false)
	}
	if c.streaming != nil {
		c.streaming.Close() // the cache's connection must not wait for a client that is gone
	}
	c.spaceFreed.Broadcast()
	c.readerChanged.Broadcast()
	c.mu.Unlock()
	c.nc.Close()
	c.server.removeConn(c)
	for _, op := range abandoned {
		c.server.Engine.Abandon(op)
	}
}
