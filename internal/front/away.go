package front

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// away waits, without taking a byte, until a client has ended its side or its connection has broken. An error comes in place of
// that: the read deadline above all.
func away(nc net.Conn) error {
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
			p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(p, 0)
			if !errors.Is(err, unix.EINTR) {
				return n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
			}
		}
	})
}

// ofSocket asks something of a connection's socket; no of one that is none.
func ofSocket(nc net.Conn, ask func(fd int) bool) (yes bool) {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { yes = ask(int(fd)) })
	return yes
}

// pending tells whether something has come on a connection that has not been read, the client's end among it.
func pending(nc net.Conn) bool {
	return ofSocket(nc, func(fd int) bool {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		return err == nil && n > 0
	})
}

// unsent tells whether our system still has bytes that the client's has not said to have: to close would lose them.
func unsent(nc net.Conn) bool {
	return ofSocket(nc, func(fd int) bool {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err == nil && n > 0
	})
}

var passed = time.Unix(1, 0) // as a deadline it ends a wait

// watch looks after a client from which nothing is read for a while, and drops its connection once it has left; gone is
// called ahead of that. end stops it, and comes back once it has stopped.
// Danger: commands that wait unread hide the client's end, and what is open would be pushed for nobody.
func (c *conn) watch(gone func()) (end func()) {
	over, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		c.attend(func() bool {
			select {
			case <-over:
				return true
			default:
				return false
			}
		}, gone)
	}()
	return func() {
		close(over)
		c.nc.SetReadDeadline(passed)
		<-stopped
	}
}

// attend is watch until over tells that it is; whoever brings that about moves the read deadline into the past then.
func (c *conn) attend(over func() bool, gone func()) {
	for {
		c.nc.SetReadDeadline(time.Time{}) // ahead of the look whether it is over: what ends it between the two is not undone
		if over() {
			return
		}
		err := away(c.nc)
		if err == nil {
			gone()
			c.drop(clientGone)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// owing tells whether an op is open on the connection.
func (c *conn) owing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.last {
		return false
	}
	for _, s := range c.slots {
		if s.op != nil && s.answer == nil {
			return true
		}
	}
	return false
}
