package front

import "slices"

// workState is the state of a request, or of the oldest pending work of a connection. Code that may close a
// connection only while no work is pending must use conn.workState to find that out. Only the reader knows whether
// input has been read and not yet recorded, so even a connection without pending work is not closed before its reader
// has stopped (conn.readStopped): other goroutines call beginClose, the reader then stops, and the writer closes the
// connection.
type workState uint8

const (
	workNone      workState = iota
	workRead                // a command has been read, whole or in part, and has no entry in conn.slots yet
	workSubmitted           // a request has an entry in conn.slots and no answer yet
	workAnswered            // an answer exists and is not completely written
)

// workState returns the state of the connection's oldest pending work. The mutex is held.
func (c *conn) workState() workState {
	switch {
	case c.writing:
		return workAnswered
	case len(c.slots) > 0 && c.slots[0].answer != nil:
		return workAnswered
	case len(c.slots) > 0:
		return workSubmitted
	case c.hasUnhandledInput:
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

// markReadStopped records that nothing more is read and that all complete commands read have a slot; an
// incomplete one is ignored. The reader calls it with the mutex held.
func (c *conn) markReadStopped() {
	c.readStopped, c.hasUnhandledInput = true, false
	c.readerChanged.Broadcast()
	c.wakeWriter()
}

// canClose reports whether the writer may close the connection: no work is pending and nothing more is read. The mutex
// is held.
func (c *conn) canClose() bool { return c.readStopped && c.workState() == workNone }

// hasRequest reports whether a request has a slot, or its answer is being written. The mutex is held.
func (c *conn) hasRequest() bool {
	isRequest := func(s *slot) bool { return s.class != nil }
	return slices.ContainsFunc(c.slots, isRequest) || slices.ContainsFunc(c.batch.slots, isRequest)
}

// evict begins to close the connection to make room for another, and reports whether it does. Commands that have been
// read by then are still answered, unless the connection floods and none of them is a request.
func (c *conn) evict() bool {
	c.mu.Lock()
	if c.input.isFlooding() && !c.closing && !c.hasRequest() {
		c.evicted = true
		c.abortAndUnlock(flooding)
		return true
	}
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return false
	case c.halfClosed: // ends the wait for the client's end of stream
		c.nc.SetReadDeadline(pastDeadline)
		return true
	case c.closing || c.workState() != workNone && !c.input.isFlooding():
		return false
	}
	c.evicted = true
	if !c.commandSeen {
		c.server.evictedBeforeCommand.Add(1)
	}
	c.beginClose()
	return true
}
