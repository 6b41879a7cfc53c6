package pool

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnackedData reports whether the kernel's send queue holds bytes that the server's kernel has not acknowledged.
func (c *conn) hasUnackedData() (unacked bool) {
	if socket, ok := c.netConn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
				unacked = err == nil && n > 0
			})
		}
	}
	return unacked
}

// checkIdle returns an error if an idle connection was closed by the server or holds unsolicited data. It neither blocks nor
// consumes data.
func (c *conn) checkIdle() error {
	if c.responses.Buffered() > 0 {
		return errUnsolicitedData
	}
	socket, ok := c.netConn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var connErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			connErr = errUnsolicitedData
		case err == nil:
			connErr = io.EOF
		case !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
			connErr = err
		}
		return true
	})
	if err != nil {
		return err
	}
	return connErr
}
