package pool_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"minttray/internal/caches"
	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/pool"
	"minttray/policy"
)

// eventTimeout limits waits for an event; no assertion depends on its length.
const eventTimeout = 10 * time.Second

// listen starts a server that calls serve for each connection, with the number of connections before it.
func listen(t *testing.T, serve func(n int, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); serve(n, c) }()
		}
	}()
	return l.Addr().String()
}

// command reads one command and returns its words.
func command(r *bufio.Reader) ([]string, error) {
	var n int
	if _, err := fmt.Fscanf(r, "*%d\r\n", &n); err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		var size int
		if _, err := fmt.Fscanf(r, "$%d\r\n", &size); err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(r, word); err != nil {
			return nil, err
		}
		words[i] = string(word[:size])
	}
	return words, nil
}

func request(id string) *engine.Request {
	props := "c=read,d=480,size=3"
	return &engine.Request{Key: "k", ID: id, Deadline: deadline.After(time.Now(), time.Hour), Properties: deadline.RemoveDeadline(props, 9, 12)}
}

func push(p *pool.Pool, r *engine.Request) (chan engine.Result, func(engine.AbortCondition) bool) {
	results := make(chan engine.Result, 2)
	return results, p.Push(r, time.Now().Add(time.Hour), func(res engine.Result) { results <- res })
}

// waitUntilReusable waits until a connection that has just responded can be reused: longer than the reuse delay of 10 ms.
func waitUntilReusable() { time.Sleep(20 * time.Millisecond) }

func wait[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(eventTimeout):
		t.Fatalf("no event within %v", eventTimeout)
	}
	return v
}

func TestConnectionIsUsedAgainAndTheCommandIsAsItCame(t *testing.T) {
	seen := make(chan string, 4)
	addr := listen(t, func(n int, c net.Conn) {
		for r := bufio.NewReader(c); ; {
			words, err := command(r)
			if err != nil {
				return
			}
			seen <- fmt.Sprint(n, " ", words)
			fmt.Fprintf(c, "*3\r\n$1\r\nv\r\n$4\r\nmiss\r\n$10\r\ninflight=7\r\n")
		}
	})
	s := shared()
	p := pool.New(s, addr, caches.Protocol{})
	for _, id := range []string{"a", "b"} {
		results, _ := push(p, request(id))
		if res := wait(t, results); res.Outcome != policy.Acked || string(res.Value) != "v" || !res.Missed {
			t.Errorf("%+v", res)
		}
		words := wait(t, seen)
		if !strings.HasPrefix(words, "0 [CACHE.GET k "+id+" c=read,d=33") || !strings.HasSuffix(words, ",size=3]") {
			t.Errorf("the cache saw %s", words)
		}
		waitUntilReusable()
	}
	if s.Opened.Load() != 1 || s.Reused.Load() != 1 {
		t.Errorf("%d connections opened, %d reused", s.Opened.Load(), s.Reused.Load())
	}
	p.Release()
	if s.Open() != 0 {
		t.Errorf("%d connections open after Release", s.Open())
	}
}

// Guards against an aborted push that is still pending on an open connection: the server counts the next push as a second copy.
func TestGivenUpPushIsOffItsConnectionBeforeTheNext(t *testing.T) {
	taken, closed := make(chan int, 2), make(chan int, 2)
	addr := listen(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := command(r); err != nil {
			return
		}
		taken <- n
		if n == 0 {
			io.Copy(io.Discard, r) // sends no response
			closed <- n
			return
		}
		io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		io.Copy(io.Discard, r)
	})
	s := shared()
	p := pool.New(s, addr, caches.Protocol{})
	_, abort := push(p, request("a"))
	wait(t, taken)
	abort(engine.Always)
	if s.Open() != 0 {
		t.Error("the connection is still open")
	}
	wait(t, closed)
	abort(engine.Always)
	results, _ := push(p, request("a"))
	if res := wait(t, results); res.Outcome != policy.Acked {
		t.Errorf("%+v", res)
	}
}

func TestOutcomeFollowsFromHowFarItCame(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused.Close()
	big := request("big")
	big.Write, big.Value = true, make([]byte, 32<<20) // more than the kernel takes unread
	for name, c := range map[string]struct {
		addr     string
		request  *engine.Request
		progress pool.Progress
		outcome  policy.Outcome
	}{
		"refused": {refused.Addr().String(), request("a"), pool.NeverConnected, policy.ConnectFailed},
		"before its last byte": {listen(t, func(_ int, c net.Conn) {
			io.ReadFull(c, make([]byte, 1000))
			c.(*net.TCPConn).SetLinger(0)
		}), big, pool.PartlyWritten, policy.NotSent},
		"after its last byte": {listen(t, func(_ int, c net.Conn) { command(bufio.NewReader(c)) }), request("a"),
			pool.FullyWritten, policy.ConnectionLost},
		"during the response": {listen(t, func(_ int, c net.Conn) {
			command(bufio.NewReader(c))
			io.WriteString(c, "*3\r\n$100\r\nhalf a val")
		}), request("a"), pool.ResponseStarted, policy.ConnectionLost},
	} {
		s := shared()
		results, _ := push(pool.New(s, c.addr, caches.Protocol{}), c.request)
		res := wait(t, results)
		var f *pool.AttemptError
		if !errors.As(res.Err, &f) || f.Progress != c.progress || res.Outcome != c.outcome {
			t.Errorf("%s: outcome %d, %v", name, res.Outcome, res.Err)
		}
		if s.Open() != 0 {
			t.Errorf("%s: %d connections still count as open", name, s.Open())
		}
	}
}

func TestWhatCachesAnswer(t *testing.T) {
	for answer, want := range map[string]policy.Outcome{
		"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n":                 policy.Acked,
		"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$2\r\n\xff\r\r\n": policy.Acked, // the report does not affect the outcome
		"*3\r\n$-1\r\n$-1\r\n$-1\r\n":                    policy.Miss,
		"-BUSY\r\n":                                      policy.Rejected,
		"-BUSY inflight=7\r\n":                           policy.Rejected,
		"-ERR failed inflight=7\r\n":                     policy.Errored,
		"-ERR failed \xff\xfe\r\n":                       policy.Errored,
		// The server sends nothing more and keeps the connection open: a response that can't become valid must not be waited for.
		"-BUSYBODY\r\n":                    policy.ConnectionLost,
		"-BUSY\n":                          policy.ConnectionLost,
		"-BUSY\rx":                         policy.ConnectionLost,
		"-" + strings.Repeat("x", 600):     policy.ConnectionLost,
		"+OK\r\n":                          policy.ConnectionLost,
		":1\r\n":                           policy.ConnectionLost,
		"garbage":                          policy.ConnectionLost,
		"*0\r\n":                           policy.ConnectionLost,
		"*1\r\n$1\r\nv\r\n":                policy.ConnectionLost,
		"*3\r\n:5\r\n":                     policy.ConnectionLost,
		"*3\r\n$1\r\nv\r\n$4\r\nmaybe\r\n": policy.ConnectionLost,
		"*3\r\n$1\r\nv\r\n$5\r\nmaybe\r\n$-1\r\n": policy.ConnectionLost,
		"*3\r\n$1\r\nvv":                                  policy.ConnectionLost,
		"*3\r\n$3000000000\r\nv":                          policy.ConnectionLost,
		"*3\r\n$9223372036854775807\r\nv":                 policy.ConnectionLost,
		"*99999999999\r\n":                                policy.ConnectionLost,
		"*3\r\n$4194305\r\n" + strings.Repeat("x", 80000): policy.ConnectionLost,
		"*3\r\n$0" + strings.Repeat("0", 80000):           policy.ConnectionLost,
	} {
		addr := listen(t, func(_ int, c net.Conn) {
			r := bufio.NewReader(c)
			command(r)
			io.WriteString(c, answer)
			io.Copy(io.Discard, r)
		})
		results, _ := push(pool.New(shared(), addr, caches.Protocol{}), request("a"))
		if res := wait(t, results); res.Outcome != want {
			t.Errorf("%.40q: outcome %d, want %d (%v)", answer, res.Outcome, want, res.Err)
		}
	}
}

// A response with surplus data, or one that nothing was sent for, must not become the response to the next push.
func TestUnaskedAnswerEndsTheConnection(t *testing.T) {
	addr := listen(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			words, err := command(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "*3\r\n$1\r\n%s\r\n$-1\r\n$-1\r\n*3\r\n$5\r\nwrong\r\n$-1\r\n$-1\r\n", words[2])
		}
	})
	s := shared()
	p := pool.New(s, addr, caches.Protocol{})
	for _, id := range []string{"a", "b", "c"} {
		results, _ := push(p, request(id))
		if res := wait(t, results); string(res.Value) == "wrong" {
			t.Fatalf("push %s received the response to another push", id)
		}
		for late := time.Now().Add(eventTimeout); s.Open() > 0 && time.Now().Before(late); {
			time.Sleep(time.Millisecond)
		}
		if s.Open() != 0 {
			t.Fatal("the connection stayed open")
		}
	}
}

func TestDescriptorsRunOut(t *testing.T) {
	hold := make(chan bool)
	addr := listen(t, func(_ int, c net.Conn) { <-hold })
	defer close(hold)
	s := shared()
	s.MaxConnections.Store(1)
	p := pool.New(s, addr, caches.Protocol{})
	first, abort := push(p, request("a"))
	for s.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	second, _ := push(p, request("b"))
	if res := wait(t, second); res.Outcome != policy.NotSent || s.DescriptorShortages.Load() != 1 {
		t.Errorf("%+v", res)
	}
	for s.Opened.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	abort(engine.Always)
	select {
	case res := <-first:
		if res.Outcome == policy.Acked {
			t.Errorf("%+v", res)
		}
	default:
	}
}

// Guards against idle connections to some servers that block pushes to others.
func TestIdleConnectionIsReclaimedForAnotherServer(t *testing.T) {
	serve := func(_ int, c net.Conn) {
		for r := bufio.NewReader(c); ; {
			if _, err := command(r); err != nil {
				return
			}
			io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		}
	}
	s := shared()
	s.MaxConnections.Store(2)
	for i := range 3 {
		results, _ := push(pool.New(s, listen(t, serve), caches.Protocol{}), request("a"))
		if res := wait(t, results); res.Outcome != policy.Acked {
			t.Errorf("server %d: %+v", i, res)
		}
	}
	if s.Open() != 2 || s.DescriptorShortages.Load() != 0 {
		t.Errorf("%d connections open, %d shortages", s.Open(), s.DescriptorShortages.Load())
	}
}

type panickingProtocol struct {
	caches.Protocol
	writing bool
}
type panickingReader struct{ pool.ResponseReader }

func (p panickingProtocol) NewResponseReader(r io.Reader) pool.ResponseReader {
	return panickingReader{p.Protocol.NewResponseReader(r)}
}
func (panickingReader) ReadResponse(*engine.Request) (engine.Result, bool, error) {
	panic("in the parser")
}

func (p panickingProtocol) AppendRequest(b []byte, r *engine.Request, attemptDeadline deadline.AttemptDeadline) ([]byte, int) {
	if p.writing {
		panic("in the writer")
	}
	return p.Protocol.AppendRequest(b, r, attemptDeadline)
}

func TestPanicStopsAtTheConnection(t *testing.T) {
	addr := listen(t, func(_ int, c net.Conn) {
		command(bufio.NewReader(c))
		io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	})
	for writing, outcome := range map[bool]policy.Outcome{false: policy.ConnectionLost, true: policy.NotSent} {
		s := shared()
		results, _ := push(pool.New(s, addr, panickingProtocol{writing: writing}), request("a"))
		if res := wait(t, results); res.Outcome != outcome || s.Panics.Load() != 1 || s.Open() != 0 {
			t.Errorf("%+v, %d panics, %d connections open", res, s.Panics.Load(), s.Open())
		}
	}
}

// Guards against reuse of a connection on which a duplicate response or the server's close arrives shortly after the response: the next push
// would receive another op's value, or fail. Both must be detected before anything is written.
func TestDataAfterAResponseIsNotUsedForTheNextPush(t *testing.T) {
	const answer = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
	for name, behind := range map[string]func(c net.Conn){
		"a copy": func(c net.Conn) { io.WriteString(c, answer) },
		"an end": func(c net.Conn) { c.Close() },
		"a reset": func(c net.Conn) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	} {
		ready, done := make(chan bool), make(chan bool)
		received := make(chan string, 4)
		addr := listen(t, func(n int, c net.Conn) {
			r := bufio.NewReader(c)
			words, _ := command(r)
			received <- words[2]
			io.WriteString(c, answer)
			if n == 0 {
				<-ready
				behind(c)
				done <- true
			}
			io.Copy(io.Discard, r)
		})
		s := shared()
		p := pool.New(s, addr, caches.Protocol{})
		first, _ := push(p, request("a"))
		wait(t, first)
		ready <- true
		<-done
		waitUntilReusable()
		second, _ := push(p, request("b"))
		if res := wait(t, second); res.Outcome != policy.Acked || string(res.Value) != "v" {
			t.Errorf("%s: %+v", name, res)
		}
		if s.StaleConns.Load() != 1 || s.Opened.Load() != 2 || <-received+<-received != "ab" || len(received) > 0 {
			t.Errorf("%s: %d found stale, %d opened, %d more requests", name, s.StaleConns.Load(), s.Opened.Load(), len(received))
		}
	}
}

func TestCloseExpiredClosesEndedAndExpiredConnections(t *testing.T) {
	end := make(chan bool)
	addr := listen(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		command(r)
		io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		if n == 0 {
			<-end
			return
		}
		io.Copy(io.Discard, r)
	})
	s := shared()
	p := pool.New(s, addr, caches.Protocol{})
	one, _ := push(p, request("a"))
	two, _ := push(p, request("b"))
	wait(t, one)
	wait(t, two)
	if s.CloseExpired(time.Now()); s.Open() != 2 {
		t.Errorf("%d connections open, want 2 healthy ones", s.Open())
	}
	close(end)
	for late := time.Now().Add(eventTimeout); s.Open() > 1 && time.Now().Before(late); s.CloseExpired(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	if s.Open() != 1 || s.ExpiredConns.Load() != 1 {
		t.Errorf("%d connections open after the server closed one", s.Open())
	}
	if s.CloseExpired(time.Now().Add(s.IdleTimeout)); s.Open() != 0 {
		t.Errorf("%d connections open past the idle timeout", s.Open())
	}
}

func shared() *pool.Shared {
	s := &pool.Shared{DialTimeout: eventTimeout, IdleTimeout: time.Minute, Log: zerolog.Nop()}
	s.MaxConnections.Store(10)
	return s
}

// Guards against a truncated value that is taken for complete, and against its rest being taken for the next push's response.
func TestLongValuesPass(t *testing.T) {
	long := strings.Repeat("0123456789", 20000)
	for name, c := range map[string]struct {
		answer string
		whole  bool // the value is complete
		kept   bool // so is the response, and the connection stays open
	}{
		"whole":                {long + "\r\n$-1\r\n$10\r\ninflight=7\r\n", true, true},
		"a copy behind":        {long + "\r\n$-1\r\n$-1\r\n*3", true, false},
		"a spoilt rest":        {long + "\r\nnoise", true, false},
		"longer than was said": {long + "5\r\n$-1\r\n$-1\r\n", false, false},
		"cut off":              {long[:150000], false, false},
	} {
		addr := listen(t, func(_ int, conn net.Conn) {
			r := bufio.NewReader(conn)
			command(r)
			fmt.Fprintf(conn, "*3\r\n$%d\r\n", len(long))
			for at := 0; at < len(c.answer); at += 9999 { // in pieces
				io.WriteString(conn, c.answer[at:min(at+9999, len(c.answer))])
			}
			if name == "cut off" {
				return
			}
			io.Copy(io.Discard, r)
		})
		s := shared()
		results, _ := push(pool.New(s, addr, caches.Protocol{}), request("a"))
		res := wait(t, results)
		if res.Outcome != policy.Acked || res.Body.Size != len(long) {
			t.Fatalf("%s: %+v", name, res)
		}
		got, err := io.ReadAll(res.Body)
		if c.whole != (err == nil) || c.whole && string(got) != long {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
		for late := time.Now().Add(eventTimeout); s.Open() != map[bool]int64{true: 1}[c.kept] && time.Now().Before(late); {
			time.Sleep(time.Millisecond)
		}
		if kept := s.Open() == 1; kept != c.kept {
			t.Errorf("%s: connection kept: %v", name, kept)
		}
	}
}

// Guards against a client that disconnects during a long value and blocks the cache's connection for as long as the cache sends.
func TestALongValueThatNobodyReadsEnds(t *testing.T) {
	ended := make(chan error, 1)
	addr := listen(t, func(_ int, c net.Conn) {
		command(bufio.NewReader(c))
		fmt.Fprintf(c, "*3\r\n$4000000\r\n")
		for {
			if _, err := c.Write(make([]byte, 100000)); err != nil {
				ended <- err
				return
			}
		}
	})
	results, _ := push(pool.New(shared(), addr, caches.Protocol{}), request("a"))
	res := wait(t, results)
	io.ReadFull(res.Body, make([]byte, 1000))
	res.Body.Close()
	wait(t, ended)
}

func TestLongWritesGoOut(t *testing.T) {
	parts := [][]byte{[]byte(strings.Repeat("a", 70000)), []byte(strings.Repeat("b", 5000))}
	seen := make(chan []string, 1)
	addr := listen(t, func(_ int, c net.Conn) {
		words, _ := command(bufio.NewReader(c))
		seen <- words
		io.WriteString(c, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")
	})
	r := request("a")
	r.Write, r.Parts = true, parts
	results, _ := push(pool.New(shared(), addr, caches.Protocol{}), r)
	if res := wait(t, results); res.Outcome != policy.Acked || string(res.Value) != "ok" {
		t.Errorf("%+v", res)
	}
	if words := wait(t, seen); len(words) != 5 || words[4] != string(parts[0])+string(parts[1]) {
		t.Errorf("command of %d words, want 5 with the value in parts", len(words))
	}
}
