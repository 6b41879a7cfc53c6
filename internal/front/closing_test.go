package front

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"minttray/decide/lifecycle"
	"minttray/internal/engine"
)

// gatedConn is a client's connection that waits behind a read or ahead of a write until it is let go.
type gatedConn struct {
	net.Conn
	read, write gate
}

// gate holds a goroutine up once.
type gate struct{ reached, open chan struct{} }

func newGate() gate { return gate{make(chan struct{}), make(chan struct{})} }

func (g gate) pass() {
	if g.reached == nil {
		return
	}
	select {
	case <-g.open:
		return
	default:
	}
	close(g.reached)
	<-g.open
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read.pass()
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	c.write.pass()
	return c.Conn.Write(b)
}

// pair makes a connection, has one end taken in by the proxy, and gives its client.
func pair(t *testing.T, take func(net.Conn)) *client { return pairOn(t, "tcp", "127.0.0.1:0", take) }

func pairOn(t *testing.T, network, addr string, take func(net.Conn)) *client {
	t.Helper()
	l, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	theirs, err := net.Dial(network, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ours, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { theirs.Close(); ours.Close() })
	theirs.SetDeadline(time.Now().Add(patience))
	take(ours)
	return newClient(t, theirs)
}

// gated admits a connection with the given gates, and gives its client.
func gated(t *testing.T, f *Server, read, write gate) *client {
	t.Helper()
	return pair(t, func(ours net.Conn) { f.admit(&gatedConn{ours, read, write}, time.Now()) })
}

// closers are the ways in which the proxy ends a client's connection by itself.
var closers = map[string]func(f *Server){
	"to make way": func(f *Server) {
		f.mu.Lock()
		chosen, _ := f.dispensable(time.Now().Add(time.Hour), false)
		f.mu.Unlock()
		if chosen != nil {
			chosen.makeWay()
		}
	},
	"as clients are sent away": func(f *Server) { f.ApplyPhase(lifecycle.CloseInformed, false, 0) },
	"as the process ends":      func(f *Server) { f.ApplyPhase(lifecycle.CloseAll, true, 0) },
	"as one that nobody uses":  func(f *Server) { f.ApplyPhase(lifecycle.KeepOpen, true, 1) },
}

// Danger: an answer has left the table of open requests, and is not written yet: the connection looks as if nothing was owed on it.
func TestAnAnswerBeingWrittenIsNotLost(t *testing.T) {
	for name, end := range closers {
		t.Run(name, func(t *testing.T) {
			f, e := serve(t, nil)
			write := newGate()
			c := gated(t, f, gate{}, write)
			c.send(get("a"))
			wait(t, e.taken).Reply.Acked([]byte("v"))
			wait(t, write.reached)
			end(f)
			close(write.open)
			c.want("$1", "v")
		})
	}
}

// Danger: a request has been read, and the connection ends before the reader has noted it: it would never be handed in, nor answered.
func TestARequestThatHasBeenReadIsAnswered(t *testing.T) {
	for name, end := range closers {
		t.Run(name, func(t *testing.T) {
			f, e := serve(t, nil)
			read := newGate()
			c := gated(t, f, read, gate{})
			c.send(get("a"))
			wait(t, read.reached)
			end(f)
			close(read.open)
			select {
			case o := <-e.taken:
				o.Reply.Acked([]byte("v"))
				c.want("$1", "v")
			case <-time.After(time.Second):
				t.Fatalf("it was not handed in, and its client got %q", c.line())
			}
		})
	}
}

// Danger: a request with which the front itself fails has been read, and its place in the order holds up all others.
func TestARequestThatPanicsIsAnswered(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(get("a") + get("panic"))
	wait(t, e.taken).Reply.Acked([]byte("v"))
	c.want("$1", "v", "-ERR dead-lettered: it may have run", "EOF")
}

// Danger: a connection ends for its bad commands, and a request that was read with them is dropped.
func TestARequestReadWithBadCommandsIsAnswered(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(strings.Repeat(words("NONSENSE"), mostRefused+5) + get("a") + words("NONSENSE") + get("b"))
	for range mostRefused {
		c.want("-ERR unknown command 'NONSENSE'")
	}
	c.want("-BUSY", "-BUSY", "EOF")
	if len(e.taken) > 0 {
		t.Error("a request was handed in on a connection that ends")
	}
}

// socketError is what a reset leaves at a socket whose other side has ended before.
func socketError(t *testing.T, nc net.Conn) (found syscall.Errno) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		n, _ := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		found = syscall.Errno(n)
	})
	return found
}

// Danger: what comes behind our end is read and thrown away: a request that was read would be lost. Unread, it makes the close a reset, by which its
// client knows that it was not taken.
func TestNothingIsReadBehindTheEnd(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(get("a"))
	wait(t, e.taken).Reply.Acked([]byte("v"))
	c.want("$1", "v")
	f.ApplyPhase(lifecycle.CloseAll, true, 0)
	c.want("EOF")
	c.send(get("late"))
	until(t, "a reset", func() bool { return socketError(t, c.Conn) == syscall.EPIPE })
	if len(e.taken) > 0 {
		t.Error("a request was handed in behind the end")
	}
}

// gatedSocket is a client's connection whose reader waits ahead of its first read, while all else sees the socket.
type gatedSocket struct {
	*net.TCPConn
	read gate
}

type gatedRaw struct {
	syscall.RawConn
	read gate
}

func (c *gatedSocket) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return gatedRaw{raw, c.read}, err
}

func (r gatedRaw) Read(f func(fd uintptr) bool) error {
	r.read.pass()
	return r.RawConn.Read(f)
}

// Danger: a new connection is closed before its reader has come to it, with a request that its client has sent: its client can't take that for a
// crossing between two requests.
func TestARequestUnreadOnANewConnectionIsAnswered(t *testing.T) {
	for name, end := range closers {
		t.Run(name, func(t *testing.T) {
			f, e := serve(t, nil)
			read := newGate()
			var ours *gatedSocket
			c := pair(t, func(nc net.Conn) {
				ours = &gatedSocket{nc.(*net.TCPConn), read}
				f.admit(ours, time.Now())
			})
			wait(t, read.reached)
			c.send(get("a"))
			until(t, "it has come", func() bool { return pending(ours.TCPConn) })
			end(f)
			close(read.open)
			wait(t, e.taken).Reply.Acked([]byte("v"))
			c.want("$1", "v")
		})
	}
}

// Danger: there is no room for a newcomer, and its connection is closed with its request: it is refused, and handed in nowhere.
func TestANewcomerWithoutRoomIsRefused(t *testing.T) {
	f, e := serve(t, func(f *Server) { f.MaxConns.Store(2) })
	var busy []*client
	for n := range 2 {
		c := dial(t, f)
		c.send(get(fmt.Sprint("busy", n)))
		busy = append(busy, c)
	}
	open := []*engine.Op{wait(t, e.taken), wait(t, e.taken)}
	c := dial(t, f)
	c.send(get("a") + get("b"))
	c.want("-BUSY", "-BUSY", "EOF")
	c = dial(t, f)
	c.send(words("PING"))
	c.want("+PONG", "EOF")
	for _, o := range open { // in the order in which they came, which need not be that of their clients
		o.Reply.Acked([]byte("v"))
	}
	for _, c := range busy {
		c.want("$1", "v")
	}
	if len(e.taken) > 0 || f.crowded.Load() > 0 {
		t.Errorf("%d handed in, %d closed unread", len(e.taken), f.crowded.Load())
	}
}
