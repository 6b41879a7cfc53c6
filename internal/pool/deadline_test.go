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

// A client sends one request to a front, and a scripted module sends it on in several attempts, over real sockets. Each server writes
// down the deadline that an attempt passed to it, and when the attempt was whole there.
const (
	clientWait = 20 * time.Second       // what the client passes as its own deadline
	held       = 500 * time.Millisecond // used up before the attempt that is judged: well over the slack
	tolerance  = 150 * time.Millisecond // the operators' slack on a passed deadline

	longValue = 300 << 10 // bytes: passed on in parts
)

const (
	firstCache  uint32 = iota + 1 // takes the attempt before the one that is judged
	judgedCache                   // takes the attempt that is judged
	originID
)

// attempt is what a server saw of one attempt.
type attempt struct {
	id, list string // the request's id; its names and values
	whole    time.Time
}

// told is the deadline that an attempt passed to its server.
func (a attempt) told(t *testing.T) time.Duration {
	t.Helper()
	for _, pair := range strings.Split(a.list, ",") {
		if name, value, _ := strings.Cut(pair, "="); name == "d" {
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	t.Fatalf("no deadline was passed: %q", a.list)
	return 0
}

// wire is how a stand-in reads requests and answers them.
type wire struct {
	read                  func(r *bufio.Reader) (attempt, error)
	served, missed, error string
}

var cacheWire = wire{
	read: func(r *bufio.Reader) (attempt, error) {
		words, err := command(r)
		if err != nil {
			return attempt{}, err
		}
		return attempt{words[2], words[3], time.Now()}, nil
	},
	served: "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", missed: "*3\r\n$-1\r\n$-1\r\n$-1\r\n", error: "-ERR failed\r\n",
}

var originWire = wire{
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

// standIn is one server: it reports each attempt, and answers as it is told to; "" ends the connection.
type standIn struct {
	wire
	seen    chan attempt
	answers chan string
}

func newStandIn(w wire) *standIn {
	return &standIn{w, make(chan attempt, 16), make(chan string, 16)}
}

func (s *standIn) serve(c net.Conn) {
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
	delay time.Duration // before it begins, counted from when its turn came
	wait  time.Duration // for its answer; 0: as long as the client waits
	hedge time.Duration // after so long the next step is taken beside it; 0: it is not hedged
}

// script is a decision module that takes given steps for each request, whatever comes of them.
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

// advance takes a request's next step, or fails the request.
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

type noCatalog struct{}

func (noCatalog) Watch(bool) {}

// proxy puts a front, an engine and pools round a script; it gives the address for clients.
func proxy(t *testing.T, s *script, servers map[uint32]string) string {
	t.Helper()
	const originKind = 1
	rules := policy.Settings{Categories: []policy.Category{{TTL: units(time.Hour)}}, MostPushes: 5, Tick: 50, OriginKind: originKind}
	common := shared()
	common.DialTimeout = long
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
	e.Start(noCatalog{}, members)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { e.Run(stop); close(stopped) }()
	t.Cleanup(func() { close(stop); <-stopped })
	book := figures.New()
	names := front.NewNameTable(settings.Settings{Categories: []string{"read"}, Policy: rules}, book)
	f := &front.Server{Engine: e, Metrics: book, Names: names, MaxPendingBytes: 1 << 30, MaxLongValueBytes: 1 << 30, Log: zerolog.Nop()}
	f.MaxConns.Store(100)
	if err := f.Listen("127.0.0.1:0", false); err != nil {
		t.Fatal(err)
	}
	go f.Serve()
	t.Cleanup(f.Close)
	return f.Addr()
}

// properties are a request's names and values, with the deadline in their midst.
func properties(wait string) string { return "c=read,size=3,d=" + wait + ",t=acme,x0=d" }

var clientMilliseconds = strconv.FormatInt(clientWait.Milliseconds(), 10)

// send writes one request to a proxy, and gives the moment ahead of its first byte.
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

// lateness measures how late this machine runs a goroutine that is due: a server that is not run can't be told in time.
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

// passAll hands a connection to a serve function for each that comes.
func passAll(t *testing.T, serve func(c net.Conn)) string {
	return listen(t, func(_ int, c net.Conn) { serve(c) })
}

// Danger: an attempt passes the client's own deadline on, though part of it is over. Each crossing uses up more than the slack ahead of
// the attempt that is judged; what that attempt passes must be at most what is left then, and nearly as much.
func TestNoAttemptPassesMoreThanIsLeft(t *testing.T) {
	type crossing struct {
		steps func(to uint32) []step
		first func(s *standIn) string // the first server's answer, once the time is used up; nil: it is not asked, or stays silent
		late  bool                    // the judged server's connections come up late
		stale bool                    // the judged server has ended the connection that the attempt would use
	}
	direct := func(to uint32) []step { return []step{{to: to}} }
	second := func(to uint32) []step { return []step{{to: firstCache}, {to: to}} }
	crossings := map[string]crossing{
		"first attempt":              {steps: direct},
		"first attempt, held back":   {steps: func(to uint32) []step { return []step{{to: to, delay: held}} }},
		"retry after a time-out":     {steps: func(to uint32) []step { return []step{{to: firstCache, wait: held}, {to: to}} }},
		"retry after an error":       {steps: second, first: func(s *standIn) string { return s.error }},
		"retry after a miss":         {steps: second, first: func(s *standIn) string { return s.missed }},
		"retry after a lost one":     {steps: second, first: func(s *standIn) string { return "" }},
		"hedge":                      {steps: func(to uint32) []step { return []step{{to: firstCache, hedge: held}, {to: to}} }},
		"stale connection replaced":  {steps: second, first: func(s *standIn) string { return s.error }, stale: true},
		"connection comes up late":   {steps: direct, late: true},
		"retry, and a shorter wait":  {steps: func(to uint32) []step { return []step{{to: firstCache, wait: held}, {to: to, wait: clientWait / 2}} }},
		"first attempt, short waits": {steps: func(to uint32) []step { return []step{{to: to, wait: clientWait / 4}} }},
	}
	const rounding = 50 * time.Millisecond // and what the machine takes between the clock and the server
	values := map[string]struct {
		value  string
		write  bool
		margin time.Duration // what is left may be told less by so much
	}{
		"GET":          {"", false, clientWait/16 + rounding},
		"PUT":          {"a value", true, clientWait/16 + rounding},
		"PUT in parts": {strings.Repeat("v", longValue), true, clientWait/4 + rounding},
	}
	for server, judged := range map[string]struct {
		id uint32
		wire
	}{"cache": {judgedCache, cacheWire}, "origin": {originID, originWire}} {
		for verb, v := range values {
			for name, c := range crossings {
				t.Run(fmt.Sprintf("%s, %s, %s", server, verb, name), func(t *testing.T) {
					t.Parallel()
					first, last := newStandIn(cacheWire), newStandIn(judged.wire)
					servers := map[uint32]string{firstCache: passAll(t, first.serve)}
					var shut *shut
					if c.late {
						shut = shutServer(t)
						shut.serve = last.serve
						servers[judged.id] = shut.addr
					} else {
						servers[judged.id] = passAll(t, last.serve)
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
						last.answers <- "" // the next read on that connection is answered by its end
					}
					worst := lateness()
					sent := send(t, client, "judged", v.value, v.write)
					used := time.Duration(0) // before the judged attempt can begin
					switch {
					case c.late:
						until(t, "under way", func() bool { return shut.knocking(t) > 0 })
						fallthrough
					case c.first != nil:
						if !c.late {
							wait(t, first.seen)
						}
						time.Sleep(held - time.Since(sent))
						used = time.Since(sent)
						if c.late {
							shut.open()
						} else {
							first.answers <- c.first(first)
						}
					case len(steps) > 1 || steps[0].delay > 0:
						used = held
					}
					a := wait(t, last.seen)
					late := worst()
					told, left := a.told(t), clientWait-a.whole.Sub(sent)
					if told > clientWait-used {
						t.Errorf("told %v, at most %v were left as the attempt began", told, clientWait-used)
					}
					if told > left+tolerance+late {
						t.Errorf("told %v, %v were left", told, left)
					}
					least := left
					if w := steps[len(steps)-1].wait; w > 0 {
						least = min(left, w-late)
					}
					if told <= 0 || told < least-v.margin-late {
						t.Errorf("told %v, %v were left: over %v less", told, least, v.margin)
					}
					parts := strings.Split(properties("*"), "*")
					if !strings.HasPrefix(a.list, parts[0]) || !strings.HasSuffix(a.list, parts[1]) || strings.Count(a.list, ",") != 4 {
						t.Errorf("all but the deadline is to be as it came: %q", a.list)
					}
					last.answers <- last.served
				})
			}
		}
	}
}

// Danger: a server reads nothing for a while. A value in parts that it takes up again is whole there with the deadline of before, which is longer
// than what is left by then. It is broken off as that begins, while the client still waits: nothing else ends the attempt here.
func TestAValueIsNotWholeWithADeadlineThatHasBecomeTooLong(t *testing.T) {
	const clientWait = 2 * time.Second
	for name, c := range map[string]struct {
		size    int
		outcome policy.Outcome
	}{
		"our system has all of it":  {512 << 10, policy.ConnectionLost}, // it may have run, for all that is known
		"our system has part of it": {32 << 20, policy.NotSent},
	} {
		for server, protocol := range map[string]pool.Protocol{"cache": caches.Protocol{}, "origin": origin.Protocol{Host: "origin"}} {
			t.Run(server+", "+name, func(t *testing.T) {
				t.Parallel()
				read, got := make(chan bool), make(chan int64)
				addr := deaf(t, func(c net.Conn) {
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
					t.Errorf("broken off after %v", took)
				}
				close(read)
				if n := wait(t, got); n >= int64(c.size) {
					t.Errorf("%d bytes came all the same", n)
				}
			})
		}
	}
}

// A server that is slow to read, but in time, gets its value; so does one that is slow to answer.
func TestAValueThatIsWholeInTimeIsNotBrokenOff(t *testing.T) {
	const clientWait = 4 * time.Second
	read, answer := make(chan bool), make(chan bool)
	addr := deaf(t, func(c net.Conn) {
		<-read
		if _, err := cacheWire.read(bufio.NewReader(c)); err != nil {
			return
		}
		<-answer
		io.WriteString(c, cacheWire.served)
	})
	r := request("a")
	r.Write, r.Parts = true, [][]byte{make([]byte, 512<<10)}
	begun := time.Now()
	r.Deadline = deadline.After(begun, clientWait)
	results, _ := push(pool.New(shared(), addr, caches.Protocol{}), r)
	time.Sleep(clientWait / 16)
	close(read)
	time.Sleep(clientWait/2 - time.Since(begun)) // past the end of the margin
	close(answer)
	if res := wait(t, results); res.Outcome != policy.Acked {
		t.Errorf("%+v", res)
	}
}

// An attempt with under a millisecond left is none: nothing is written for it, and its connection serves the next.
func TestNoTimeLeftIsNoAttempt(t *testing.T) {
	seen := make(chan string, 9)
	addr := listen(t, func(n int, c net.Conn) {
		for r := bufio.NewReader(c); ; {
			words, err := command(r)
			if err != nil {
				return
			}
			seen <- words[2]
			io.WriteString(c, cacheWire.served)
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
		settled()
	}
	results, _ := push(p, request("enough"))
	if res := wait(t, results); res.Outcome != policy.Acked || wait(t, seen) != "enough" || s.Opened.Load() != 1 {
		t.Errorf("%+v, %d connections", res, s.Opened.Load())
	}
}
