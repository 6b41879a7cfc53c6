package front

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// While one client sends without a pause, its connection needs a turn for each read, and others that pause need none.
func TestAnUnpausedConnectionWaitsForItsTurn(t *testing.T) {
	srv, e := startServer(t, nil)
	for range cap(srv.turns) { // all turns are taken
		srv.turns <- struct{}{}
	}
	flood := dial(t, srv)
	flood.send(strings.Repeat(command("PING"), 2000))
	flood.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := flood.reader.ReadByte(); err == nil {
		t.Fatal("read without a turn")
	}
	<-srv.turns
	flood.SetReadDeadline(time.Now().Add(testTimeout))
	flood.expect("+PONG")
	good := dial(t, srv)
	good.send(getCommand("first")) // with the turn that the flood gives back between two reads
	receive(t, e.submitted).Reply.Acked([]byte("v"))
	good.expect("$1", "v")
	waitUntil(t, "the reader to see the pause", func() bool { return hasPausedReader(srv) })
	srv.turns <- struct{}{}
	good.send(getCommand("second"))
	receive(t, e.submitted).Reply.Acked([]byte("v"))
	good.expect("$1", "v")
	go io.Copy(io.Discard, flood)
}

// hasPausedReader reports whether the client of any connection has sent and then paused.
func hasPausedReader(srv *Server) bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for c := range srv.conns {
		if c.input.unpaused.Load() == 0 {
			return true
		}
	}
	return false
}

// Commands that a client left unread must not be handled after its close.
func TestCommandsLeftUnreadByAClientThatIsGoneAreDropped(t *testing.T) {
	srv, e := startServer(t, nil)
	for range cap(srv.turns) {
		srv.turns <- struct{}{}
	}
	c := dial(t, srv)
	waitUntil(t, "the connection", func() bool { return srv.OpenConns() == 1 })
	for i := range 100 {
		c.send(getCommand(fmt.Sprint("id", i)))
	}
	c.Close()
	waitUntil(t, "the close to arrive", func() bool {
		return srv.withOnlyConn(func(c *conn) bool { return c.source.hasRemoteClose() })
	})
	<-srv.turns
	waitUntil(t, "the connection to end", func() bool { return srv.OpenConns() == 0 })
	if len(e.submitted) > 0 {
		t.Errorf("%d requests were handled", len(e.submitted))
	}
}

// A connection that holds a turn for its last input must give it back when it waits for memory or space, or ends.
func TestTurnsAreGivenBack(t *testing.T) {
	srv, e := startServer(t, nil)
	for _, sent := range []string{"NONSENSE\r\n", command("PING"), getCommand("open"), command("CACHE.SET", "k", "id", "c=put,d=50", strings.Repeat("x", 5000))[:4000]} {
		c := dial(t, srv)
		c.send(strings.Repeat(command("PING"), 3000) + sent)
		go io.Copy(io.Discard, c)
	}
	receive(t, e.submitted)
	waitUntil(t, "all turns to be free", func() bool { return len(srv.turns) == 0 })
}
