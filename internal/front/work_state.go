package front

// workState is the most advanced work that a connection or request has pending. conn.workState alone decides that
// nothing is pending; whatever closes a connection on its own asks it. Only the reader knows whether input has been
// read and not yet recorded, so even a connection without pending work is not closed before its reader has stopped
// (conn.readStopped): others request that by beginClose, and the writer closes the connection.
type workState uint8

const (
	workNone      workState = iota
	workRead                // a command has been read, whole or in part, and has no slot yet
	workSubmitted           // a request has a slot and no answer yet
	workAnswered            // an answer exists and is not completely written
)

// workState returns the most advanced pending work of the connection. The mutex is held.
func (c *conn) workState() workState {
	switch {
	case c.writing:
		return workAnswered
	case len(c.slots) > 0 && c.slots[0].answer != nil:
		return workAnswered
	case len(c.slots) > 0:
		return workSubmitted
	case c.partial:
		return workRead
	}
	return workNone
}

// workState returns the pending work of one request. The connection's mutex is held.
func (s *slot) workState() workState {
	if s.answer != nil {
		return workAnswered
	}
	return workSubmitted
}

// markReadStopped records that nothing more is read and that all commands read have a slot. The reader calls it with
// the mutex held.
func (c *conn) markReadStopped() {
	c.readStopped, c.partial = true, false
	c.wakeWriter()
}

// canClose reports whether the writer may close the connection: no work is pending and nothing more is read. The mutex
// is held.
func (c *conn) canClose() bool { return c.readStopped && c.workState() == workNone }

// evict begins to close the connection to make room for another, and reports whether it does. Commands that have been
// read by then are still answered.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return false
	case c.halfClosed: // ends the wait for the client's end of stream
		c.nc.SetReadDeadline(pastDeadline)
		return true
	case c.closing || c.workState() != workNone:
		return false
	}
	c.evicted = true
	if !c.commandSeen {
		c.server.evictedSilent.Add(1)
	}
	c.beginClose()
	return true
}
