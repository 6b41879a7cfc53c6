package front

// owed is what a connection still owes its client. There is one owner of the word that nothing is owed: owes, which all that end a connection by
// themselves ask. Only the reader knows whether something has been read and not yet been noted, so even a connection that owes nothing is not closed
// before its reader has stopped (conn.unread): whoever wants it to end asks the reader to (endReading), and the writer closes it.
type owed uint8

const (
	owesNothing owed = iota
	owesReading      // part of a command, or a whole one, has been read and has no place in the order of answers yet
	owesAnswer       // a request has its place, and no answer yet
	owesWriting      // an answer is there, and not written whole yet
)

// owes tells the most advanced duty of the connection; the mutex is held.
func (c *conn) owes() owed {
	switch {
	case c.writing:
		return owesWriting
	case len(c.slots) > 0 && c.slots[0].answer != nil:
		return owesWriting
	case len(c.slots) > 0:
		return owesAnswer
	case c.half:
		return owesReading
	}
	return owesNothing
}

// stands tells what is owed of one request; the connection's mutex is held.
func (s *slot) stands() owed {
	if s.answer != nil {
		return owesWriting
	}
	return owesAnswer
}

// stopReading says that nothing more is read, and that what was read has its place; the reader calls it, and the mutex is held.
func (c *conn) stopReading() {
	c.unread, c.half = true, false
	c.signal()
}

// closable tells whether the writer may end the connection: nothing is owed, and nothing more is read; the mutex is held.
func (c *conn) closable() bool { return c.unread && c.owes() == owesNothing }

// makeWay has the connection end for another's sake, and tells whether it will. What has been read on it by then is answered all the same.
func (c *conn) makeWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return false
	case c.last: // only its client's end is waited for
		c.nc.SetReadDeadline(passed)
		return true
	case c.ending || c.owes() != owesNothing:
		return false
	}
	c.evicted = true
	if !c.heard {
		c.front.evictedSilent.Add(1)
	}
	c.endReading()
	return true
}
