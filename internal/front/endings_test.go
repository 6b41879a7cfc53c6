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

// only gives the front's one connection, as it looks under its mutex.
func (f *Server) only(look func(c *conn) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		defer c.mu.Unlock()
		return look(c)
	}
	return false
}

// leaves are the ways in which a client goes.
var leaves = map[string]func(c net.Conn){
	"closes": func(c net.Conn) { c.Close() },
	"resets": func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	// One that can't be told from a closed connection before an answer is written: it counts as gone.
	"closes its sending side": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
}

// Danger: nothing is read from a client whose connection is to end, or that has too much open, or whose value finds no room; who then
// sees it leave? Each place is forced: the client goes once the reader stands there, and with bytes unread ahead of its end.
func TestAClientThatLeavesWhileNothingIsReadFromIt(t *testing.T) {
	for name, place := range map[string]struct {
		open int // ops on the connection as the client goes
		stop func(t *testing.T, f *Server, c *client)
	}{
		"its connection is to end": {3, func(t *testing.T, f *Server, c *client) {
			f.ApplyPhase(lifecycle.CloseAll, true, 0)
			until(t, "stopped", func() bool { return f.only(func(c *conn) bool { return c.unread }) })
			c.send(get("crossing"))
		}},
		"its framing is lost": {3, func(t *testing.T, f *Server, c *client) {
			c.send("what is this\r\n" + strings.Repeat("x", 1000))
			until(t, "stopped", func() bool { return f.only(func(c *conn) bool { return c.unread }) })
			c.send(get("behind"))
		}},
		"too much is open": {mostWaiting, func(t *testing.T, f *Server, c *client) {
			for i := range mostWaiting {
				c.send(get(fmt.Sprint("more", i)))
			}
		}},
		"its value finds no room": {3, func(t *testing.T, f *Server, c *client) {
			if !f.long.TryAcquire(f.MaxLongValueBytes) {
				t.Fatal("no room at all")
			}
			c.send(fmt.Sprintf("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$4\r\nlong\r\n$16\r\nc=read,d=5000,x=\r\n$%d\r\nvvv", 1<<20))
			until(t, "waiting", func() bool { return f.only(func(c *conn) bool { return c.half && c.heard }) })
		}},
	} {
		for way, leave := range leaves {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				f, e := serve(t, nil)
				f.room = time.Hour
				c := dial(t, f)
				open := map[*engine.Op]bool{}
				for i := range place.open {
					c.send(get(fmt.Sprint("op", i)))
					open[wait(t, e.taken)] = true
				}
				place.stop(t, f, c)
				leave(c.Conn)
				for range place.open {
					o := wait(t, e.left)
					if !open[o] {
						t.Fatal("an op that was not open, or twice")
					}
					delete(open, o)
				}
				until(t, "ended", func() bool { return f.OpenConns() == 0 })
			})
		}
	}
}

// The watch takes nothing: what was unread meanwhile is read afterwards, and a client that stays gets all its answers.
func TestWhatWaitsUnreadIsReadAfterwards(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	const more = 5
	for i := range mostWaiting + more {
		c.send(get(fmt.Sprint("op", i)))
	}
	var ops []*engine.Op
	for range mostWaiting {
		ops = append(ops, wait(t, e.taken))
	}
	select {
	case <-e.taken:
		t.Fatal("more taken than may wait")
	default:
	}
	for i := range mostWaiting + more {
		if i >= len(ops) {
			ops = append(ops, wait(t, e.taken))
		}
		ops[i].Reply.Acked([]byte("v"))
		c.want("$1", "v")
	}
	c.send(words("PING"))
	c.want("+PONG")
	if len(e.left) > 0 {
		t.Error("a client that stayed counts as gone")
	}
}

// Danger: a connection is chosen to make way, and a command comes on it just then: it would be handed in and never answered.
func TestACommandThatCrossesMakingWay(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(words("PING"))
	c.want("+PONG")
	choose := func() *conn {
		f.mu.Lock()
		defer f.mu.Unlock()
		chosen, _ := f.dispensable(time.Now().Add(time.Hour), false)
		return chosen
	}
	var chosen *conn
	until(t, "idle", func() bool { chosen = choose(); return chosen != nil }) // its answer comes ahead of the writer's word that it is written
	c.send(get("crossing"))
	o := wait(t, e.taken)
	if chosen.makeWay() {
		t.Error("made way with an op open")
	}
	o.Reply.Acked([]byte("v"))
	c.want("$1", "v")

	// What has been read, but has no place yet, counts as well: half a command, and all of one that waits to be handed in.
	until(t, "idle", func() bool { return choose() != nil })
	chosen = choose()
	c.send(get("half")[:10])
	until(t, "read", func() bool { return f.only(func(c *conn) bool { return c.half }) })
	if chosen.makeWay() {
		t.Error("made way with half a command read")
	}
	c.send(get("half")[10:])
	wait(t, e.taken).Reply.Nacked(0)
	c.want("-BUSY")

	// With nothing on it, it does; a command behind that is not taken, and its client sees the end.
	until(t, "idle", func() bool { return choose() != nil })
	if chosen = choose(); !chosen.makeWay() {
		t.Error("an idle connection did not make way")
	}
	if got := c.line(); got != "EOF" {
		t.Error(got)
	}
	until(t, "ended", func() bool { return f.OpenConns() == 0 })
	if chosen.got() {
		t.Error("something was taken behind the end")
	}
	if len(e.taken) > 0 {
		t.Error("something was handed in behind the end")
	}
}

// Danger: the reset that unread input causes overtakes the last answer.
func TestTheLastAnswerIsNotLostToUnreadInput(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(get("a"))
	o := wait(t, e.taken)
	f.ApplyPhase(lifecycle.CloseAll, true, 0)
	until(t, "stopped", func() bool { return f.only(func(c *conn) bool { return c.unread }) })
	c.send(strings.Repeat(get("crossing"), 500))
	o.Reply.Acked([]byte("v"))
	c.want("$1", "v", "EOF")
	if len(e.taken) > 0 || len(e.left) > 0 {
		t.Error("a command behind the end was taken, or one that was answered lost its client")
	}
}

// Danger: a client leaves in the instant in which a long value for it is announced, on another goroutine: half of what is written there
// is read, and closed. The connection's mutex is held as the value comes, and let go once it is waited for.
func TestAValueIsAnnouncedUnderTheMutex(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	f := &Server{Engine: &nobody{}, Metrics: figures.New(), MaxPendingBytes: 1 << 20, conns: map[*conn]struct{}{}, changed: make(chan struct{}, 1)}
	f.MaxConns.Store(1)
	c := newConn(f, ours, time.Now())
	s := &slot{c: c, op: &engine.Op{}}
	c.slots = []*slot{s}
	r, w := io.Pipe()
	c.mu.Lock()
	passed := make(chan bool)
	go func() {
		s.Streamed(engine.Body{Size: 100000, ReadCloser: r})
		close(passed)
	}()
	for late := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		stacks := make([]byte, 1<<20)
		stacks = stacks[:runtime.Stack(stacks, true)]
		waits := slices.ContainsFunc(strings.Split(string(stacks), "\n\n"), func(one string) bool {
			return strings.Contains(one, "(*slot).Passed") && strings.Contains(one, "(*Mutex).Lock")
		})
		if waits {
			break
		}
		if time.Now().After(late) {
			t.Fatal("it does not wait for the mutex")
		}
	}
	if s.body.Size != 0 || s.body.ReadCloser != nil {
		t.Error("the value is there already")
	}
	c.close(clientGone) // lets go of the mutex: the client has left first
	<-passed
	if _, err := w.Write([]byte("v")); err != io.ErrClosedPipe {
		t.Errorf("its server's connection waits for nobody: %v", err)
	}
}

type nobody struct{}

func (nobody) Submit(*engine.Op) error { return nil }
func (nobody) Abandon(*engine.Op)      {}
