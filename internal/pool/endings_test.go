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

// shut is a server whose SYNs are not taken up before open is called; seen counts bytes that came over its connections, and
// ups those connections but for the one that fills its queue.
type shut struct {
	addr      string
	open      func()
	serve     func(c net.Conn) // what it does with a connection once it is open
	seen, ups atomic.Int64
}

func shutServer(t *testing.T) *shut {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "shut")
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
	s := &shut{addr: l.Addr().String()}
	s.serve = func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			if _, err := r.Peek(1); err != nil {
				return
			}
			s.seen.Add(1)
			if _, err := command(r); err != nil {
				return
			}
			io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		}
	}
	for full := false; !full; { // until a SYN is left in the air
		c, err := net.DialTimeout("tcp", s.addr, 200*time.Millisecond)
		if full = err != nil; !full {
			t.Cleanup(func() { c.Close() })
			s.ups.Add(-1)
		}
	}
	s.open = func() {
		if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { unix.Listen(int(fd), 1024) }) // all that knock come in together
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				s.ups.Add(1)
				go func() {
					defer c.Close()
					s.serve(c)
				}()
			}
		}()
	}
	return s
}

// knocking counts connections to the server that are being made.
func (s *shut) knocking(t *testing.T) (n int) {
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

const long = 6 * patience // a SYN that is left in the air is sent again after 1, 3, 7, 15 and 31 s

// until waits for an event; no verdict hangs on how long that takes.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for late := time.Now().Add(long); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(late) {
			t.Fatalf("not %s", what)
		}
	}
}

// Danger: a push whose connection is still coming up when it is given up, or when its client leaves, is written as the connection
// is up, seconds later. All of them are forced: not one connection is up before all clients have left.
func TestNothingIsWrittenOnceTheConnectionIsUp(t *testing.T) {
	const many = 300
	for name, end := range map[string]func(r *engine.Request, giveUp func(engine.AbortCondition) bool) bool{
		"taken back":          func(_ *engine.Request, giveUp func(engine.AbortCondition) bool) bool { return giveUp(engine.IfUnwritten) },
		"given up":            func(_ *engine.Request, giveUp func(engine.AbortCondition) bool) bool { return giveUp(engine.Always) },
		"its client has left": func(r *engine.Request, _ func(engine.AbortCondition) bool) bool { r.Abandon(); return true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := shutServer(t)
			s := shared()
			s.DialTimeout = long
			s.MaxConnections.Store(2 * many)
			p := pool.New(s, server.addr, caches.Protocol{})
			t.Cleanup(p.Retire)
			var ended []chan engine.Result
			var ends []func() bool
			before := server.knocking(t)
			for i := range many {
				r := request(fmt.Sprint("id", i))
				results, giveUp := push(p, r)
				ended, ends = append(ended, results), append(ends, func() bool { return end(r, giveUp) })
			}
			until(t, "under way", func() bool { return server.knocking(t) >= before+many })
			for _, end := range ends {
				if !end() {
					t.Error("not given up, though nothing is written")
				}
			}
			server.open()
			until(t, "up", func() bool { return server.ups.Load() >= many })
			if name == "its client has left" {
				for _, results := range ended {
					if r := wait(t, results); r.Outcome != policy.NotSent {
						t.Errorf("%+v", r)
					}
				}
			}
			results, _ := push(p, request("last")) // the way is open, and the count counts
			if r := wait(t, results); r.Outcome != policy.Acked || server.seen.Load() != 1 {
				t.Errorf("%+v; %d commands were written", r, server.seen.Load())
			}
		})
	}
}

// Danger: a connection that the server has ended is found so as the push is about to be written; the push goes over another, which
// takes its time, and would be written after its end.
func TestNothingIsWrittenBehindAStaleConnection(t *testing.T) {
	var second atomic.Bool
	held, seen := make(chan bool), make(chan string, 9)
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
				<-held // it ends now
				return
			}
		}
	})
	s := shared()
	p := pool.New(s, addr, caches.Protocol{})
	results, _ := push(p, request("a"))
	wait(t, results)
	wait(t, seen)
	close(held)
	settled()
	r := request("b")
	r.Abandon()
	results, _ = push(p, r)
	if res := wait(t, results); res.Outcome != policy.NotSent || s.Stale.Load() != 1 {
		t.Errorf("%+v, %d stale", res, s.Stale.Load())
	}
	results, _ = push(p, request("c"))
	if res := wait(t, results); res.Outcome != policy.Acked {
		t.Errorf("%+v", res)
	}
	if id := wait(t, seen); id != "c" || !second.Load() {
		t.Errorf("%s was written", id)
	}
}

// Danger: a cache sends an answer twice, the second time some milliseconds later, and the connection serves another op by then: that
// would be given the value of the first. The second push is made while the connection has rested for 3 to 8 ms: since before the first answer came
// here, and since after it was written there. The second copy is held until that push has been written somewhere.
func TestASecondAnswerThatComesLateIsNobodysElse(t *testing.T) {
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
	for late := time.Now().Add(patience); time.Now().Before(late); {
		p := pool.New(shared(), addr, caches.Protocol{})
		results, _ := push(p, request("first"))
		wait(t, results)
		for rested := time.Now(); time.Since(rested) < from; {
		}
		results, _ = push(p, request("other"))
		late := time.Since(wait(t, answered)) > to
		wait(t, written)
		again <- true
		settled()
		answer <- true
		if res := wait(t, results); string(res.Value) != "other" && !late {
			t.Fatalf("the other op was given the value of %q", res.Value)
		} else if !late {
			return
		}
	}
	t.Fatal("no second push was made in time: nothing is shown")
}

// Danger: a push is written on a connection that the server ends for having been idle just then; it may have run. One that is about to be
// ended so is left alone, though Sweep has not come to it.
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
		settled()
	}
	ask("a")
	ask("b")
	if s.Opened.Load() != 1 || s.Reused.Load() != 1 {
		t.Errorf("%d opened, %d used again", s.Opened.Load(), s.Reused.Load())
	}
	s.SetTimeouts(patience, 20*time.Millisecond) // the server has closed it by now, or is about to: it has rested for as long
	ask("c")
	if s.Opened.Load() != 2 || s.Reused.Load() != 1 {
		t.Errorf("%d opened, %d used again", s.Opened.Load(), s.Reused.Load())
	}
}

// deaf is a server that takes hardly a byte before it is let: its system has room for a few KiB alone.
func deaf(t *testing.T, serve func(c net.Conn)) string {
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

// Danger: a push that is given up lies in our system's buffer still, for a server that hangs or is cut off, and is sent as that is back:
// behind its op's final answer, and behind the window in which a repeat is dropped. Nothing is read there before the push is given up.
func TestWhatIsGivenUpDoesNotComeLater(t *testing.T) {
	const kept = 512 << 10 // that our system takes whole; ten times of it, it does not
	for name, c := range map[string]struct {
		size int
		when engine.AbortCondition
	}{
		"all of it in our system's buffer":                      {kept, engine.Always},
		"all of it in our system's buffer, and its time is up":  {kept, engine.IfUnsent},
		"part of it in our system's buffer":                     {64 * kept, engine.Always},
		"part of it in our system's buffer, and its time is up": {64 * kept, engine.IfUnsent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun, read, got := make(chan bool), make(chan bool), make(chan int64)
			addr := deaf(t, func(c net.Conn) {
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
			_, giveUp := push(p, r)
			wait(t, begun)
			if c.size == kept {
				wait(t, whole)
			}
			if !giveUp(c.when) {
				t.Error("not given up")
			}
			close(read)
			if n := wait(t, got); n >= int64(c.size) {
				t.Errorf("%d bytes of it came all the same", n)
			}
		})
	}
}

// What has come to the server's system runs on, though its time for repeats is up.
func TestWhatHasComeIsNoLongerUnsent(t *testing.T) {
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
	results, giveUp := push(p, request("a"))
	wait(t, read)
	wait(t, whole)
	if giveUp(engine.IfUnsent) {
		t.Error("given up")
	}
	close(answer)
	if r := wait(t, results); r.Outcome != policy.Acked {
		t.Errorf("%+v", r)
	}
}

// Danger: a process that ends, and goes on for whatever reason, keeps descriptors, and the servers' places, for nobody.
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
		t.Errorf("%d open", s.Open())
	}
	if s.CloseIdle(); s.Open() != 0 {
		t.Errorf("%d open", s.Open())
	}
}
