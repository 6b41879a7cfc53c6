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
	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/memory"
	"minttray/internal/settings"
	"minttray/policy"
)

const testTimeout = 10 * time.Second // bound of waits for events that occur if the test passes

var testSettings = settings.Settings{Categories: []string{"read", "put"}, Tenants: []string{"acme"},
	Policy: policy.Settings{Categories: make([]policy.Category, 2)}}

// fakeEngine passes ops to the test.
type fakeEngine struct {
	submitted chan *engine.Op
	gone      chan *engine.Op
	full      bool
}

func (e *fakeEngine) Submit(o *engine.Op) error {
	switch {
	case o.Request.ID == "panic":
		panic("test panic")
	case o.Request.ID == "twice":
		return engine.ErrDuplicateID
	case e.full:
		return engine.ErrFull
	}
	e.submitted <- o
	return nil
}
func (e *fakeEngine) Abandon(o *engine.Op) { e.gone <- o }

func startServer(t *testing.T, change func(*Server)) (*Server, *fakeEngine) {
	t.Helper()
	e := &fakeEngine{make(chan *engine.Op, 1000), make(chan *engine.Op, 1000), false}
	book := figures.New()
	srv := &Server{Engine: e, Metrics: book, Names: NewNameTable(testSettings, book), MaxPendingBytes: 1 << 20, MaxLongValueBytes: 1 << 20,
		Log: zerolog.Nop()}
	srv.MaxConns.Store(100)
	if change != nil {
		change(srv)
	}
	if err := srv.Listen("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	go srv.Serve()
	t.Cleanup(func() { srv.listener.Close() })
	return srv, e
}

type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, srv *Server) *client {
	t.Helper()
	c, err := net.Dial("tcp", srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return newClient(t, c)
}

func newClient(t *testing.T, c net.Conn) *client { return &client{t, c, bufio.NewReader(c)} }

func command(args ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(args))
	for _, word := range args {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	return s
}

func getCommand(id string) string {
	return command("CACHE.GET", "7f3a9c21e0b4d655", id, "c=read,t=acme,d=480")
}

func (c *client) send(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) readLine() string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSuffix(line, "\r\n")
}

func (c *client) expect(lines ...string) {
	c.t.Helper()
	for _, want := range lines {
		if got := c.readLine(); got != want {
			c.t.Fatalf("got %q, want %q", got, want)
		}
	}
}

func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out")
	}
	return v
}

func TestPipelinedAnswersComeInOrder(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	commands := getCommand("a") + command("PING") + getCommand("b") + getCommand("c") + command("SELECT", "0") + getCommand("d")
	c.send(commands[:50])
	c.send(commands[50:])
	var ops []*engine.Op
	for range 4 { // all are submitted while none is answered
		ops = append(ops, receive(t, e.submitted))
	}
	ops[3].Reply.DeadLettered()
	ops[2].Reply.Nacked(1500 * time.Microsecond)
	ops[1].Reply.Nacked(0)
	ops[0].Reply.Acked([]byte("v"))
	c.expect("$1", "v", "+PONG", "-BUSY", "-BUSY 2", "+OK", "-ERR dead-lettered: it may have run")
}

// passedProperties returns the properties that an attempt with the given time limit sends.
func passedProperties(t *testing.T, r *engine.Request, now time.Time, wait time.Duration) string {
	t.Helper()
	passed, err := r.Deadline.ForAttempt(now, now.Add(wait), deadline.SingleWrite)
	if err != nil {
		t.Fatal(err)
	}
	return string(r.Properties.Append(nil, passed))
}

func TestOpIsAsTheClientSentIt(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(command("cache.set", "7f3a9c21e0b4d655", "id1", "d=480,c=put,size=9,r=1,t=acme", "a value"))
	o := receive(t, e.submitted)
	r := &o.Request
	if o.Key != 0x7f3a9c21e0b4d655 || o.Category != 1 || o.Tenant != 0 || r.Deadline.Remaining(o.ReceivedAt) != 480*time.Millisecond || !r.Write ||
		r.ID != "id1" || string(r.Value) != "a value" || passedProperties(t, r, o.ReceivedAt, 7*time.Millisecond) != "d=7,c=put,size=9,r=1,t=acme" {
		t.Errorf("%+v", o)
	}
	o.Reply.Acked([]byte("ok"))
	c.expect("$2", "ok")
	c.send(command("CACHE.GET", "no number", "id2", "c=read,d=1"))
	c.expect("-ERR key is empty, too long or not plain text")
	c.send(command("CACHE.GET", "no-number", "id2", "c=read,d=1"))
	if o := receive(t, e.submitted); o.Key == 0 || o.Tenant != engine.NoTenant {
		t.Errorf("%+v", o)
	}
}

func TestClientThatGoesAwayIsToldAtOnce(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(getCommand("a") + getCommand("b"))
	a, b := receive(t, e.submitted), receive(t, e.submitted)
	a.Reply.Acked([]byte("v"))
	c.expect("$1", "v")
	c.Close()
	if o := receive(t, e.gone); o != b {
		t.Error("the wrong op was abandoned")
	}
	b.Reply.Acked([]byte("unread"))
}

func TestBadCommands(t *testing.T) {
	long := strings.Repeat("x", 64<<10+1)
	srv, e := startServer(t, nil)
	for sent, want := range map[string]string{
		command("GET", "k"):                                         "-ERR unknown command 'GET'",
		command("CACHE.GET", "k", "id"):                             "-ERR wrong number of arguments: 4 words wanted, 3 came",
		command("CACHE.GET", "k", "id", "c=read,d=5", "v"):          "-ERR wrong number of arguments: 4 words wanted, 5 came",
		command("CACHE.SET", "k", "id", "c=read,d=5"):               "-ERR wrong number of arguments: 5 words wanted, 4 came",
		command("CACHE.GET", "", "id", "c=read,d=5"):                "-ERR key is empty, too long or not plain text",
		command("CACHE.GET", "k", "i\nd", "c=read,d=5"):             "-ERR id is empty, too long or not plain text",
		command("CACHE.GET", "k", "id", "c=\r\n,d=5"):               "-ERR line break in the properties",
		command("CACHE.GET", "k", "id", "c=else,d=5"):               `-ERR unknown or repeated class "else"`,
		command("CACHE.GET", "k", "id", "c=read,t=else,d=5"):        `-ERR unknown or repeated tenant "else"`,
		command("CACHE.GET", "k", "id", "c=read,t=acme,t=acme,d=5"): `-ERR unknown or repeated tenant "acme"`,
		command("CACHE.GET", "k", "id", "d=5"):                      "-ERR class (c) missing",
		command("CACHE.GET", "k", "id", ""):                         "-ERR class (c) missing",
		command("CACHE.GET", "k", "id", "c=read"):                   "-ERR waiting time (d) missing",
		command("CACHE.GET", "k", "id", "c=read,d=0"):               "-ERR d=0 is no waiting time in milliseconds",
		command("CACHE.GET", "k", "id", "c=read,d=-5"):              "-ERR d=-5 is no waiting time in milliseconds",
		command("CACHE.GET", "k", "id", "c=read,d=soon"):            "-ERR d=soon is no waiting time in milliseconds",
		command("CACHE.GET", "k", "id", "c=read,d=NaN"):             "-ERR d=NaN is no waiting time in milliseconds",
		command("CACHE.GET", "k", "id", "c=read,d=1e300"):           "-ERR d=1e300 is no waiting time in milliseconds",
		command("CACHE.GET", "k", "id", "c=read,d=5,d=5"):           "-ERR d=5 is no waiting time in milliseconds",
		command("CACHE.GET", "k", "id", "c=read,d="):                "-ERR d= is no waiting time in milliseconds",
		command("CACHE.GET", "k", "id", "c=read,d=3600001"):         "-ERR d=3600001 is no waiting time in milliseconds",
		command("CACHE.GET", "k", "id", "c=read,d=0x1p4"):           "-ERR d=0x1p4 is no waiting time in milliseconds",
		command("CACHE.GET", "k", "twice", "c=read,d=5"):            "-ERR an op with this id was taken before",
	} {
		c := dial(t, srv)
		c.send(sent + command("PING"))
		c.expect(want, "+PONG") // and the connection goes on
	}
	for _, sent := range []string{"*x\r\n", "*1\r\nPING\r\n", "*1\r\n$-2\r\nPING\r\n", "*1\r\n$9223372036854775807\r\nPING\r\n",
		"*1\r\n$3\r\nPING\r\n", "$4 PING\r\n", command(long, long), strings.Repeat("endless", 20000), "hello there\r\n", "CACHE.GET k id c=read,d=5\r\n", "*0\r\n",
		"*-1\r\n", "*2\r\n$-1\r\n", strings.Replace(command("CACHE.SET", "k", "id", "c=read,d=5", "v"), "$1\r\nv", "$4194305\r\nv", 1), "*5\r\n$60000000\r\n" + strings.Repeat("x", 1<<20)} {
		c := dial(t, srv)
		c.send(command("PING"))
		c.expect("+PONG")
		io.WriteString(c, sent) // may fail at the end, once the connection is closed
		if line := c.readLine(); !strings.HasPrefix(line, "-ERR ") {
			t.Errorf("%.30q: got %q, want an error", sent, line)
		}
		if line := c.readLine(); line != "EOF" {
			t.Errorf("%.30q: then got %q, want EOF", sent, line)
		}
	}
	if n := len(e.submitted); n > 0 {
		t.Errorf("%d ops submitted for bad commands", n)
	}
}

// Guards against memory allocated for an announced length, for a command that never arrives.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	srv, _ := startServer(t, nil)
	c := newConn(srv, nil, time.Now())
	r := strings.NewReader("*2\r\n$9\r\nCACHE.SET\r\n$65536\r\nhalf")
	for c.buf.Fill(r) == nil {
	}
	if n, _, err := nextCommand(c.buf.Bytes(), nil); n != 0 || err != nil {
		t.Errorf("partial command: got length %d and error %v", n, err)
	}
	if held := cap(c.buf.Bytes()); held > 8<<10 {
		t.Errorf("buffer holds %d bytes for a partial command of 30", held)
	}
}

func TestOpsBeforeLostFramingAreAnswered(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(getCommand("a") + "*garbage\r\n")
	o := receive(t, e.submitted)
	o.Reply.Acked([]byte("v"))
	c.expect("$1", "v")
	if line := c.readLine(); !strings.HasPrefix(line, "-ERR ") {
		t.Error(line)
	}
	c.expect("EOF")
	if len(e.gone) > 0 {
		t.Error("an op that was answered was abandoned")
	}
}

func TestPanicStopsAtTheConnection(t *testing.T) {
	srv, e := startServer(t, nil)
	other, c := dial(t, srv), dial(t, srv)
	c.send(getCommand("a"))
	o := receive(t, e.submitted)
	c.send(getCommand("panic"))
	for srv.panics.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	o.Reply.Acked([]byte("v"))
	c.expect("$1", "v")
	other.send(command("PING"))
	other.expect("+PONG")
}

// waitForPartial waits for a connection on which part of a command has been read.
func waitForPartial(srv *Server) *conn {
	for {
		srv.mu.Lock()
		for c := range srv.conns {
			c.mu.Lock()
			hasInput := c.hasUnhandledInput
			c.mu.Unlock()
			if hasInput {
				srv.mu.Unlock()
				return c
			}
		}
		srv.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// Guards against a lost command: its last byte is written, and its connection began to close when half of it had been
// read.
func TestHalfReadCommandIsTakenAtTheEnd(t *testing.T) {
	srv, e := startServer(t, nil)
	c, whole := dial(t, srv), getCommand("a")
	c.send(whole[:30])
	waitForPartial(srv).requestClose()
	c.send(whole[30:])
	receive(t, e.submitted).Reply.Acked([]byte("v"))
	c.expect("$1", "v", "EOF")
	silent := dial(t, srv)
	silent.send(whole[:30])
	waitForPartial(srv).requestClose()
	silent.expect("EOF")
}

func TestTurnedAwayWhereTooMuchIsHeld(t *testing.T) {
	srv, e := startServer(t, nil)
	e.full = true
	c := dial(t, srv)
	c.send(getCommand("a"))
	c.expect("-BUSY")
}

// A slow reader's answers are kept up to a bound; above it the connection is closed, and other clients are unaffected.
func TestSlowReaderIsLetGo(t *testing.T) {
	srv, e := startServer(t, func(srv *Server) { srv.MaxPendingBytes = 256 << 10; srv.MaxConns.Store(16) })
	c := dial(t, srv)
	c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	value := make([]byte, 64<<10)
	go func() {
		for i := 0; i < 2000; i++ {
			if _, err := io.WriteString(c, getCommand(fmt.Sprint(i))); err != nil {
				return
			}
		}
	}()
	for giveUpAt := time.After(testTimeout); srv.slowReaders.Load() == 0; {
		select {
		case o := <-e.submitted:
			o.Reply.Acked(value)
		case <-time.After(10 * time.Millisecond):
		case <-giveUpAt:
			t.Fatal("the slow reader was not disconnected")
		}
	}
	for srv.unwrittenBytes.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
	other := dial(t, srv)
	other.send(command("PING"))
	other.expect("+PONG")
}

// waitUntil waits for a condition that a counter or table will meet.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for giveUpAt := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(giveUpAt) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// Guards against clients that send nothing, or stop within a command, and hold a descriptor for good. Others stay.
func TestSilentAndHalfConnectionsEnd(t *testing.T) {
	srv, e := startServer(t, nil)
	silent, half, busy := dial(t, srv), dial(t, srv), dial(t, srv)
	half.send(getCommand("a")[:20])
	busy.send(getCommand("b"))
	o := receive(t, e.submitted)
	silent.expect("EOF")
	half.expect("-ERR the rest of the command did not come", "EOF")
	o.Reply.Acked([]byte("v"))
	busy.expect("$1", "v")
	if srv.silentTimeouts.Load() != 1 || srv.partialTimeouts.Load() != 1 {
		t.Errorf("%d silent, %d partial timeouts", srv.silentTimeouts.Load(), srv.partialTimeouts.Load())
	}
	busy.expect("EOF") // idle after one request
	if srv.idleTimeouts.Load() != 1 {
		t.Errorf("%d idle timeouts", srv.idleTimeouts.Load())
	}
	waitUntil(t, "buffers released", func() bool { return srv.bufferedBytes.Load() == 0 })
}

// Guards against hundreds of silent connections that keep out good clients or get them evicted.
func TestSilentConnectionsMakeWayForGoodOnes(t *testing.T) {
	srv, e := startServer(t, func(srv *Server) { srv.MaxConns.Store(8) })
	busy, idle := dial(t, srv), dial(t, srv)
	busy.send(getCommand("a"))
	o := receive(t, e.submitted)
	idle.send(command("PING"))
	idle.expect("+PONG")
	for range 40 {
		dial(t, srv)
	}
	good := dial(t, srv)
	good.send(getCommand("b"))
	receive(t, e.submitted).Reply.Acked([]byte("w"))
	good.expect("$1", "w")
	o.Reply.Acked([]byte("v"))
	busy.expect("$1", "v")
	idle.send(command("PING"))
	idle.expect("+PONG")
	if srv.evicted.Load() < 30 {
		t.Errorf("%d evicted", srv.evicted.Load())
	}
}

// Guards against new clients that wait in turn for one eviction each: with many clients that send one request and stay,
// all would reach their timeouts and reconnect.
func TestCrowdThatStaysDoesNotHoldUpNewcomers(t *testing.T) {
	srv, e := startServer(t, func(srv *Server) { srv.MaxConns.Store(30) })
	var idleClients []*client
	for range 30 {
		c := dial(t, srv)
		c.send(command("PING"))
		c.expect("+PONG")
		idleClients = append(idleClients, c) // never closed by the client
	}
	time.Sleep(2 * activityGrace)
	for i := range 20 {
		c := dial(t, srv)
		c.send(getCommand(fmt.Sprint(i)))
		receive(t, e.submitted).Reply.Acked([]byte("v"))
		c.expect("$1", "v")
	}
	srv.mu.Lock()
	n := len(srv.conns)
	srv.mu.Unlock()
	if n > int(srv.MaxConns.Load()) || srv.evicted.Load() < 20 || srv.evicted.Load() > 40 || srv.rejectedConns.Load() > 0 {
		t.Errorf("%d open, %d evicted for 20 new clients, %d rejected", n, srv.evicted.Load(), srv.rejectedConns.Load())
	}
	for i, c := range idleClients[:16] { // the longest idle are evicted: half, then one for each new client
		if line := c.readLine(); line != "EOF" {
			t.Errorf("connection %d: got %q, want EOF", i, line)
		}
	}
}

// Guards against clients that use up the limited number of connections they can keep, by one request on each.
func TestIdleOnesAreAtMostHalf(t *testing.T) {
	srv, _ := startServer(t, func(srv *Server) { srv.MaxConns.Store(40) })
	for range 20 {
		c := dial(t, srv)
		c.send(command("PING"))
		c.expect("+PONG")
	}
	time.Sleep(2 * activityGrace)
	busy := dial(t, srv)
	busy.send(getCommand("a"))
	if waitUntil(t, "an eviction", func() bool { return srv.evicted.Load() == 1 }); srv.rejectedConns.Load() > 0 {
		t.Error("a new connection was rejected")
	}
}

// Guards against read buffers that are bounded one by one but not in sum.
func TestHalfReadCommandsShareABound(t *testing.T) {
	srv, _ := startServer(t, func(srv *Server) {
		srv.MaxPendingBytes = 200 << 10
		srv.Blocks.Commands = memory.NewPool(2 * memory.BlockSize)
	})
	half := command("CACHE.GET", "k", "id", "c=read,d=5"+strings.Repeat(",a=1", 12000))
	var rejected int
	for range 10 {
		c := dial(t, srv)
		io.WriteString(c, half[:len(half)-5])
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if strings.HasPrefix(c.readLine(), "-ERR too much") {
			rejected++
		}
	}
	if held := srv.Blocks.Commands.Usage().Lent; rejected < 8 || held > 2*memory.BlockSize {
		t.Errorf("%d rejected, %d bytes lent", rejected, held)
	}
}

// A write that stops before its end must hold no memory for its value, and its client gets an error in time.
func TestHalfReadValuesHoldNoMemory(t *testing.T) {
	srv, _ := startServer(t, func(srv *Server) { srv.Blocks.Values = memory.NewPool(memory.BlockSize) })
	half := command("CACHE.SET", "k", "id", "c=put,d=5000", strings.Repeat("x", 64<<10))
	var clients []*client
	for range 10 {
		c := dial(t, srv)
		c.send(half[:len(half)-5])
		clients = append(clients, c)
	}
	waitUntil(t, "all commands to be read in part", func() bool { return srv.bufferedBytes.Load() >= int64(len(clients)<<10) })
	if lent, buffered := srv.Blocks.Values.Usage().Lent, srv.bufferedBytes.Load(); lent != 0 || buffered > int64(len(clients)*4<<10) {
		t.Errorf("%d bytes lent, %d buffered", lent, buffered)
	}
	for _, c := range clients {
		c.expect("-ERR the rest of the value did not come", "EOF")
	}
}

// A write must wait for memory no longer than half of its client's time, and is refused then. What is behind it is served.
func TestAWriteWithoutMemoryIsRefusedInTime(t *testing.T) {
	srv, e := startServer(t, func(srv *Server) { srv.Blocks.Values = memory.NewPool(memory.BlockSize) })
	held := srv.Blocks.Values.TryAcquire()
	c := dial(t, srv)
	set := func(id string) string {
		return command("CACHE.SET", "k", id, "c=put,d=400", strings.Repeat("x", 60<<10))
	}
	begun := time.Now()
	c.send(set("first") + getCommand("behind"))
	c.expect("-BUSY")
	if took := time.Since(begun); took > 400*time.Millisecond+lateThreshold {
		t.Errorf("refused after %v", took)
	}
	receive(t, e.submitted).Reply.Acked([]byte("v"))
	c.expect("$1", "v")
	held.Release()
	c.send(set("second"))
	o := receive(t, e.submitted)
	if len(o.Request.Value) != 60<<10 || srv.Blocks.Values.Usage().Lent != memory.BlockSize {
		t.Errorf("value of %d bytes, %+v", len(o.Request.Value), srv.Blocks.Values.Usage())
	}
	o.OnRelease()
	if lent := srv.Blocks.Values.Usage().Lent; lent != 0 {
		t.Errorf("%d bytes are still lent", lent)
	}
}

func TestOnlyBadCommandsEndTheConnection(t *testing.T) {
	srv, e := startServer(t, nil)
	c := dial(t, srv)
	c.send(getCommand("a") + strings.Repeat(command("NONSENSE"), 500))
	receive(t, e.submitted).Reply.Acked([]byte("v"))
	c.expect("$1", "v")
	for range maxBadCommands {
		c.expect("-ERR unknown command 'NONSENSE'")
	}
	c.expect("EOF")
	if srv.tooManyErrors.Load() != 1 {
		t.Errorf("%d connections closed for bad commands", srv.tooManyErrors.Load())
	}
}

// No input may cause a panic, and each op made of a command must be valid.
func FuzzCommand(f *testing.F) {
	for _, seed := range []string{getCommand("a"), command("CACHE.SET", "k", "id", "c=put,t=acme,d=4.5", "v"), "*1\r\n$60000000\r\n", "PING\r\n",
		"*-1\r\n", command("CACHE.GET", "k", "id", "c=read,d=1e9,,=")} {
		f.Add([]byte(seed))
	}
	names := NewNameTable(testSettings, figures.New())
	f.Fuzz(func(t *testing.T, b []byte) {
		n, args, err := nextCommand(b, nil)
		if n > len(b) || n > 0 && (err != nil || len(args) == 0) {
			t.Fatalf("%d, %q, %v", n, args, err)
		}
		if n == 0 {
			return
		}
		now := time.Now()
		if o, err := names.parseRequest(args, len(args) == 5, now); err == nil && (o.Request.Deadline.Remaining(now) <= 0 || o.Key == 0 ||
			o.Request.Properties.Size() >= len(args[3]) || o.Request.Properties.Size() == 0 || !isPlainText(o.Request.ID)) {
			t.Errorf("%q: invalid op %+v", b, o)
		}
	})
}

func TestIdleConnectionMakesRoomForANewOne(t *testing.T) {
	srv, e := startServer(t, func(srv *Server) { srv.MaxConns.Store(2) })
	busy, idle := dial(t, srv), dial(t, srv)
	busy.send(getCommand("a"))
	o := receive(t, e.submitted)
	idle.send(command("PING"))
	idle.expect("+PONG")
	third := dial(t, srv)
	third.send(command("PING"))
	third.expect("+PONG")
	idle.expect("EOF")
	o.Reply.Acked([]byte("v"))
	busy.expect("$1", "v")
}

// Guards against requests that are lost when a proxy closes their connections before it ends.
func TestStopLosesNothing(t *testing.T) {
	srv, e := startServer(t, nil)
	go func() { // answers come after various delays, some after the listener has closed
		for i := 0; ; i++ {
			o, ok := <-e.submitted
			if !ok {
				return
			}
			time.AfterFunc(time.Duration(i%7)*60*time.Millisecond, func() { o.Reply.Acked([]byte(o.Request.ID)) })
		}
	}()
	var clients sync.WaitGroup
	started := make(chan bool, 40)
	for n := range 40 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if n >= 20 {
				<-started // these connect after the close has begun
			}
			c, err := net.Dial("tcp", srv.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			r := bufio.NewReader(c)
			for i := range 100 {
				id := fmt.Sprint(n, "-", i)
				if _, err := io.WriteString(c, getCommand(id)); err != nil {
					return // closed between requests
				}
				head, err := r.ReadString('\n')
				if err != nil && head == "" && i > 0 {
					return // closed between requests, while this one was sent
				}
				body, _ := r.ReadString('\n')
				if strings.TrimSpace(body) != id {
					t.Errorf("request %s: got %q %q, error %v", id, head, body, err)
					return
				}
			}
		}()
	}
	time.AfterFunc(50*time.Millisecond, func() { close(started) })
	time.Sleep(400 * time.Millisecond)
	srv.Close()
	for giveUpAt := time.Now().Add(testTimeout); srv.OpenConns() > 0; time.Sleep(10 * time.Millisecond) {
		if srv.ApplyPhase(lifecycle.CloseAll, true, 0); time.Now().After(giveUpAt) {
			t.Fatalf("%d connections still open", srv.OpenConns())
		}
	}
	clients.Wait()
	if len(e.gone) > 0 {
		t.Errorf("%d ops abandoned", len(e.gone))
	}
	if c, err := net.Dial("tcp", srv.Addr()); err == nil {
		c.Close()
		t.Error("the address still accepts connections")
	}
}

// Guards against a burst: all clients of a process that was replaced would connect to the new one at the same time.
func TestIdleConnectionsEndInASpread(t *testing.T) {
	srv, e := startServer(t, nil)
	var idle []*client
	for i := range 40 {
		c := dial(t, srv)
		c.send(getCommand(fmt.Sprint("id", i)))
		receive(t, e.submitted).Reply.Acked([]byte("v"))
		c.expect("$1", "v")
		idle = append(idle, c)
	}
	busy := dial(t, srv)
	busy.send(getCommand("busy"))
	open := receive(t, e.submitted)
	time.Sleep(firstCommandGrace + activityGrace)
	for _, part := range []float64{0.25, 0.5, 1} {
		want := len(idle) - int(part*float64(len(idle)))
		for giveUpAt := time.Now().Add(testTimeout); srv.OpenConns() > want+1+3; time.Sleep(5 * time.Millisecond) {
			if srv.ApplyPhase(lifecycle.CloseAfterReply, true, part); time.Now().After(giveUpAt) {
				t.Fatalf("%d open at fraction %v", srv.OpenConns(), part)
			}
		}
		if left := srv.OpenConns() - 1; left < want-3 {
			t.Errorf("%d open at fraction %v, want about %d", left, part, want)
		}
	}
	open.Reply.Acked([]byte("late"))
	busy.expect("$4", "late")
}
