package front

import (
	"math"
	"net"
	"time"
)

const (
	// activityGrace protects a connection that was just opened or answered from eviction: its client is about to send.
	activityGrace = 25 * time.Millisecond
	// admissionTimeout is how long a new connection waits for a free descriptor.
	admissionTimeout = 100 * time.Millisecond
	// admissionPollInterval is the longest time between two attempts to admit a waiting connection.
	admissionPollInterval = 5 * time.Millisecond

	// evictionScanInterval is the shortest time between two searches for a connection to evict while there is room.
	evictionScanInterval = 5 * time.Millisecond

	// maxUnreadChecks bounds the connections that one search asks the kernel about.
	maxUnreadChecks = 16

	// overflowDivisor bounds the connections above MaxConns to MaxConns/overflowDivisor. Their requests are refused,
	// so that their clients learn that there is no room.
	overflowDivisor = 16
	// overflowWait is how long a new connection waits for room before it is admitted as one of those.
	overflowWait = 25 * time.Millisecond
	// overflowCommandTimeout is how long such a connection has to send its first command.
	overflowCommandTimeout = 300 * time.Millisecond
)

// admit admits a new connection, on which nothing had arrived at notBefore. Without room, it evicts another connection
// at once: a queue of waiting clients would serve each too late, and they would reconnect and find a longer queue. If
// no connection can be evicted, the requests of the new one are refused, or it is closed unread as the last resort.
func (srv *Server) admit(nc net.Conn, notBefore time.Time) {
	for began := time.Now(); ; {
		waited := time.Since(began)
		c, candidate := srv.register(nc, notBefore, waited)
		if candidate != nil && candidate.evict() {
			srv.evicted.Add(1)
		}
		if c != nil {
			go c.readLoop()
			return
		}
		if waited >= admissionTimeout {
			srv.rejectedConns.Add(1)
			nc.Close()
			return
		}
		select {
		case <-srv.connClosed:
		case <-time.After(admissionPollInterval):
		}
	}
}

// register adds a new connection if there is room, or as overflow if it has waited and none is being evicted. It also
// returns the connection to evict, nil for none.
func (srv *Server) register(nc net.Conn, notBefore time.Time, waited time.Duration) (c, candidate *conn) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	maxConns := int(srv.MaxConns.Load())
	hasRoom, evicting := len(srv.conns) < maxConns, false
	if now := time.Now(); !hasRoom || len(srv.conns) >= maxConns/2 && now.Sub(srv.lastEvictionScan) >= evictionScanInterval {
		srv.lastEvictionScan = now
		candidate, evicting = srv.evictionCandidate(now.Add(-activityGrace), hasRoom)
	}
	waitExceeded := waited >= admissionTimeout || waited >= overflowWait && candidate == nil && !evicting
	overflow := !hasRoom && waitExceeded && len(srv.conns) < maxConns+max(maxConns/overflowDivisor, 1)
	if !hasRoom && !overflow {
		return nil, candidate
	}
	c = newConn(srv, nc, notBefore)
	c.overflow = overflow
	_, c.drainPosition = math.Modf(float64(srv.accepted.Load()) * goldenRatio)
	srv.conns[c] = struct{}{}
	return c, candidate
}

// evictionCandidate selects the connection to evict. It never selects one that has sent no command yet but has unread
// input, nor, with the exception of floods, one with pending work. The order is: the oldest connection that has never sent a
// command; one that is half-closed after its last answer has been delivered; the one whose client has sent without a pause for
// longest, since clients send commands that were not read again on another connection; then the longest idle one. Connections
// active after cutoff are spared, so that new clients get time to send. A silent one among them is selected only if there is no
// other, or if silent ones exceed a third of the limit: they arrive by hundreds, with good clients among them.
//
// While there is room, an idle connection is evicted only if idle ones exceed half of the limit: the number of
// connections that clients can hold is limited too, and idle ones would leave them none to open. One connection is
// evicted at a time: evicting reports that an eviction is under way. The server's mutex is held.
func (srv *Server) evictionCandidate(cutoff time.Time, hasRoom bool) (chosen *conn, evicting bool) {
	var silent, idle, halfClosed, flooder *conn
	silentCount, idleCount, unreadChecks, maxConns := 0, 0, 0, int(srv.MaxConns.Load())
	for c := range srv.conns {
		if !c.mu.TryLock() { // it is in use, and the server's mutex must not be held for long
			continue
		}
		evicting = evicting || c.evicted && c.workState() == workNone
		switch {
		case c.halfClosed:
			if c.lastActive.Before(cutoff) && unackedOutput(c.nc) == 0 {
				halfClosed = c
			}
		case c.closing:
		case c.input.isFlooding():
			if flooder == nil || c.input.unpaused.Load() > flooder.input.unpaused.Load() {
				flooder = c
			}
		case c.workState() != workNone:
		case !c.commandSeen:
			silentCount++
			if unreadChecks < maxUnreadChecks && (silent == nil || c.createdAt.Before(silent.createdAt)) {
				if unreadChecks++; !hasUnreadInput(c.nc) {
					silent = c
				}
			}
		case c.lastActive.Before(cutoff):
			idleCount++
			if unreadChecks < maxUnreadChecks && (idle == nil || c.lastActive.Before(idle.lastActive)) {
				if unreadChecks++; !hasUnreadInput(c.nc) {
					idle = c
				}
			}
		}
		c.mu.Unlock()
	}
	switch {
	case evicting || hasRoom && idleCount < maxConns/2:
		return nil, evicting
	case hasRoom:
		return idle, false
	case silent != nil && (silent.createdAt.Before(cutoff) || silentCount > maxConns/3):
		return silent, false
	case halfClosed != nil:
		return halfClosed, false
	case flooder != nil:
		return flooder, false
	case idle != nil:
		return idle, false
	}
	return silent, false
}
