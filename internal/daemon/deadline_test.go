package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// passedDeadline is what one attempt passed to its server.
type passedDeadline struct {
	server, id string
	told       time.Duration
	came       time.Time
}

// deadlineOf is the deadline in a list of names and values, 0 for none.
func deadlineOf(list string) time.Duration {
	for _, pair := range strings.Split(list, ",") {
		if name, value, _ := strings.Cut(pair, "="); name == "d" {
			ms, _ := strconv.ParseFloat(value, 64)
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}

// Danger: with thousands of caches listed the proxy is busy with its list, and what it passes on is computed late; and every attempt at the
// origin follows one at a cache that took its time. A whole list of 3,200 comes again and again, settings are read anew, and each attempt of each
// request is judged, at caches and origin.
func TestPassedDeadlinesWithALargeList(t *testing.T) {
	const (
		listed    = 3200
		machines  = 8 // that all of them share
		clients   = 16
		requests  = 12 // of each client
		missAfter = 300 * time.Millisecond
		tolerance = 150 * time.Millisecond
		wait      = 5 * time.Second // as get asks
	)
	attempts := make(chan passedDeadline, 8*clients*requests)
	lateMiss := func(words []string) string {
		attempts <- passedDeadline{"cache", words[2], deadlineOf(words[3]), time.Now()}
		time.Sleep(missAfter)
		return missAnswer
	}
	origin, agent, addr := listen(t), listen(t), vacant(t)
	go http.Serve(origin, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Trace-Id")
		attempts <- passedDeadline{"origin", id, deadlineOf(r.Header.Get("X-Props")), time.Now()}
		io.WriteString(w, id)
	}))
	entries := []string{entry("o", "origin", origin)}
	var shared []net.Listener
	for range machines {
		l := listen(t)
		go answerCommands(l, lateMiss)
		shared = append(shared, l)
	}
	for i := range listed {
		entries = append(entries, entry(fmt.Sprint("c", i), "box", shared[i%machines]))
	}
	list := func(generation int) string {
		return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
	}
	lists := make(chan int, 1)
	lists <- 1
	go http.Serve(agent, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		generation := <-lists
		lists <- generation + 1
		if r.URL.RawQuery != "" {
			time.Sleep(20 * time.Millisecond)
		}
		io.WriteString(w, list(generation))
	}))
	s := &stood{t: t, dir: t.TempDir(), addr: addr, agent: agent, list: list(0), make: module}
	change := func(text string) string {
		return strings.Replace(strings.Replace(text, `"skus":["box"]`, `"family-info":{"mode":"aside","origin-kind":1},"skus":["box","origin"]`, 1),
			`"sockets":256`, `"sockets":1024`, 1)
	}
	p := s.startWith(change)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	served := 0
	var all sync.WaitGroup
	for n := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			c, r := s.dial()
			for i := range requests {
				id := fmt.Sprint("id", n, "-", i)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				body, err := get(c, r, "key"+id, id)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				if body == id {
					served++
				}
				mu.Unlock()
			}
		}()
	}
	p.until("some requests are out", func() bool { return len(attempts) > clients })
	p.write(strings.Replace(change(s.config(p, "read")), "5000000", "4500000", 1))
	p.signals <- syscall.SIGHUP
	all.Wait()
	p.signals <- syscall.SIGTERM
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
	judged := map[string]int{}
	for len(attempts) > 0 {
		a := <-attempts
		judged[a.server]++
		left := wait - a.came.Sub(sent[a.id])
		if a.told > left+tolerance {
			t.Errorf("%s of %s was told %v, %v were left", a.server, a.id, a.told, left)
		}
		if a.told < wait/4 {
			t.Errorf("%s of %s was told %v only, %v were left", a.server, a.id, a.told, left)
		}
	}
	if generation := <-lists; judged["cache"] < clients*requests/2 || judged["origin"] < clients*requests/2 || served < clients*requests/2 || generation < 10 {
		t.Errorf("%d lists; judged %v; %d served of %d: too few to show anything", generation, judged, served, clients*requests)
	}
}
