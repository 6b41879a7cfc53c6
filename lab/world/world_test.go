package world

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
)

const waitLimit = 10 * time.Second // for waits that end by an event

// newTestWorld starts a small world. done closes it and returns the ledger records.
func newTestWorld(t *testing.T, overrides ...string) (w *World, done func() []ledger.Record) {
	exp, err := experiment.Decode("x", []byte("name = \"x\"\n[[category]]\nname = \"c\"\nshare = 1.0\nbenefit = 1\nwork = \"1ms\"\ntarget = \"1s\"\n"+
		"[[category]]\nname = \"d\"\nshare = 0.0\nbenefit = 1\nwork = \"1ms\"\ntarget = \"1s\"\neffect = \"deduplicated\"\nwrite = true\n"+
		"[caches]\ncount = 2\ncores = 1\nhandshake = \"0s\"\n[list]\nlate = \"0s\"\n"), overrides...)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "ledger")
	writer, err := ledger.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	if w, err = New(exp, writer); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w, func() (records []ledger.Record) {
		w.Close()
		time.Sleep(50 * time.Millisecond) // the reader of each connection records its end
		writer.Close()
		in, _ := os.Open(path)
		defer in.Close()
		ledger.Read(in, func(r ledger.Record) { records = append(records, r) })
		return records
	}
}

// countRecords counts the records of a kind and, among pushes that ended, of an outcome.
func countRecords(records []ledger.Record, kind ledger.Kind, outcome uint32) (n int) {
	for _, r := range records {
		if r.Kind == kind && (kind != ledger.PushEnded || r.C == outcome) {
			n++
		}
	}
	return n
}

func dial(t *testing.T, c *Cache) (net.Conn, *bufio.Reader) {
	nc, err := net.Dial("tcp", c.addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	nc.SetDeadline(time.Now().Add(waitLimit))
	t.Cleanup(func() { nc.Close() })
	return nc, bufio.NewReader(nc)
}

func getCommand(key, id string) string {
	return fmt.Sprintf("*4\r\n$9\r\nCACHE.GET\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$9\r\nc=c,d=500\r\n", len(key), key, len(id), id)
}

func setCommand(key, id string) string {
	return fmt.Sprintf("*5\r\n$9\r\nCACHE.SET\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$9\r\nc=d,d=500\r\n$1\r\nv\r\n", len(key), key, len(id), id)
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time: " + description)
		}
	}
}

// A command counts as received once its last byte has arrived: a truncated one must not be recorded as a push.
func TestTruncatedCommandIsNotReceived(t *testing.T) {
	w, done := newTestWorld(t)
	nc, r := dial(t, w.Caches()[0])
	command := getCommand("aa", "01")
	io.WriteString(nc, command+command[:len(command)-1])
	if line, err := r.ReadString('\n'); err != nil || line != "*3\r\n" {
		t.Fatal(line, err)
	}
	nc.Close()
	if records := done(); countRecords(records, ledger.PushReceived, 0) != 1 || countRecords(records, ledger.PushEnded, ledger.EndMissed) != 1 {
		t.Errorf("%v", records)
	}
}

// When a proxy abandons a push by closing its connection, the configured mode decides whether queued and running work is cancelled.
func TestCancel(t *testing.T) {
	for mode, want := range map[string][2]int{"all": {0, 0}, "queued": {1, 0}, "none": {1, 1}} {
		w, done := newTestWorld(t, "caches.cancel=\""+mode+"\"", "caches.mode=\"through\"")
		c := w.Caches()[0]
		w.Experiment.Categories[0].Work = experiment.Duration(time.Hour)
		nc, _ := dial(t, c)
		io.WriteString(nc, getCommand("aa", "01")+getCommand("ab", "02")) // the second waits behind the first
		waitFor(t, "one request runs and one waits", func() bool { r, q := c.queue.load(); return r == 1 && q == 1 })
		nc.Close()
		waitFor(t, "the closed connection is noticed", func() bool { return c.Connections() == 0 })
		waitFor(t, mode, func() bool { r, q := c.queue.load(); return [2]int{r, q} == want })
		if records := done(); countRecords(records, ledger.PushEnded, ledger.EndConnLost) != 2 {
			t.Errorf("%s: %v", mode, records)
		}
	}
}

// A repeat of a deduplicated write within its window must not be applied again; a missed key must be stored where it was missed.
func TestDeduplicationAndMissedKeys(t *testing.T) {
	w, done := newTestWorld(t, "caches.full=false", "caches.mode=\"through\"")
	nc, r := dial(t, w.Caches()[0])
	exchange := func(nc net.Conn, r *bufio.Reader, text string) string {
		io.WriteString(nc, text)
		answer := ""
		for n := 0; n < 7 && !strings.HasPrefix(answer, "-"); n++ {
			line, err := r.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			answer += line
			if line == "$-1\r\n" {
				n++
			}
		}
		return answer
	}
	for i, want := range []string{"miss", "hit"} {
		if got := exchange(nc, r, getCommand("aa", fmt.Sprint("0", i))); !strings.Contains(got, want) || !strings.Contains(got, fmt.Sprint("0", i, " aa ")) {
			t.Errorf("%q, want %s", got, want)
		}
	}
	nc2, r2 := dial(t, w.Caches()[1])
	exchange(nc, r, setCommand("ab", "0a"))
	exchange(nc2, r2, setCommand("ab", "0a")) // the same op at another cache of its deduplication group
	if records := done(); countRecords(records, ledger.WriteApplied, 0) != 1 || countRecords(records, ledger.PushReceived, 0) != 4 {
		t.Errorf("%v", records)
	}
}

// A state must be recorded as announced when the agent has sent it, not before; a silent agent sends nothing.
func TestStateIsAnnouncedWithAnswer(t *testing.T) {
	w, done := newTestWorld(t)
	a, err := w.Registry.NewAgent(0)
	if err != nil {
		t.Fatal(err)
	}
	a.SetIncarnation(1)
	list := func(query string) (doc struct {
		Generation uint64
		Instances  []instance
	}) {
		client := http.Client{Timeout: waitLimit}
		r, err := client.Get("http://" + a.Addr + "/catalog/members" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		json.NewDecoder(r.Body).Decode(&doc)
		return doc
	}
	first := list("")
	if len(first.Instances) != 3 {
		t.Fatalf("%+v", first)
	}
	w.Caches()[0].Drain()
	waitFor(t, "the agent has received the change", func() bool { return a.List()["generation"].(uint64) > first.Generation })
	before := w.Now()
	next := list(fmt.Sprintf("?index=%d&wait=5000", first.Generation))
	lifecyclesOf := func(all []instance) (states string) {
		for _, i := range all {
			states += i.Lifecycle + " "
		}
		return states
	}
	if got := lifecyclesOf(next.Instances); got != "leaving " { // a watch returns changed entries alone
		t.Errorf("%q", got)
	}
	if got := lifecyclesOf(list("").Instances); got != "leaving active active " {
		t.Errorf("%q", got)
	}
	a.SetFault(true, false, 0)
	if r, err := (&http.Client{Timeout: 200 * time.Millisecond}).Get("http://" + a.Addr + "/catalog/members"); err == nil {
		t.Errorf("a silent agent answered: %v", r.Status)
	}
	announced := 0
	for _, r := range done() {
		if r.Kind == ledger.StateAnnounced {
			if announced++; r.At < before || r.C != ledger.StateLeaving || r.B != 1 {
				t.Errorf("%v", r)
			}
		}
	}
	if announced != 1 {
		t.Errorf("%d states announced, want 1", announced)
	}
}
