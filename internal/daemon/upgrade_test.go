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
	"regexp"
	"strconv"
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

// stood is a proxy's surroundings: two caches that count what they are asked, and an agent of discovery.
type stood struct {
	t         *testing.T
	dir, addr string
	list      string
	agent     net.Listener
	asked     [2]atomic.Int64
	said      string // the operators' file
	make      NewModule
}

func stand(t *testing.T) *stood {
	s := &stood{t: t, dir: t.TempDir(), addr: vacant(t), agent: listen(t), make: module}
	var entries []string
	for i := range s.asked {
		l := listen(t)
		go cache(&counting{l, &s.asked[i]})
		entries = append(entries, entry(fmt.Sprint("c", i), "box", l))
	}
	s.list = `{"generation":1,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}"
	go http.Serve(s.agent, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, s.list)
	}))
	return s
}

// counting counts the commands that come over its connections.
type counting struct {
	net.Listener
	n *atomic.Int64
}

func (l *counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &counted{c, l.n}, err
}

type counted struct {
	net.Conn
	n *atomic.Int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(bytes.Count(b[:n], []byte("CACHE."))))
	return n, err
}

// process is one started proxy.
type process struct {
	s       *stood
	control string
	path    string
	signals chan os.Signal
	ended   chan error
	log     *bytes.Buffer
}

func (s *stood) start() *process { return s.startTo(new(bytes.Buffer)) }

// startTo starts one whose log goes there.
func (s *stood) startTo(log io.Writer) *process {
	return s.begin(log, func(text string) string { return text })
}

// startWith starts one with its configuration changed.
func (s *stood) startWith(change func(text string) string) *process {
	return s.begin(new(bytes.Buffer), change)
}

func (s *stood) begin(log io.Writer, change func(text string) string) *process {
	p := &process{s: s, control: vacant(s.t), path: filepath.Join(s.t.TempDir(), "config.json"),
		signals: make(chan os.Signal, 4), ended: make(chan error, 1)}
	p.log, _ = log.(*bytes.Buffer)
	p.write(change(s.config(p, "read")))
	go func() {
		p.ended <- run(func(name string) string {
			return map[string]string{"BALANCER_CONFIG": p.path, "BALANCER_CONTROL": p.control, "TMPDIR": s.dir, "MINTTRAY_OPERATORS": s.said}[name]
		}, p.signals, log, s.make)
	}()
	for late := time.Now().Add(patience); ; time.Sleep(2 * time.Millisecond) {
		if status, _ := p.call("GET", "/_ready", ""); status == 200 {
			return p
		}
		if time.Now().After(late) {
			s.t.Fatalf("not ready: %s", p.log)
		}
	}
}

func (p *process) configure(class string) { p.write(p.s.config(p, class)) }

func (s *stood) config(p *process, class string) string {
	return fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"7","limits":{"cores":2,"memory_mb":512,"sockets":256},
		"known":%s,"settings":{"balancers":1,"categories":[{"name":%q,"benefit":2,"effect":"read_like",
		"target-latency-us":4000000,"ttl-us":5000000}],"contract":{"tip-after-us":3000000,"fall-multiple":3,"cold-from":0.5},
		"limits":{"most-pushes":3,"cancelling":true},"skus":["box"],"tenants":[{"name":"acme","quota-rps":100000}],
		"tick-us":5000}}`, p.s.addr, p.s.agent.Addr(), p.s.list, class)
}

func (p *process) write(text string) {
	if err := os.WriteFile(p.path, []byte(text), 0o600); err != nil {
		p.s.t.Fatal(err)
	}
}

func (p *process) call(method, path, body string) (int, string) {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, "http://"+p.control+path, strings.NewReader(body))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func (p *process) figure(name string) int {
	_, text := p.call("GET", "/_vars", "")
	m := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\d+)$`).FindStringSubmatch(text)
	if m == nil {
		p.s.t.Fatalf("no %s in\n%s", name, text)
	}
	n, _ := strconv.Atoi(m[1])
	return n
}

// until waits for what must come true.
func (p *process) until(what string, is func() bool) {
	p.s.t.Helper()
	for late := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(late) {
			p.s.t.Fatalf("%s: not so", what)
		}
	}
}

func (s *stood) dial() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c, bufio.NewReader(c)
}

// ask sends ops over connections of their own and wants each served.
func (s *stood) ask(from, n int) {
	s.t.Helper()
	for i := range n {
		c, r := s.dial()
		id := fmt.Sprint("ask", from+i)
		if body, err := get(c, r, "k"+id, id); body != id {
			s.t.Fatalf("%s: %q, %v", id, body, err)
		}
		c.Close()
	}
}

// Danger: an upgrade loses ops or connections, or lets a cache in that operators took out.
func TestUpgradeUnderLoad(t *testing.T) {
	s := stand(t)
	old := s.start()
	s.ask(0, 20)
	if status, text := old.call("POST", "/_cache-nodes/detach", "nobody"); status != 404 {
		t.Errorf("%d %s", status, text)
	}
	if status, text := old.call("POST", "/_cache-nodes/detach", "c0"); status != 200 {
		t.Errorf("%d %s", status, text)
	}
	before := s.asked[0].Load()
	stop := make(chan struct{})
	var all sync.WaitGroup
	var served, again atomic.Int64
	for n := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			var c net.Conn
			var r *bufio.Reader
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil || n%2 == 0 && i%3 == 0 { // half of them come anew again and again
					if c != nil {
						c.Close()
					}
					c, r = s.dial()
				}
				id := fmt.Sprint(n, "-", i)
				body, err := get(c, r, "k"+id, id)
				if err != nil && body == "" { // closed between two ops: this one is sent once more on a new connection
					again.Add(1)
					c, r = s.dial()
					body, err = get(c, r, "k"+id, id)
				}
				if body != id {
					t.Errorf("%s: %q, %v", id, body, err)
					return
				}
				served.Add(1)
			}
		}()
	}
	old.until("served before", func() bool { return served.Load() > 50 })
	next := s.start()
	old.signals <- syscall.SIGTERM
	if err := <-old.ended; err != nil {
		t.Errorf("%v\n%s", err, old.log)
	}
	from := served.Load()
	next.until("served after", func() bool { return served.Load() > from+50 })
	close(stop)
	all.Wait()
	if n := s.asked[0].Load(); n != before {
		t.Errorf("%d commands to a cache that was out", n-before)
	}
	if strings.Contains(old.log.String(), "still connected") {
		t.Errorf("clients were left behind:\n%s", old.log)
	}
	if n := next.figure("svc_cache_nodes_excluded"); n != 1 {
		t.Errorf("%d out, by the new process", n)
	}
	if status, _ := next.call("POST", "/_cache-nodes/attach", "c0"); status != 200 {
		t.Error("not called back")
	}
	next.until("used again", func() bool { s.ask(int(time.Now().UnixNano()), 5); return s.asked[0].Load() > before })
	third := s.start() // a second upgrade in a row
	next.signals <- syscall.SIGTERM
	if err := <-next.ended; err != nil {
		t.Error(err)
	}
	s.ask(1000, 20)
	third.signals <- syscall.SIGTERM
	if err := <-third.ended; err != nil {
		t.Error(err)
	}
}

// Danger: a new process that fails takes the old one's clients with it.
func TestTheOldProcessServesOnIfTheNewOneDies(t *testing.T) {
	s := stand(t)
	old := s.start()
	next := s.start()
	next.signals <- syscall.SIGTERM
	<-next.ended
	s.ask(0, 20)
	if n := old.figure(`svc_served{class="read"}`); n != 20 {
		t.Errorf("%d of 20", n)
	}
	old.signals <- syscall.SIGTERM
	<-old.ended
}

func TestClientsAreSentAwayAndTakenAgain(t *testing.T) {
	s := stand(t)
	p := s.start()
	ping := func() string {
		c, r := s.dial()
		defer c.Close()
		io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
		line, _ := r.ReadString('\n')
		return strings.TrimSpace(line)
	}
	idle, idler := s.dial()
	if body, err := get(idle, idler, "k", "first"); body != "first" {
		t.Fatal(body, err)
	}
	busy, busyr := s.dial()
	if got := ping(); got != "+PONG" {
		t.Error(got)
	}
	if status, text := p.call("POST", "/_lameduck/on", ""); status != 200 {
		t.Error(status, text)
	}
	if got := ping(); !strings.HasPrefix(got, "-") {
		t.Error(got)
	}
	n := 0 // kept connections stay in use while they are open
	for ; ; n++ {
		id := fmt.Sprint("busy", n)
		body, err := get(busy, busyr, "k", id)
		if err != nil && body == "" {
			break
		}
		if body != id {
			t.Fatalf("%s: %q %v", id, body, err)
		}
	}
	if n == 0 {
		t.Error("ended at once")
	}
	if rest, err := io.ReadAll(idler); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v", rest, err)
	}
	// It runs on, and who comes all the same is served.
	s.ask(0, 3)
	after := s.start() // taken over while clients are sent away: they still are
	if got := ping(); !strings.HasPrefix(got, "-") {
		t.Error(got)
	}
	p.signals <- syscall.SIGTERM
	<-p.ended
	if got := ping(); !strings.HasPrefix(got, "-") {
		t.Error(got)
	}
	if status, _ := after.call("POST", "/_lameduck/off", ""); status != 200 {
		t.Error(status)
	}
	if got := ping(); got != "+PONG" {
		t.Error(got)
	}
	after.signals <- syscall.SIGTERM
	<-after.ended
}

// Figures are what clients and caches saw, also of a class that came and went.
func TestNewSettingsAndFigures(t *testing.T) {
	s := stand(t)
	p := s.start()
	s.ask(0, 10)
	p.until("counted", func() bool { return p.figure(`svc_served{class="read"}`) == 10 })
	p.configure("look")
	p.signals <- syscall.SIGHUP
	p.until("taken", func() bool { return p.figure("svc_reloads_ok") == 1 })
	c, r := s.dial()
	if body, _ := get(c, r, "k", "old"); !strings.HasPrefix(body, "-ERR unknown") {
		t.Errorf("a class that was dropped: %q", body)
	}
	for _, broken := range []string{"", "{", strings.Repeat(" ", 100)} {
		p.write(broken)
		n := p.figure("svc_reloads_failed")
		p.signals <- syscall.SIGHUP
		p.until("turned down", func() bool { return p.figure("svc_reloads_failed") == n+1 })
	}
	c, r = s.dial() // on a busy machine the first one has stood unused for too long by now
	fmt.Fprintf(c, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\nnew\r\n$21\r\nc=look,t=acme,d=5000,\r\n")
	if head, err := r.ReadString('\n'); head != "$3\r\n" {
		t.Errorf("a new class: %q, %v", head, err)
	}
	p.until("counted", func() bool { return p.figure(`svc_served{class="look"}`) == 1 })
	sum := 0
	for i := range s.asked {
		sum += int(s.asked[i].Load())
	}
	for name, want := range map[string]int{`svc_served{class="read"}`: 10, `svc_failed{class="read"}`: 0, "svc_attempts": sum,
		"svc_in_flight": 0, "svc_cache_nodes_known": 2, "svc_cache_nodes_excluded": 0, "svc_reloads_ok": 1, "svc_reloads_failed": 3} {
		if n := p.figure(name); n != want {
			t.Errorf("%s is %d, not %d", name, n, want)
		}
	}
	p.signals <- syscall.SIGTERM
	<-p.ended
}

// Danger: a look between what a call does and what it writes down takes the file for the newer word, and undoes the call.
func TestNothingComesBetweenACallAndItsWord(t *testing.T) {
	s := newShifts(zerolog.Nop(), state.Open(t.TempDir(), "n", "a"), operators.Defaults())
	s.share = func(bool) {}
	undone := 0
	undo := func() error { undone++; return nil }
	free := func(when string) {
		if s.file.TryLock() {
			s.file.Unlock()
			t.Errorf("a look can come %s", when)
		}
	}
	err := s.say(func() error { free("before it is written"); return nil }, undo,
		func(w *state.Overrides) { free("as it is written"); w.DrainClients = true })
	if w, _ := s.store.Read(); err != nil || !w.DrainClients || undone > 0 {
		t.Errorf("%+v %v, undone %d times", w, err, undone)
	}
	s.store = state.Open("/nowhere/at/all", "n", "a")
	if err := s.say(func() error { return nil }, undo, func(*state.Overrides) {}); err == nil || undone != 1 {
		t.Errorf("%v, undone %d times: a no has to change nothing", err, undone)
	}
}
