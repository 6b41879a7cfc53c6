package front

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"minttray/decide/lifecycle"
	"minttray/internal/engine"
	"minttray/internal/figures"
)

// withOnlyConn calls inspect with the server's only connection, under both mutexes.
func (srv *Server) withOnlyConn(inspect func(c *conn) bool) bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for c := range srv.conns {
		c.mu.Lock()
		defer c.mu.Unlock()
		return inspect(c)
	}
	return false
}

// clientExits are the ways in which a client leaves.
var clientExits = map[string]func(c net.Conn){
	"closes": func(c net.Conn) { c.Close() },
	"resets": func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	// Before an answer is written this cannot be told from a closed connection, so the client counts as gone.
	"closes its sending side": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
}

// Guards against a client's departure that is not detected while nothing is read from it: its connection is closing, too
// much is outstanding, or its long value waits for the budget. Each case is forced: the client leaves once the reader has
// reached that state, with unread bytes before its end of stream.
func TestAClientThatLeavesWhileNothingIsReadFromIt(t *testing.T) {
	for name, situation := range map[string]struct {
		open int // requests on the connection when the client leaves
		stop func(t *testing.T, srv *Server, c *client)
	}{
		"its connection is closing": {3, func(t *testing.T, srv *Server, c *client) {
			srv.ApplyPhase(lifecycle.CloseAll, true, 0)
			waitUntil(t, "stopped", func() bool { return srv.withOnlyConn(func(c *conn) bool { return c.readStopped }) })
			c.send(getCommand("crossing"))
		}},
		"its framing is lost": {3, func(t *testing.T, srv *Server, c *client) {
			c.send("what is this\r\n" + strings.Repeat("x", 1000))
			waitUntil(t, "stopped", func() bool { return srv.withOnlyConn(func(c *conn) bool { return c.readStopped }) })
			c.send(getCommand("behind"))
		}},
		"too much is outstanding": {maxOutstandingCommands, func(t *testing.T, srv *Server, c *client) {
			for i := range maxOutstandingCommands {
				c.send(getCommand(fmt.Sprint("more", i)))
			}
		}},
		"its value waits for the budget": {3, func(t *testing.T, srv *Server, c *client) {
			if !srv.longValueBudget.TryAcquire(srv.MaxLongValueBytes) {
				t.Fatal("the budget is not free")
			}
			c.send(fmt.Sprintf("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$4\r\nlong\r\n$16\r\nc=read,d=5000,x=\r\n$%d\r\nvvv", 1<<20))
			waitUntil(t, "waiting", func() bool {
				return srv.withOnlyConn(func(c *conn) bool { return c.hasUnhandledInput && c.commandSeen })
			})
		}},
	} {
		for exitName, leave := range clientExits {
			t.Run(name+", "+exitName, func(t *testing.T) {
				t.Parallel()
				srv, e := startServer(t, nil)
				srv.longValueWait = time.Hour
				c := dial(t, srv)
				open := map[*engine.Op]bool{}
				for i := range situation.open {
					c.send(getCommand(fmt.Sprint("op", i)))
					open[receive(t, e.submitted)] = true
				}
				situation.stop(t, srv, c)
				leave(c.Conn)
				for range situation.open {
					o := receive(t, e.gone)
					if !open[o] {
						t.Fatal("abandoned a request that was not open, or one twice")
					}
					delete(open, o)
				}
				waitUntil(t, "ended", func() bool { return srv.OpenConns() == 0 })
			})
		}
	}
}

// watchPeer consumes no input: what waited unread is read afterwards, and a client that stays gets all its answers.
func TestWhatWaitsUnreadIsReadAfterwards(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	const extra = 5
	for i := range maxOutstandingCommands + extra {
		c.send(getCommand(fmt.Sprint("op", i)))
	}
	var ops []*engine.Op
	for range maxOutstandingCommands {
		ops = append(ops, receive(t, e.submitted))
	}
	select {
	case <-e.submitted:
		t.Fatal("more requests submitted than may be outstanding")
	default:
	}
	for i := range maxOutstandingCommands + extra {
		if i >= len(ops) {
			ops = append(ops, receive(t, e.submitted))
		}
		ops[i].Reply.Acked([]byte("v"))
		c.expect("$1", "v")
	}
	c.send(command("PING"))
	c.expect("+PONG")
	if len(e.gone) > 0 {
		t.Error("a request of a client that stayed was abandoned")
	}
}

// Guards against a lost command: a connection is selected for eviction while a command arrives on it, which would
// never be answered.
func TestACommandThatCrossesMakingWay(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(command("PING"))
	c.expect("+PONG")
	candidate := func() *conn {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		chosen, _ := srv.evictionCandidate(time.Now().Add(time.Hour), false)
		return chosen
	}
	var chosen *conn
	waitUntil(t, "idle", func() bool { chosen = candidate(); return chosen != nil }) // the client can read its answer before the writer records it as written
	c.send(getCommand("crossing"))
	o := receive(t, e.submitted)
	if chosen.evict() {
		t.Error("evicted with a request open")
	}
	o.Reply.Acked([]byte("v"))
	c.expect("$1", "v")

	// Input that has been read and has no slot yet counts as pending work too: a partial command, and a complete one before
	// its submission.
	waitUntil(t, "idle", func() bool { return candidate() != nil })
	chosen = candidate()
	c.send(getCommand("half")[:10])
	waitUntil(t, "read", func() bool { return srv.withOnlyConn(func(c *conn) bool { return c.hasUnhandledInput }) })
	if chosen.evict() {
		t.Error("evicted with a partial command read")
	}
	c.send(getCommand("half")[10:])
	receive(t, e.submitted).Reply.Nacked(0)
	c.expect("-BUSY")

	// Without pending work it is evicted; a later command is not read, and its client sees the close.
	waitUntil(t, "idle", func() bool { return candidate() != nil })
	if chosen = candidate(); !chosen.evict() {
		t.Error("an idle connection was not evicted")
	}
	if got := c.readLine(); got != "EOF" {
		t.Errorf("got %q, want EOF", got)
	}
	waitUntil(t, "ended", func() bool { return srv.OpenConns() == 0 })
	if chosen.markInputRead() {
		t.Error("input was recorded after the close")
	}
	if len(e.submitted) > 0 {
		t.Error("a request was submitted after the close")
	}
}

// Guards against a lost answer: closing with unread input resets the connection, and the reset can overtake the answer.
func TestTheLastAnswerIsNotLostToUnreadInput(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(getCommand("a"))
	o := receive(t, e.submitted)
	srv.ApplyPhase(lifecycle.CloseAll, true, 0)
	waitUntil(t, "stopped", func() bool { return srv.withOnlyConn(func(c *conn) bool { return c.readStopped }) })
	c.send(strings.Repeat(getCommand("crossing"), 500))
	o.Reply.Acked([]byte("v"))
	c.expect("$1", "v", "EOF")
	if len(e.submitted) > 0 || len(e.gone) > 0 {
		t.Error("a command after the close was submitted, or an answered request was abandoned")
	}
}

// Guards against a data race: a client leaves while another goroutine announces a long value for it, and abort closes a
// slot that is only partly set. The test holds the connection's mutex until the announcement waits for it.
func TestAValueIsAnnouncedUnderTheMutex(t *testing.T) {
	serverSide, clientSide := net.Pipe()
	defer clientSide.Close()
	srv := &Server{Engine: &noopEngine{}, Metrics: figures.New(), MaxPendingBytes: 1 << 20, conns: map[*conn]struct{}{}, connClosed: make(chan struct{}, 1)}
	srv.MaxConns.Store(1)
	c := newConn(srv, serverSide, time.Now())
	s := &slot{conn: c, op: &engine.Op{}}
	c.slots = []*slot{s}
	r, w := io.Pipe()
	c.mu.Lock()
	streamed := make(chan bool)
	go func() {
		s.Streamed(engine.Body{Size: 100000, ReadCloser: r})
		close(streamed)
	}()
	for giveUpAt := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		stacks := make([]byte, 1<<20)
		stacks = stacks[:runtime.Stack(stacks, true)]
		waitsForMutex := slices.ContainsFunc(strings.Split(string(stacks), "\n\n"), func(goroutine string) bool {
			return strings.Contains(goroutine, "(*slot).Streamed") && strings.Contains(goroutine, "(*Mutex).Lock")
		})
		if waitsForMutex {
			break
		}
		if time.Now().After(giveUpAt) {
			t.Fatal("Streamed does not wait for the mutex")
		}
	}
	if s.body.Size != 0 || s.body.ReadCloser != nil {
		t.Error("the value was set without the mutex")
	}
	c.abortAndUnlock(clientGone) // releases the mutex: the client has left first
	<-streamed
	if _, err := w.Write([]byte("v")); err != io.ErrClosedPipe {
		t.Errorf("writing the value: got %v, want io.ErrClosedPipe", err)
	}
}

type noopEngine struct{}

func (noopEngine) Submit(*engine.Op) error { return nil }
func (noopEngine) Abandon(*engine.Op)      {}
