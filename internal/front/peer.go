package front

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// waitRemoteClose blocks, without consuming input, until the client has closed its sending side or the connection has
// broken. It returns an error if the wait ends otherwise, above all at the read deadline.
func waitRemoteClose(nc net.Conn) error {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool { return hasRemoteClose(pollEvents(fd, unix.POLLRDHUP)) })
}

// pollEvents returns which of the wanted events a descriptor has, with errors and hang-ups, without blocking.
func pollEvents(fd uintptr, wanted int16) (events int16) {
	for {
		poll := []unix.PollFd{{Fd: int32(fd), Events: wanted}}
		n, err := unix.Poll(poll, 0)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case n > 0:
			return poll[0].Revents
		}
		return 0
	}
}

// hasRemoteClose reports whether events tell that the client has closed its sending side or the connection has broken.
func hasRemoteClose(events int16) bool { return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 }

// controlSocket calls inspect with a connection's descriptor. It does nothing for a connection that is no socket, or that
// is closed.
func controlSocket(nc net.Conn, inspect func(fd uintptr)) {
	if socket, ok := nc.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			raw.Control(inspect)
		}
	}
}

// hasUnreadInput reports whether input waits on the connection; the client's end of stream counts as input.
func hasUnreadInput(nc net.Conn) (unread bool) {
	controlSocket(nc, func(fd uintptr) { unread = pollEvents(fd, unix.POLLIN) != 0 })
	return unread
}

// unackedOutput returns the number of bytes that the client's kernel has not acknowledged: closing the connection could
// lose them.
func unackedOutput(nc net.Conn) (bytes int) {
	controlSocket(nc, func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// pastDeadline is a deadline that interrupts a blocked read or accept.
var pastDeadline = time.Unix(1, 0)

// watchPeer watches for the client's departure while nothing is read from it, and aborts the connection then; onGone is
// called before that. stop ends the watch and returns once it has ended. Commands that wait unread would otherwise
// hide the client's end of stream, and attempts for its open requests would go on with nobody to receive the answers.
func (c *conn) watchPeer(onGone func()) (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		c.waitPeerClosed(func() bool {
			select {
			case <-stopping:
				return true
			default:
				return false
			}
		}, onGone)
	}()
	return func() {
		close(stopping)
		c.nc.SetReadDeadline(pastDeadline)
		<-stopped
	}
}

// waitPeerClosed aborts the connection, after a call of onGone, once the client has left. It returns earlier if done
// reports true. done is evaluated again when the read deadline is set to pastDeadline, as by
// closeGracefully and by the stop function of watchPeer. It returns whether the client was watched until then: on a
// connection that is no socket, or that is closed, it returns false at once.
func (c *conn) waitPeerClosed(done func() bool, onGone func()) (isWatched bool) {
	for {
		c.nc.SetReadDeadline(time.Time{}) // before the check, so that a wake-up between the two is not undone
		if done() {
			return true
		}
		err := c.source.waitRemoteClose()
		if err == nil {
			onGone()
			c.abort(clientGone)
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
}

// hasOpenRequest reports whether a request on the connection has no answer yet.
func (c *conn) hasOpenRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.halfClosed && c.hasUnansweredRequest()
}

// hasUnansweredRequest is hasOpenRequest on an open connection with the mutex held.
func (c *conn) hasUnansweredRequest() bool {
	for _, s := range c.slots {
		if s.op != nil && s.answer == nil {
			return true
		}
	}
	return false
}
