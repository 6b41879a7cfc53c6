package pool

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// holds tells whether our system still has bytes that the server's has not said to have.
func (c *conn) holds() (some bool) {
	if socket, ok := c.nc.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
				some = err == nil && n > 0
			})
		}
	}
	return some
}

// look tells, without waiting and without taking anything, whether an idle connection is open and empty.
func (c *conn) look() error {
	if c.answers.Rest() > 0 {
		return errUnasked
	}
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var found error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			found = errUnasked
		case err == nil:
			found = io.EOF
		case !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
			found = err
		}
		return true
	})
	if err != nil {
		return err
	}
	return found
}
