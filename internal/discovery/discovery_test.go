package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"minttray/decide/listwatch"
	"minttray/decide/roster"
	"minttray/internal/engine"
	"minttray/policy"
)

// eventTimeout limits waits for an event; no assertion depends on its length.
const eventTimeout = 20 * time.Second

// update is one call of OnUpdate.
type update struct {
	kind    policy.ListKind
	members []engine.Member
}

// agent starts a watcher and an agent that answers the nth call with what respond returns: "" closes the connection, "full" is status 503.
func agent(t *testing.T, onDemand bool, respond func(n int, query string) string, options ...func(*Watcher)) (*Watcher, chan update) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var calls atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := respond(int(calls.Add(1))-1, r.URL.RawQuery)
		if text == "" {
			panic(http.ErrAbortHandler)
		}
		if text == "full" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprint(w, text)
	})}
	go server.Serve(l)
	watch := New(l.Addr().String(), NewNameTable([]string{"a", "b"}, []string{"box", "origin"}, zerolog.Nop()), onDemand, zerolog.Nop())
	updates := make(chan update, 100)
	watch.OnUpdate = func(kind policy.ListKind, members []engine.Member) { updates <- update{kind, members} }
	for _, f := range options {
		f(watch)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { watch.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); server.Close(); <-done })
	return watch, updates
}

// nextUpdate waits for an update.
func nextUpdate(t *testing.T, updates chan update) update {
	t.Helper()
	select {
	case got := <-updates:
		return got
	case <-time.After(eventTimeout):
		t.Fatalf("no update within %v", eventTimeout)
	}
	return update{}
}

// entry returns a list entry in JSON.
func entry(id, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:6379","zone":"b","machineType":"origin","cell":3,`+
		`"lifecycle":%q,"weight":2.5,"startedAtMs":1700000000123}`, id, lifecycle)
}

// list returns a document in JSON, with a field that the watcher does not know.
func list(generation int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s],"more":1}`, generation, reset, strings.Join(entries, ","))
}

func TestWholeListThenChanges(t *testing.T) {
	queries := make(chan string, 10)
	hold := make(chan bool)
	defer close(hold)
	w, updates := agent(t, false, func(n int, query string) string {
		queries <- query
		switch n {
		case 0:
			return list(41, true, entry("x", "active"), entry("y", "active"))
		case 1:
			return list(43, false, entry("x", "leaving"))
		case 2:
			return list(44, false) // nothing changed
		case 3:
			return list(50, true, entry("y", "active"))
		}
		<-hold
		return ""
	})
	got := nextUpdate(t, updates)
	if got.kind != policy.ListFull || len(got.members) != 2 {
		t.Errorf("%+v", got)
	}
	x := got.members[0]
	if x.Zone != 1 || x.Kind != 1 || x.Cell != 3 || x.Weight != 2.5 || x.Addr != "127.0.0.1:6379" || x.State != policy.Ready {
		t.Errorf("%+v", x)
	}
	if x.Start < 1700000000123*10 || x.Start >= 1700000000124*10 {
		t.Errorf("started %d: earlier than its start time, or in another millisecond", x.Start)
	}
	got = nextUpdate(t, updates)
	if got.kind != policy.ListDelta || len(got.members) != 1 || got.members[0].ID != x.ID || got.members[0].State != policy.Draining {
		t.Errorf("%+v", got)
	}
	if got = nextUpdate(t, updates); got.kind != policy.ListFull || len(got.members) != 1 {
		t.Errorf("%+v", got)
	}
	for _, want := range []string{"", "index=41&wait=1000", "index=43&wait=1000", "index=44&wait=1000", "index=50&wait=1000"} {
		if query := <-queries; query != want {
			t.Errorf("asked %q, want %q", query, want)
		}
	}
	if other := NewNameTable(nil, nil, zerolog.Nop()); other.idOf("y") == x.ID || other.idOf("x") != x.ID {
		t.Error("the number of a cache depends on the proxy")
	}
	w.Watch(true) // has no effect without OnDemand
}

func TestBrokenWatchIsReopened(t *testing.T) {
	queries := make(chan string, 10)
	_, updates := agent(t, false, func(n int, query string) string {
		queries <- query
		switch n {
		case 0:
			return list(41, true, entry("x", "active"))
		case 1, 2:
			return ""
		case 3:
			return list(42, false, entry("y", "active"))
		case 4:
			return `{"generation":43,"reset":fal`
		}
		return list(45, true, entry("z", "active"))
	})
	for i, want := range []policy.ListKind{policy.ListFull, policy.ListDelta, policy.ListFull} {
		if got := nextUpdate(t, updates); got.kind != want || len(got.members) != 1 {
			t.Errorf("update %d: %+v", i, got)
		}
	}
	// After a failure the calls are short, and net/http does not resend any.
	for _, want := range []string{"", "index=41&wait=1000", "index=41&wait=20", "index=41&wait=20", "index=42&wait=1000", ""} {
		if query := <-queries; query != want {
			t.Errorf("asked %q, want %q", query, want)
		}
	}
}

func TestPanicStopsAtTheCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, list(1, true, entry("x", "active")))
	}))
	defer l.Close()
	w := New(l.Addr().String(), NewNameTable(nil, nil, zerolog.Nop()), false, zerolog.Nop())
	w.OnUpdate = func(policy.ListKind, []engine.Member) { panic("in the listener") }
	if _, err := w.fetch(context.Background(), http.DefaultClient, l.Addr().String(), nil, listwatch.Call[time.Duration]{Timeout: eventTimeout}); err == nil {
		t.Error("the panic was not reported as an error")
	}
}

// An agent that does not respond must not block the watcher, and the last list remains valid.
func TestSilentAgentIsAskedAgain(t *testing.T) {
	hold := make(chan bool)
	defer close(hold)
	_, updates := agent(t, false, func(n int, query string) string {
		if n == 0 {
			<-hold
			return ""
		}
		return list(1, true, entry("x", "active"))
	})
	if got := nextUpdate(t, updates); got.kind != policy.ListFull {
		t.Errorf("%+v", got)
	}
}

// Guards against a reload that keeps the old agent's address or its list version: versions of two agents are not comparable.
func TestMoveBeginsWithTheWholeListAtTheNewAddress(t *testing.T) {
	hold := make(chan bool)
	defer close(hold)
	asked := make(chan string, 9)
	w, updates := agent(t, false, func(n int, query string) string {
		if asked <- query; n == 0 {
			return list(900, true, entry("x", "active"))
		}
		<-hold // a watch without changes
		return ""
	})
	nextUpdate(t, updates)
	for n := range 2 {
		if query := <-asked; strings.Contains(query, "index") != (n == 1) {
			t.Errorf("the old agent was asked %q", query)
		}
	}
	next, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	queries := make(chan string, 9)
	go http.Serve(next, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(out, list(3, true, entry("y", "active"), entry("z", "active")))
	}))
	w.SetAddress(next.Addr().String())
	w.SetAddress(next.Addr().String()) // the same address: the watch continues
	if got := nextUpdate(t, updates); got.kind != policy.ListFull || len(got.members) != 2 {
		t.Errorf("%+v", got)
	}
	if first, second := <-queries, <-queries; first != "" || !strings.HasPrefix(second, "index=3&") {
		t.Errorf("asked %q, then %q", first, second)
	}
	if w.addressChanges.Load() != 1 {
		t.Errorf("%d address changes", w.addressChanges.Load())
	}
}

func TestModuleDecidesWhenToAskAgain(t *testing.T) {
	w, updates := agent(t, true, func(n int, query string) string {
		if n == 0 {
			return `not json`
		}
		return list(n, true, entry("x", "active"))
	})
	w.Watch(true)
	if got := nextUpdate(t, updates); got.kind != policy.ListFailed || len(updates) > 0 {
		t.Errorf("%+v", got)
	}
	w.Watch(true)
	if got := nextUpdate(t, updates); got.kind != policy.ListFull {
		t.Errorf("%+v", got)
	}
}

// Guards against overload of a service that all proxies share when each of them fetches the whole list at its start.
func TestChangesSinceTheKnownListAreAskedForFirst(t *testing.T) {
	queries := make(chan string, 10)
	w, updates := agent(t, true, func(n int, query string) string {
		if queries <- query; n == 1 {
			return "full"
		}
		return list(8+n, false)
	})
	if members, err := w.LoadKnown([]byte(list(7, true, entry("x", "active")))); err != nil || len(members) != 1 {
		t.Fatal(members, err)
	}
	w.Watch(true)
	for i, want := range []string{"index=7&wait=20", "index=8&wait=5000"} { // the first call comes without a word of the service
		if query := <-queries; query != want {
			t.Errorf("call %d asked %q, want %q", i, query, want)
		}
	}
	if got := nextUpdate(t, updates); got.kind != policy.ListFailed {
		t.Errorf("%+v", got)
	}
	w.Watch(true)
	if got := nextUpdate(t, updates); got.kind != policy.ListDelta || len(got.members) != 0 {
		t.Errorf("the recovery of the service was not reported: %+v", got)
	}
}

func TestBadDocuments(t *testing.T) {
	names := NewNameTable(nil, []string{"box"}, zerolog.Nop())
	for _, text := range []string{"", "[]", "null", "{}", `{"instances":[]}`, `{"generation":-1}`, `{"generation":1,"instances":{}}`,
		`{"generation":1,"reset":true}`, // taken for an empty list, it would remove all caches
		`{"generation":1,"instances":[{"instanceId":5}]}`, list(1, true, entry("x", "active")) + "}"} {
		if _, _, err := names.decode([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
	good := entry("x", "active")
	for _, bad := range []string{entry("y", "resting"), entry("", "active"), `{}`,
		strings.Replace(entry("y", "active"), "127.0.0.1:6379", "127.0.0.1", 1),
		strings.Replace(entry("y", "active"), ":6379", ":http", 1),
		strings.Replace(entry("y", "active"), ":6379", ":0", 1)} {
		_, members, err := names.decode([]byte(list(1, true, bad, good)))
		if err != nil || len(members) != 1 {
			t.Errorf("%s: %d members, %v", bad, len(members), err)
		}
	}
	// The entry of a draining cache must not be skipped because of an invalid address: the cache would stay in use.
	for _, addr := range []string{"", "127.0.0.1", "127.0.0.1:0", "?:http"} {
		drains := strings.Replace(entry("y", "leaving"), "127.0.0.1:6379", addr, 1)
		if _, members, err := names.decode([]byte(list(1, false, drains))); err != nil || len(members) != 1 || members[0].State != policy.Gone {
			t.Errorf("%s: %+v, %v", drains, members, err)
		}
	}
	_, members, err := names.decode([]byte(list(1, true, entry("x", "active"), entry("x", "leaving"))))
	if err != nil || len(members) != 1 || members[0].State != policy.Draining {
		t.Errorf("duplicate entry: %+v, %v", members, err)
	}
	if got := names.unknownNames.Load(); got != 2 { // the zone and the machine type, once each
		t.Errorf("%d unknown names", got)
	}
	if members[0].Kind < 1 {
		t.Error("an unknown machine type got the number of a known one")
	}
	odd := strings.NewReplacer(`"weight":2.5`, `"weight":-1`, "1700000000123", "-5").Replace(good)
	if _, members, _ = names.decode([]byte(list(1, true, odd))); members[0].Weight != 1 || members[0].Start != 0 {
		t.Errorf("%+v", members[0])
	}
	var many []string
	for i := range 700 {
		many = append(many, entry(fmt.Sprint("c", i), "active"))
	}
	if _, members, err = names.decode([]byte(list(1, true, many...))); err != nil || len(members) != 700 {
		t.Errorf("%d members, %v", len(members), err)
	}
	seen := map[uint32]bool{}
	for _, m := range members {
		seen[m.ID] = true
	}
	if len(seen) != 700 {
		t.Errorf("%d distinct numbers for 700 caches", len(seen))
	}
}

// Guards against memory growth over a long run, in which new caches keep arriving under new ids.
func TestGoneCachesAreForgotten(t *testing.T) {
	names := NewNameTable(nil, nil, zerolog.Nop())
	decode := func(text string) uint32 {
		doc, members, err := names.decode([]byte(text))
		names.forgetGone(doc)
		if err != nil || len(members) == 0 {
			t.Fatal(text, err)
		}
		return members[0].ID
	}
	first := decode(list(1, true, entry("stays", "active"), entry("c0", "active")))
	for i := range 1000 {
		decode(list(i, false, entry(fmt.Sprint("c", i+1), "active"), entry(fmt.Sprint("c", i), "left"), entry("never seen", "left")))
		decode(list(i, false, strings.Replace(entry("stays", "active"), `"b"`, fmt.Sprintf(`"zone%d"`, i), 1)))
	}
	if len(names.ids) != 2 || len(names.instanceByID) != 2 || len(names.zones) > maxNames {
		t.Errorf("%d ids, %d numbers and %d zones in the table", len(names.ids), len(names.instanceByID), len(names.zones))
	}
	if again := decode(list(9, true, entry("stays", "active"))); again != first || len(names.ids) != 1 {
		t.Errorf("number %d, then %d; %d ids in the table after a whole list", first, again, len(names.ids))
	}
}

// Guards against a list service that has lost its state and empties the fleet, and against missing the drains in a list that is held back.
func TestListsInDoubt(t *testing.T) {
	hold := make(chan bool)
	origin := entry("o", "active")
	box := func(id, lifecycle string) string {
		return strings.Replace(entry(id, lifecycle), `"origin"`, `"box"`, 1)
	}
	defer close(hold)
	whole := list(1, true, box("a", "active"), box("b", "active"), box("c", "active"), box("d", "active"))
	texts := []string{whole, list(2, true, origin), list(3, true), list(4, true, box("a", "leaving"), box("e", "active")), whole,
		list(5, true, box("a", "active")), list(6, true, box("a", "active")), list(7, true, box("a", "active")), list(8, true, box("b", "active"))}
	_, updates := agent(t, false, func(n int, query string) string {
		if n < len(texts) {
			return texts[n]
		}
		<-hold
		return ""
	}, func(w *Watcher) {
		w.OriginKind = 1
		w.Guard = roster.Guard[time.Duration]{MaxMissingShare: 0.5, ConfirmAfter: 100 * time.Millisecond}
	})
	for i, want := range []string{"0 a0 b0 c0 d0", "1 o0", "1 a1 e0", "0 a0 b0 c0 d0", "1 a0", "1 a0", "0 a0"} {
		got := nextUpdate(t, updates)
		text := fmt.Sprint(got.kind)
		for _, m := range got.members {
			text += fmt.Sprintf(" %s%d", m.Name, m.State)
		}
		if text != want {
			t.Errorf("update %d: %q, want %q", i, text, want)
		}
	}
}

// Guards against a call that still waits for a silent agent, or a long pause before the next call, when the agent recovers: the changes
// that the agent receives count as delivered at that moment, and the delay would consume the grace period of a drain. The agent falls
// silent during a watch, answers no call, and recovers with a drain: the next call after a failure must be a short one.
func TestAnAgentThatComesBackWithDrainsIsHeardAtOnce(t *testing.T) {
	hold, silent := make(chan bool), make(chan string, 99)
	defer close(hold)
	var back atomic.Bool
	w, updates := agent(t, false, func(n int, query string) string {
		switch {
		case n == 0:
			return list(41, true, entry("x", "active"), entry("y", "active"))
		case n == 1:
			return "" // the watch fails, so that the following calls are short
		case !back.Load():
			silent <- query
			<-hold
		}
		return list(42, false, entry("x", "leaving"))
	})
	nextUpdate(t, updates)
	for range 3 { // unanswered calls
		query := ""
		select {
		case query = <-silent:
		case <-time.After(eventTimeout):
			t.Fatal("no further call")
		}
		if query != "index=41&wait=20" {
			t.Errorf("asked %q after a failure", query)
		}
	}
	back.Store(true)
	if got := nextUpdate(t, updates); got.kind != policy.ListDelta || got.members[0].State != policy.Draining {
		t.Errorf("%+v", got)
	}
	if w.failures.Load() == 0 {
		t.Error("no failure was counted")
	}
}

// An agent that stops after the headers or within the document: the call times out and the next one succeeds.
func TestAnAgentThatStopsInMidAnswer(t *testing.T) {
	for name, part := range map[string]string{"headers alone": "", "half a document": `{"generation":42,"reset":false,"inst`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hold := make(chan bool)
			defer close(hold)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var calls atomic.Int32
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch calls.Add(1) {
				case 1:
					fmt.Fprint(w, list(41, true, entry("x", "active")))
				case 2:
					w.WriteHeader(http.StatusOK)
					fmt.Fprint(w, part)
					w.(http.Flusher).Flush()
					<-hold
				default:
					fmt.Fprint(w, list(42, false, entry("x", "leaving")))
				}
			})}
			go server.Serve(l)
			defer server.Close()
			w, updates := New(l.Addr().String(), NewNameTable(nil, nil, zerolog.Nop()), false, zerolog.Nop()), make(chan update, 100)
			w.OnUpdate = func(kind policy.ListKind, members []engine.Member) { updates <- update{kind, members} }
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go w.Run(ctx)
			nextUpdate(t, updates)
			if got := nextUpdate(t, updates); got.kind != policy.ListDelta || got.members[0].State != policy.Draining || w.failures.Load() != 1 {
				t.Errorf("%+v, %d failures", got, w.failures.Load())
			}
		})
	}
}

// A slow agent is not ignored after a failure: some calls get the full timeout.
func TestASlowAgentIsHeardBehindAFault(t *testing.T) {
	t.Parallel()
	var calls atomic.Int32
	_, updates := agent(t, false, func(n int, query string) string {
		if n == 0 {
			return ""
		}
		calls.Add(1)
		time.Sleep((agentTiming.ShortLimit + agentTiming.SlowLimit) / 2) // too slow for the short timeout, fast enough for the full one
		return list(1, true, entry("x", "active"))
	})
	if got := nextUpdate(t, updates); got.kind != policy.ListFull || calls.Load() < 2 {
		t.Errorf("%+v after %d calls", got, calls.Load())
	}
}

// Guards against a watch on demand that times out and is reopened late: the changes that it misses count as delivered 2 s after its wait, and the
// pause between failed calls would consume the grace period of drains. It is reopened at once with a short wait, and only once.
func TestASilentWatchIsOpenedAnewWhereTheListIsAskedFor(t *testing.T) {
	t.Parallel()
	for name, again := range map[string]bool{"then responds": true, "stays silent": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hold, queries := make(chan bool), make(chan string, 9)
			defer close(hold)
			w, updates := agent(t, true, func(n int, query string) string {
				queries <- query
				if n == 0 {
					return list(7, true, entry("x", "active"))
				}
				if n == 2 && again {
					return list(8, false, entry("x", "leaving"))
				}
				<-hold
				return ""
			})
			w.Watch(true)
			nextUpdate(t, updates)
			got := nextUpdate(t, updates)
			for _, want := range []string{"", "index=7&wait=5000", "index=7&wait=20"} {
				if query := <-queries; query != want {
					t.Errorf("asked %q, want %q", query, want)
				}
			}
			if again && (got.kind != policy.ListDelta || got.members[0].State != policy.Draining) || !again && got.kind != policy.ListFailed {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Guards against a watcher that spins: a service that answers each watch at once, without news, was called again at once.
func TestAServiceThatDoesNotDelayItsAnswersIsCalledAtIntervals(t *testing.T) {
	const wanted = 40 // calls
	for _, onDemand := range []bool{false, true} {
		enough := make(chan time.Time, 1)
		watch, _ := agent(t, onDemand, func(n int, _ string) string {
			if n == wanted {
				enough <- time.Now()
			}
			return list(7, n == 0, entry("s-1", "active"))
		})
		begun := time.Now()
		watch.Watch(true)
		least := (wanted - 2) * minWatchInterval // the first call and the last interval don't count
		select {
		case at := <-enough:
			if at.Sub(begun) < least {
				t.Errorf("on demand %v: %d calls in %v, at least %v wanted", onDemand, wanted, at.Sub(begun), least)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("on demand %v: fewer than %d calls", onDemand, wanted)
		}
		if watch.EmptyWatches() == 0 {
			t.Errorf("on demand %v: no empty watch was counted", onDemand)
		}
	}
}

// Guards against a size limit that suits hundreds of servers and rejects every list of thousands.
func TestAListOfThousandsThatComesIndented(t *testing.T) {
	const servers = 3200
	var entries []string
	for n := range servers {
		entries = append(entries, entry(fmt.Sprintf("s-%08x", n), "active"))
	}
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(list(41, true, entries...)), "", "        "); err != nil {
		t.Fatal(err)
	}
	hold := make(chan bool)
	defer close(hold)
	_, updates := agent(t, false, func(n int, _ string) string {
		if n > 0 {
			<-hold
		}
		return text.String()
	})
	if got := nextUpdate(t, updates); len(got.members) != servers || got.kind != policy.ListFull {
		t.Errorf("%d of %d servers in the update for a list of %d bytes", len(got.members), servers, text.Len())
	}
}
