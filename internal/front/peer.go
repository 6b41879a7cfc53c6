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
	return raw.Read(func(fd uintptr) bool {
		for {
			poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(poll, 0)
			if !errors.Is(err, unix.EINTR) {
				return n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
			}
		}
	})
}

// checkSocket evaluates check on a connection's descriptor. It returns false for a connection that is no socket.
func checkSocket(nc net.Conn, check func(fd int) bool) (result bool) {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { result = check(int(fd)) })
	return result
}

// hasUnreadInput reports whether input waits on the connection; the client's end of stream counts as input.
func hasUnreadInput(nc net.Conn) bool {
	return checkSocket(nc, func(fd int) bool {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		return err == nil && n > 0
	})
}

// hasUnackedOutput reports whether the kernel holds bytes that the client's kernel has not acknowledged: closing the
// connection could lose them.
func hasUnackedOutput(nc net.Conn) bool {
	return checkSocket(nc, func(fd int) bool {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err == nil && n > 0
	})
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
// closeGracefully and by the stop function of watchPeer.
func (c *conn) waitPeerClosed(done func() bool, onGone func()) {
	for {
		c.nc.SetReadDeadline(time.Time{}) // before the check, so that a wake-up between the two is not undone
		if done() {
			return
		}
		err := waitRemoteClose(c.nc)
		if err == nil {
			onGone()
			c.abort(clientGone)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// hasOpenRequest reports whether a request on the connection has no answer yet.
func (c *conn) hasOpenRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.halfClosed {
		return false
	}
	for _, s := range c.slots {
		if s.op != nil && s.answer == nil {
			return true
		}
	}
	return false
}
