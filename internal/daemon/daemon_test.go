package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"minttray/internal/move"
)

// A configuration that mintmove converts for a deployment of one proxy per client must start a proxy that works. It
// starts beside the old one, probes the caches before it pushes to them, and serves.
func TestProxyOfAnotherShape(t *testing.T) {
	cache, discovery, addr := listen(t), listen(t), unusedAddr(t)
	go serveCache(cache)
	go http.Serve(discovery, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" && !strings.Contains(r.URL.RawQuery, "index=0") {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, `{"generation":1,"reset":true,"instances":[`+listEntry("one", "box", cache)+"]}")
	}))
	oldText := fmt.Sprintf(`{"name":"pool","listen":"127.0.0.1:1","discovery":%q,"seed":"7","limits":{"cores":2,"memory_mb":512,"sockets":256},
		"settings":{"balancers":3,"categories":[{"name":"read","benefit":2,"effect":"read_like","target-latency-us":4000000,
		"ttl-us":5000000}],"contract":{"tip-after-us":3000000,"fall-multiple":3,"cold-from":0.5},"family-info":{"mode":"aside","origin-kind":1},
		"limits":{"most-pushes":3},"load-report":{"fields":["svc_ms"],"how":"inline"},"skus":["box","origin"],
		"tenants":[{"name":"acme","quota-rps":100000}],"tick-us":5000}}`, discovery.Addr())
	shape, err := move.ParseShape("shape", []byte(fmt.Sprintf("name = \"own\"\nlisten = %q\nseed = \"9\"\nproxies = 176\nindex = 3\n"+
		"[settings]\nlimits = { probing = true }\nload-report = { fields = [\"pending\", \"served_ps\"], how = \"on_probe\" }\n", addr)))
	if err != nil {
		t.Fatal(err)
	}
	text, _, err := move.Convert("old", []byte(oldText), "shape", shape)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	var log bytes.Buffer
	go func() {
		ended <- run(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] }, signals, &log, newPolicyModule)
	}()
	body := ""
	for giveUpAt, n := time.Now().Add(testTimeout), 0; body != fmt.Sprint("id", n) && time.Now().Before(giveUpAt); time.Sleep(5 * time.Millisecond) {
		n++ // until the proxy listens and has its list
		if c, err := net.Dial("tcp", addr); err == nil {
			c.SetDeadline(time.Now().Add(testTimeout))
			body, _ = getKey(c, bufio.NewReader(c), "hit", fmt.Sprint("id", n))
			c.Close()
			if body == fmt.Sprint("id", n) {
				break
			}
		}
	}
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil || !strings.HasPrefix(body, "id") || !strings.Contains(log.String(), `"acked":1,`) ||
		!strings.Contains(log.String(), `"probes":1,"probes_untold":0`) {
		t.Errorf("%q, %v; log:\n%s", body, err, log.String())
	}
}

// The whole proxy: hits, misses and values of the maximum length are served, the counters are logged on request, a
// reload changes nothing for clients, and a shutdown under load loses no request.
func TestProxy(t *testing.T) {
	cacheOne, cacheTwo, origin, discovery, addr := listen(t), listen(t), listen(t), listen(t), unusedAddr(t)
	go serveCache(cacheOne)
	go serveCache(cacheTwo)
	var fetched atomic.Int32
	go http.Serve(origin, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fetched.Add(1)
		if body, _ := io.ReadAll(r.Body); r.Method == http.MethodPut {
			fmt.Fprint(w, len(body))
			return
		}
		io.WriteString(w, r.Header.Get("X-Trace-Id"))
	}))
	list := `{"generation":1,"reset":true,"instances":[` + listEntry("one", "box", cacheOne) + "," + listEntry("two", "box", cacheTwo) + "," +
		listEntry("o", "origin", origin) + "]}"
	go http.Serve(discovery, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list)
	}))
	newDiscovery, newDiscoveryAsked := listen(t), make(chan bool, 9)
	go http.Serve(newDiscovery, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list)
		newDiscoveryAsked <- true
	}))
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"7","limits":{"cores":2,"memory_mb":512,"sockets":256},
		"known":%s,"settings":{"balancers":1,"categories":[{"name":"read","benefit":2,"effect":"read_like",
		"target-latency-us":4000000,"ttl-us":5000000}],"contract":{"tip-after-us":3000000,"fall-multiple":3,"cold-from":0.5},
		"family-info":{"mode":"aside","origin-kind":1},"limits":{"most-pushes":3,"cancelling":true,"retry-after":true,
		"max-retry-after-us":1000000},"skus":["box","origin"],"tenants":[{"name":"acme","quota-rps":100000}],"tick-us":5000}}`,
		addr, discovery.Addr(), list)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 2), make(chan error, 1)
	var log bytes.Buffer
	go func() {
		ended <- run(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] }, signals, &log, newPolicyModule)
	}()
	var c net.Conn
	var err error
	for giveUpAt := time.Now().Add(testTimeout); time.Now().Before(giveUpAt); time.Sleep(5 * time.Millisecond) {
		if c, err = net.Dial("tcp", addr); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(c)
	for key, fetches := range map[string]int32{"hit": 0, "missing": 1} {
		before := fetched.Load()
		if body, err := getKey(c, r, key, "id-"+key); body != "id-"+key || err != nil || fetched.Load()-before != fetches {
			t.Errorf("%s: %q, %v, %d fetches", key, body, err, fetched.Load()-before)
		}
	}
	if body, err := getKey(c, r, "big", "id-big"); body != maxValue || err != nil {
		t.Errorf("GET of the longest value returned %d bytes, %v", len(body), err)
	}
	fmt.Fprintf(c, "*5\r\n$9\r\nCACHE.SET\r\n$3\r\nbig\r\n$2\r\nid\r\n$16\r\nc=read,d=5000,x=\r\n$%d\r\n%s\r\n", len(maxValue), maxValue)
	if head, err := r.ReadString('\n'); head != "$5\r\n" || err != nil {
		t.Errorf("SET of the longest value returned %q, %v", head, err)
	}
	if body, _ := r.ReadString('\n'); body != "65536\r\n" {
		t.Errorf("the origin received %q bytes", body)
	}
	signals <- syscall.SIGUSR1
	// A reload changes nothing for clients. A file that is no configuration leaves the old one in force.
	for _, change := range []string{strings.Replace(text, discovery.Addr().String(), newDiscovery.Addr().String(), 1), "{"} {
		if err := os.WriteFile(path, []byte(change), 0o600); err != nil {
			t.Fatal(err)
		}
		signals <- syscall.SIGHUP
		if change != "{" {
			select {
			case <-newDiscoveryAsked:
			case <-time.After(testTimeout):
				t.Fatal("the new discovery address was not used")
			}
		}
	}

	var clients sync.WaitGroup
	var served atomic.Int32
	for n := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			r := bufio.NewReader(c)
			for i := 0; ; i++ {
				id := fmt.Sprint(n, "-", i)
				body, err := getKey(c, r, "k"+id, id)
				if err != nil && body == "" && i > 0 {
					return // closed between requests
				}
				if body != id && !strings.HasPrefix(body, "-BUSY") {
					t.Errorf("request %s: %q, %v", id, body, err)
					return
				}
				if served.Add(1); served.Load() == 100 {
					signals <- syscall.SIGTERM
				}
			}
		}()
	}
	clients.Wait()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the proxy did not end")
	}
	if served.Load() < 100 || strings.Count(log.String(), `"message":"counters"`) != 2 ||
		!strings.Contains(log.String(), `"message":"stopped"`) ||
		!strings.Contains(log.String(), "the old configuration stays in force") || !strings.Contains(log.String(), `"overdue":0`) {
		t.Errorf("%d served; log:\n%s", served.Load(), log.String())
	}
}
