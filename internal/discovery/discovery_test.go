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

	"minttray/decide/roster"
	"minttray/internal/engine"
	"minttray/policy"
)

const bound = 20 * time.Second // bound of waits that end by an event; no verdict hangs on it

type told struct {
	kind    policy.ListKind
	members []engine.Member
}

// agent answers the nth call by what turn gives; "" breaks the connection.
func agent(t *testing.T, ask bool, turn func(n int, query string) string, change ...func(*Watch)) (*Watch, chan told) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var calls atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := turn(int(calls.Add(1))-1, r.URL.RawQuery)
		if text == "" {
			panic(http.ErrAbortHandler)
		}
		if text == "full" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprint(w, text)
	})}
	go server.Serve(l)
	watch := New(l.Addr().String(), NewNameTable([]string{"a", "b"}, []string{"box", "origin"}, zerolog.Nop()), ask, zerolog.Nop())
	tells := make(chan told, 100)
	watch.OnUpdate = func(kind policy.ListKind, members []engine.Member) { tells <- told{kind, members} }
	for _, f := range change {
		f(watch)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { watch.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); server.Close(); <-done })
	return watch, tells
}

func hear(t *testing.T, tells chan told) told {
	t.Helper()
	select {
	case got := <-tells:
		return got
	case <-time.After(bound):
		t.Fatal("nothing was told")
	}
	return told{}
}

func entry(id, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:6379","zone":"b","machineType":"origin","cell":3,`+
		`"lifecycle":%q,"weight":2.5,"startedAtMs":1700000000123}`, id, lifecycle)
}

func list(generation int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s],"more":1}`, generation, reset, strings.Join(entries, ","))
}

func TestWholeListThenChanges(t *testing.T) {
	queries := make(chan string, 10)
	hold := make(chan bool)
	defer close(hold)
	w, tells := agent(t, false, func(n int, query string) string {
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
	got := hear(t, tells)
	if got.kind != policy.ListFull || len(got.members) != 2 {
		t.Errorf("%+v", got)
	}
	x := got.members[0]
	if x.Zone != 1 || x.Kind != 1 || x.Cell != 3 || x.Weight != 2.5 || x.Addr != "127.0.0.1:6379" || x.State != policy.Ready {
		t.Errorf("%+v", x)
	}
	if x.Start < 1700000000123*10 || x.Start >= 1700000000124*10 {
		t.Errorf("started %d: older than it is, or another millisecond", x.Start)
	}
	got = hear(t, tells)
	if got.kind != policy.ListDelta || len(got.members) != 1 || got.members[0].ID != x.ID || got.members[0].State != policy.Draining {
		t.Errorf("%+v", got)
	}
	if got = hear(t, tells); got.kind != policy.ListFull || len(got.members) != 1 {
		t.Errorf("%+v", got)
	}
	for _, want := range []string{"", "index=41&wait=1000", "index=43&wait=1000", "index=44&wait=1000", "index=50&wait=1000"} {
		if query := <-queries; query != want {
			t.Errorf("asked %q, want %q", query, want)
		}
	}
	if other := NewNameTable(nil, nil, zerolog.Nop()); other.number("y") == x.ID || other.number("x") != x.ID {
		t.Error("another proxy gives the cache another number")
	}
	w.Watch(true) // means nothing where changes come by themselves
}

func TestBrokenWatchIsReopened(t *testing.T) {
	queries := make(chan string, 10)
	_, tells := agent(t, false, func(n int, query string) string {
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
		if got := hear(t, tells); got.kind != want || len(got.members) != 1 {
			t.Errorf("told %d: %+v", i, got)
		}
	}
	// Behind a fault the calls are short, and net/http repeats none by itself.
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
	if _, err := w.ask(context.Background(), http.DefaultClient, l.Addr().String(), nil, false, false); err == nil {
		t.Error("no word of it")
	}
}

// An agent that is silent must not hold the watch for ever, nor take the old list away.
func TestSilentAgentIsAskedAgain(t *testing.T) {
	hold := make(chan bool)
	defer close(hold)
	_, tells := agent(t, false, func(n int, query string) string {
		if n == 0 {
			<-hold
			return ""
		}
		return list(1, true, entry("x", "active"))
	})
	if got := hear(t, tells); got.kind != policy.ListFull {
		t.Errorf("%+v", got)
	}
}

// Danger: the old address takes nothing new after a reload, and versions of two agents need not compare.
func TestMoveBeginsWithTheWholeListAtTheNewAddress(t *testing.T) {
	hold := make(chan bool)
	defer close(hold)
	asked := make(chan string, 9)
	w, tells := agent(t, false, func(n int, query string) string {
		if asked <- query; n == 0 {
			return list(900, true, entry("x", "active"))
		}
		<-hold // a watch in which nothing happens
		return ""
	})
	hear(t, tells)
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
	w.SetAddress(next.Addr().String()) // nothing changed: the watch goes on
	if got := hear(t, tells); got.kind != policy.ListFull || len(got.members) != 2 {
		t.Errorf("%+v", got)
	}
	if first, second := <-queries, <-queries; first != "" || !strings.HasPrefix(second, "index=3&") {
		t.Errorf("asked %q, then %q", first, second)
	}
	if w.moves.Load() != 1 {
		t.Errorf("%d moves", w.moves.Load())
	}
}

func TestModuleDecidesWhenToAskAgain(t *testing.T) {
	w, tells := agent(t, true, func(n int, query string) string {
		if n == 0 {
			return `not json`
		}
		return list(n, true, entry("x", "active"))
	})
	w.Watch(true)
	if got := hear(t, tells); got.kind != policy.ListFailed || len(tells) > 0 {
		t.Errorf("%+v", got)
	}
	w.Watch(true)
	if got := hear(t, tells); got.kind != policy.ListFull {
		t.Errorf("%+v", got)
	}
}

// Danger: where all proxies ask one service, a whole list from each at their start is what buries it.
func TestChangesSinceTheKnownListAreAskedForFirst(t *testing.T) {
	queries := make(chan string, 10)
	w, tells := agent(t, true, func(n int, query string) string {
		if queries <- query; n == 1 {
			return "full"
		}
		return list(8+n, false)
	})
	if members, err := w.LoadKnown([]byte(list(7, true, entry("x", "active")))); err != nil || len(members) != 1 {
		t.Fatal(members, err)
	}
	w.Watch(true)
	for i, want := range []string{"index=7&wait=5000", "index=8&wait=5000"} {
		if query := <-queries; query != want {
			t.Errorf("call %d asked %q, want %q", i, query, want)
		}
	}
	if got := hear(t, tells); got.kind != policy.ListFailed {
		t.Errorf("%+v", got)
	}
	w.Watch(true)
	if got := hear(t, tells); got.kind != policy.ListDelta || len(got.members) != 0 {
		t.Errorf("that the service answers again was not told: %+v", got)
	}
}

func TestBadDocuments(t *testing.T) {
	names := NewNameTable(nil, []string{"box"}, zerolog.Nop())
	for _, text := range []string{"", "[]", "null", "{}", `{"instances":[]}`, `{"generation":-1}`, `{"generation":1,"instances":{}}`,
		`{"generation":1,"reset":true}`, // no list at all: it would name all caches gone
		`{"generation":1,"instances":[{"instanceId":5}]}`, list(1, true, entry("x", "active")) + "}"} {
		if _, _, err := names.decode([]byte(text)); err == nil {
			t.Errorf("%q was taken", text)
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
	// Danger: a drain whose address can't be read is a drain, and would be passed over.
	for _, addr := range []string{"", "127.0.0.1", "127.0.0.1:0", "?:http"} {
		drains := strings.Replace(entry("y", "leaving"), "127.0.0.1:6379", addr, 1)
		if _, members, err := names.decode([]byte(list(1, false, drains))); err != nil || len(members) != 1 || members[0].State != policy.Gone {
			t.Errorf("%s: %+v, %v", drains, members, err)
		}
	}
	_, members, err := names.decode([]byte(list(1, true, entry("x", "active"), entry("x", "leaving"))))
	if err != nil || len(members) != 1 || members[0].State != policy.Draining {
		t.Errorf("an entry twice: %+v, %v", members, err)
	}
	if got := names.strange.Load(); got != 2 { // its zone and its kind, each once
		t.Errorf("%d names that the settings lack", got)
	}
	if members[0].Kind < 1 {
		t.Error("a kind that the settings lack took a number of theirs")
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
		t.Errorf("%d numbers for 700 caches", len(seen))
	}
}

// Danger: on a long day ids are ever new, and what is kept of each fills the memory.
func TestGoneCachesAreForgotten(t *testing.T) {
	names := NewNameTable(nil, nil, zerolog.Nop())
	decode := func(text string) uint32 {
		doc, members, err := names.decode([]byte(text))
		names.forget(doc)
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
	if len(names.ids) != 2 || len(names.taken) != 2 || len(names.zones) > mostNames {
		t.Errorf("%d ids, %d numbers and %d zones kept", len(names.ids), len(names.taken), len(names.zones))
	}
	if again := decode(list(9, true, entry("stays", "active"))); again != first || len(names.ids) != 1 {
		t.Errorf("number %d, then %d; %d ids kept after a whole list", first, again, len(names.ids))
	}
}

// Danger: a list service that has lost its memory empties the fleet; or, where its lists are held, drains in them are missed.
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
	_, tells := agent(t, false, func(n int, query string) string {
		if n < len(texts) {
			return texts[n]
		}
		<-hold
		return ""
	}, func(w *Watch) {
		w.OriginKind = 1
		w.Guard = roster.Guard[time.Duration]{MaxMissingShare: 0.5, ConfirmAfter: 100 * time.Millisecond}
	})
	for i, want := range []string{"0 a0 b0 c0 d0", "1 o0", "1 a1 e0", "0 a0 b0 c0 d0", "1 a0", "1 a0", "0 a0"} {
		got := hear(t, tells)
		text := fmt.Sprint(got.kind)
		for _, m := range got.members {
			text += fmt.Sprintf(" %s%d", m.Name, m.State)
		}
		if text != want {
			t.Errorf("%d: told %q, not %q", i, text, want)
		}
	}
}

// Danger: what an agent gets as it comes back after an outage counts as told just then: a call that still waits for the silent one,
// or a long wait before the next, takes the drain's grace. The agent here falls silent under a watch, answers no call, and is back
// with a drain: the next call behind a fault must be a short one.
func TestAnAgentThatComesBackWithDrainsIsHeardAtOnce(t *testing.T) {
	hold, silent := make(chan bool), make(chan string, 99)
	defer close(hold)
	var back atomic.Bool
	w, tells := agent(t, false, func(n int, query string) string {
		switch {
		case n == 0:
			return list(41, true, entry("x", "active"), entry("y", "active"))
		case n == 1:
			return "" // the watch breaks: the proxy knows that something is wrong
		case !back.Load():
			silent <- query
			<-hold
		}
		return list(42, false, entry("x", "leaving"))
	})
	hear(t, tells)
	for range 3 { // calls in vain
		query := ""
		select {
		case query = <-silent:
		case <-time.After(bound):
			t.Fatal("not asked again")
		}
		if query != "index=41&wait=20" {
			t.Errorf("asked %q behind a fault", query)
		}
	}
	back.Store(true)
	if got := hear(t, tells); got.kind != policy.ListDelta || got.members[0].State != policy.Draining {
		t.Errorf("%+v", got)
	}
	if w.faults.Load() == 0 {
		t.Error("no fault was counted")
	}
}

// Headers and no body, or half a document, and then nothing: the call ends by its time, the next one is heard.
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
			w, tells := New(l.Addr().String(), NewNameTable(nil, nil, zerolog.Nop()), false, zerolog.Nop()), make(chan told, 100)
			w.OnUpdate = func(kind policy.ListKind, members []engine.Member) { tells <- told{kind, members} }
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go w.Run(ctx)
			hear(t, tells)
			if got := hear(t, tells); got.kind != policy.ListDelta || got.members[0].State != policy.Draining || w.faults.Load() != 1 {
				t.Errorf("%+v, %d faults", got, w.faults.Load())
			}
		})
	}
}

// A slow agent is heard all the same: now and then a call is given its whole patience.
func TestASlowAgentIsHeardBehindAFault(t *testing.T) {
	t.Parallel()
	var calls atomic.Int32
	_, tells := agent(t, false, func(n int, query string) string {
		if n == 0 {
			return ""
		}
		calls.Add(1)
		time.Sleep((atOnce + patience) / 2) // too slow for a short call, quick enough for a whole one
		return list(1, true, entry("x", "active"))
	})
	if got := hear(t, tells); got.kind != policy.ListFull || calls.Load() < 2 {
		t.Errorf("%+v after %d calls", got, calls.Load())
	}
}

// Danger: a watch that falls silent where the list is asked for is broken, and what it misses counts as told 2 s after its wait: the wait
// between calls that failed would take the drains' grace. It is opened anew at once, with a short wait, and only once.
func TestASilentWatchIsOpenedAnewWhereTheListIsAskedFor(t *testing.T) {
	t.Parallel()
	for name, again := range map[string]bool{"and is heard": true, "and is silent still": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hold, queries := make(chan bool), make(chan string, 9)
			defer close(hold)
			w, tells := agent(t, true, func(n int, query string) string {
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
			hear(t, tells)
			got := hear(t, tells)
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

// Danger: a bound that was made for hundreds of servers cuts the list of thousands, and none is ever taken.
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
	_, tells := agent(t, false, func(n int, _ string) string {
		if n > 0 {
			<-hold
		}
		return text.String()
	})
	if got := hear(t, tells); len(got.members) != servers || got.kind != policy.ListFull {
		t.Errorf("%d of %d servers taken of a list of %d bytes", len(got.members), servers, text.Len())
	}
}
