package front

// A long value that is passed on as it arrives can be cut by its server. The client can only tell that by the end of
// its connection, so every request behind the value would lose its answer. A value is therefore passed on only while
// nothing is behind it, and nothing is read from the connection meanwhile; any other value is held whole first.
//
// The pause of the reader belongs to the slot whose value relies on it. It ends when that slot gives it up: once its value has been
// written, when it is answered otherwise, or when its value has to be held whole. No other slot can end it. Only the last
// slot of a connection may own it: nothing is read behind a value that may be passed on, and what is read behind a slot earlier than
// that takes the pause away from it.

// mayStream reports whether the long value that answers s may be passed on as it arrives. If so, no further command is
// read until s is answered. It is called by the goroutine that receives the value, and for several attempts at once.
func (s *slot) mayStream() bool {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed || s.answer != nil:
			return true // nobody waits for this value any more
		case c.slots[len(c.slots)-1] != s || !c.readStopped && c.awaitsCommandRest():
			c.resumeReading(s)
			return false
		case c.readStopped:
			return true
		}
		// Asked for before the look at the reader: one that is about to resume after another slot's pause stays.
		if c.requestPause(s); c.readPaused {
			return true
		}
		c.readerChanged.Wait()
	}
}

// awaitsCommandRest reports whether a command has been read in part. The mutex is held.
func (c *conn) awaitsCommandRest() bool {
	return c.readWait == waitCommandRest || c.readWait == waitBeforeClose
}

// requestPause asks the reader to pause before its next read, for the last slot. The mutex is held.
func (c *conn) requestPause(s *slot) {
	if c.pauseOwner == nil {
		c.nc.SetReadDeadline(pastDeadline)
	}
	c.pauseOwner = s
}

// resumeReading ends the pause that s owns, or its request for one. It has no effect if s owns none. The mutex is held.
func (c *conn) resumeReading(s *slot) {
	if c.pauseOwner != s {
		return
	}
	c.pauseOwner = nil
	c.readerChanged.Broadcast()
	if c.readPaused {
		c.nc.SetReadDeadline(pastDeadline)
	}
}

// pause reads nothing while a slot owns the pause, but sees the client leave. The reader calls it with the mutex held, which it
// releases meanwhile.
func (c *conn) pause() {
	c.readPaused, c.readWait = true, waitValueWritten
	c.readerChanged.Broadcast()
	for c.pauseOwner != nil && !c.closed {
		c.mu.Unlock()
		isWatched := c.waitPeerClosed(c.mayRead, func() {})
		c.mu.Lock()
		for !isWatched && c.pauseOwner != nil && !c.closed { // on a connection that is no socket a departure can't be awaited
			c.readerChanged.Wait()
		}
	}
	c.readPaused = false
}

// mayRead reports whether no slot owns a pause.
func (c *conn) mayRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pauseOwner == nil || c.closed
}
