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

const (
	hangDuration     = 2 * time.Second
	requestDeadline  = 300 * time.Millisecond // of each request
	replyMargin      = 500 * time.Millisecond // past the deadline, until a request counts as lost
	loadClientCount  = 10
	requestInterval  = 50 * time.Millisecond // between two requests of a client
	loadDuration     = 3 * time.Second       // of the load after the hang has begun
	maxParallelHangs = 4                     // cases at a time, since all processes of a test share one processor
)

// hangingModule is a module in which one call hangs, once, after the test has armed it.
type hangingModule struct {
	Module
	hangingCall string
	armed       atomic.Bool
	hanging     chan struct{} // closed when the call begins to hang
}

// hangIn hangs if call is the one to hang in.
func (m *hangingModule) hangIn(call string) {
	if call == m.hangingCall && m.armed.CompareAndSwap(true, false) {
		close(m.hanging)
		time.Sleep(hangDuration)
	}
}

func (m *hangingModule) OpArrived(id uint32, key uint64, category, account int, write, retry bool, remaining policy.Time) {
	m.hangIn("request")
	m.Module.OpArrived(id, key, category, account, write, retry, remaining)
}

func (m *hangingModule) PushEnded(id uint32, n int, outcome policy.Outcome, missed, terminal bool, taken policy.Time) {
	m.hangIn("answer")
	m.Module.PushEnded(id, n, outcome, missed, terminal, taken)
}

func (m *hangingModule) TimerDue(token uint64) {
	m.hangIn("timer")
	m.Module.TimerDue(token)
}

func (m *hangingModule) ClientLeft(id uint32) {
	m.hangIn("client-left")
	m.Module.ClientLeft(id)
}

func (m *hangingModule) ListArrived(kind policy.ListKind, entries []policy.Entry) {
	m.hangIn("list")
	m.Module.ListArrived(kind, entries)
}

func (m *hangingModule) Retune(s policy.Settings) {
	m.hangIn("settings")
	m.Module.Retune(s)
}

// arrivalLog records when a server received each request.
type arrivalLog struct {
	mu    sync.Mutex
	times map[string]time.Time // by request ID
}

func (a *arrivalLog) record(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[id] = time.Now()
}

func (a *arrivalLog) timeOf(id string) (at time.Time, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, found = a.times[id]
	return at, found
}

// hangResult counts the outcomes of requests.
type hangResult struct {
	answered      atomic.Int64
	refused       atomic.Int64
	closedUnread  atomic.Int64 // sent on a connection that the proxy closed between two requests
	lost          atomic.Int64 // no answer within deadline and margin
	forwardedLate atomic.Int64 // sent to a server after its answer
	firstProblem  atomic.Pointer[string]
}

// addProblem counts a problem and keeps the description of the first one.
func (r *hangResult) addProblem(counter *atomic.Int64, format string, args ...any) {
	counter.Add(1)
	text := fmt.Sprintf(format, args...)
	r.firstProblem.CompareAndSwap(nil, &text)
}

func (r *hangResult) String() string {
	return fmt.Sprintf("%d lost, %d forwarded late, %d answered, %d refused, %d closed unread", r.lost.Load(), r.forwardedLate.Load(),
		r.answered.Load(), r.refused.Load(), r.closedUnread.Load())
}

// loadClient sends requests one after another, and reconnects after an error.
type loadClient struct {
	addr           string
	name           string
	result         *hangResult
	arrivals       *arrivalLog
	conn           net.Conn // nil: not connected
	reader         *bufio.Reader
	requestsOnConn int
}

// run sends requests until stop is closed.
func (c *loadClient) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(requestInterval):
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		c.request(fmt.Sprint(c.name, "-", n))
	}
}

func (c *loadClient) connect() bool {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.requestsOnConn = 0
	return true
}

// request sends one request and counts its outcome, also if it is forwarded after its answer.
func (c *loadClient) request(id string) {
	sent := time.Now()
	c.conn.SetDeadline(sent.Add(requestDeadline + replyMargin))
	line, err := "", error(nil)
	if _, err = io.WriteString(c.conn, getCommand(id, int(requestDeadline/time.Millisecond))); err == nil {
		if line, err = c.reader.ReadString('\n'); err == nil && strings.HasPrefix(line, "$") {
			_, err = c.reader.ReadString('\n')
		}
	}
	c.requestsOnConn++
	_, forwarded := c.arrivals.timeOf(id)
	switch {
	case err == nil && strings.HasPrefix(line, "-BUSY"):
		c.result.refused.Add(1)
	case err == nil:
		c.result.answered.Add(1)
	case !os.IsTimeout(err) && c.requestsOnConn > 1 && !forwarded:
		c.result.closedUnread.Add(1)
	default:
		c.result.addProblem(&c.result.lost, "%s: no answer within %v: %v", id, time.Since(sent), err)
	}
	if answered := time.Now(); err == nil {
		time.AfterFunc(hangDuration, func() {
			if at, found := c.arrivals.timeOf(id); found && at.After(answered.Add(100*time.Millisecond)) {
				c.result.addProblem(&c.result.forwardedLate, "%s: forwarded %v after its answer %q", id, at.Sub(answered), line)
			}
		})
		return
	}
	c.conn.Close()
	c.conn = nil
}

// While the engine's goroutine hangs, requests that wait for it could get no answer, or be forwarded after their answer.
// The module hangs in each of its calls, also while the process shuts down: each request must be answered in time, and
// none forwarded later.
func TestNothingIsLostWhileTheEngineHangs(t *testing.T) {
	slots := make(chan struct{}, maxParallelHangs)
	for _, call := range []string{"request", "answer", "timer", "client-left", "list", "settings"} {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stops %v", call, stops), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				testHang(t, call, stops)
			})
		}
	}
}

// testHang runs a proxy under load whose module hangs in one call. With stops, the process is told to stop meanwhile.
func testHang(t *testing.T, call string, stops bool) {
	env := newTestEnv(t)
	arrivals := &arrivalLog{times: map[string]time.Time{}}
	answeringCache := listen(t)
	refusingCache := listen(t)
	go answerCommands(refusingCache, func([]string) string { return "-BUSY\r\n" })
	go answerCommands(answeringCache, func(words []string) string {
		arrivals.record(words[2])
		time.Sleep(5 * time.Millisecond)
		return "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
	})
	env.list = `{"generation":1,"reset":true,"instances":[` + listEntry("c0", "box", answeringCache) + "," + listEntry("c1", "box", refusingCache) + "]}"
	module := &hangingModule{hangingCall: call, hanging: make(chan struct{})}
	env.newModule = func(s policy.Settings, seed uint64, h policy.Host) Module {
		module.Module = newPolicyModule(s, seed, h)
		return module
	}
	p := env.startWithConfig(func(text string) string {
		return strings.NewReplacer(`"target-latency-us":4000000,"ttl-us":5000000`, `"target-latency-us":200000,"ttl-us":300000`).Replace(text)
	})
	result, stop := &hangResult{}, make(chan struct{})
	var clients sync.WaitGroup
	for n := range loadClientCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			(&loadClient{addr: env.addr, name: fmt.Sprint(call, n), result: result, arrivals: arrivals}).run(stop)
		}()
	}
	p.waitFor("50 requests answered", func() bool { return result.answered.Load() > 50 })
	module.armed.Store(true)
	switch call {
	case "client-left":
		go func() {
			for n := 0; module.armed.Load(); n++ {
				c, _ := env.dial()
				fmt.Fprint(c, getCommand(fmt.Sprint("leaving", n), 300))
				time.Sleep(time.Millisecond)
				c.Close()
			}
		}()
	case "list":
		go p.call("POST", "/_cache-nodes/detach", "c1") // the module gets it as a list
	case "settings":
		p.signals <- syscall.SIGHUP
	}
	select {
	case <-module.hanging:
	case <-time.After(testTimeout):
		t.Fatal("the module did not hang")
	}
	if stops {
		time.Sleep(hangDuration / 8)
		p.signals <- syscall.SIGTERM
	}
	time.Sleep(loadDuration)
	close(stop)
	clients.Wait()
	time.Sleep(hangDuration / 4) // requests that are forwarded later than that would have been counted by now
	if !stops {
		p.signals <- syscall.SIGTERM
	}
	select {
	case err := <-p.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("the proxy did not end")
	}
	t.Log(result)
	if result.lost.Load() > 0 || result.forwardedLate.Load() > 0 {
		t.Errorf("%v; first problem: %s", result, *result.firstProblem.Load())
	}
	if !stops && result.refused.Load() < loadClientCount {
		t.Errorf("%d refused, want %d: the engine did not hang under load", result.refused.Load(), loadClientCount)
	}
}
