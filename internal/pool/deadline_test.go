package pool_test

import (
	"bufio"
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

	"minttray/internal/caches"
	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/front"
	"minttray/internal/origin"
	"minttray/internal/pool"
	"minttray/internal/settings"
	"minttray/policy"
)

// In these tests a client sends one request to a front, and a scripted module forwards it in several attempts over real sockets. Each server
// records the deadline that an attempt passed on, and the time at which the attempt had arrived completely.
const (
	clientWait    = 20 * time.Second       // the deadline that the client sends
	elapsedBefore = 500 * time.Millisecond // time used up before the judged attempt: well over the tolerance
	tolerance     = 150 * time.Millisecond // the operators' tolerance for a passed deadline

	longValue = 300 << 10 // bytes: forwarded in parts
)

const (
	firstCache  uint32 = iota + 1 // receives the attempt before the judged one
	judgedCache                   // receives the judged attempt
	originID
)

// attempt is one attempt as a server received it.
type attempt struct {
	id         string    // of the request
	properties string    // name=value,name=value
	arrivedAt  time.Time // of the last byte
}

// passedDeadline returns the deadline that an attempt passed to its server.
func (a attempt) passedDeadline(t *testing.T) time.Duration {
	t.Helper()
	for _, pair := range strings.Split(a.properties, ",") {
		if name, value, _ := strings.Cut(pair, "="); name == "d" {
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	t.Fatalf("no deadline was passed: %q", a.properties)
	return 0
}

// serverProtocol is how a stub server reads requests and responds to them.
type serverProtocol struct {
	read                  func(r *bufio.Reader) (attempt, error)
	served, missed, error string
}

var cacheProtocol = serverProtocol{
	read: func(r *bufio.Reader) (attempt, error) {
		words, err := command(r)
		if err != nil {
			return attempt{}, err
		}
		return attempt{words[2], words[3], time.Now()}, nil
	},
	served: "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", missed: "*3\r\n$-1\r\n$-1\r\n$-1\r\n", error: "-ERR failed\r\n",
}

var originProtocol = serverProtocol{
	read: func(r *bufio.Reader) (attempt, error) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return attempt{}, err
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return attempt{}, err
		}
		return attempt{request.Header.Get("X-Trace-Id"), request.Header.Get("X-Props"), time.Now()}, nil
	},
	served: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv", error: "HTTP/1.1 500 failed\r\nContent-Length: 0\r\n\r\n",
}

// stubServer reports each attempt on seen and sends the next of answers; "" closes the connection.
type stubServer struct {
	serverProtocol
	seen    chan attempt
	answers chan string
}

func newStubServer(protocol serverProtocol) *stubServer {
	return &stubServer{protocol, make(chan attempt, 16), make(chan string, 16)}
}

func (s *stubServer) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		a, err := s.read(r)
		if err != nil {
			return
		}
		s.seen <- a
		answer := <-s.answers
		if answer == "" {
			return
		}
		io.WriteString(c, answer)
	}
}

// step is one attempt of a script.
type step struct {
	to    uint32
	delay time.Duration // before the attempt starts
	wait  time.Duration // limit for the response; 0: the client's deadline
	hedge time.Duration // time after which the next step starts in parallel; 0: no hedge
}

// script is a decision module that takes fixed steps for each request, whatever their results.
type script struct {
	engine.Module
	host  policy.Host
	steps [][]step // by request
	next  map[uint32]int
}

const unitsPerMillisecond = 10 // of policy.Time

func units(d time.Duration) policy.Time {
	return policy.Time(d.Milliseconds()) * unitsPerMillisecond
}

func (s *script) ListArrived(policy.ListKind, []policy.Entry) {}
func (s *script) Reported(uint32, policy.Time)                {}
func (s *script) ClientLeft(uint32)                           {}
func (s *script) Judged() (c policy.Counts)                   { return c }

func (s *script) OpArrived(id uint32, _ uint64, _, _ int, _, _ bool, _ policy.Time) { s.advance(id) }

// advance takes a request's next step, after its delay, or fails the request if none is left.
func (s *script) advance(id uint32) {
	steps := s.steps[id-1]
	if s.next[id] == len(steps) {
		s.host.DeadLetter(id)
		return
	}
	next := steps[s.next[id]]
	if next.delay > 0 {
		s.host.Timer(uint64(id), units(next.delay))
		return
	}
	s.take(id)
}

func (s *script) take(id uint32) {
	next := s.steps[id-1][s.next[id]]
	s.next[id]++
	var until policy.Time
	if next.wait > 0 {
		until = s.host.Now() + units(next.wait)
	}
	s.host.Push(id, next.to, until)
	if next.hedge > 0 {
		s.host.Timer(uint64(id), units(next.hedge))
	}
}

func (s *script) TimerDue(token uint64) { s.take(uint32(token)) }

func (s *script) PushEnded(id uint32, n int, how policy.Outcome, _, terminal bool, _ policy.Time) {
	if terminal || how == policy.Cancelled || s.steps[id-1][n].hedge > 0 {
		return
	}
	s.advance(id)
}

type stubCatalog struct{}

func (stubCatalog) Watch(bool) {}

// proxy starts a front and an engine with pools for a script, and returns the address for clients.
func proxy(t *testing.T, s *script, servers map[uint32]string) string {
	t.Helper()
	const originKind = 1
	rules := policy.Settings{Categories: []policy.Category{{TTL: units(time.Hour)}}, MostPushes: 5, Tick: 50, OriginKind: originKind}
	common := shared()
	common.DialTimeout = slowEventTimeout
	s.next = map[uint32]int{}
	e := engine.New(engine.Options{Settings: rules, Logger: zerolog.Nop(), MaxOps: 100, MaxBytes: 1 << 30,
		Module: func(_ policy.Settings, _ uint64, h policy.Host) engine.Module { s.host = h; return s },
		Connect: func(m engine.Member) engine.Server {
			if m.Kind == originKind {
				return pool.New(common, m.Addr, origin.Protocol{Host: m.Addr})
			}
			return pool.New(common, m.Addr, caches.Protocol{})
		}})
	var members []engine.Member
	for id, addr := range servers {
		m := engine.Member{Entry: policy.Entry{ID: id, Weight: 1}, Addr: addr, Name: fmt.Sprint("server-", id)}
		if id == originID {
			m.Kind = originKind
		}
		members = append(members, m)
	}
	e.Start(stubCatalog{}, members)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { e.Run(stop); close(stopped) }()
	t.Cleanup(func() { close(stop); <-stopped })
	metrics := figures.New()
	names := front.NewNameTable(settings.Settings{Categories: []string{"read"}, Policy: rules}, metrics)
	f := &front.Server{Engine: e, Metrics: metrics, Names: names, MaxPendingBytes: 1 << 30, MaxLongValueBytes: 1 << 30, Log: zerolog.Nop()}
	f.MaxConns.Store(100)
	if err := f.Listen("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	go f.Serve()
	t.Cleanup(f.Close)
	return f.Addr()
}

// properties returns a request's property list, with the deadline in the middle.
func properties(wait string) string { return "c=read,size=3,d=" + wait + ",t=acme,x0=d" }

var clientMilliseconds = strconv.FormatInt(clientWait.Milliseconds(), 10)

// send writes one request to a proxy, and returns the time before its first byte.
func send(t *testing.T, c net.Conn, id string, value string, write bool) time.Time {
	t.Helper()
	words := []string{"CACHE.GET", "key", id, properties(clientMilliseconds)}
	if write {
		words = append([]string{"CACHE.SET"}, append(words[1:], value)...)
	}
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	at := time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return at
}

// lateness measures the scheduling delay of this machine: a server that is not scheduled records the arrival late.
func lateness() (worst func() time.Duration) {
	const every = 5 * time.Millisecond
	stop, done := make(chan struct{}), make(chan time.Duration)
	go func() {
		late := time.Duration(0)
		for {
			due := time.Now().Add(every)
			select {
			case <-stop:
				done <- late
				return
			case <-time.After(every):
				late = max(late, time.Since(due))
			}
		}
	}()
	return func() time.Duration { close(stop); return <-done }
}

// listenAll starts a server that calls serve for each connection.
func listenAll(t *testing.T, serve func(c net.Conn)) string {
	return listen(t, func(_ int, c net.Conn) { serve(c) })
}

// Guards against an attempt that passes on the client's original deadline although part of it has elapsed. Each case uses up more time than the
// tolerance before the judged attempt, which must pass on at most the remaining time, and nearly all of it.
func TestNoAttemptPassesMoreThanIsLeft(t *testing.T) {
	type testCase struct {
		steps func(to uint32) []step
		first func(s *stubServer) string // the first server's response after the elapsed time; nil: it gets no attempt or does not respond
		late  bool                       // the judged server's connections are established late
		stale bool                       // the judged server has closed the connection that the attempt would use
	}
	direct := func(to uint32) []step { return []step{{to: to}} }
	second := func(to uint32) []step { return []step{{to: firstCache}, {to: to}} }
	cases := map[string]testCase{
		"first attempt":                 {steps: direct},
		"delayed first attempt":         {steps: func(to uint32) []step { return []step{{to: to, delay: elapsedBefore}} }},
		"retry after a time-out":        {steps: func(to uint32) []step { return []step{{to: firstCache, wait: elapsedBefore}, {to: to}} }},
		"retry after an error":          {steps: second, first: func(s *stubServer) string { return s.error }},
		"retry after a miss":            {steps: second, first: func(s *stubServer) string { return s.missed }},
		"retry after a lost connection": {steps: second, first: func(s *stubServer) string { return "" }},
		"hedge":                         {steps: func(to uint32) []step { return []step{{to: firstCache, hedge: elapsedBefore}, {to: to}} }},
		"stale connection replaced":     {steps: second, first: func(s *stubServer) string { return s.error }, stale: true},
		"connection established late":   {steps: direct, late: true},
		"retry, and a shorter wait": {steps: func(to uint32) []step {
			return []step{{to: firstCache, wait: elapsedBefore}, {to: to, wait: clientWait / 2}}
		}},
		"first attempt, short waits": {steps: func(to uint32) []step { return []step{{to: to, wait: clientWait / 4}} }},
	}
	const rounding = 50 * time.Millisecond // includes the time between reading the clock and the arrival at the server
	values := map[string]struct {
		value  string
		write  bool
		margin time.Duration // the passed deadline may be shorter than the remaining time by this much
	}{
		"GET":          {"", false, clientWait/16 + rounding},
		"PUT":          {"a value", true, clientWait/16 + rounding},
		"PUT in parts": {strings.Repeat("v", longValue), true, clientWait/4 + rounding},
	}
	for server, judged := range map[string]struct {
		id uint32
		serverProtocol
	}{"cache": {judgedCache, cacheProtocol}, "origin": {originID, originProtocol}} {
		for verb, v := range values {
			for name, c := range cases {
				t.Run(fmt.Sprintf("%s, %s, %s", server, verb, name), func(t *testing.T) {
					t.Parallel()
					first, last := newStubServer(cacheProtocol), newStubServer(judged.serverProtocol)
					servers := map[uint32]string{firstCache: listenAll(t, first.serve)}
					var backlogged *backloggedServer
					if c.late {
						backlogged = newBackloggedServer(t)
						backlogged.serve = last.serve
						servers[judged.id] = backlogged.addr
					} else {
						servers[judged.id] = listenAll(t, last.serve)
					}
					steps := c.steps(judged.id)
					s := &script{steps: [][]step{steps}}
					if c.stale {
						s.steps = [][]step{direct(judged.id), steps}
					}
					client, err := net.Dial("tcp", proxy(t, s, servers))
					if err != nil {
						t.Fatal(err)
					}
					defer client.Close()
					if c.stale {
						send(t, client, "before", "", false)
						wait(t, last.seen)
						last.answers <- last.served
						bufio.NewReader(client).ReadString('v')
						last.answers <- "" // the server closes the connection on the next read
					}
					worst := lateness()
					sent := send(t, client, "judged", v.value, v.write)
					used := time.Duration(0) // elapsed before the judged attempt can start
					switch {
					case c.late:
						until(t, "connection dialing", func() bool { return backlogged.dialing(t) > 0 })
						fallthrough
					case c.first != nil:
						if !c.late {
							wait(t, first.seen)
						}
						time.Sleep(elapsedBefore - time.Since(sent))
						used = time.Since(sent)
						if c.late {
							backlogged.open()
						} else {
							first.answers <- c.first(first)
						}
					case len(steps) > 1 || steps[0].delay > 0:
						used = elapsedBefore
					}
					a := wait(t, last.seen)
					late := worst()
					passed, remaining := a.passedDeadline(t), clientWait-a.arrivedAt.Sub(sent)
					if passed > clientWait-used {
						t.Errorf("passed on %v, at most %v remained when the attempt started", passed, clientWait-used)
					}
					if passed > remaining+tolerance+late {
						t.Errorf("passed on %v, %v remained on arrival", passed, remaining)
					}
					minimum := remaining
					if w := steps[len(steps)-1].wait; w > 0 {
						minimum = min(remaining, w-late)
					}
					if passed <= 0 || passed < minimum-v.margin-late {
						t.Errorf("passed on %v, at least %v less %v expected", passed, minimum, v.margin)
					}
					parts := strings.Split(properties("*"), "*")
					if !strings.HasPrefix(a.properties, parts[0]) || !strings.HasSuffix(a.properties, parts[1]) || strings.Count(a.properties, ",") != 4 {
						t.Errorf("properties other than the deadline were changed: %q", a.properties)
					}
					last.answers <- last.served
				})
			}
		}
	}
}

// Guards against a value in parts whose last byte reaches a server that has not read for a while: the passed deadline would exceed the
// client's remaining time. The attempt must be aborted at that point, although the client still waits and nothing else ends it.
func TestAValueIsNotWholeWithADeadlineThatHasBecomeTooLong(t *testing.T) {
	const clientWait = 2 * time.Second
	for name, c := range map[string]struct {
		size    int
		outcome policy.Outcome
	}{
		"all of it in the send buffer":  {512 << 10, policy.ConnectionLost}, // may have been executed
		"part of it in the send buffer": {32 << 20, policy.NotSent},
	} {
		for server, protocol := range map[string]pool.Protocol{"cache": caches.Protocol{}, "origin": origin.Protocol{Host: "origin"}} {
			t.Run(server+", "+name, func(t *testing.T) {
				t.Parallel()
				read, got := make(chan bool), make(chan int64)
				addr := listenWithSmallBuffer(t, func(c net.Conn) {
					<-read
					n, _ := io.Copy(io.Discard, c)
					got <- n
				})
				r := request("a")
				r.Write, r.Parts = true, [][]byte{make([]byte, c.size)}
				begun := time.Now()
				r.Deadline = deadline.After(begun, clientWait)
				results, _ := push(pool.New(shared(), addr, protocol), r)
				if res := wait(t, results); res.Outcome != c.outcome {
					t.Errorf("%+v", res)
				}
				if took := time.Since(begun); took < clientWait/8 {
					t.Errorf("aborted after %v", took)
				}
				close(read)
				if n := wait(t, got); n >= int64(c.size) {
					t.Errorf("%d bytes were delivered", n)
				}
			})
		}
	}
}

// A server that reads slowly but in time receives the whole value, and one that responds slowly is waited for.
func TestAValueThatIsWholeInTimeIsNotBrokenOff(t *testing.T) {
	const clientWait = 4 * time.Second
	read, answer := make(chan bool), make(chan bool)
	addr := listenWithSmallBuffer(t, func(c net.Conn) {
		<-read
		if _, err := cacheProtocol.read(bufio.NewReader(c)); err != nil {
			return
		}
		<-answer
		io.WriteString(c, cacheProtocol.served)
	})
	r := request("a")
	r.Write, r.Parts = true, [][]byte{make([]byte, 512<<10)}
	begun := time.Now()
	r.Deadline = deadline.After(begun, clientWait)
	results, _ := push(pool.New(shared(), addr, caches.Protocol{}), r)
	time.Sleep(clientWait / 16)
	close(read)
	time.Sleep(clientWait/2 - time.Since(begun)) // after WriteBy has passed
	close(answer)
	if res := wait(t, results); res.Outcome != policy.Acked {
		t.Errorf("%+v", res)
	}
}

// An attempt with less than a millisecond remaining is not written, and its connection serves the next attempt.
func TestNoTimeLeftIsNoAttempt(t *testing.T) {
	seen := make(chan string, 9)
	addr := listen(t, func(n int, c net.Conn) {
		for r := bufio.NewReader(c); ; {
			words, err := command(r)
			if err != nil {
				return
			}
			seen <- words[2]
			io.WriteString(c, cacheProtocol.served)
		}
	})
	s := shared()
	p := pool.New(s, addr, caches.Protocol{})
	for name, left := range map[string]time.Duration{"half a millisecond": 500 * time.Microsecond, "none": 0, "long past": -time.Minute} {
		r := request(name)
		r.Deadline = deadline.After(time.Now(), left)
		results, _ := push(p, r)
		if res := wait(t, results); res.Outcome != policy.NotSent || !errors.Is(res.Err, deadline.ErrNoTime) {
			t.Errorf("%s: %+v", name, res)
		}
		waitUntilReusable()
	}
	results, _ := push(p, request("enough"))
	if res := wait(t, results); res.Outcome != policy.Acked || wait(t, seen) != "enough" || s.Opened.Load() != 1 {
		t.Errorf("%+v, %d connections", res, s.Opened.Load())
	}
}
