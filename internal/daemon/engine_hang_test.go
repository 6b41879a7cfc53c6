package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"minttray/policy"
)

// hangingModule is the module with one call that takes long, once it is armed.
type hangingModule struct {
	Module
	place string
	armed atomic.Bool
	begun chan struct{} // closed as it begins to hang
}

const hang = 2 * time.Second

func (m *hangingModule) at(place string) {
	if place == m.place && m.armed.CompareAndSwap(true, false) {
		close(m.begun)
		time.Sleep(hang)
	}
}

func (m *hangingModule) OpArrived(id uint32, key uint64, category, account int, write, again bool, left policy.Time) {
	m.at("request")
	m.Module.OpArrived(id, key, category, account, write, again, left)
}

func (m *hangingModule) PushEnded(id uint32, n int, how policy.Outcome, missed, terminal bool, taken policy.Time) {
	m.at("answer")
	m.Module.PushEnded(id, n, how, missed, terminal, taken)
}

func (m *hangingModule) TimerDue(token uint64) {
	m.at("timer")
	m.Module.TimerDue(token)
}

func (m *hangingModule) ClientLeft(id uint32) {
	m.at("client-left")
	m.Module.ClientLeft(id)
}

func (m *hangingModule) ListArrived(kind policy.ListKind, entries []policy.Entry) {
	m.at("list")
	m.Module.ListArrived(kind, entries)
}

func (m *hangingModule) Retune(s policy.Settings) {
	m.at("settings")
	m.Module.Retune(s)
}

// sightings are when servers have seen requests.
type sightings struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

func (s *sightings) note(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id] = time.Now()
}

func (s *sightings) of(id string) (at time.Time, seen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, seen = s.seen[id]
	return at, seen
}

const (
	hangDeadline = 300 * time.Millisecond // of each request
	lostAfter    = 500 * time.Millisecond // past that
	hangClients  = 10
	hangEvery    = 50 * time.Millisecond // between two requests of a client
	hangLoad     = 3 * time.Second
	hangLanes    = 4 // cases beside each other: all processes of a test share one processor
)

// hangVerdict counts what became of requests.
type hangVerdict struct {
	answered, refused, crossed, lost, late atomic.Int64
	problem                                atomic.Pointer[string]
}

func (v *hangVerdict) find(counter *atomic.Int64, format string, args ...any) {
	counter.Add(1)
	text := fmt.Sprintf(format, args...)
	v.problem.CompareAndSwap(nil, &text)
}

// hangClient sends requests over one connection after the other until stop.
type hangClient struct {
	addr    string
	name    string
	verdict *hangVerdict
	servers *sightings
	asked   int // on the connection
	conn    net.Conn
	r       *bufio.Reader
}

func (c *hangClient) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(hangEvery):
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		c.ask(fmt.Sprint(c.name, "-", n))
	}
}

func (c *hangClient) connect() bool {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return false
	}
	c.conn, c.r, c.asked = conn, bufio.NewReader(conn), 0
	return true
}

func (c *hangClient) ask(id string) {
	sent := time.Now()
	c.conn.SetDeadline(sent.Add(hangDeadline + lostAfter))
	line, err := "", error(nil)
	if _, err = io.WriteString(c.conn, command(id, int(hangDeadline/time.Millisecond))); err == nil {
		if line, err = c.r.ReadString('\n'); err == nil && strings.HasPrefix(line, "$") {
			_, err = c.r.ReadString('\n')
		}
	}
	c.asked++
	_, forwarded := c.servers.of(id)
	switch {
	case err == nil && strings.HasPrefix(line, "-BUSY"):
		c.verdict.refused.Add(1)
	case err == nil:
		c.verdict.answered.Add(1)
	case !os.IsTimeout(err) && c.asked > 1 && !forwarded:
		c.verdict.crossed.Add(1) // unread at the end of a connection between two requests
	default:
		c.verdict.find(&c.verdict.lost, "%s: no answer within %v: %v", id, time.Since(sent), err)
	}
	if answered := time.Now(); err == nil {
		time.AfterFunc(hang, func() {
			if at, seen := c.servers.of(id); seen && at.After(answered.Add(100*time.Millisecond)) {
				c.verdict.find(&c.verdict.late, "%s: forwarded %v after its answer %q", id, at.Sub(answered), line)
			}
		})
		return
	}
	c.conn.Close()
	c.conn = nil
}

// Danger: the goroutine that decides does not come to its work, wherever it hangs: what waits for it gets no answer, or is forwarded after its
// answer. All requests get theirs in time, and none is forwarded later; also if the process is told to end in the midst.
func TestNothingIsLostWhileTheEngineHangs(t *testing.T) {
	lanes := make(chan struct{}, hangLanes)
	for _, place := range []string{"request", "answer", "timer", "client-left", "list", "settings"} {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ends %v", place, ends), func(t *testing.T) {
				t.Parallel()
				lanes <- struct{}{}
				defer func() { <-lanes }()
				hangs(t, place, ends)
			})
		}
	}
}

func hangs(t *testing.T, place string, ends bool) {
	s := stand(t)
	servers := &sightings{seen: map[string]time.Time{}}
	l := listen(t)
	other := listen(t)
	go answerCommands(other, func([]string) string { return "-BUSY\r\n" })
	go answerCommands(l, func(words []string) string {
		servers.note(words[2])
		time.Sleep(5 * time.Millisecond)
		return "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
	})
	s.list = `{"generation":1,"reset":true,"instances":[` + entry("c0", "box", l) + "," + entry("c1", "box", other) + "]}"
	m := &hangingModule{place: place, begun: make(chan struct{})}
	s.make = func(p policy.Settings, seed uint64, h policy.Host) Module {
		m.Module = module(p, seed, h)
		return m
	}
	p := s.startWith(func(text string) string {
		return strings.NewReplacer(`"target-latency-us":4000000,"ttl-us":5000000`, `"target-latency-us":200000,"ttl-us":300000`).Replace(text)
	})
	verdict, stop := &hangVerdict{}, make(chan struct{})
	var clients sync.WaitGroup
	for n := range hangClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			(&hangClient{addr: s.addr, name: fmt.Sprint(place, n), verdict: verdict, servers: servers}).run(stop)
		}()
	}
	p.until("served", func() bool { return verdict.answered.Load() > 50 })
	m.armed.Store(true)
	switch place {
	case "client-left":
		go func() {
			for n := 0; m.armed.Load(); n++ {
				c, _ := s.dial()
				fmt.Fprint(c, command(fmt.Sprint("leaving", n), 300))
				time.Sleep(time.Millisecond)
				c.Close()
			}
		}()
	case "list":
		go p.call("POST", "/_cache-nodes/detach", "c1") // the module hears of it as of a list
	case "settings":
		p.signals <- syscall.SIGHUP
	}
	select {
	case <-m.begun:
	case <-time.After(patience):
		t.Fatal("it does not hang")
	}
	if ends {
		time.Sleep(hang / 8)
		p.signals <- syscall.SIGTERM
	}
	time.Sleep(hangLoad)
	close(stop)
	clients.Wait()
	time.Sleep(hang / 4) // what is forwarded later than that would have been counted by now
	if !ends {
		p.signals <- syscall.SIGTERM
	}
	select {
	case err := <-p.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("does not end")
	}
	t.Logf("%d lost, %d late, %d answered, %d refused, %d crossed", verdict.lost.Load(), verdict.late.Load(), verdict.answered.Load(), verdict.refused.Load(), verdict.crossed.Load())
	if verdict.lost.Load() > 0 || verdict.late.Load() > 0 {
		t.Errorf("%d lost, %d forwarded late, %d answered, %d refused, %d crossed; %s", verdict.lost.Load(), verdict.late.Load(),
			verdict.answered.Load(), verdict.refused.Load(), verdict.crossed.Load(), *verdict.problem.Load())
	}
	if !ends && verdict.refused.Load() < hangClients {
		t.Errorf("%d refused: the engine did not hang under load", verdict.refused.Load())
	}
}
