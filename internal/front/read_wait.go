package front

import "time"

// readWait is what the reader of a connection waits for. conn.nextReadWait alone decides it, together with the time
// until which it is awaited.
type readWait uint8

const (
	waitFirstCommand readWait = iota // no command has been read on the connection yet
	waitCommandRest                  // a command has been read in part
	waitNextCommand                  // no work is pending: the connection is idle
	waitBesideWork                   // requests are open or their answers are being written; a further command or the client's departure is awaited
	waitBeforeClose                  // the connection closes, and the rest of a command, or a first command, may have arrived
	waitValueWritten                 // nothing is read until a long value that is passed on as it arrives has been written
)

var readWaitNames = [...]string{waitFirstCommand: "first command", waitCommandRest: "rest of a command", waitNextCommand: "next command",
	waitBesideWork: "answers", waitBeforeClose: "close", waitValueWritten: "end of a long value"}

func (w readWait) String() string { return readWaitNames[w] }

// Awaited returns how many connections await what, by name.
func (srv *Server) Awaited() map[string]int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	counts := map[string]int{}
	for c := range srv.conns {
		c.mu.Lock()
		counts[c.readWait.String()]++
		c.mu.Unlock()
	}
	return counts
}

// AwaitNames lists what a connection may await.
func AwaitNames() []string { return readWaitNames[:] }

// nextReadWait returns what the reader waits for next, and until when. readOn is false on a connection that closes and
// on which nothing more is read. The mutex is held.
func (c *conn) nextReadWait(now time.Time) (wait readWait, deadline time.Time, readOn bool) {
	switch {
	case c.closing && !c.hasUnhandledInput && !c.commandSeen && !c.inputRechecked && hasUnreadInput(c.nc):
		// No command has been read yet. A client whose first command meets a close can't take that for the usual close
		// between two requests, so input that has already arrived is read before the close.
		c.inputRechecked = true
		return waitBeforeClose, now.Add(activityGrace), true
	case c.closing && (!c.hasUnhandledInput || c.graceUsed):
		return waitBeforeClose, now, false // a partial command whose rest has not arrived is no request
	case c.closing:
		// The rest may already be in the kernel's buffer; the command is then handled.
		c.beginGrace(now)
		return waitBeforeClose, c.graceDeadline, true
	case c.hasUnhandledInput:
		return waitCommandRest, c.partialSince.Add(partialCommandTimeout), true
	case !c.commandSeen && c.overflow:
		return waitFirstCommand, c.createdAt.Add(overflowCommandTimeout), true
	case !c.commandSeen:
		return waitFirstCommand, c.createdAt.Add(firstCommandTimeout), true
	case c.workState() == workNone:
		return waitNextCommand, c.lastActive.Add(idleTimeout), true
	}
	// lastActive is not renewed while an answer is being written, so the deadline counts from now: one in the past would
	// make the reader return from its wait at once, again and again.
	return waitBesideWork, now.Add(idleTimeout), true
}

// beginGrace starts the only wait for the rest of a partial command on a connection that closes. The mutex is held.
func (c *conn) beginGrace(now time.Time) {
	c.graceUsed = true
	c.graceDeadline = now.Add(closingReadTimeout)
}

// prepareRead sets what the reader waits for and until when, and reports whether to read on.
func (c *conn) prepareRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasUnhandledInput = len(c.buf.Bytes()) > 0
	if c.pauseOwner != nil && !c.closing && !c.hasUnhandledInput {
		c.pause()
	}
	wait, deadline, readOn := c.nextReadWait(time.Now())
	if !readOn {
		c.markReadStopped()
		return false
	}
	if c.readTimedOut && !c.closing && !deadline.After(c.readDeadline) {
		c.server.emptyReadTurns.Add(1)
	}
	c.readTimedOut = false
	c.readWait, c.readDeadline = wait, deadline
	c.nc.SetReadDeadline(deadline)
	c.readerChanged.Broadcast()
	return true
}

// handleReadTimeout handles a read that ended at a deadline, its own or one that was set to interrupt it, and reports
// whether to read on.
func (c *conn) handleReadTimeout() bool {
	now := time.Now()
	c.mu.Lock()
	interrupted := now.Before(c.readDeadline)
	c.readTimedOut = !interrupted
	closing, wait := c.closing, c.readWait
	idle := c.workState() == workNone && now.Sub(c.lastActive) >= idleTimeout
	c.mu.Unlock()
	switch {
	case closing || interrupted: // prepareRead decides whether to read on
	case wait == waitCommandRest:
		c.rejectAndStop(&c.server.partialTimeouts, errPartialCommand)
		return false
	case wait == waitFirstCommand:
		c.server.silentTimeouts.Add(1)
		c.abort(noCommand)
		return false
	case wait == waitNextCommand && idle:
		c.server.idleTimeouts.Add(1)
		c.requestClose()
	}
	return true
}
