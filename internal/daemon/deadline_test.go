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

// attemptRecord is an attempt as its server received it.
type attemptRecord struct {
	server     string // "cache" or "origin"
	requestID  string
	deadline   time.Duration // remaining time that the proxy passed; 0: none
	receivedAt time.Time
}

// parseDeadline returns the deadline in a list of properties, 0 for none.
func parseDeadline(properties string) time.Duration {
	for _, property := range strings.Split(properties, ",") {
		if name, value, _ := strings.Cut(property, "="); name == "d" {
			ms, _ := strconv.ParseFloat(value, 64)
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}

// With thousands of caches listed the proxy is busy with its list, and could compute the deadlines that it passes on too
// late, so that servers get more time than is left. Each attempt at the origin follows a late miss. A whole list of
// 3,200 caches arrives again and again, the settings are reloaded, and the deadline of each attempt is checked, at
// caches and at the origin.
func TestPassedDeadlinesWithALargeList(t *testing.T) {
	const (
		listedCaches    = 3200
		cacheServers    = 8 // that all listed caches share
		clientCount     = 16
		requestsEach    = 12 // of each client
		allRequests     = clientCount * requestsEach
		missDelay       = 300 * time.Millisecond
		tolerance       = 150 * time.Millisecond
		requestDeadline = 5 * time.Second // as getKey sends it
	)
	attempts := make(chan attemptRecord, 8*allRequests)
	lateMiss := func(words []string) string {
		attempts <- attemptRecord{"cache", words[2], parseDeadline(words[3]), time.Now()}
		time.Sleep(missDelay)
		return missReply
	}
	origin, agent, addr := listen(t), listen(t), unusedAddr(t)
	go http.Serve(origin, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Trace-Id")
		attempts <- attemptRecord{"origin", id, parseDeadline(r.Header.Get("X-Props")), time.Now()}
		io.WriteString(w, id)
	}))
	entries := []string{listEntry("o", "origin", origin)}
	var servers []net.Listener
	for range cacheServers {
		l := listen(t)
		go answerCommands(l, lateMiss)
		servers = append(servers, l)
	}
	for i := range listedCaches {
		entries = append(entries, listEntry(fmt.Sprint("c", i), "box", servers[i%cacheServers]))
	}
	list := func(generation int) string {
		return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
	}
	nextGeneration := make(chan int, 1)
	nextGeneration <- 1
	go http.Serve(agent, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		generation := <-nextGeneration
		nextGeneration <- generation + 1
		if r.URL.RawQuery != "" {
			time.Sleep(20 * time.Millisecond)
		}
		io.WriteString(w, list(generation))
	}))
	env := &testEnv{t: t, dir: t.TempDir(), addr: addr, agent: agent, list: list(0), newModule: newPolicyModule}
	change := func(text string) string {
		return strings.Replace(strings.Replace(text, `"skus":["box"]`, `"family-info":{"mode":"aside","origin-kind":1},"skus":["box","origin"]`, 1),
			`"sockets":256`, `"sockets":1024`, 1)
	}
	p := env.startWithConfig(change)

	var mu sync.Mutex
	sentAt := map[string]time.Time{} // by request ID
	served := 0
	var clients sync.WaitGroup
	for n := range clientCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, r := env.dial()
			for i := range requestsEach {
				id := fmt.Sprint("id", n, "-", i)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				body, err := getKey(c, r, "key"+id, id)
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
	p.waitFor("some attempts received", func() bool { return len(attempts) > clientCount })
	p.writeConfig(strings.Replace(change(env.config(p, "read")), "5000000", "4500000", 1))
	p.signals <- syscall.SIGHUP
	clients.Wait()
	p.signals <- syscall.SIGTERM
	if err := <-p.ended; err != nil {
		t.Error(err)
	}
	checked := map[string]int{} // by server
	for len(attempts) > 0 {
		attempt := <-attempts
		checked[attempt.server]++
		remaining := requestDeadline - attempt.receivedAt.Sub(sentAt[attempt.requestID])
		if attempt.deadline > remaining+tolerance {
			t.Errorf("attempt of %s at %s got a deadline of %v, but %v remained", attempt.requestID, attempt.server, attempt.deadline, remaining)
		}
		if attempt.deadline < requestDeadline/4 {
			t.Errorf("attempt of %s at %s got a deadline of only %v, but %v remained", attempt.requestID, attempt.server, attempt.deadline, remaining)
		}
	}
	if generation := <-nextGeneration; checked["cache"] < allRequests/2 || checked["origin"] < allRequests/2 || served < allRequests/2 || generation < 10 {
		t.Errorf("%d lists; attempts checked: %v; %d of %d requests served: too few to show anything", generation, checked, served, allRequests)
	}
}
