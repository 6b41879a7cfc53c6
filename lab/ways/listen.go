package ways

import (
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	backlog   = 512
	mostPlugs = 8
	plugTime  = 20 * time.Millisecond // a handshake on loopback takes far less
)

// Listener gives connections that pass the ways from far. While a way between the two is cut no handshake comes up: the
// kernel drops the first packet of each when the queue of those to accept is full, so the listener makes that queue one
// place long, fills it with connections of its own, and takes none off until the ways are whole again.
type Listener struct {
	*net.TCPListener
	t         *RuleTable
	far, near Endpoint

	mu    sync.Mutex
	shut  bool
	whole time.Time // the ways were cut until then
	plugs []net.Conn
	over  chan struct{}
	once  sync.Once
}

// Listen opens a listener at a loopback address for connections from far to near.
func (t *RuleTable) Listen(addr string, far, near Endpoint) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &Listener{TCPListener: l.(*net.TCPListener), t: t, far: far, near: near, over: make(chan struct{})}
	t.follow(k, true)
	k.ruled(nil)
	return k, nil
}

// ruled shuts or opens the queue as the rules say now.
func (l *Listener) ruled(*Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := l.t.Cut(l.far, l.near)
	if cut == l.shut {
		return
	}
	if l.shut = cut; !cut {
		l.whole = time.Now()
		l.queue(backlog)
		for _, p := range l.plugs {
			p.Close()
		}
		l.plugs = nil
		return
	}
	l.queue(0)
	l.fill()
}

// fill fills the queue; the mutex is held.
func (l *Listener) fill() {
	for range mostPlugs {
		c, err := net.DialTimeout("tcp", l.Addr().String(), plugTime)
		if err != nil {
			return
		}
		l.plugs = append(l.plugs, c)
	}
}

// queue sets how many handshakes may wait to be accepted.
func (l *Listener) queue(n int) {
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
		waited := false
		for l.t.Cut(l.far, l.near) { // one that fills the queue, or came up just before: it stays where it is
			waited = true
			_, changed := l.t.is(l.far, l.near)
			l.mu.Lock()
			if l.shut { // it has left a place free
				l.fill()
			}
			l.mu.Unlock()
			select {
			case <-changed:
			case <-l.over:
				c.Close()
				return nil, net.ErrClosed
			}
		}
		// Danger: what a proxy wrote on a connection that stood in the queue, or on one that comes up when its kernel tries again,
		// seconds after the cut, it may have long given up. Those that fill the queue are closed by then as well.
		if (waited || l.lately()) && !open(c) {
			c.Close()
			continue
		}
		k := l.t.Through(c, l.far, l.near)
		if there, _ := l.t.is(l.far, l.near); l.t.draw(there.Reset) {
			k.Abort()
			continue
		}
		return k, nil
	}
}

const triedAgain = 30 * time.Second // by the kernel, after a cut

func (l *Listener) lately() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.whole) < triedAgain
}

// open tells whether the process at the other end of a connection still holds it open, by asking the kernel for that one socket
// (a table of all takes tens of milliseconds where there are many). What can't be told is taken for open.
func open(c net.Conn) bool {
	far, ok := c.RemoteAddr().(*net.TCPAddr)
	near, _ := c.LocalAddr().(*net.TCPAddr)
	if !ok || far.IP.To4() == nil {
		return true
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, inetDiag)
	if err != nil {
		return true
	}
	defer syscall.Close(fd)
	// A header (length, type, flags) and inet_diag_req_v2 of linux/inet_diag.h, for one socket without a cookie.
	ask := make([]byte, 16+56)
	binary.NativeEndian.PutUint32(ask, uint32(len(ask)))
	binary.NativeEndian.PutUint16(ask[4:], byFamily)
	binary.NativeEndian.PutUint16(ask[6:], syscall.NLM_F_REQUEST)
	ask[16], ask[17] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(ask[20:], ^uint32(0))
	binary.BigEndian.PutUint16(ask[24:], uint16(far.Port))
	binary.BigEndian.PutUint16(ask[26:], uint16(near.Port))
	copy(ask[28:], far.IP.To4())
	copy(ask[44:], near.IP.To4())
	binary.NativeEndian.PutUint64(ask[64:], ^uint64(0))
	if syscall.Sendto(fd, ask, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}) != nil {
		return true
	}
	answer := make([]byte, 4096)
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	switch {
	case err != nil || n < 20:
		return true
	case binary.NativeEndian.Uint16(answer[4:]) == byFamily:
		return answer[17] == established
	default: // an error: there is none
		return syscall.Errno(-int32(binary.NativeEndian.Uint32(answer[16:]))) != syscall.ENOENT
	}
}

const inetDiag, byFamily, established = 4, 20, 1 // of linux/netlink.h, sock_diag.h, tcp_states.h

// Close ends the listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.t.follow(l, false)
		close(l.over)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.plugs {
			p.Close()
		}
		l.plugs = nil
	})
	return l.TCPListener.Close()
}
