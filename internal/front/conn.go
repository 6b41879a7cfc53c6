package front

import (
	"net"
	"sync"
	"time"

	"minttray/internal/buffer"
	"minttray/internal/engine"
)

const (
	mostWaiting = 256                     // commands of one connection that wait for their answers
	mostPiled   = 1 << 20                 // bytes of answers that one client hasn't read
	firstWord   = 2500 * time.Millisecond // for the first word of a command
	halfCommand = 2500 * time.Millisecond // for the rest of a command, or the next bytes of a long value
	idleClient  = 2 * time.Second         // without an op: many clients ask once and keep their connection for good
	mostRefused = 16                      // bad commands of one connection; one that sends nothing else ends
	slowClient  = 10 * time.Second        // for one write
	halfAtEnd   = 500 * time.Millisecond  // for the rest of a command that was half read as the connection was to end
	linger      = 300 * time.Millisecond  // for the client's end, once ours is said
	unsentEvery = 5 * time.Millisecond    // between two looks whether a client's system has the last answer
)

// conn is one client's connection. One goroutine reads commands, one writes answers in the commands' order.
type conn struct {
	front *Server
	nc    net.Conn
	born  time.Time
	place float64 // 0 to 1: when it ends among others that are not used

	overflow bool // there is no room for it: what is asked on it is refused

	// The reader's.
	source  *source
	buf     buffer.Buffer
	size    int       // of buf, as far as the front's sum knows it
	began   time.Time // when the half command in buf began to come
	refused int
	handing *slot // whose op is being handed in

	mu        sync.Mutex
	slots     []*slot // by command; not yet written
	piled     int     // bytes of answers not yet written
	used      time.Time
	room      sync.Cond // the reader waits for it while too much is piled up
	wake      chan struct{}
	heard     bool         // a whole command has come
	half      bool         // part of a command has been read
	ending    bool         // closed as soon as all that was read is answered
	grace     bool         // the reader waits, once, for the rest of a half command
	body      *engine.Body // that is being passed on
	graceEnds time.Time
	last      bool // all is answered and our side is closed: only the client's end is waited for
	unread    bool // the reader has stopped: no further command is taken
	writing   bool // answers that have left slots are being written
	evicted   bool // it ends to make way for another
	looked    bool // the reader has looked once more, as the connection is to end, for what had come unread
	ended     bool

	stopped chan struct{} // closed once the reader is done with the connection
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// newConn makes a connection that was not there at a moment.
func newConn(f *Server, nc net.Conn, since time.Time) *conn {
	c := &conn{front: f, nc: nc, source: newSource(nc, since, f.Pulse), wake: make(chan struct{}, 1), stopped: make(chan struct{}), born: time.Now()}
	c.used = c.born
	c.room.L = &c.mu
	return c
}

// finish lets the connection end once all that was read is answered. The reader stops between commands.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endReading()
}

// endReading stops the reader between commands; the mutex is held.
func (c *conn) endReading() {
	if !c.ending {
		c.ending = true
		c.nc.SetReadDeadline(passed)
	}
}

// unused tells whether nothing is on it, and its client has had the time to ask. One that asks again and again ends behind
// an answer.
func (c *conn) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owes() == owesNothing && time.Since(c.used) > fresh && time.Since(c.born) > newcomer
}

// old tells whether a client has asked, or has had the time to since it came.
func (c *conn) old(born time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard || c.born.Before(born)
}

// bye ends a connection on which nothing is owed and nothing is read any more. Closing with unread input would reset it, and the reset could
// overtake the last answer: so our side ends first, and the client's end is waited for. Danger: nothing that comes meanwhile is taken off the
// connection. A request that was read would be lost by the close; one that was not, its client sends again.
func (c *conn) bye() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.nc.SetReadDeadline(passed)
		<-c.stopped // from here on this goroutine waits on it
		late := time.Now().Add(linger)
		c.mu.Lock()
		c.last = true
		if c.nc.SetReadDeadline(late); c.evicted {
			c.nc.SetReadDeadline(passed)
		}
		c.mu.Unlock()
		for away(c.nc) != nil && unsent(c.nc) && time.Now().Before(late) {
			c.nc.SetReadDeadline(time.Now().Add(unsentEvery))
		}
	}
	c.drop(allAnswered)
}

// drop closes the connection at once. Ops that are still open have lost their client.
func (c *conn) drop(why closeReason) {
	c.mu.Lock()
	c.close(why)
}

// close is drop with the mutex held; it lets go of that.
func (c *conn) close(why closeReason) {
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.ended = true
	for _, s := range c.slots {
		if s.op != nil {
			c.front.lost(s.op, s.stands(), why)
		}
	}
	c.front.piled.Add(-int64(c.piled))
	var left []*engine.Op
	for _, s := range c.slots {
		if s.op != nil && s.answer == nil {
			left = append(left, s.op)
		}
		s.let()
		s.over(c.front, false)
	}
	if c.body != nil {
		c.body.Close() // the server's connection must not wait for a client that has gone
	}
	c.room.Broadcast()
	c.mu.Unlock()
	c.nc.Close()
	c.signal()
	c.front.remove(c)
	for _, op := range left {
		c.front.Engine.Abandon(op)
	}
}
