package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"minttray/policy"
)

// A shutdown must answer every op that it accepted, when its time is over or at a second stop signal. Here the caches
// are stuck, one client does not read its replies, and nobody reads the log.
func TestOpenOpsAreAnsweredAtShutdown(t *testing.T) {
	for name, stopAgain := range map[string]bool{"time limit": false, "second stop signal": true} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.useSilentCaches()
			env.writeOperators("[stop]\nwithin = \"1s\"\nclose = \"500ms\"\n")
			if stopAgain {
				env.writeOperators("[stop]\nwithin = \"50m\"\nclose = \"500ms\"\n")
			}
			unreadLog, log := io.Pipe()
			defer unreadLog.Close()
			p := env.startWithLog(log)
			p.writeConfig(strings.Replace(env.config(p, "read"), "5000000", "3000000000", 1)) // a TTL of 50 minutes
			p.signals <- syscall.SIGHUP
			p.waitFor("reload counted", func() bool { return p.metric("svc_reloads_ok") == 1 })
			notReading, _ := env.dial()
			for i := range 4 {
				fmt.Fprint(notReading, strings.Repeat("*2\r\n$4\r\nECHO\r\n$1\r\nx\r\n", 2000)+getCommand(fmt.Sprint("deaf", i), 3000000))
			}
			var clients sync.WaitGroup
			for i := range 8 {
				c, r := env.dial()
				fmt.Fprint(c, getCommand(fmt.Sprint("open", i), 3000000))
				clients.Add(1)
				go func() {
					defer clients.Done()
					if line, err := r.ReadString('\n'); !strings.HasPrefix(line, "-") || err != nil {
						t.Errorf("op %d: %q, %v", i, line, err)
					}
				}()
			}
			p.waitFor("8 ops pushed", func() bool { return env.commandCounts[0].Load()+env.commandCounts[1].Load() >= 8 })
			p.signals <- syscall.SIGTERM
			giveUpAt := time.Now().Add(testTimeout)
			for ended := false; !ended; {
				select {
				case err := <-p.ended:
					if ended = true; err != nil {
						t.Error(err)
					}
				case <-time.After(100 * time.Millisecond):
					if time.Now().After(giveUpAt) {
						t.Fatal("the proxy did not end")
					}
					if stopAgain && len(p.signals) == 0 {
						p.signals <- syscall.SIGTERM
					}
				}
			}
			clients.Wait()
		})
	}
}

// SIGKILL comes a little after the longest TTL, which may be long before the time that operators allow for a shutdown.
// An op that is still open then gets no answer, so it must be answered before.
func TestOpenOpsAreAnsweredAfterTheLongestTTL(t *testing.T) {
	env := newTestEnv(t)
	env.useSilentCaches()
	env.writeOperators("[stop]\nwithin = \"50m\"\nclose = \"500ms\"\n")
	p := env.start()
	p.writeConfig(strings.Replace(env.config(p, "read"), "5000000", "3000000000", 1)) // a TTL of 50 minutes
	p.signals <- syscall.SIGHUP
	p.waitFor("first reload counted", func() bool { return p.metric("svc_reloads_ok") == 1 })
	c, r := env.dial()
	fmt.Fprint(c, getCommand("open", 3000000))
	p.waitFor("op pushed", func() bool { return env.commandCounts[0].Load()+env.commandCounts[1].Load() == 1 })
	// From now on the longest TTL is half a second.
	p.writeConfig(strings.Replace(strings.Replace(env.config(p, "read"), "5000000", "500000", 1), "4000000", "400000", 1))
	p.signals <- syscall.SIGHUP
	p.waitFor("second reload counted", func() bool { return p.metric("svc_reloads_ok") == 2 })
	p.signals <- syscall.SIGTERM
	if line, err := r.ReadString('\n'); !strings.HasPrefix(line, "-BUSY") || err != nil {
		t.Errorf("open op: %q, %v", line, err)
	}
	if err := <-p.ended; err != nil || !strings.Contains(p.log.String(), `"handed_back":1`) {
		t.Errorf("%v\n%s", err, p.log)
	}
}

// stuckModule is a module that does not return from its first op until the test releases it.
type stuckModule struct {
	Module
	release chan struct{}
}

func (m *stuckModule) OpArrived(uint32, uint64, int, int, bool, bool, policy.Time) { <-m.release }

// A process whose engine is stuck must end all the same, and in time.
func TestAStuckEngineEndsInItsTime(t *testing.T) {
	env := newTestEnv(t)
	// A snapshot that waits for the engine outlives the test. Its folder does not exist, so it is never written.
	env.writeOperators("[stop]\nwithin = \"1s\"\nclose = \"200ms\"\n[state]\ndir = \"/nowhere/at/all\"\n")
	release := make(chan struct{})
	defer close(release)
	env.newModule = func(s policy.Settings, seed uint64, h policy.Host) Module {
		return &stuckModule{newPolicyModule(s, seed, h), release}
	}
	p := env.start()
	c, _ := env.dial()
	fmt.Fprint(c, getCommand("stuck", 5000))
	p.waitFor("op in flight", func() bool { return p.metric("svc_in_flight") == 1 })
	p.signals <- syscall.SIGTERM
	select {
	case err := <-p.ended:
		if err != nil || !strings.Contains(p.log.String(), "open ops not answered at shutdown") {
			t.Errorf("%v\n%s", err, p.log)
		}
	case <-time.After(testTimeout):
		t.Fatal("the proxy did not end")
	}
}

// gatedServer is a cache or an origin that records the ops that it receives and answers none until the test opens it.
type gatedServer struct {
	net.Listener
	t          *testing.T
	mu         sync.Mutex
	receivedAt map[string]time.Time // by request ID
	opened     chan struct{}        // closed by the test
}

func newGatedServer(t *testing.T) *gatedServer {
	return &gatedServer{Listener: listen(t), t: t, receivedAt: map[string]time.Time{}, opened: make(chan struct{})}
}

func (g *gatedServer) record(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.receivedAt[id] = time.Now()
}

// count returns how many ops it has received, without those whose IDs are excluded.
func (g *gatedServer) count(excluded ...string) (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.receivedAt {
		if !slices.Contains(excluded, id) {
			n++
		}
	}
	return n
}

// serveCache answers each command with the same reply once the server is open. With an empty reply it closes the
// connection instead.
func (g *gatedServer) serveCache(reply string) {
	for {
		c, err := g.Accept()
		if err != nil {
			return
		}
		g.t.Cleanup(func() { c.Close() })
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				words, err := readCommand(r)
				if err != nil {
					return
				}
				g.record(words[2])
				<-g.opened
				if reply == "" {
					return
				}
				io.WriteString(c, reply)
			}
		}()
	}
}

// newCloseProbe opens one more connection on this machine. The function that it returns closes the connection and waits
// until a reader has seen the close: as long as the machine is too busy to run that reader, the proxy can't know of a
// close either.
func newCloseProbe(t *testing.T) (closeAndWait func()) {
	l := listen(t)
	clientSide, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverSide, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan error, 1)
	go func() {
		defer serverSide.Close()
		_, err := serverSide.Read(make([]byte, 1))
		seen <- err
	}()
	return func() {
		clientSide.Close()
		if err := <-seen; err != io.EOF {
			t.Error(err)
		}
	}
}

// An op whose client has disconnected must not be sent to any further server. Hundreds of clients disconnect while their
// ops wait, in each place where an op can wait: at a cache, at the origin, or in the queue for the origin. The servers
// answer only after a limit of 0.3 s has passed since the last disconnect. Nothing that is sent on after that may belong
// to a client that is gone.
func TestNothingIsSentOnForClientsThatHaveLeft(t *testing.T) {
	const (
		clientCount     = 300
		cacheCount      = 60  // at first a cache has room for a dozen ops, and keys are not spread evenly
		minWaiting      = 200 // ops that have to wait where they are meant to; fewer would show nothing
		disconnectLimit = 300 * time.Millisecond

		immediate = "at once " // prefix of a reply that caches send without waiting
		write     = "never "   // the caches are not asked: the op waits at the origin, or in its queue for its first push
	)
	disconnect := []func(c net.Conn){
		func(c net.Conn) { c.Close() },
		func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
	}
	for name, place := range map[string]struct {
		reply string // of the caches; with an immediate miss, ops wait at the origin and in the queue for it
		stop  bool   // the process is told to stop first, and has stopped reading commands
	}{
		"at a cache that refuses it":                           {"-BUSY\r\n", false}, // another cache would be next
		"at a cache that fails":                                {"-ERR failed\r\n", false},
		"at a cache that misses":                               {missReply, false}, // the origin, and its queue, would be next
		"at a cache that refuses it, shutting down":            {"-BUSY\r\n", true},
		"at a cache that misses, shutting down":                {missReply, true},
		"at a cache that closes its connection, shutting down": {"", true},
		"at a cache with an invalid reply":                     {"+what\r\n", false},
		"in the queue for the origin":                          {immediate + missReply, false},
		"in the queue for the origin, shutting down":           {immediate + missReply, true},
		"a write, in the queue for the origin":                 {write, false},
		"a write, in the queue for the origin, shutting down":  {write, true},
	} {
		for _, cancelling := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancelling %v", name, cancelling), func(t *testing.T) {
				t.Parallel()
				agent := listen(t)
				var caches []*gatedServer
				for range cacheCount {
					caches = append(caches, newGatedServer(t))
				}
				origin := newGatedServer(t)
				var entries []string
				reply, atOrigin := strings.CutPrefix(place.reply, immediate)
				writes := place.reply == write
				atOrigin = atOrigin || writes
				closedServers := caches // those that hold the ops back
				if atOrigin {
					for _, cache := range caches {
						close(cache.opened)
					}
					closedServers = []*gatedServer{origin}
				}
				for i, cache := range caches {
					go cache.serveCache(reply)
					entries = append(entries, listEntry(fmt.Sprint("c", i), "box", cache))
				}
				go http.Serve(origin, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					origin.record(r.Header.Get("X-Trace-Id"))
					<-origin.opened
					io.WriteString(w, "v")
				}))
				list := `{"generation":1,"reset":true,"instances":[` + strings.Join(append(entries, listEntry("o", "origin", origin)), ",") + "]}"
				go http.Serve(agent, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.RawQuery != "" {
						<-r.Context().Done()
						return
					}
					io.WriteString(w, list)
				}))
				env := &testEnv{t: t, dir: t.TempDir(), addr: unusedAddr(t), agent: agent, list: list, newModule: newPolicyModule}
				p := env.startWithConfig(func(text string) string {
					text = strings.Replace(text, `"cancelling":true`, fmt.Sprintf(`"cancelling":%v`, cancelling), 1)
					text = strings.Replace(text, `"skus":["box"]`, `"skus":["box","origin"],"family-info":{"mode":"aside","origin-kind":1}`, 1)
					// Times so long that no op ends by its deadline.
					text = strings.NewReplacer(`us":4000000`, `us":50000000`, `us":5000000`, `us":60000000`).Replace(text)
					return strings.Replace(text, `"sockets":256`, `"sockets":4000`, 1)
				})
				var conns []net.Conn
				for i := range clientCount {
					c, err := net.Dial("tcp", env.addr)
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { c.Close() })
					conns = append(conns, c)
					text := strings.Replace(getCommand(fmt.Sprint("op", i), 50000), "$1\r\nk", fmt.Sprintf("$%d\r\nk%d", len(fmt.Sprint("k", i)), i), 1)
					if writes {
						text = strings.Replace(text, "*4\r\n$9\r\nCACHE.GET", "*5\r\n$9\r\nCACHE.SET", 1) + "$1\r\nv\r\n"
					}
					io.WriteString(c, text)
				}
				// This wait is part of the set-up: on a machine that is too busy some ops may not have arrived after it.
				for giveUpAt := time.Now().Add(testTimeout); time.Now().Before(giveUpAt); time.Sleep(5 * time.Millisecond) {
					refused := p.metric(`svc_refused{class="read"}`)
					arrived, asked := p.metric("svc_in_flight")+refused, refused
					for _, cache := range caches {
						asked += cache.count()
					}
					if arrived >= clientCount && (writes || asked >= clientCount) {
						break
					}
				}
				waiting := p.metric("svc_in_flight")
				t.Logf("%d of %d ops wait", waiting, clientCount)
				if waiting < minWaiting {
					t.Fatalf("only %d of %d ops wait", waiting, clientCount)
				}
				if place.stop {
					p.signals <- syscall.SIGTERM
					p.waitFor("listener closed", func() bool {
						c, err := net.Dial("tcp", env.addr)
						if err == nil {
							c.Close()
						}
						return err != nil
					})
					time.Sleep(acceptCommandsFor) // after that no reader accepts commands
				}
				// The first client stays: a process that shuts down runs for as long as a client is connected.
				closeAndWait := newCloseProbe(t)
				for i, c := range conns[1:] {
					disconnect[i%len(disconnect)](c)
				}
				// The limit counts from when a reader on this machine can know of the disconnects. Nothing else is waited
				// for, since ops would end by their deadlines meanwhile.
				closeAndWait()
				time.Sleep(disconnectLimit)
				sent := func() (n int) { // ops of disconnected clients; those of the others may go on
					for _, server := range append([]*gatedServer{origin}, caches...) {
						n += server.count("last", "op0")
					}
					return n
				}
				before := sent()
				for _, server := range closedServers {
					close(server.opened)
				}
				if !atOrigin {
					close(origin.opened)
				}
				if !place.stop { // once a new op is answered, any op that was still held would have been sent
					c, r := env.dial()
					fmt.Fprint(c, getCommand("last", 4000))
					if _, err := r.ReadString('\n'); err != nil {
						t.Error(err)
					}
					p.signals <- syscall.SIGTERM
				}
				if err := <-p.ended; err != nil {
					t.Error(err)
				}
				if after := sent(); after != before {
					t.Errorf("%d of %d ops were sent on after their clients had disconnected", after-before, waiting)
				}
			})
		}
	}
}

// Signals may arrive close together, or before the process is ready. None may be lost, and a process that is told to
// stop while it starts must serve who connects and then end.
func TestSignalsThatCross(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"stop before it is ready":        {syscall.SIGTERM},
		"two stops before it is ready":   {syscall.SIGTERM, syscall.SIGTERM},
		"reload, then stop":              {syscall.SIGHUP, syscall.SIGTERM},
		"stop, then reload and counters": {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			var log bytes.Buffer
			path := filepath.Join(env.dir, "config.json")
			p := &process{env: env, path: path, signals: make(chan os.Signal, len(signals))}
			p.writeConfig(env.config(p, "read"))
			for _, sig := range signals {
				p.signals <- sig // all of them are pending when the process starts
			}
			ended := make(chan error, 1)
			go func() {
				ended <- run(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] }, p.signals, &log, newPolicyModule)
			}()
			// It listens all the same, for as long as load balancers may not have noticed the shutdown, and serves.
			var c net.Conn
			for giveUpAt := time.Now().Add(testTimeout); c == nil && time.Now().Before(giveUpAt); time.Sleep(time.Millisecond) {
				if conn, err := net.Dial("tcp", env.addr); err == nil {
					c = conn
				} else if len(ended) > 0 {
					break
				}
			}
			if c == nil {
				t.Fatalf("the proxy never listened:\n%s", &log)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			if body, err := getKey(c, bufio.NewReader(c), "k", "id"); body != "id" && !strings.HasPrefix(body, "-BUSY") {
				t.Errorf("%q, %v", body, err)
			}
			c.Close()
			if err := <-ended; err != nil || !strings.Contains(log.String(), `"message":"stopped"`) {
				t.Errorf("%v\n%s", err, &log)
			}
		})
	}
}

// waitForHangup waits until the peer has closed or reset a connection, without reading from it, for at most timeout.
func waitForHangup(c net.Conn, timeout time.Duration) {
	raw, err := c.(syscall.Conn).SyscallConn()
	for giveUpAt := time.Now().Add(timeout); err == nil && time.Now().Before(giveUpAt); time.Sleep(time.Millisecond) {
		fds := []unix.PollFd{{Events: unix.POLLRDHUP}}
		raw.Control(func(fd uintptr) {
			fds[0].Fd = int32(fd)
			unix.Poll(fds, 0)
		})
		if fds[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0 {
			return
		}
	}
}

// When an op ends, its push may still be in the system's send buffer for a cache that hangs, and the cache would receive
// it once it runs again. Here a cache reads one byte, with room for a few KiB more, until the op has ended in each of
// three ways. Then it reads all that comes, which must be less than the whole push.
func TestCacheDoesNotReceiveAnEndedOp(t *testing.T) {
	const size = 512 << 10 // bytes; more than the cache's receive buffer, less than our system's send buffer
	for name, end := range map[string]func(p *process, c net.Conn, r *bufio.Reader){
		"deadline": func(p *process, c net.Conn, r *bufio.Reader) {
			if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "-") {
				p.env.t.Errorf("%q, %v", line, err)
			}
		},
		"client disconnects": func(p *process, c net.Conn, r *bufio.Reader) {
			c.Close()
			p.waitFor("no op in flight", func() bool { return p.metric("svc_in_flight") == 0 })
		},
		"shutdown": func(p *process, c net.Conn, r *bufio.Reader) {
			p.signals <- syscall.SIGTERM
			if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "-") {
				p.env.t.Errorf("%q, %v", line, err)
			}
			if err := <-p.ended; err != nil {
				p.env.t.Error(err)
			}
			p.ended <- nil
		},
	} {
		for _, cancelling := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancelling %v", name, cancelling), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.writeOperators("[stop]\nwithin = \"1s\"\nclose = \"500ms\"\n")
				read, received := make(chan bool), make(chan int64, 16)
				l, err := (&net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
					return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10) })
				}}).Listen(t.Context(), "tcp", "127.0.0.1:0")
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
							c.Read(make([]byte, 1))
							<-read
							waitForHangup(c, testTimeout/4) // the engine may end the push a moment after the client's reply
							n, _ := io.Copy(io.Discard, c)
							received <- n
						}()
					}
				}()
				env.list = `{"generation":1,"reset":true,"instances":[` + listEntry("deaf", "box", l) + "]}"
				p := env.startWithConfig(func(text string) string {
					return strings.Replace(text, `"cancelling":true`, fmt.Sprintf(`"cancelling":%v`, cancelling), 1)
				})
				c, r := env.dial()
				text := strings.Replace(getCommand("op", 1500), "*4\r\n$9\r\nCACHE.GET", "*5\r\n$9\r\nCACHE.SET", 1)
				fmt.Fprintf(c, "%s$%d\r\n%s\r\n", text, size, make([]byte, size))
				p.waitFor("push written in full to the system", func() bool { return p.metric("svc_attempts") == 1 })
				end(p, c, r)
				close(read)
				if n := <-received; n >= size {
					t.Errorf("the cache received %d bytes of the ended op, the whole push", n)
				}
				p.signals <- syscall.SIGTERM
				c.Close()
				if err := <-p.ended; err != nil {
					t.Error(err)
				}
			})
		}
	}
}
