package pool_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"minttray/internal/caches"
	"minttray/internal/engine"
	"minttray/internal/pool"
	"minttray/policy"
)

// backloggedServer is a server whose accept queue is full, so that no connection to it is established before open is called.
type backloggedServer struct {
	addr     string
	open     func()
	serve    func(c net.Conn) // handles each connection once the server is open
	commands atomic.Int64     // received over its connections
	accepted atomic.Int64     // connections accepted, without those that fill the queue
}

// newBackloggedServer starts a server with a full accept queue.
func newBackloggedServer(t *testing.T) *backloggedServer {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "backlogged server")
	defer f.Close()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &backloggedServer{addr: l.Addr().String()}
	s.serve = func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			if _, err := r.Peek(1); err != nil {
				return
			}
			s.commands.Add(1)
			if _, err := command(r); err != nil {
				return
			}
			io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		}
	}
	for full := false; !full; { // until a SYN is not answered
		c, err := net.DialTimeout("tcp", s.addr, 200*time.Millisecond)
		if full = err != nil; !full {
			t.Cleanup(func() { c.Close() })
			s.accepted.Add(-1)
		}
	}
	s.open = func() {
		if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { unix.Listen(int(fd), 1024) }) // all pending connections are established together
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				s.accepted.Add(1)
				go func() {
					defer c.Close()
					s.serve(c)
				}()
			}
		}()
	}
	return s
}

// dialing returns the number of connections to the server that are being established.
func (s *backloggedServer) dialing(t *testing.T) (n int) {
	t.Helper()
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(s.addr)
	number, _ := strconv.Atoi(port)
	for _, line := range strings.Split(string(text), "\n") {
		const to, state, synSent = 2, 3, "02"
		if f := strings.Fields(line); len(f) > state && f[state] == synSent && strings.HasSuffix(f[to], fmt.Sprintf(":%04X", number)) {
			n++
		}
	}
	return n
}

// slowEventTimeout exceeds the retransmission times of an unanswered SYN: 1, 3, 7, 15 and 31 s.
const slowEventTimeout = 6 * eventTimeout

// until waits for an event; no assertion depends on how long that takes.
func until(t *testing.T, event string, happened func() bool) {
	t.Helper()
	for limit := time.Now().Add(slowEventTimeout); !happened(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("event did not happen: %s", event)
		}
	}
}

// Guards against a push that is written seconds after it was aborted, or after its client disconnected, because its connection was still
// being established. No connection is established before all pushes have ended.
func TestNothingIsWrittenOnceTheConnectionIsUp(t *testing.T) {
	const many = 300
	for name, end := range map[string]func(r *engine.Request, abort func(engine.AbortCondition) bool) bool{
		"aborted as unwritten": func(_ *engine.Request, abort func(engine.AbortCondition) bool) bool { return abort(engine.IfUnwritten) },
		"aborted":              func(_ *engine.Request, abort func(engine.AbortCondition) bool) bool { return abort(engine.Always) },
		"client disconnected":  func(r *engine.Request, _ func(engine.AbortCondition) bool) bool { r.Abandon(); return true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newBackloggedServer(t)
			s := shared()
			s.DialTimeout = slowEventTimeout
			s.MaxConnections.Store(2 * many)
			p := pool.New(s, server.addr, caches.Protocol{})
			t.Cleanup(p.Retire)
			var ended []chan engine.Result
			var ends []func() bool
			before := server.dialing(t)
			for i := range many {
				r := request(fmt.Sprint("id", i))
				results, abort := push(p, r)
				ended, ends = append(ended, results), append(ends, func() bool { return end(r, abort) })
			}
			until(t, "all connections dialing", func() bool { return server.dialing(t) >= before+many })
			for _, end := range ends {
				if !end() {
					t.Error("push not aborted, though nothing was written")
				}
			}
			server.open()
			until(t, "all connections established", func() bool { return server.accepted.Load() >= many })
			if name == "client disconnected" {
				for _, results := range ended {
					if r := wait(t, results); r.Outcome != policy.NotSent {
						t.Errorf("%+v", r)
					}
				}
			}
			results, _ := push(p, request("last")) // shows that the server is reachable and counts commands
			if r := wait(t, results); r.Outcome != policy.Acked || server.commands.Load() != 1 {
				t.Errorf("%+v; %d commands were written", r, server.commands.Load())
			}
		})
	}
}

// Guards against a push that is written after its client has disconnected because the connection that it was assigned to turned out to
// be closed by the server, and a new one took time to establish.
func TestNothingIsWrittenBehindAStaleConnection(t *testing.T) {
	var second atomic.Bool
	closeFirst, seen := make(chan bool), make(chan string, 9)
	addr := listen(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		if n > 0 {
			second.Store(true)
		}
		for {
			words, err := command(r)
			if err != nil {
				return
			}
			seen <- words[2]
			io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
			if n == 0 {
				<-closeFirst
				return
			}
		}
	})
	s := shared()
	p := pool.New(s, addr, caches.Protocol{})
	results, _ := push(p, request("a"))
	wait(t, results)
	wait(t, seen)
	close(closeFirst)
	waitUntilReusable()
	r := request("b")
	r.Abandon()
	results, _ = push(p, r)
	if res := wait(t, results); res.Outcome != policy.NotSent || s.StaleConns.Load() != 1 {
		t.Errorf("%+v, %d stale connections", res, s.StaleConns.Load())
	}
	results, _ = push(p, request("c"))
	if res := wait(t, results); res.Outcome != policy.Acked {
		t.Errorf("%+v", res)
	}
	if id := wait(t, seen); id != "c" || !second.Load() {
		t.Errorf("%s was written", id)
	}
}

// Guards against a duplicate response that arrives some milliseconds late, when the connection already serves another op, which would
// receive the first op's value. The second push is made when the connection has been idle for 3 to 8 ms, measured from before the first
// response arrived here and from after it was written there. The duplicate is held back until that push has been written.
func TestLateDuplicateResponseIsNotUsedForAnotherOp(t *testing.T) {
	const from, to = 3 * time.Millisecond, 8 * time.Millisecond
	written, again, answer, answered := make(chan string, 9), make(chan bool), make(chan bool), make(chan time.Time, 9)
	addr := listen(t, func(n int, c net.Conn) {
		for r := bufio.NewReader(c); ; {
			words, err := command(r)
			if err != nil {
				return
			}
			value := func() { fmt.Fprintf(c, "*3\r\n$5\r\n%s\r\n$-1\r\n$-1\r\n", words[2]) }
			if words[2] == "first" {
				answered <- time.Now()
				value()
				go func() { <-again; value() }()
				continue
			}
			written <- words[2]
			<-answer
			value()
		}
	})
	for limit := time.Now().Add(eventTimeout); time.Now().Before(limit); {
		p := pool.New(shared(), addr, caches.Protocol{})
		results, _ := push(p, request("first"))
		wait(t, results)
		for rested := time.Now(); time.Since(rested) < from; {
		}
		results, _ = push(p, request("other"))
		late := time.Since(wait(t, answered)) > to
		wait(t, written)
		again <- true
		waitUntilReusable()
		answer <- true
		if res := wait(t, results); string(res.Value) != "other" && !late {
			t.Fatalf("the other op received the value of %q", res.Value)
		} else if !late {
			return
		}
	}
	t.Fatal("no second push was made within the time window: the test is inconclusive")
}

// Guards against a push that is written while the server closes the connection as idle, and so may have been executed. A connection close to
// the idle timeout must not be used, even if CloseExpired has not visited it yet.
func TestAConnectionAboutToEndForBeingIdleIsNotUsed(t *testing.T) {
	addr := listen(t, func(n int, c net.Conn) {
		for r := bufio.NewReader(c); ; {
			if _, err := command(r); err != nil {
				return
			}
			io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		}
	})
	s := shared()
	p := pool.New(s, addr, caches.Protocol{})
	ask := func(id string) {
		t.Helper()
		results, _ := push(p, request(id))
		if res := wait(t, results); res.Outcome != policy.Acked {
			t.Errorf("%+v", res)
		}
		waitUntilReusable()
	}
	ask("a")
	ask("b")
	if s.Opened.Load() != 1 || s.Reused.Load() != 1 {
		t.Errorf("%d connections opened, %d reused", s.Opened.Load(), s.Reused.Load())
	}
	s.SetTimeouts(eventTimeout, 20*time.Millisecond) // the connection has been idle for that long, so the server has closed it or is about to
	ask("c")
	if s.Opened.Load() != 2 || s.Reused.Load() != 1 {
		t.Errorf("%d connections opened, %d reused", s.Opened.Load(), s.Reused.Load())
	}
}

// listenWithSmallBuffer starts a server whose kernel buffers only a few KiB of each connection.
func listenWithSmallBuffer(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2<<10) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against an aborted push that remains in the send buffer for a server that hangs or is disconnected, and is delivered when the server
// recovers: after its op's final reply, and after the window in which a duplicate is dropped. The server reads nothing before the abort.
func TestAbortedPushIsNotDeliveredLater(t *testing.T) {
	const bufferedBytes = 512 << 10 // fits into the send buffer; ten times as much does not
	for name, c := range map[string]struct {
		size int
		when engine.AbortCondition
	}{
		"all of it in the send buffer":                     {bufferedBytes, engine.Always},
		"all of it in the send buffer, retry window over":  {bufferedBytes, engine.IfUnsent},
		"part of it in the send buffer":                    {64 * bufferedBytes, engine.Always},
		"part of it in the send buffer, retry window over": {64 * bufferedBytes, engine.IfUnsent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun, read, got := make(chan bool), make(chan bool), make(chan int64)
			addr := listenWithSmallBuffer(t, func(c net.Conn) {
				r := bufio.NewReaderSize(c, 16)
				r.Peek(1)
				begun <- true
				<-read
				n, _ := io.Copy(io.Discard, r)
				got <- n
			})
			s, whole := shared(), make(chan bool, 1)
			s.OnAttemptWritten = func() { whole <- true }
			p := pool.New(s, addr, caches.Protocol{})
			r := request("a")
			r.Write, r.Parts = true, [][]byte{make([]byte, c.size)}
			_, abort := push(p, r)
			wait(t, begun)
			if c.size == bufferedBytes {
				wait(t, whole)
			}
			if !abort(c.when) {
				t.Error("not aborted")
			}
			close(read)
			if n := wait(t, got); n >= int64(c.size) {
				t.Errorf("%d bytes of it were delivered", n)
			}
		})
	}
}

// A push that the server's kernel has acknowledged is not aborted as unsent, even when the retry window is over.
func TestDeliveredPushIsNotAbortedAsUnsent(t *testing.T) {
	read, answer := make(chan bool), make(chan bool)
	addr := listen(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := command(r); err != nil {
			return
		}
		close(read)
		<-answer
		io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	})
	s, whole := shared(), make(chan bool, 1)
	s.OnAttemptWritten = func() { whole <- true }
	p := pool.New(s, addr, caches.Protocol{})
	results, abort := push(p, request("a"))
	wait(t, read)
	wait(t, whole)
	if abort(engine.IfUnsent) {
		t.Error("aborted although it was delivered")
	}
	close(answer)
	if r := wait(t, results); r.Outcome != policy.Acked {
		t.Errorf("%+v", r)
	}
}

// Guards against a process that shuts down slowly and keeps idle connections, which occupy descriptors here and at the servers.
func TestNoIdleConnectionIsKeptAtTheEnd(t *testing.T) {
	s := shared()
	for i := range 3 {
		addr := listen(t, func(n int, c net.Conn) {
			for r := bufio.NewReader(c); ; {
				if _, err := command(r); err != nil {
					return
				}
				io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
			}
		})
		results, _ := push(pool.New(s, addr, caches.Protocol{}), request(fmt.Sprint(i)))
		wait(t, results)
	}
	if s.Open() != 3 {
		t.Errorf("%d connections open, want 3", s.Open())
	}
	if s.CloseIdle(); s.Open() != 0 {
		t.Errorf("%d connections open after CloseIdle", s.Open())
	}
}
