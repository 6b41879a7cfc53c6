package engine

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"minttray/internal/deadline"
	"minttray/internal/memory"
	"minttray/internal/settings"
	"minttray/policy"
)

// fullSettings contains every field that settings.Decode reads.
const fullSettings = `{"balancers":3,"beyond-share-benefit":0.1,"blend":{"full-at-nines":2,"nines-part":0.2},
"categories":[{"benefit":2,"dedup-window-us":300000,"effect":"idempotency_key","group":"zone","name":"put","tardy-benefit":0.3,"target-latency-us":100000,"ttl-us":300000},
{"benefit":1,"dedup-window-us":0,"effect":"read_like","group":"","name":"get","tardy-benefit":0,"target-latency-us":100000,"ttl-us":200000}],
"index":1,"client-habits":{"marks-retry":true},
"contract":{"ask-every-us":5000000,"cold-from":0.3,"fall-multiple":2,"tip-after-us":1000000,"warm-up-us":9000000},
"deductions":{"connection":0.01,"cross-zone":0.1,"handshake":0.02,"peer":0.01,"probe":0.01},"discovery":"push",
"family-info":{"mode":"aside","origin-kind":1},
"limits":{"cancelling":true,"conn-idle-us":60000000,"connect-timeout-us":100000,"max-open":2000,"max-retry-after-us":2000000,"most-pushes":3,"peers":true,"probing":true,"retry-after":true},
"load-report":{"fields":["svc_ms","queue","qps"],"how":"on_probe"},"skus":["box","origin"],
"tenants":[{"name":"acme","quota-rps":100},{"name":"other","quota-rps":1}],"tick-us":5000,"weights":"rough","zone":1,"zones":["a","b"]}`

// Guards against settings that are well-formed but make the module panic or leave ops open. Each field in turn is absent, null, empty, tiny
// or huge; settings that are accepted must serve ops against servers that answer, reject, fail and stay silent.
func TestAnySettingsThatAreTakenServe(t *testing.T) {
	var good any
	if err := json.Unmarshal([]byte(fullSettings), &good); err != nil {
		t.Fatal(err)
	}
	names := paths(good, "")
	for _, name := range settings.Fields() {
		if !slices.Contains(names, name) {
			t.Errorf("field %s is read by settings.Decode but missing in fullSettings", name)
		}
	}
	taken := 0
	for _, path := range names {
		for _, value := range []string{"absent", "null", "0", "1", "1e-9", "1000", "4294967296", "9000000000000000000", "1e300", "-1", `""`, `"x"`, "[]", "{}", "true", "false"} {
			text := withValue(path, value)
			s, err := settings.Decode([]byte(text))
			if err != nil {
				if !strings.HasPrefix(err.Error(), "settings: ") {
					t.Errorf("%s %s: %v", path, value, err)
				}
				continue
			}
			taken++
			if fault := runOps(t, s); fault != "" {
				t.Errorf("%s %s: %s", path, value, fault)
			}
		}
	}
	if taken < 100 {
		t.Errorf("only %d variants were accepted", taken)
	}
}

// paths returns the paths of all values in a document, such as a.b.0.c.
func paths(v any, at string) (all []string) {
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			all = append(append(all, at+name), paths(v[name], at+name+".")...)
		}
	case []any:
		for i, one := range v {
			all = append(append(all, fmt.Sprint(at, i)), paths(one, fmt.Sprint(at, i, "."))...)
		}
	}
	return all
}

// withValue returns fullSettings with one value replaced.
func withValue(path, value string) string {
	var doc any
	json.Unmarshal([]byte(fullSettings), &doc)
	var put func(v any, words []string) any
	put = func(v any, words []string) any {
		if len(words) == 0 {
			return json.RawMessage(value)
		}
		switch v := v.(type) {
		case map[string]any:
			if v[words[0]] = put(v[words[0]], words[1:]); value == "absent" && len(words) == 1 {
				delete(v, words[0])
			}
		case []any:
			var i int
			fmt.Sscan(words[0], &i)
			if value == "absent" && len(words) == 1 {
				return slices.Delete(v, i, i+1)
			}
			v[i] = put(v[i], words[1:])
		}
		return v
	}
	text, err := json.Marshal(put(doc, strings.Split(path, ".")))
	if err != nil {
		panic(err)
	}
	return string(text)
}

// runOps runs ops on an engine whose clock the test controls, and returns a description of the first fault.
func runOps(t *testing.T, from settings.Settings) (fault string) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Sprint("panic: ", p)
		}
	}()
	s := &variedServer{answers: map[string]int{}}
	e := New(Options{Module: func(s policy.Settings, seed uint64, h policy.Host) Module { return policy.New(s, seed, h) }, Seed: 7, Settings: from.Policy,
		MaxOps: 1000, MaxBytes: 1 << 20, Connect: func(m Member) Server { return s }})
	var list []Member
	for id := uint32(1); id <= 9; id++ {
		m := member(id, policy.Ready)
		m.Zone, m.Weight, m.Kind = int(id)%max(from.Policy.Zones, 1), 1, 0
		if id == 9 {
			m.Kind = max(from.Policy.OriginKind, 0)
		}
		list = append(list, m)
	}
	e.Start(noCatalog{}, list)
	advance := func(span time.Duration) {
		e.clockStart = e.clockStart.Add(-span) // advances the engine's clock
		for _, ev := range e.queue.take(nil) {
			e.handleEvent(ev.kind, ev.run)
		}
		e.fireTimers()
		for _, done := range s.due {
			done()
		}
		s.due = nil
		for _, ev := range e.queue.take(nil) {
			e.handleEvent(ev.kind, ev.run)
		}
	}
	const many = 200
	taken := 0
	for i := range many {
		id := fmt.Sprint("op", i)
		now := time.Now()
		o := &Op{ReceivedAt: now, Key: uint64(i % 50), Category: i % len(from.Categories), Tenant: i % 3, IsRetry: i%7 == 0, Reply: answerCounter{s, id},
			Request: Request{Key: "k", ID: id, Write: i%5 == 0, Deadline: deadline.After(now, time.Duration(100+i)*time.Millisecond)}}
		if e.Submit(o) == nil {
			taken++
		}
		advance(2 * time.Millisecond)
	}
	for range 400 {
		advance(5 * time.Millisecond)
	}
	for id, n := range s.answers {
		if n != 1 {
			return fmt.Sprintf("%s got %d answers", id, n)
		}
	}
	if len(s.answers) != taken || taken == 0 {
		return fmt.Sprintf("%d answers to %d ops", len(s.answers), taken)
	}
	return ""
}

// variedServer stands for all servers: it cycles through outcomes, or does not answer.
type variedServer struct {
	n       int
	due     []func()
	answers map[string]int
}

func (s *variedServer) Push(r *Request, until time.Time, done func(Result)) func(AbortCondition) bool {
	s.n++
	switch outcome := []policy.Outcome{policy.Acked, policy.Acked, policy.Miss, policy.Rejected, policy.Errored, policy.ConnectionLost, policy.ConnectFailed}[s.n%7]; {
	case s.n%11 == 0: // no answer
	default:
		s.due = append(s.due, func() { done(Result{Outcome: outcome, Value: []byte("v"), QueueLength: 1, OpsPerSecond: 10}) })
	}
	return func(when AbortCondition) bool { return when == Always }
}
func (s *variedServer) Release() {}
func (s *variedServer) Retire()  {}

type answerCounter struct {
	s  *variedServer
	id string
}

func (o answerCounter) Acked([]byte) { o.s.answers[o.id]++ }
func (o answerCounter) AckedBlock(_ []byte, block *memory.Block) {
	o.s.answers[o.id]++
	block.Release()
}
func (o answerCounter) Streamed(Body)        { o.s.answers[o.id]++ }
func (o answerCounter) Nacked(time.Duration) { o.s.answers[o.id]++ }
func (o answerCounter) DeadLettered()        { o.s.answers[o.id]++ }
