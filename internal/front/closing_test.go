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

// gatedConn is a client's connection that is held after a read or before a write until its gate opens.
type gatedConn struct {
	net.Conn
	read, write gate
}

// gate holds one goroutine until it is opened. The zero value holds none.
type gate struct{ reached, open chan struct{} }

func newGate() gate { return gate{make(chan struct{}), make(chan struct{})} }

func (g gate) wait() {
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
		c.read.wait()
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	c.write.wait()
	return c.Conn.Write(b)
}

// connPair makes a connection, passes the server's end to admit and returns the client's.
func connPair(t *testing.T, admit func(net.Conn)) *client {
	return connPairOn(t, "tcp", "127.0.0.1:0", admit)
}

func connPairOn(t *testing.T, network, addr string, admit func(net.Conn)) *client {
	t.Helper()
	l, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	clientSide, err := net.Dial(network, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverSide, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { clientSide.Close(); serverSide.Close() })
	clientSide.SetDeadline(time.Now().Add(testTimeout))
	admit(serverSide)
	return newClient(t, clientSide)
}

// admitGated admits a connection with the given gates and returns its client.
func admitGated(t *testing.T, srv *Server, read, write gate) *client {
	t.Helper()
	return connPair(t, func(serverSide net.Conn) { srv.admit(&gatedConn{serverSide, read, write}, time.Now()) })
}

// closers are the ways in which the proxy closes a client's connection on its own.
var closers = map[string]func(srv *Server){
	"eviction": func(srv *Server) {
		srv.mu.Lock()
		candidate, _ := srv.evictionCandidate(time.Now().Add(time.Hour), false)
		srv.mu.Unlock()
		if candidate != nil {
			candidate.evict()
		}
	},
	"lame duck":         func(srv *Server) { srv.ApplyPhase(lifecycle.CloseInformed, false, 0) },
	"process end":       func(srv *Server) { srv.ApplyPhase(lifecycle.CloseAll, true, 0) },
	"unused connection": func(srv *Server) { srv.ApplyPhase(lifecycle.KeepOpen, true, 1) },
}

// Guards against a lost answer: it has been removed from the slots and is not written yet, so the connection looks as if
// it had no pending work.
func TestAnAnswerBeingWrittenIsNotLost(t *testing.T) {
	for name, end := range closers {
		t.Run(name, func(t *testing.T) {
			srv, e := startServer(t, nil)
			write := newGate()
			c := admitGated(t, srv, gate{}, write)
			c.send(getCommand("a"))
			receive(t, e.submitted).Reply.Acked([]byte("v"))
			receive(t, write.reached)
			end(srv)
			close(write.open)
			c.expect("$1", "v")
		})
	}
}

// Guards against a lost request: it has been read, and the connection is closed before the reader has recorded it.
func TestARequestThatHasBeenReadIsAnswered(t *testing.T) {
	for name, end := range closers {
		t.Run(name, func(t *testing.T) {
			srv, e := startServer(t, nil)
			read := newGate()
			c := admitGated(t, srv, read, gate{})
			c.send(getCommand("a"))
			receive(t, read.reached)
			end(srv)
			close(read.open)
			select {
			case o := <-e.submitted:
				o.Reply.Acked([]byte("v"))
				c.expect("$1", "v")
			case <-time.After(time.Second):
				t.Fatalf("the request was not submitted, and its client got %q", c.readLine())
			}
		})
	}
}

// Guards against answers that are never written: the request that panics in the front end has been read, and its slot
// holds up all later ones.
func TestARequestThatPanicsIsAnswered(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(getCommand("a") + getCommand("panic"))
	receive(t, e.submitted).Reply.Acked([]byte("v"))
	c.expect("$1", "v", "-ERR dead-lettered: it may have run", "EOF")
}

// Guards against a lost request: it was read together with the bad commands that its connection is closed for.
func TestARequestReadWithBadCommandsIsAnswered(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(strings.Repeat(command("NONSENSE"), maxBadCommands+5) + getCommand("a") + command("NONSENSE") + getCommand("b"))
	for range maxBadCommands {
		c.expect("-ERR unknown command 'NONSENSE'")
	}
	c.expect("-BUSY", "-BUSY", "EOF")
	if len(e.submitted) > 0 {
		t.Error("a request was submitted on a connection that closes")
	}
}

// socketError returns the pending error that a reset leaves on a socket whose peer has closed its side before.
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

// Guards against a lost request: input that arrives after the proxy's close must stay unread. It then makes the close a
// reset, by which the client knows that its request was not handled.
func TestNothingIsReadBehindTheEnd(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(getCommand("a"))
	receive(t, e.submitted).Reply.Acked([]byte("v"))
	c.expect("$1", "v")
	srv.ApplyPhase(lifecycle.CloseAll, true, 0)
	c.expect("EOF")
	c.send(getCommand("late"))
	waitUntil(t, "a reset", func() bool { return socketError(t, c.Conn) == syscall.EPIPE })
	if len(e.submitted) > 0 {
		t.Error("a request was submitted after the close")
	}
}

// gatedSocket is a client's connection whose reader is held before its first read, while all else uses the socket.
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
	r.read.wait()
	return r.RawConn.Read(f)
}

// Guards against a lost request: a new connection is closed before its reader has run, after its client has sent a
// request. To the client, that does not look like the usual close between two requests.
func TestARequestUnreadOnANewConnectionIsAnswered(t *testing.T) {
	for name, end := range closers {
		t.Run(name, func(t *testing.T) {
			srv, e := startServer(t, nil)
			read := newGate()
			var serverSide *gatedSocket
			c := connPair(t, func(nc net.Conn) {
				serverSide = &gatedSocket{nc.(*net.TCPConn), read}
				srv.admit(serverSide, time.Now())
			})
			receive(t, read.reached)
			c.send(getCommand("a"))
			waitUntil(t, "unread input", func() bool { return hasUnreadInput(serverSide.TCPConn) })
			end(srv)
			close(read.open)
			receive(t, e.submitted).Reply.Acked([]byte("v"))
			c.expect("$1", "v")
		})
	}
}

// Guards against a request that is dropped for lack of room: the new connection is admitted as overflow, and its request
// is refused and not submitted.
func TestANewcomerWithoutRoomIsRefused(t *testing.T) {
	srv, e := startServer(t, func(srv *Server) { srv.MaxConns.Store(2) })
	var busy []*client
	for n := range 2 {
		c := dial(t, srv)
		c.send(getCommand(fmt.Sprint("busy", n)))
		busy = append(busy, c)
	}
	open := []*engine.Op{receive(t, e.submitted), receive(t, e.submitted)}
	c := dial(t, srv)
	c.send(getCommand("a") + getCommand("b"))
	c.expect("-BUSY", "-BUSY", "EOF")
	c = dial(t, srv)
	c.send(command("PING"))
	c.expect("+PONG", "EOF")
	for _, o := range open { // in order of arrival, which can differ from that of the clients
		o.Reply.Acked([]byte("v"))
	}
	for _, c := range busy {
		c.expect("$1", "v")
	}
	if len(e.submitted) > 0 || srv.rejectedConns.Load() > 0 {
		t.Errorf("%d requests submitted, %d connections closed unread", len(e.submitted), srv.rejectedConns.Load())
	}
}
