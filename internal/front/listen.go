package front

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// addressInUseTimeout is how long listen waits for an address to become free.
	addressInUseTimeout = 5 * time.Second
	// addressInUseRetryInterval is the time between two attempts to open an address.
	addressInUseRetryInterval = 20 * time.Millisecond
)

// listen opens an address. If shared, another process may listen there too; a system that refuses that gets an
// ordinary listener. If the address is in use, for example by the previous proxy that is still shutting down, it retries
// for up to addressInUseTimeout.
func listen(addr string, shared bool) (*net.TCPListener, error) {
	config := net.ListenConfig{}
	config.SetMultipathTCP(false) // no client uses it, and its sockets accept no filter
	if shared {
		config.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		}
	}
	l, err := config.Listen(context.Background(), "tcp", addr)
	for giveUpAt := time.Now().Add(addressInUseTimeout); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(giveUpAt); {
		time.Sleep(addressInUseRetryInterval)
		l, err = config.Listen(context.Background(), "tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// backlogPending reports whether a connection waits to be accepted, and records the time when none does.
func (srv *Server) backlogPending() bool {
	before := time.Now()
	raw, err := srv.listener.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		pending = err != nil || n > 0
	})
	if !pending {
		srv.backlogEmptyAt = before
	}
	return pending
}

// arrivalBound returns a time at which a connection that has just been accepted had not arrived. backlogged tells that
// a connection already waited when the accept began.
func (srv *Server) arrivalBound(backlogged bool) time.Time {
	if backlogged {
		return srv.backlogEmptyAt
	}
	return laterOf(srv.backlogEmptyAt, srv.Pulse.EarliestArrival(time.Now()))
}

// acceptBacklog accepts the connections in a listener's queue without blocking.
func acceptBacklog(l *net.TCPListener) (accepted []*net.TCPConn) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	raw.Control(func(fd uintptr) {
		for {
			connFD, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(connFD), "client")
			c, err := net.FileConn(file)
			file.Close()
			if tcp, ok := c.(*net.TCPConn); err == nil && ok {
				accepted = append(accepted, tcp)
			}
		}
	})
	return accepted
}

// steerToNewest directs each new connection of a shared address to the second process that listens there, while there
// are two: connections in the queue of a socket that closes are reset. When one socket remains, index 1 is out of
// range and the kernel selects by its hash as usual.
func steerToNewest(l *net.TCPListener) error {
	program, err := bpf.Assemble([]bpf.Instruction{bpf.RetConstant{Val: 1}})
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, len(program))
	for i, in := range program {
		filter[i] = unix.SockFilter{Code: in.Op, Jt: in.Jt, Jf: in.Jf, K: in.K}
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	return errors.Join(err, optionErr)
}
