package control

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// eventTimeout limits waits for an event; no assertion depends on its length.
const eventTimeout = 10 * time.Second

// serve starts a server. calls collects what its handlers were called with; ready is what it reports as readiness.
func serve(t *testing.T) (addr string, calls *[]string, ready *atomic.Bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls, ready = new([]string), new(atomic.Bool)
	s := &Server{Log: zerolog.Nop(), Handlers: Handlers{
		Ready:        ready.Load,
		WriteMetrics: func(w io.Writer) { io.WriteString(w, "svc_in_flight 14\n") },
		DetachCache: func(id string, detach bool) error {
			*calls = append(*calls, fmt.Sprint(id, " ", detach))
			switch id {
			case "nobody":
				return ErrUnknownID
			case "slow":
				return ErrTimeout
			}
			return nil
		},
		DetachSite: func(name string, detach bool, over time.Duration) error {
			*calls = append(*calls, fmt.Sprint("site ", name, " ", detach, " ", over))
			if name == "only" {
				return ErrLastCache
			}
			return nil
		},
		SetLameDuck: func(lameDuck bool) error {
			*calls = append(*calls, fmt.Sprint("away ", lameDuck))
			return ErrEnding
		},
	}}
	go s.Serve(l)
	t.Cleanup(func() { s.Close(); l.Close() })
	return l.Addr().String(), calls, ready
}

// call sends a request text on a new connection and returns the status and body of the response.
func call(t *testing.T, addr, text string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(eventTimeout))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func request(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

func TestCalls(t *testing.T) {
	addr, calls, ready := serve(t)
	for _, c := range []struct {
		method, path, body string
		status             int
		handlerCall        string
	}{
		{"GET", "/_ready", "", 503, ""},
		{"GET", "/_vars", "", 200, ""},
		{"POST", "/_vars", "", 405, ""},
		{"GET", "/_cache-nodes/detach", "", 405, ""},
		{"POST", "/_cache-nodes/detach", "s-1", 200, "s-1 true"},
		{"POST", "/_cache-nodes/attach", "s-1\n", 200, "s-1 false"},
		{"POST", "/_cache-nodes/attach", "nobody", 404, "nobody false"},
		{"POST", "/_cache-nodes/detach", "slow", 503, "slow true"},
		{"POST", "/_cache-nodes/detach", "", 400, ""},
		{"POST", "/_cache-nodes/detach", string(make([]byte, maxBodyBytes+1)), 400, ""},
		{"POST", "/_lameduck/on", "", 409, "away true"},
		{"POST", "/_lameduck/off", "", 409, "away false"},
		{"POST", "/_lameduck", "", 404, ""},
		{"POST", "/_sites/detach", "b 30s", 200, "site b true 30s"},
		{"POST", "/_sites/attach", "b", 200, "site b false 0s"},
		{"POST", "/_sites/detach", "only", 409, "site only true 0s"},
		{"POST", "/_sites/detach", "", 400, ""},
		{"POST", "/_sites/detach", "b 30", 400, ""},
		{"POST", "/_sites/detach", "b 2h", 400, ""},
		{"GET", "/_sites/detach", "", 405, ""},
	} {
		*calls = nil
		status, body := call(t, addr, request(c.method, c.path, c.body))
		if status != c.status || body == "" {
			t.Errorf("%s %s: status %d %q, want %d", c.method, c.path, status, body, c.status)
		}
		if got := fmt.Sprint(*calls); got != fmt.Sprint(append([]string(nil), c.handlerCall)) && got != "["+c.handlerCall+"]" {
			t.Errorf("%s %s: called the handlers with %s, want %s", c.method, c.path, got, c.handlerCall)
		}
	}
	ready.Store(true)
	if status, _ := call(t, addr, request("GET", "/_ready", "")); status != 200 {
		t.Errorf("ready: status %d", status)
	}
	if _, body := call(t, addr, request("GET", "/_vars", "")); body != "svc_in_flight 14\n" {
		t.Errorf("metrics: %q", body)
	}
}

// Guards against connections that never send a complete call and keep operators out: the oldest of them are closed.
func TestPendingConnectionsAreClosedForNewCallers(t *testing.T) {
	addr, _, ready := serve(t)
	ready.Store(true)
	var incomplete []net.Conn
	for i := range 3 * maxPendingConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, []string{"", "GET /_rea", request("POST", "/_cache-nodes/detach", "s")[:60]}[i%3])
		incomplete = append(incomplete, c)
	}
	for range 5 {
		if status, _ := call(t, addr, request("GET", "/_ready", "")); status != 200 {
			t.Errorf("status %d", status)
		}
	}
	ended := 0
	for _, c := range incomplete[:maxPendingConns] { // the oldest have been closed
		c.SetReadDeadline(time.Now().Add(eventTimeout))
		var netErr net.Error
		if _, err := io.ReadAll(c); !errors.As(err, &netErr) || !netErr.Timeout() {
			ended++
		}
	}
	if ended != maxPendingConns {
		t.Errorf("%d of the %d oldest connections were closed", ended, maxPendingConns)
	}
}
