package front

import (
	"math"
	"net"
	"time"
)

const (
	fresh   = 25 * time.Millisecond  // a client that has just connected, or been answered, is about to send
	patient = 100 * time.Millisecond // for a descriptor to become free

	changeWait = 5 * time.Millisecond // for a connection to end, until the next look

	// Of the connections that clients may have, one part in so many may be held beyond them, to tell their clients that there is no room.
	overflowPart = 16
	// overflowWait is how long a newcomer waits for room before it becomes one of those.
	overflowWait = 25 * time.Millisecond
	// overflowWord is how long it has to say what it wants.
	overflowWord = 300 * time.Millisecond
)

// admit takes a new connection in, which was not there at a moment. Where there is no room, another makes way at once: whoever waited for that in turn
// would be served too late, would come again, and find a longer queue. Where none can, the newcomer is told so, and closed unread at worst.
func (f *Server) admit(nc net.Conn, since time.Time) {
	for began := time.Now(); ; {
		waited := time.Since(began)
		c, old := f.enter(nc, since, waited)
		if old != nil && old.makeWay() {
			f.evicted.Add(1)
		}
		if c != nil {
			go c.read()
			go c.write()
			return
		}
		if waited >= patient {
			f.crowded.Add(1)
			nc.Close()
			return
		}
		select {
		case <-f.changed:
		case <-time.After(changeWait):
		}
	}
}

// enter makes a connection of a newcomer if there is room, or beyond it if the newcomer has waited and none makes way. It gives the connection that
// makes way as well, nil for none.
func (f *Server) enter(nc net.Conn, since time.Time, waited time.Duration) (c, old *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := int(f.MaxConns.Load())
	room, leaving := len(f.conns) < most, false
	if len(f.conns) >= most/2 {
		old, leaving = f.dispensable(time.Now().Add(-fresh), room)
	}
	inVain := waited >= patient || waited >= overflowWait && old == nil && !leaving
	overflow := !room && inVain && len(f.conns) < most+max(most/overflowPart, 1)
	if !room && !overflow {
		return nil, old
	}
	c = newConn(f, nc, since)
	c.overflow = overflow
	_, c.place = math.Modf(float64(f.accepted.Load()) * golden)
	f.conns[c] = struct{}{}
	return c, old
}

// dispensable finds the connection that makes way; never one on which anything is owed, or stands unread though nothing was ever asked on it. First
// come those that have never sent a command, the oldest ahead, and those that have had their last answer; then the one idle for longest. Those that
// have only just come are given a moment to speak, unless they are more than a third: silent ones come by hundreds, good ones among them. While
// there is room, one makes way only where those that have asked, and idle, are more than half: clients have connections to lose, too, and would
// hold too many to make new ones. One makes way at a time: leaving tells that one does already.
func (f *Server) dispensable(before time.Time, room bool) (chosen *conn, leaving bool) {
	var silent, idle, done *conn
	unheard, quiet, most := 0, 0, int(f.MaxConns.Load())
	for c := range f.conns {
		c.mu.Lock()
		leaving = leaving || c.evicted && c.owes() == owesNothing
		switch {
		case c.last:
			if c.used.Before(before) {
				done = c
			}
		case c.ending || c.owes() != owesNothing:
		case !c.heard:
			unheard++
			if (silent == nil || c.born.Before(silent.born)) && !pending(c.nc) {
				silent = c
			}
		case c.used.Before(before):
			quiet++
			if idle == nil || c.used.Before(idle.used) {
				idle = c
			}
		}
		c.mu.Unlock()
	}
	switch {
	case leaving || room && quiet < most/2:
		return nil, leaving
	case room:
		return idle, false
	case silent != nil && (silent.born.Before(before) || unheard > most/3):
		return silent, false
	case done != nil:
		return done, false
	case idle != nil:
		return idle, false
	}
	return silent, false
}
