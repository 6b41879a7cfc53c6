package ways

import (
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	acceptBacklog     = 512
	maxFillerConns    = 8
	fillerDialTimeout = 20 * time.Millisecond // a handshake on loopback takes far less
)

// Listener gives connections that pass the ways from far. While a way between the two is cut no handshake comes up: the
// kernel drops the first packet of each when the queue of those to accept is full, so the listener makes that queue one
// place long, fills it with connections of its own, and takes none off until the ways are whole again.
type Listener struct {
	*net.TCPListener
	rules         *RuleTable
	remote, local Endpoint

	mu          sync.Mutex
	blocked     bool
	restoredAt  time.Time // the ways were cut until then
	fillerConns []net.Conn
	closed      chan struct{}
	closeOnce   sync.Once
}

// Listen opens a listener at a loopback address for connections from far to near.
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

// ruled shuts or opens the queue as the rules say now.
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

// fill fills the queue; the mutex is held.
func (l *Listener) fillBacklog() {
	for range maxFillerConns {
		c, err := net.DialTimeout("tcp", l.Addr().String(), fillerDialTimeout)
		if err != nil {
			return
		}
		l.fillerConns = append(l.fillerConns, c)
	}
}

// queue sets how many handshakes may wait to be accepted.
func (l *Listener) setBacklog(n int) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		held := false
		for l.rules.IsCut(l.remote, l.local) { // one that fills the queue, or came up just before: it stays where it is
			held = true
			_, changed := l.rules.effective(l.remote, l.local)
			l.mu.Lock()
			if l.blocked { // it has left a place free
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
		// Danger: what a proxy wrote on a connection that stood in the queue, or on one that comes up when its kernel tries again,
		// seconds after the cut, it may have long given up. Those that fill the queue are closed by then as well.
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

const synRetryPeriod = 30 * time.Second // by the kernel, after a cut

func (l *Listener) recentlyRestored() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.restoredAt) < synRetryPeriod
}

// open tells whether the process at the other end of a connection still holds it open, by asking the kernel for that one socket
// (a table of all takes tens of milliseconds where there are many). What can't be told is taken for open.
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
	// A header (length, type, flags) and inet_diag_req_v2 of linux/inet_diag.h, for one socket without a cookie.
	request := make([]byte, 16+56)
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
	default: // an error: there is none
		return syscall.Errno(-int32(binary.NativeEndian.Uint32(answer[16:]))) != syscall.ENOENT
	}
}

const netlinkInetDiag, sockDiagByFamily, tcpEstablished = 4, 20, 1 // of linux/netlink.h, sock_diag.h, tcp_states.h

// Close ends the listener.
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
