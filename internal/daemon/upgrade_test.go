package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"minttray/internal/operators"
	"minttray/internal/state"
)

// An upgrade starts a new process beside the old one and then stops the old one. It must lose no request and no
// connection, and must not let in a cache that operators took out. Clients keep sending during two upgrades in a row.
func TestUpgradeUnderLoad(t *testing.T) {
	env := newTestEnv(t)
	old := env.start()
	env.sendRequests(0, 20)
	if status, text := old.call("POST", "/_cache-nodes/detach", "nobody"); status != 404 {
		t.Errorf("detach of an unknown cache: status %d, %s", status, text)
	}
	if status, text := old.call("POST", "/_cache-nodes/detach", "c0"); status != 200 {
		t.Errorf("detach: status %d, %s", status, text)
	}
	before := env.commandCounts[0].Load()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, retried atomic.Int64
	for n := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c net.Conn
			var r *bufio.Reader
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil || n%2 == 0 && i%3 == 0 { // half of the clients reconnect every three requests
					if c != nil {
						c.Close()
					}
					c, r = env.dial()
				}
				id := fmt.Sprint(n, "-", i)
				body, err := getKey(c, r, "k"+id, id)
				if err != nil && body == "" { // closed between two requests: this one is sent again on a new connection
					retried.Add(1)
					c, r = env.dial()
					body, err = getKey(c, r, "k"+id, id)
				}
				if body != id {
					t.Errorf("%s: %q, %v", id, body, err)
					return
				}
				served.Add(1)
			}
		}()
	}
	old.waitFor("50 requests served before the upgrade", func() bool { return served.Load() > 50 })
	next := env.start()
	old.signals <- syscall.SIGTERM
	if err := <-old.ended; err != nil {
		t.Errorf("%v\n%s", err, old.log)
	}
	servedByOld := served.Load()
	next.waitFor("50 requests served after the upgrade", func() bool { return served.Load() > servedByOld+50 })
	close(stop)
	clients.Wait()
	if n := env.commandCounts[0].Load(); n != before {
		t.Errorf("%d commands to a cache that is out", n-before)
	}
	if strings.Contains(old.log.String(), "still connected") {
		t.Errorf("the old process ended with clients connected:\n%s", old.log)
	}
	if n := next.metric("svc_cache_nodes_excluded"); n != 1 {
		t.Errorf("%d caches excluded by the new process, want 1", n)
	}
	if status, _ := next.call("POST", "/_cache-nodes/attach", "c0"); status != 200 {
		t.Errorf("attach: status %d", status)
	}
	next.waitFor("attached cache used", func() bool {
		env.sendRequests(int(time.Now().UnixNano()), 5)
		return env.commandCounts[0].Load() > before
	})
	third := env.start() // a second upgrade in a row
	next.signals <- syscall.SIGTERM
	if err := <-next.ended; err != nil {
		t.Error(err)
	}
	env.sendRequests(1000, 20)
	third.signals <- syscall.SIGTERM
	if err := <-third.ended; err != nil {
		t.Error(err)
	}
}

// A new process that ends during an upgrade must not take the old one's clients with it: the old one serves on.
func TestTheOldProcessServesOnIfTheNewOneDies(t *testing.T) {
	env := newTestEnv(t)
	old := env.start()
	next := env.start()
	next.signals <- syscall.SIGTERM
	<-next.ended
	env.sendRequests(0, 20)
	old.waitForMetric(`svc_served{class="read"}`, 20)
	old.signals <- syscall.SIGTERM
	<-old.ended
}

// A lame duck fails PING, closes idle connections, and serves busy and new ones until their clients leave. A process
// that takes over from it is a lame duck too, until an operator ends that.
func TestLameDuckOnAndOff(t *testing.T) {
	env := newTestEnv(t)
	p := env.start()
	ping := func() string {
		c, r := env.dial()
		defer c.Close()
		io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
		line, _ := r.ReadString('\n')
		return strings.TrimSpace(line)
	}
	idle, idleReader := env.dial()
	if body, err := getKey(idle, idleReader, "k", "first"); body != "first" {
		t.Fatal(body, err)
	}
	busy, busyReader := env.dial()
	if got := ping(); got != "+PONG" {
		t.Errorf("PING before: %q", got)
	}
	if status, text := p.call("POST", "/_lameduck/on", ""); status != 200 {
		t.Errorf("lame duck on: status %d, %s", status, text)
	}
	if got := ping(); !strings.HasPrefix(got, "-") {
		t.Errorf("PING of a lame duck: %q", got)
	}
	n := 0 // requests on the busy connection until the proxy closes it
	for ; ; n++ {
		id := fmt.Sprint("busy", n)
		body, err := getKey(busy, busyReader, "k", id)
		if err != nil && body == "" {
			break
		}
		if body != id {
			t.Fatalf("%s: %q %v", id, body, err)
		}
	}
	if n == 0 {
		t.Error("the busy connection was closed at once")
	}
	if rest, err := io.ReadAll(idleReader); err != nil || len(rest) > 0 {
		t.Errorf("idle connection: read %q, %v", rest, err)
	}
	// The process runs on, and clients that connect all the same are served.
	env.sendRequests(0, 3)
	next := env.start() // takes over from a lame duck and stays one
	if got := ping(); !strings.HasPrefix(got, "-") {
		t.Errorf("PING with a successor: %q", got)
	}
	p.signals <- syscall.SIGTERM
	<-p.ended
	if got := ping(); !strings.HasPrefix(got, "-") {
		t.Errorf("PING of the successor: %q", got)
	}
	if status, _ := next.call("POST", "/_lameduck/off", ""); status != 200 {
		t.Errorf("lame duck off: status %d", status)
	}
	if got := ping(); got != "+PONG" {
		t.Errorf("PING after: %q", got)
	}
	next.signals <- syscall.SIGTERM
	<-next.ended
}

// The metrics agree with what clients and caches saw, also for a category that a reload adds or removes. A broken
// configuration is rejected and counted.
func TestNewSettingsAndFigures(t *testing.T) {
	env := newTestEnv(t)
	p := env.start()
	env.sendRequests(0, 10)
	p.waitFor("10 requests counted", func() bool { return p.metric(`svc_served{class="read"}`) == 10 })
	p.writeConfigWithClass("look")
	p.signals <- syscall.SIGHUP
	p.waitFor("reload counted", func() bool { return p.metric("svc_reloads_ok") == 1 })
	c, r := env.dial()
	if body, _ := getKey(c, r, "k", "old"); !strings.HasPrefix(body, "-ERR unknown") {
		t.Errorf("request of a removed category: %q", body)
	}
	for _, broken := range []string{"", "{", strings.Repeat(" ", 100)} {
		p.writeConfig(broken)
		n := p.metric("svc_reloads_failed")
		p.signals <- syscall.SIGHUP
		p.waitFor("failed reload counted", func() bool { return p.metric("svc_reloads_failed") == n+1 })
	}
	c, r = env.dial() // on a busy machine the first connection may have been closed as idle by now
	fmt.Fprintf(c, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\nnew\r\n$21\r\nc=look,t=acme,d=5000,\r\n")
	if head, err := r.ReadString('\n'); head != "$3\r\n" {
		t.Errorf("request of a new category: %q, %v", head, err)
	}
	p.waitFor("request of the new category counted", func() bool { return p.metric(`svc_served{class="look"}`) == 1 })
	commands := 0
	for i := range env.commandCounts {
		commands += int(env.commandCounts[i].Load())
	}
	for name, want := range map[string]int{`svc_served{class="read"}`: 10, `svc_failed{class="read"}`: 0, "svc_attempts": commands,
		"svc_in_flight": 0, "svc_cache_nodes_known": 2, "svc_cache_nodes_excluded": 0, "svc_reloads_ok": 1, "svc_reloads_failed": 3} {
		if n := p.metric(name); n != want {
			t.Errorf("%s is %d, not %d", name, n, want)
		}
	}
	p.signals <- syscall.SIGTERM
	<-p.ended
}

// A poll between applying an operator's change and storing it would take the file for newer, and undo the change. So
// fileMu is held over both steps. A change that can't be stored is undone.
func TestChangeIsAppliedAndStoredAsOne(t *testing.T) {
	c := newCoordinator(zerolog.Nop(), state.Open(t.TempDir(), "n", "a"), operators.Defaults())
	c.applyLimits = func(bool) {}
	undone := 0
	undo := func() error { undone++; return nil }
	checkLocked := func(when string) {
		if c.fileMu.TryLock() {
			c.fileMu.Unlock()
			t.Errorf("fileMu is not locked %s", when)
		}
	}
	err := c.change(func() error { checkLocked("while the change is applied"); return nil }, undo,
		func(overrides *state.Overrides) {
			checkLocked("while the change is stored")
			overrides.DrainClients = true
		})
	if overrides, _ := c.store.Read(); err != nil || !overrides.DrainClients || undone > 0 {
		t.Errorf("%+v %v, undone %d times", overrides, err, undone)
	}
	c.store = state.Open("/nowhere/at/all", "n", "a")
	if err := c.change(func() error { return nil }, undo, func(*state.Overrides) {}); err == nil || undone != 1 {
		t.Errorf("change that can't be stored: error %v, undone %d times", err, undone)
	}
}
