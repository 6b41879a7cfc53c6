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

const inUse = 5 * time.Second // for an address to become free

// listen opens an address. Shared: another process may listen there too. Where the system refuses that, it is opened as
// ever. If the proxy that was here before is still ending, it waits for a while.
func listen(addr string, shared bool) (*net.TCPListener, error) {
	config := net.ListenConfig{}
	config.SetMultipathTCP(false) // no client speaks it here, and its sockets take no filter
	if shared {
		config.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		}
	}
	l, err := config.Listen(context.Background(), "tcp", addr)
	for late := time.Now().Add(inUse); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(late); {
		time.Sleep(20 * time.Millisecond)
		l, err = config.Listen(context.Background(), "tcp", addr)
	}
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// queued tells whether a connection waits to be accepted, and notes when none did.
func (f *Server) queued() bool {
	before := time.Now()
	raw, err := f.listener.SyscallConn()
	if err != nil {
		return true
	}
	some := true
	raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		some = err != nil || n > 0
	})
	if !some {
		f.vacant = before
	}
	return some
}

// since is a moment at which a connection that has just been accepted was not there; queued: it waited already when accepting began.
func (f *Server) since(queued bool) time.Time {
	if queued {
		return f.vacant
	}
	return later(f.vacant, f.Pulse.EarliestArrival(time.Now()))
}

// rest takes what stands in a listener's queue, without waiting.
func rest(l *net.TCPListener) (all []*net.TCPConn) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	raw.Control(func(fd uintptr) {
		for {
			n, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if err != nil {
				return
			}
			f := os.NewFile(uintptr(n), "client")
			c, err := net.FileConn(f)
			f.Close()
			if tcp, ok := c.(*net.TCPConn); err == nil && ok {
				all = append(all, tcp)
			}
		}
	})
	return all
}

// steer gives each new connection of a shared address to the second process that listens there, while there are two.
// Danger: connections that still stand in the queue of a socket that closes are reset. With one socket left the index is
// out of range, and the kernel goes by its hash as ever.
func steer(l *net.TCPListener) error {
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
	var refused error
	err = raw.Control(func(fd uintptr) {
		refused = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	return errors.Join(err, refused)
}
