package origin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/pool"
	"minttray/policy"
)

// eventTimeout limits waits for an event; no assertion depends on its length.
const eventTimeout = 10 * time.Second

// listen starts a server that answers the nth request with what respond returns for it, or closes the connection if that is "".
func listen(t *testing.T, respond func(n int, r *http.Request, body string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				body, _ := io.ReadAll(req.Body)
				reply := respond(n, req, string(body))
				if n++; reply == "" {
					break
				}
				io.WriteString(c, reply)
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

// ask pushes a request and returns its result.
func ask(t *testing.T, p *pool.Pool, r *engine.Request) engine.Result {
	t.Helper()
	results := make(chan engine.Result, 1)
	p.Push(r, time.Now().Add(time.Hour), func(res engine.Result) { results <- res })
	select {
	case res := <-results:
		time.Sleep(10 * time.Millisecond) // until the connection can be reused: the reuse delay of package pool
		return res
	case <-time.After(eventTimeout):
		t.Fatalf("no result within %v", eventTimeout)
	}
	return engine.Result{}
}

// open returns a pool for the server at addr, and the state that it shares with no other.
func open(addr string) (*pool.Pool, *pool.Shared) {
	s := newShared()
	return pool.New(s, addr, Protocol{Host: addr}), s
}

func request(id string) *engine.Request {
	const list = "c=read,d=480,t=acme"
	return &engine.Request{Key: "7f3a", ID: id, Deadline: deadline.After(time.Now(), clientWait), Properties: deadline.RemoveDeadline(list, 9, 12)}
}

const clientWait = time.Hour

// maskDeadline replaces a correct deadline in a property list by a star. The deadline must be the remaining time less the margin, which is a
// sixteenth, or a quarter for a value in parts, and less the time that the test may have taken.
func maskDeadline(list string, parts bool) string {
	before, rest, _ := strings.Cut(list, "d=")
	number, after, _ := strings.Cut(rest, ",")
	maximum := clientWait * 15 / 16
	if parts {
		maximum = clientWait * 3 / 4
	}
	ms, err := strconv.ParseInt(number, 10, 64)
	if passed := time.Duration(ms) * time.Millisecond; err != nil || passed > maximum || passed < maximum-2*eventTimeout {
		return list
	}
	return before + "d=*," + after
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"

func TestRequestsAreAsAgreed(t *testing.T) {
	seen := make(chan string, 2)
	addr := listen(t, func(_ int, r *http.Request, body string) string {
		seen <- r.Method + " " + r.URL.Path + " " + r.Header.Get("X-Trace-Id") + " " + maskDeadline(r.Header.Get("X-Props"), false) + " " + body
		return ok
	})
	p, s := open(addr)
	write := request("b")
	write.Write, write.Value = true, []byte("new")
	for want, r := range map[string]*engine.Request{"GET /7f3a a c=read,d=*,t=acme ": request("a"),
		"PUT /7f3a b c=read,d=*,t=acme new": write} {
		if res := ask(t, p, r); res.Outcome != policy.Acked || string(res.Value) != "v" {
			t.Errorf("%+v", res)
		}
		if got := <-seen; got != want {
			t.Errorf("the origin saw %q, want %q", got, want)
		}
	}
	if s.Opened.Load() != 1 {
		t.Errorf("%d connections for two requests", s.Opened.Load())
	}
}

// Guards against a client library that resends a GET when a reused connection breaks: the copy is a second push.
func TestOriginIsNotAskedTwice(t *testing.T) {
	asked := make(chan int, 10)
	addr := listen(t, func(n int, _ *http.Request, _ string) string {
		asked <- n
		if n == 0 {
			return ok
		}
		return ""
	})
	p, s := open(addr)
	if res := ask(t, p, request("a")); res.Outcome != policy.Acked {
		t.Fatalf("%+v", res)
	}
	if res := ask(t, p, request("b")); res.Outcome != policy.ConnectionLost {
		t.Errorf("%+v", res)
	}
	if len(asked) != 2 || s.Opened.Load() != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", len(asked), s.Opened.Load())
	}
}

func TestWhatTheOriginAnswers(t *testing.T) {
	const empty = "Content-Length: 0\r\n\r\n"
	for reply, want := range map[string]policy.Outcome{
		ok:                            policy.Acked,
		"HTTP/1.1 200 OK\r\n" + empty: policy.Acked,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n":        policy.Acked,
		"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: queue=2\r\nContent-Length: 1\r\n\r\nv": policy.Acked,
		"HTTP/1.1 500 Failed\r\n" + empty:                                                 policy.Errored,
		"HTTP/1.1 404 Not Found\r\n" + empty:                                              policy.Errored,
		"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\n" + empty:                                 policy.Rejected,
		"HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\n" + empty:                                 policy.Rejected,
		"HTTP/1.1 503 Busy\r\n" + empty:                                                   policy.Errored,
		"HTTP/1.1 500 Failed\r\nX-Never-Ran: 1\r\n" + empty:                               policy.Errored,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + ok:         policy.Acked,
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50):                               policy.ConnectionLost,
		"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n":                                    policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\n\r\nv":                                                        policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nvv":             policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nv":                                  policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nv":                          policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nv":                     policy.ConnectionLost,
		"garbage\r\n\r\n": policy.ConnectionLost,
		"":                policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n" + strings.Repeat("x", 80000): policy.ConnectionLost,
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2<<20):                                 policy.ConnectionLost,
	} {
		p, s := open(listen(t, func(int, *http.Request, string) string { return reply }))
		if res := ask(t, p, request("a")); res.Outcome != want {
			t.Errorf("%.60q: outcome %d, want %d (%v)", reply, res.Outcome, want, res.Err)
		}
		if want == policy.ConnectionLost && s.Open() != 0 {
			t.Errorf("%.60q: the connection stayed open", reply)
		}
	}
}

func TestBodyShorterThanItsLength(t *testing.T) {
	addr := listen(t, func(n int, _ *http.Request, _ string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
	})
	l, err := net.Listen("tcp", "127.0.0.1:0") // proxies the connection and closes it after part of the body
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, _ := l.Accept()
		server, _ := net.Dial("tcp", addr)
		go io.Copy(server, c)
		io.CopyN(c, server, 42)
		c.Close()
		server.Close()
	}()
	p, _ := open(l.Addr().String())
	res := ask(t, p, request("a"))
	var f *pool.AttemptError
	if res.Outcome != policy.ConnectionLost || !errors.As(res.Err, &f) || f.Progress != pool.ResponseStarted {
		t.Errorf("%+v", res)
	}
}

// FuzzRead checks for any input that the reader does not panic, returns no value over the limit, and reports a request as not executed only if the
// response has the header for it.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{ok, "HTTP/1.1 100 Continue\r\n\r\n" + ok, "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3000000000\r\nv", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		a := Protocol{}.NewResponseReader(bytes.NewReader(b))
		if a.Wait() != nil {
			return
		}
		res, keep, err := a.ReadResponse(request("a"))
		if err != nil && (keep || res.Value != nil) || len(res.Value) > maxValueBytes ||
			err == nil && res.Outcome == policy.Rejected && !bytes.Contains(bytes.ToLower(b), []byte("x-never-ran")) {
			t.Errorf("%q: %+v, %v", b, res, err)
		}
	})
}

func newShared() *pool.Shared {
	s := &pool.Shared{DialTimeout: eventTimeout, IdleTimeout: time.Minute, Log: zerolog.Nop()}
	s.MaxConnections.Store(10)
	return s
}

func TestLongValues(t *testing.T) {
	long := strings.Repeat("0123456789", 20000)
	seen := make(chan string, 4)
	addr := listen(t, func(n int, r *http.Request, body string) string {
		seen <- fmt.Sprint(r.Method, " ", r.URL.Path, " ", r.Header.Get("X-Trace-Id"), " ",
			maskDeadline(r.Header.Get("X-Props"), r.Method == http.MethodPut), " ", len(body), " ", r.UserAgent())
		if r.Method == http.MethodPut {
			return ok
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
	})
	p, s := open(addr)
	write := request("b")
	write.Write, write.Parts = true, [][]byte{[]byte(long), []byte(long)}
	if res := ask(t, p, write); res.Outcome != policy.Acked || <-seen != "PUT /7f3a b c=read,d=*,t=acme 400000 " {
		t.Errorf("%+v", res)
	}
	for range 2 { // over the same connection
		res := ask(t, p, request("a"))
		if got, err := io.ReadAll(res.Body); err != nil || string(got) != long || <-seen != "GET /7f3a a c=read,d=*,t=acme 0 " {
			t.Errorf("%d bytes, %v", len(got), err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if s.Opened.Load() != 1 {
		t.Errorf("%d connections, want 1", s.Opened.Load())
	}
}
