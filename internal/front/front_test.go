package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/lifecycle"
	"minttray/internal/buffer"
	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/settings"
	"minttray/policy"
)

const patience = 10 * time.Second // bound of waits that end by an event; no verdict hangs on it

var known = settings.Settings{Categories: []string{"read", "put"}, Tenants: []string{"acme"},
	Policy: policy.Settings{Categories: make([]policy.Category, 2)}}

// fakeEngine hands ops to the test.
type fakeEngine struct {
	taken chan *engine.Op
	left  chan *engine.Op
	full  bool
}

func (e *fakeEngine) Submit(o *engine.Op) error {
	switch {
	case o.Request.ID == "panic":
		panic("in the front")
	case o.Request.ID == "twice":
		return engine.ErrDuplicateID
	case e.full:
		return engine.ErrFull
	}
	e.taken <- o
	return nil
}
func (e *fakeEngine) Abandon(o *engine.Op) { e.left <- o }

func serve(t *testing.T, change func(*Server)) (*Server, *fakeEngine) {
	t.Helper()
	e := &fakeEngine{make(chan *engine.Op, 1000), make(chan *engine.Op, 1000), false}
	book := figures.New()
	f := &Server{Engine: e, Metrics: book, Names: NewNameTable(known, book), MaxPendingBytes: 1 << 20, MaxLongValueBytes: 1 << 20,
		Log: zerolog.Nop()}
	f.MaxConns.Store(100)
	if change != nil {
		change(f)
	}
	if err := f.Listen("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	go f.Serve()
	t.Cleanup(func() { f.listener.Close() })
	return f, e
}

type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, f *Server) *client {
	t.Helper()
	c, err := net.Dial("tcp", f.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return newClient(t, c)
}

func newClient(t *testing.T, c net.Conn) *client { return &client{t, c, bufio.NewReader(c)} }

func words(w ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(w))
	for _, word := range w {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	return s
}

func get(id string) string { return words("CACHE.GET", "7f3a9c21e0b4d655", id, "c=read,t=acme,d=480") }

func (c *client) send(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) line() string {
	c.t.Helper()
	line, err := c.r.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSuffix(line, "\r\n")
}

func (c *client) want(lines ...string) {
	c.t.Helper()
	for _, want := range lines {
		if got := c.line(); got != want {
			c.t.Fatalf("got %q, want %q", got, want)
		}
	}
}

func wait[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return v
}

func TestPipelinedAnswersComeInOrder(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	whole := get("a") + words("PING") + get("b") + get("c") + words("SELECT", "0") + get("d")
	c.send(whole[:50])
	c.send(whole[50:])
	var ops []*engine.Op
	for range 4 { // all are taken while none is answered
		ops = append(ops, wait(t, e.taken))
	}
	ops[3].Reply.DeadLettered()
	ops[2].Reply.Nacked(1500 * time.Microsecond)
	ops[1].Reply.Nacked(0)
	ops[0].Reply.Acked([]byte("v"))
	c.want("$1", "v", "+PONG", "-BUSY", "-BUSY 2", "+OK", "-ERR dead-lettered: it may have run")
}

// passedOn is the list that an attempt sends on whose answer is waited for so long.
func passedOn(t *testing.T, r *engine.Request, now time.Time, wait time.Duration) string {
	t.Helper()
	passed, err := r.Deadline.ForAttempt(now, now.Add(wait), deadline.SingleWrite)
	if err != nil {
		t.Fatal(err)
	}
	return string(r.Properties.Append(nil, passed))
}

func TestOpIsAsTheClientSentIt(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(words("cache.set", "7f3a9c21e0b4d655", "id1", "d=480,c=put,size=9,r=1,t=acme", "a value"))
	o := wait(t, e.taken)
	r := &o.Request
	if o.Key != 0x7f3a9c21e0b4d655 || o.Category != 1 || o.Tenant != 0 || r.Deadline.Remaining(o.ReceivedAt) != 480*time.Millisecond || !r.Write ||
		r.ID != "id1" || string(r.Value) != "a value" || passedOn(t, r, o.ReceivedAt, 7*time.Millisecond) != "d=7,c=put,size=9,r=1,t=acme" {
		t.Errorf("%+v", o)
	}
	o.Reply.Acked([]byte("ok"))
	c.want("$2", "ok")
	c.send(words("CACHE.GET", "no number", "id2", "c=read,d=1"))
	c.want("-ERR key is empty, too long or not plain text")
	c.send(words("CACHE.GET", "no-number", "id2", "c=read,d=1"))
	if o := wait(t, e.taken); o.Key == 0 || o.Tenant != engine.NoTenant {
		t.Errorf("%+v", o)
	}
}

func TestClientThatGoesAwayIsToldAtOnce(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(get("a") + get("b"))
	a, b := wait(t, e.taken), wait(t, e.taken)
	a.Reply.Acked([]byte("v"))
	c.want("$1", "v")
	c.Close()
	if o := wait(t, e.left); o != b {
		t.Error("the wrong op was given up")
	}
	b.Reply.Acked([]byte("nobody reads this"))
}

func TestBadCommands(t *testing.T) {
	long := strings.Repeat("x", 64<<10+1)
	f, e := serve(t, nil)
	for sent, want := range map[string]string{
		words("GET", "k"):                                         "-ERR unknown command 'GET'",
		words("CACHE.GET", "k", "id"):                             "-ERR wrong number of arguments: 4 words wanted, 3 came",
		words("CACHE.GET", "k", "id", "c=read,d=5", "v"):          "-ERR wrong number of arguments: 4 words wanted, 5 came",
		words("CACHE.SET", "k", "id", "c=read,d=5"):               "-ERR wrong number of arguments: 5 words wanted, 4 came",
		words("CACHE.GET", "", "id", "c=read,d=5"):                "-ERR key is empty, too long or not plain text",
		words("CACHE.GET", "k", "i\nd", "c=read,d=5"):             "-ERR id is empty, too long or not plain text",
		words("CACHE.GET", "k", "id", "c=\r\n,d=5"):               "-ERR line break in the properties",
		words("CACHE.GET", "k", "id", "c=else,d=5"):               `-ERR unknown or repeated class "else"`,
		words("CACHE.GET", "k", "id", "c=read,t=else,d=5"):        `-ERR unknown or repeated tenant "else"`,
		words("CACHE.GET", "k", "id", "c=read,t=acme,t=acme,d=5"): `-ERR unknown or repeated tenant "acme"`,
		words("CACHE.GET", "k", "id", "d=5"):                      "-ERR class (c) missing",
		words("CACHE.GET", "k", "id", ""):                         "-ERR class (c) missing",
		words("CACHE.GET", "k", "id", "c=read"):                   "-ERR waiting time (d) missing",
		words("CACHE.GET", "k", "id", "c=read,d=0"):               "-ERR d=0 is no waiting time in milliseconds",
		words("CACHE.GET", "k", "id", "c=read,d=-5"):              "-ERR d=-5 is no waiting time in milliseconds",
		words("CACHE.GET", "k", "id", "c=read,d=soon"):            "-ERR d=soon is no waiting time in milliseconds",
		words("CACHE.GET", "k", "id", "c=read,d=NaN"):             "-ERR d=NaN is no waiting time in milliseconds",
		words("CACHE.GET", "k", "id", "c=read,d=1e300"):           "-ERR d=1e300 is no waiting time in milliseconds",
		words("CACHE.GET", "k", "id", "c=read,d=5,d=5"):           "-ERR d=5 is no waiting time in milliseconds",
		words("CACHE.GET", "k", "id", "c=read,d="):                "-ERR d= is no waiting time in milliseconds",
		words("CACHE.GET", "k", "id", "c=read,d=3600001"):         "-ERR d=3600001 is no waiting time in milliseconds",
		words("CACHE.GET", "k", "id", "c=read,d=0x1p4"):           "-ERR d=0x1p4 is no waiting time in milliseconds",
		words("CACHE.GET", "k", "twice", "c=read,d=5"):            "-ERR an op with this id was taken before",
	} {
		c := dial(t, f)
		c.send(sent + words("PING"))
		c.want(want, "+PONG") // and the connection goes on
	}
	for _, sent := range []string{"*x\r\n", "*1\r\nPING\r\n", "*1\r\n$-2\r\nPING\r\n", "*1\r\n$9223372036854775807\r\nPING\r\n",
		"*1\r\n$3\r\nPING\r\n", "$4 PING\r\n", words(long, long), strings.Repeat("endless", 20000), "hello there\r\n", "CACHE.GET k id c=read,d=5\r\n", "*0\r\n",
		"*-1\r\n", "*2\r\n$-1\r\n", strings.Replace(words("CACHE.SET", "k", "id", "c=read,d=5", "v"), "$1\r\nv", "$4194305\r\nv", 1), "*5\r\n$60000000\r\n" + strings.Repeat("x", 1<<20)} {
		c := dial(t, f)
		c.send(words("PING"))
		c.want("+PONG")
		io.WriteString(c, sent) // its end may find the connection closed
		if line := c.line(); !strings.HasPrefix(line, "-ERR ") {
			t.Errorf("%.30q: answered %q", sent, line)
		}
		if line := c.line(); line != "EOF" {
			t.Errorf("%.30q: then %q, not the connection's end", sent, line)
		}
	}
	if n := len(e.taken); n > 0 {
		t.Errorf("%d ops made of bad commands", n)
	}
}

// Danger: memory taken on the word of a length, for a command that never comes.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	f, _ := serve(t, nil)
	c := newConn(f, nil, time.Now())
	r := strings.NewReader("*2\r\n$9\r\nCACHE.SET\r\n$65536\r\nhalf")
	for c.buf.Fill(r) == nil {
	}
	if n, _, err := next(c.buf.Bytes(), nil); n != 0 || err != nil {
		t.Errorf("half a command gave %d, %v", n, err)
	}
	if held := cap(c.buf.Bytes()); held > 8<<10 {
		t.Errorf("%d bytes held for 30", held)
	}
}

func TestOpsBeforeLostFramingAreAnswered(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(get("a") + "*garbage\r\n")
	o := wait(t, e.taken)
	o.Reply.Acked([]byte("v"))
	c.want("$1", "v")
	if line := c.line(); !strings.HasPrefix(line, "-ERR ") {
		t.Error(line)
	}
	c.want("EOF")
	if len(e.left) > 0 {
		t.Error("an op that was answered was given up")
	}
}

func TestPanicStopsAtTheConnection(t *testing.T) {
	f, e := serve(t, nil)
	other, c := dial(t, f), dial(t, f)
	c.send(get("a"))
	o := wait(t, e.taken)
	c.send(get("panic"))
	for f.panics.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	o.Reply.Acked([]byte("v"))
	c.want("$1", "v")
	other.send(words("PING"))
	other.want("+PONG")
}

// halfRead waits for a connection on which part of a command has been read.
func halfRead(f *Server) *conn {
	for {
		f.mu.Lock()
		for c := range f.conns {
			c.mu.Lock()
			half := c.half
			c.mu.Unlock()
			if half {
				f.mu.Unlock()
				return c
			}
		}
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// Danger: a command whose last byte is written is taken, though its connection was about to end when half of it
// had been read.
func TestHalfReadCommandIsTakenAtTheEnd(t *testing.T) {
	f, e := serve(t, nil)
	c, whole := dial(t, f), get("a")
	c.send(whole[:30])
	halfRead(f).finish()
	c.send(whole[30:])
	wait(t, e.taken).Reply.Acked([]byte("v"))
	c.want("$1", "v", "EOF")
	silent := dial(t, f)
	silent.send(whole[:30])
	halfRead(f).finish()
	silent.want("EOF")
}

func TestTurnedAwayWhereTooMuchIsHeld(t *testing.T) {
	f, e := serve(t, nil)
	e.full = true
	c := dial(t, f)
	c.send(get("a"))
	c.want("-BUSY")
}

// A slow reader's answers pile up to a bound; past it the connection ends, and nobody else waits.
func TestSlowReaderIsLetGo(t *testing.T) {
	f, e := serve(t, func(f *Server) { f.MaxPendingBytes = 256 << 10; f.MaxConns.Store(16) })
	c := dial(t, f)
	c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	value := make([]byte, 64<<10)
	go func() {
		for i := 0; i < 2000; i++ {
			if _, err := io.WriteString(c, get(fmt.Sprint(i))); err != nil {
				return
			}
		}
	}()
	for late := time.After(patience); f.slow.Load() == 0; {
		select {
		case o := <-e.taken:
			o.Reply.Acked(value)
		case <-time.After(10 * time.Millisecond):
		case <-late:
			t.Fatal("everything piled up")
		}
	}
	for f.piled.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
	other := dial(t, f)
	other.send(words("PING"))
	other.want("+PONG")
}

// until waits for what a counter or table will show.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for late := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("never: " + what)
		}
	}
}

// Danger: who says nothing, or stops in mid-command, holds a descriptor for good; good clients stay.
func TestSilentAndHalfConnectionsEnd(t *testing.T) {
	f, e := serve(t, nil)
	silent, half, busy := dial(t, f), dial(t, f), dial(t, f)
	half.send(get("a")[:20])
	busy.send(get("b"))
	o := wait(t, e.taken)
	silent.want("EOF")
	half.want("-ERR the rest of the command did not come", "EOF")
	o.Reply.Acked([]byte("v"))
	busy.want("$1", "v")
	if f.silent.Load() != 1 || f.halves.Load() != 1 {
		t.Errorf("%d silent, %d half", f.silent.Load(), f.halves.Load())
	}
	busy.want("EOF") // it asked once and stays for good
	if f.idle.Load() != 1 {
		t.Errorf("%d idle", f.idle.Load())
	}
	until(t, "buffers given back", func() bool { return f.buffered.Load() == 0 })
}

// Danger: hundreds that connect and say nothing keep good clients out, or have them thrown out.
func TestSilentConnectionsMakeWayForGoodOnes(t *testing.T) {
	f, e := serve(t, func(f *Server) { f.MaxConns.Store(8) })
	busy, idle := dial(t, f), dial(t, f)
	busy.send(get("a"))
	o := wait(t, e.taken)
	idle.send(words("PING"))
	idle.want("+PONG")
	for range 40 {
		dial(t, f)
	}
	good := dial(t, f)
	good.send(get("b"))
	wait(t, e.taken).Reply.Acked([]byte("w"))
	good.want("$1", "w")
	o.Reply.Acked([]byte("v"))
	busy.want("$1", "v")
	idle.send(words("PING"))
	idle.want("+PONG")
	if f.evicted.Load() < 30 {
		t.Errorf("%d evicted", f.evicted.Load())
	}
}

// Danger: where each newcomer waits for another's end in turn, a crowd that asks once and stays makes all of them wait
// until their time is up, and come again.
func TestCrowdThatStaysDoesNotHoldUpNewcomers(t *testing.T) {
	f, e := serve(t, func(f *Server) { f.MaxConns.Store(30) })
	var crowd []*client
	for range 30 {
		c := dial(t, f)
		c.send(words("PING"))
		c.want("+PONG")
		crowd = append(crowd, c) // never closes, whatever we do
	}
	time.Sleep(2 * fresh)
	for i := range 20 {
		c := dial(t, f)
		c.send(get(fmt.Sprint(i)))
		wait(t, e.taken).Reply.Acked([]byte("v"))
		c.want("$1", "v")
	}
	f.mu.Lock()
	n := len(f.conns)
	f.mu.Unlock()
	if n > int(f.MaxConns.Load()) || f.evicted.Load() < 20 || f.evicted.Load() > 40 || f.crowded.Load() > 0 {
		t.Errorf("%d open, %d evicted for 20 newcomers, %d turned away", n, f.evicted.Load(), f.crowded.Load())
	}
	for i, c := range crowd[:16] { // the longest idle ones have made way: half, and one for each newcomer from there on
		if line := c.line(); line != "EOF" {
			t.Errorf("%d: %s", i, line)
		}
	}
}

// Danger: clients may keep so many connections and no more; who asks once and stays uses them up.
func TestIdleOnesAreAtMostHalf(t *testing.T) {
	f, _ := serve(t, func(f *Server) { f.MaxConns.Store(40) })
	for range 20 {
		c := dial(t, f)
		c.send(words("PING"))
		c.want("+PONG")
	}
	time.Sleep(2 * fresh)
	busy := dial(t, f)
	busy.send(get("a"))
	if until(t, "one makes way", func() bool { return f.evicted.Load() == 1 }); f.crowded.Load() > 0 {
		t.Error("a newcomer was turned away")
	}
}

// Danger: buffers that each may grow do so together.
func TestHalfReadCommandsShareABound(t *testing.T) {
	f, _ := serve(t, func(f *Server) { f.MaxPendingBytes = 200 << 10 })
	half := words("CACHE.SET", "k", "id", "c=put,d=5", strings.Repeat("x", 64<<10))
	var turnedAway int
	for range 10 {
		c := dial(t, f)
		io.WriteString(c, half[:len(half)-5])
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if strings.HasPrefix(c.line(), "-ERR too much") {
			turnedAway++
		}
	}
	if held := f.buffered.Load(); turnedAway == 0 || held > f.MaxPendingBytes+int64(10*buffer.Most) {
		t.Errorf("%d turned away, %d bytes held", turnedAway, held)
	}
}

func TestOnlyBadCommandsEndTheConnection(t *testing.T) {
	f, e := serve(t, nil)
	c := dial(t, f)
	c.send(get("a") + strings.Repeat(words("NONSENSE"), 500))
	wait(t, e.taken).Reply.Acked([]byte("v"))
	c.want("$1", "v")
	for range mostRefused {
		c.want("-ERR unknown command 'NONSENSE'")
	}
	c.want("EOF")
	if f.hopeless.Load() != 1 {
		t.Errorf("%d hopeless", f.hopeless.Load())
	}
}

// Whatever comes: no panic, and what is taken for a command is one.
func FuzzCommand(f *testing.F) {
	for _, seed := range []string{get("a"), words("CACHE.SET", "k", "id", "c=put,t=acme,d=4.5", "v"), "*1\r\n$60000000\r\n", "PING\r\n",
		"*-1\r\n", words("CACHE.GET", "k", "id", "c=read,d=1e9,,=")} {
		f.Add([]byte(seed))
	}
	names := NewNameTable(known, figures.New())
	f.Fuzz(func(t *testing.T, b []byte) {
		n, w, err := next(b, nil)
		if n > len(b) || n > 0 && (err != nil || len(w) == 0) {
			t.Fatalf("%d, %q, %v", n, w, err)
		}
		if n == 0 {
			return
		}
		now := time.Now()
		if o, err := names.parse(w, len(w) == 5, now); err == nil && (o.Request.Deadline.Remaining(now) <= 0 || o.Key == 0 ||
			o.Request.Properties.Size() >= len(w[3]) || o.Request.Properties.Size() == 0 || !plain(o.Request.ID)) {
			t.Errorf("%q made %+v", b, o)
		}
	})
}

func TestIdleConnectionMakesRoomForANewOne(t *testing.T) {
	f, e := serve(t, func(f *Server) { f.MaxConns.Store(2) })
	busy, idle := dial(t, f), dial(t, f)
	busy.send(get("a"))
	o := wait(t, e.taken)
	idle.send(words("PING"))
	idle.want("+PONG")
	third := dial(t, f)
	third.send(words("PING"))
	third.want("+PONG")
	idle.want("EOF")
	o.Reply.Acked([]byte("v"))
	busy.want("$1", "v")
}

// Danger: what a proxy has taken before it ends is lost if a connection closes with it.
func TestStopLosesNothing(t *testing.T) {
	f, e := serve(t, nil)
	go func() { // ops are answered in their own time, and some only after the listener has gone
		for i := 0; ; i++ {
			o, ok := <-e.taken
			if !ok {
				return
			}
			time.AfterFunc(time.Duration(i%7)*60*time.Millisecond, func() { o.Reply.Acked([]byte(o.Request.ID)) })
		}
	}()
	var all sync.WaitGroup
	started := make(chan bool, 40)
	for n := range 40 {
		all.Add(1)
		go func() {
			defer all.Done()
			if n >= 20 {
				<-started // these come after the word to stop
			}
			c, err := net.Dial("tcp", f.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			r := bufio.NewReader(c)
			for i := range 100 {
				id := fmt.Sprint(n, "-", i)
				if _, err := io.WriteString(c, get(id)); err != nil {
					return // closed between ops
				}
				head, err := r.ReadString('\n')
				if err != nil && head == "" && i > 0 {
					return // closed between ops, as this one crossed
				}
				body, _ := r.ReadString('\n')
				if strings.TrimSpace(body) != id {
					t.Errorf("op %s: %q %q %v", id, head, body, err)
					return
				}
			}
		}()
	}
	time.AfterFunc(50*time.Millisecond, func() { close(started) })
	time.Sleep(400 * time.Millisecond)
	f.Close()
	for late := time.Now().Add(patience); f.OpenConns() > 0; time.Sleep(10 * time.Millisecond) {
		if f.ApplyPhase(lifecycle.CloseAll, true, 0); time.Now().After(late) {
			t.Fatalf("%d connections left", f.OpenConns())
		}
	}
	all.Wait()
	if len(e.left) > 0 {
		t.Errorf("%d ops given up", len(e.left))
	}
	if c, err := net.Dial("tcp", f.Addr()); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

// Danger: all clients of a process that was taken over come to the new one in one moment.
func TestIdleConnectionsEndInASpread(t *testing.T) {
	f, e := serve(t, nil)
	var idle []*client
	for i := range 40 {
		c := dial(t, f)
		c.send(get(fmt.Sprint("id", i)))
		wait(t, e.taken).Reply.Acked([]byte("v"))
		c.want("$1", "v")
		idle = append(idle, c)
	}
	busy := dial(t, f)
	busy.send(get("busy"))
	open := wait(t, e.taken)
	time.Sleep(newcomer + fresh)
	for _, part := range []float64{0.25, 0.5, 1} {
		want := len(idle) - int(part*float64(len(idle)))
		for late := time.Now().Add(patience); f.OpenConns() > want+1+3; time.Sleep(5 * time.Millisecond) {
			if f.ApplyPhase(lifecycle.CloseAfterReply, true, part); time.Now().After(late) {
				t.Fatalf("%d open at %v", f.OpenConns(), part)
			}
		}
		if left := f.OpenConns() - 1; left < want-3 {
			t.Errorf("%d left at %v, not about %d", left, part, want)
		}
	}
	open.Reply.Acked([]byte("late"))
	busy.want("$4", "late")
}
