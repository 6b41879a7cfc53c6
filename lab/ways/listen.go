package ways

import (
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	acceptBacklog     = 512                   // handshakes that may wait to be accepted
	maxFillerConns    = 8                     // connections opened to fill the accept queue
	fillerDialTimeout = 20 * time.Millisecond // a handshake on loopback takes far less, so a time-out shows that the accept queue is full
	synRetryPeriod    = 30 * time.Second      // after a cut, in which a kernel may still complete a handshake that was started during it
)

// Listener accepts connections that are subject to the rules between two endpoints. While the link is cut no handshake may
// complete. The kernel drops SYN packets when the accept queue is full, so the listener shortens that queue to one place, fills it
// with connections of its own, and accepts none until the link is restored.
type Listener struct {
	*net.TCPListener
	rules  *RuleTable
	remote Endpoint
	local  Endpoint

	mu          sync.Mutex
	blocked     bool          // the accept queue is filled
	restoredAt  time.Time     // end of the last cut; zero: none yet
	fillerConns []net.Conn    // open connections that fill the accept queue
	closed      chan struct{} // closed by Close
	closeOnce   sync.Once
}

// Listen opens a listener at a loopback address for connections from a remote endpoint to a local one.
func (t *RuleTable) Listen(addr string, remote, local Endpoint) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Listener{TCPListener: l.(*net.TCPListener), rules: t, remote: remote, local: local, closed: make(chan struct{})}
	t.subscribe(k, true)
	k.rulesChanged(nil)
	return k, nil
}

// rulesChanged blocks or unblocks the accept queue according to the rules.
func (l *Listener) rulesChanged(*Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := l.rules.IsCut(l.remote, l.local)
	if cut == l.blocked {
		return
	}
	if l.blocked = cut; !cut {
		l.restoredAt = time.Now()
		l.setBacklog(acceptBacklog)
		for _, p := range l.fillerConns {
			p.Close()
		}
		l.fillerConns = nil
		return
	}
	l.setBacklog(0)
	l.fillBacklog()
}

// fillBacklog opens connections until the accept queue is full; the caller holds the mutex.
func (l *Listener) fillBacklog() {
	for range maxFillerConns {
		c, err := net.DialTimeout("tcp", l.Addr().String(), fillerDialTimeout)
		if err != nil {
			return
		}
		l.fillerConns = append(l.fillerConns, c)
	}
}

// setBacklog sets the backlog of the listening socket: the kernel lets one more connection than n wait to be accepted.
func (l *Listener) setBacklog(n int) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// Accept waits for the next connection that the rules let through.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		held := false
		for l.rules.IsCut(l.remote, l.local) { // a filler connection, or one completed just before the cut: hold it
			held = true
			_, changed := l.rules.effective(l.remote, l.local)
			l.mu.Lock()
			if l.blocked { // accepting it has freed a place in the queue
				l.fillBacklog()
			}
			l.mu.Unlock()
			select {
			case <-changed:
			case <-l.closed:
				c.Close()
				return nil, net.ErrClosed
			}
		}
		// A proxy may have given up a connection that waited in the queue, or that completed when its kernel repeated the SYN seconds
		// after the cut. Data written on it must not be read as if it were just sent. This also drops closed filler connections.
		if (held || l.recentlyRestored()) && !remoteOpen(c) {
			c.Close()
			continue
		}
		k := l.rules.Wrap(c, l.remote, l.local)
		if inboundRule, _ := l.rules.effective(l.remote, l.local); l.rules.draw(inboundRule.ResetShare) {
			k.Abort()
			continue
		}
		return k, nil
	}
}

// recentlyRestored reports whether handshakes that were started during a cut may still complete.
func (l *Listener) recentlyRestored() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.restoredAt) < synRetryPeriod
}

// remoteOpen reports whether the peer process still has its end of a connection open. It asks the kernel for that one socket, as listing all of
// them takes tens of milliseconds where there are many. If the kernel gives no answer the connection counts as open.
func remoteOpen(c net.Conn) bool {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	local, _ := c.LocalAddr().(*net.TCPAddr)
	if !ok || remote.IP.To4() == nil {
		return true
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkInetDiag)
	if err != nil {
		return true
	}
	defer syscall.Close(fd)
	// A netlink header (length, type, flags) and an inet_diag_req_v2 of linux/inet_diag.h, for one socket without a cookie.
	request := make([]byte, netlinkHeaderSize+inetDiagRequestSize)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST)
	request[16], request[17] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[20:], ^uint32(0))
	binary.BigEndian.PutUint16(request[24:], uint16(remote.Port))
	binary.BigEndian.PutUint16(request[26:], uint16(local.Port))
	copy(request[28:], remote.IP.To4())
	copy(request[44:], local.IP.To4())
	binary.NativeEndian.PutUint64(request[64:], ^uint64(0))
	if syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}) != nil {
		return true
	}
	answer := make([]byte, 4096)
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	switch {
	case err != nil || n < 20:
		return true
	case binary.NativeEndian.Uint16(answer[4:]) == sockDiagByFamily:
		return answer[17] == tcpEstablished
	default: // a netlink error: ENOENT means that there is no such socket
		return syscall.Errno(-int32(binary.NativeEndian.Uint32(answer[16:]))) != syscall.ENOENT
	}
}

// Constants of the kernel's interface.
const (
	netlinkInetDiag     = 4  // NETLINK_INET_DIAG, linux/netlink.h
	sockDiagByFamily    = 20 // SOCK_DIAG_BY_FAMILY, linux/sock_diag.h
	tcpEstablished      = 1  // TCP_ESTABLISHED, net/tcp_states.h
	netlinkHeaderSize   = 16 // struct nlmsghdr
	inetDiagRequestSize = 56 // struct inet_diag_req_v2
)

// Close closes the listener and its filler connections.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		l.rules.subscribe(l, false)
		close(l.closed)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.fillerConns {
			p.Close()
		}
		l.fillerConns = nil
	})
	return l.TCPListener.Close()
}
