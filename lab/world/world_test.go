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

const patience = 10 * time.Second // bound of waits that end by an event

// stand puts a small world up; done closes it and gives what was booked.
func stand(t *testing.T, set ...string) (w *World, done func() []ledger.Record) {
	x, err := experiment.Decode("x", []byte("name = \"x\"\n[[category]]\nname = \"c\"\nshare = 1.0\nbenefit = 1\nwork = \"1ms\"\ntarget = \"1s\"\n"+
		"[[category]]\nname = \"d\"\nshare = 0.0\nbenefit = 1\nwork = \"1ms\"\ntarget = \"1s\"\neffect = \"deduplicated\"\nwrite = true\n"+
		"[caches]\ncount = 2\ncores = 1\nhandshake = \"0s\"\n[list]\nlate = \"0s\"\n"), set...)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "ledger")
	book, err := ledger.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	if w, err = New(x, book); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w, func() (all []ledger.Record) {
		w.Close()
		time.Sleep(50 * time.Millisecond) // connections' ends are booked by their readers
		book.Close()
		in, _ := os.Open(path)
		defer in.Close()
		ledger.Read(in, func(r ledger.Record) { all = append(all, r) })
		return all
	}
}

func count(all []ledger.Record, kind ledger.Kind, c uint32) (n int) {
	for _, r := range all {
		if r.Kind == kind && (kind != ledger.PushEnded || r.C == c) {
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
	nc.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { nc.Close() })
	return nc, bufio.NewReader(nc)
}

func get(key, id string) string {
	return fmt.Sprintf("*4\r\n$9\r\nCACHE.GET\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$9\r\nc=c,d=500\r\n", len(key), key, len(id), id)
}

func set(key, id string) string {
	return fmt.Sprintf("*5\r\n$9\r\nCACHE.SET\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$9\r\nc=d,d=500\r\n$1\r\nv\r\n", len(key), key, len(id), id)
}

// until waits for something to become so.
func until(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !so(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not so: " + what)
		}
	}
}

func TestACommandBeginsWithItsLastByte(t *testing.T) {
	w, done := stand(t)
	nc, r := dial(t, w.Caches()[0])
	whole := get("aa", "01")
	io.WriteString(nc, whole+whole[:len(whole)-1])
	if line, err := r.ReadString('\n'); err != nil || line != "*3\r\n" {
		t.Fatal(line, err)
	}
	nc.Close()
	if all := done(); count(all, ledger.PushReceived, 0) != 1 || count(all, ledger.PushEnded, ledger.EndMissed) != 1 {
		t.Errorf("%v", all)
	}
}

// What a push that is given up stops is as configured.
func TestCancel(t *testing.T) {
	for mode, want := range map[string][2]int{"all": {0, 0}, "queued": {1, 0}, "none": {1, 1}} {
		w, done := stand(t, "caches.cancel=\""+mode+"\"", "caches.mode=\"through\"")
		c := w.Caches()[0]
		w.Experiment.Categories[0].Work = experiment.Duration(time.Hour)
		nc, _ := dial(t, c)
		io.WriteString(nc, get("aa", "01")+get("ab", "02")) // the second waits behind the first
		until(t, "one runs, one waits", func() bool { r, q := c.queue.load(); return r == 1 && q == 1 })
		nc.Close()
		until(t, "the connection's end is seen", func() bool { return c.Connections() == 0 })
		until(t, mode, func() bool { r, q := c.queue.load(); return [2]int{r, q} == want })
		if all := done(); count(all, ledger.PushEnded, ledger.EndConnLost) != 2 {
			t.Errorf("%s: %v", mode, all)
		}
	}
}

// A repeat that its group remembers is dropped; a miss that the origin answers is stored where it was missed.
func TestWhatIsStoredAndWhatIsDropped(t *testing.T) {
	w, done := stand(t, "caches.full=false", "caches.mode=\"through\"")
	nc, r := dial(t, w.Caches()[0])
	ask := func(nc net.Conn, r *bufio.Reader, text string) string {
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
		if got := ask(nc, r, get("aa", fmt.Sprint("0", i))); !strings.Contains(got, want) || !strings.Contains(got, fmt.Sprint("0", i, " aa ")) {
			t.Errorf("%q, want %s", got, want)
		}
	}
	nc2, r2 := dial(t, w.Caches()[1])
	ask(nc, r, set("ab", "0a"))
	ask(nc2, r2, set("ab", "0a")) // the same op at another cache of its group
	if all := done(); count(all, ledger.WriteApplied, 0) != 1 || count(all, ledger.PushReceived, 0) != 4 {
		t.Errorf("%v", all)
	}
}

// What an agent says counts as told when it has said it, not before; a silent one says nothing.
func TestTheListIsToldWhenItIsAnswered(t *testing.T) {
	w, done := stand(t)
	a, err := w.Registry.NewAgent(0)
	if err != nil {
		t.Fatal(err)
	}
	a.SetIncarnation(1)
	list := func(query string) (doc struct {
		Generation uint64
		Instances  []instance
	}) {
		client := http.Client{Timeout: patience}
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
	until(t, "the agent has the news", func() bool { return a.List()["generation"].(uint64) > first.Generation })
	before := w.Now()
	next := list(fmt.Sprintf("?index=%d&wait=5000", first.Generation))
	cycles := func(all []instance) (states string) {
		for _, i := range all {
			states += i.Lifecycle + " "
		}
		return states
	}
	if got := cycles(next.Instances); got != "leaving " { // a watch tells what has changed
		t.Errorf("%q", got)
	}
	if got := cycles(list("").Instances); got != "leaving active active " {
		t.Errorf("%q", got)
	}
	a.SetFault(true, false, 0)
	if r, err := (&http.Client{Timeout: 200 * time.Millisecond}).Get("http://" + a.Addr + "/catalog/members"); err == nil {
		t.Errorf("a silent agent answered: %v", r.Status)
	}
	told := 0
	for _, r := range done() {
		if r.Kind == ledger.StateAnnounced {
			if told++; r.At < before || r.C != ledger.StateLeaving || r.B != 1 {
				t.Errorf("%v", r)
			}
		}
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
}
