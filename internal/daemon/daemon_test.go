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
	"minttray/policy"
)

const patience = 20 * time.Second // bound of waits that end by an event; no verdict hangs on it

var longest = strings.Repeat("x", 64<<10) // a value

// cache answers each command with its id, a little later; keys that begin with m are missing, and
// those with b have the longest value.
func cache(l net.Listener) {
	answerCommands(l, func(words []string) string {
		time.Sleep(5 * time.Millisecond)
		switch {
		case words[0] == "INFO":
			return "$22\r\npending=0,served_ps=30\r\n"
		case strings.HasPrefix(words[1], "m"):
			return missAnswer
		case strings.HasPrefix(words[1], "b"):
			return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(longest), longest)
		}
		return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$7\r\nqueue=0\r\n", len(words[2]), words[2])
	})
}

// missAnswer is what a cache says that lacks the key.
const missAnswer = "*3\r\n$-1\r\n$-1\r\n$-1\r\n"

// answerCommands accepts connections until the listener is closed, and answers each command that comes over them.
func answerCommands(l net.Listener, answer func(words []string) string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				words, err := received(r)
				if err != nil {
					return
				}
				io.WriteString(c, answer(words))
			}
		}()
	}
}

// received reads one command's words.
func received(r *bufio.Reader) ([]string, error) {
	var n int
	if _, err := fmt.Fscanf(r, "*%d\r\n", &n); err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		r.ReadString('\n')
		words[i], _ = r.ReadString('\n')
		words[i] = strings.TrimSpace(words[i])
	}
	return words, nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

var vacancies atomic.Uint32

// vacant is an address for a process to listen at. Each has an IP of its own: on a common one another test's listener, or a connection,
// may take the port before the process does.
func vacant(t *testing.T) string {
	t.Helper()
	n := vacancies.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, n/250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func get(c net.Conn, r *bufio.Reader, key, id string) (string, error) {
	props := "c=read,t=acme,d=5000"
	if _, err := fmt.Fprintf(c, "*4\r\n$9\r\nCACHE.GET\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
		len(key), key, len(id), id, len(props), props); err != nil {
		return "", err
	}
	head, err := r.ReadString('\n')
	if err != nil || head[0] != '$' {
		return head, err
	}
	body, err := r.ReadString('\n')
	return strings.TrimSpace(body), err
}

func entry(id, kind string, l net.Listener) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":%q,"lifecycle":"active","weight":1}`, id, l.Addr(), kind)
}

func module(s policy.Settings, seed uint64, h policy.Host) Module { return policy.New(s, seed, h) }

// A pool's configuration, carried over to one proxy a client: the new file starts a proxy beside the old one, which
// asks caches for their load before it pushes, and serves.
func TestProxyOfAnotherShape(t *testing.T) {
	one, discovery, addr := listen(t), listen(t), vacant(t)
	go cache(one)
	go http.Serve(discovery, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" && !strings.Contains(r.URL.RawQuery, "index=0") {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, `{"generation":1,"reset":true,"instances":[`+entry("one", "box", one)+"]}")
	}))
	old := fmt.Sprintf(`{"name":"pool","listen":"127.0.0.1:1","discovery":%q,"seed":"7","limits":{"cores":2,"memory_mb":512,"sockets":256},
		"settings":{"balancers":3,"categories":[{"name":"read","benefit":2,"effect":"read_like","target-latency-us":4000000,
		"ttl-us":5000000}],"contract":{"tip-after-us":3000000,"fall-multiple":3,"cold-from":0.5},"family-info":{"mode":"aside","origin-kind":1},
		"limits":{"most-pushes":3},"load-report":{"fields":["svc_ms"],"how":"inline"},"skus":["box","origin"],
		"tenants":[{"name":"acme","quota-rps":100000}],"tick-us":5000}}`, discovery.Addr())
	shape, err := move.Read("shape", []byte(fmt.Sprintf("name = \"own\"\nlisten = %q\nseed = \"9\"\nproxies = 176\nindex = 3\n"+
		"[settings]\nlimits = { probing = true }\nload-report = { fields = [\"pending\", \"served_ps\"], how = \"on_probe\" }\n", addr)))
	if err != nil {
		t.Fatal(err)
	}
	text, _, err := move.Plan("old", []byte(old), "shape", shape)
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
		ended <- run(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] }, signals, &log, module)
	}()
	body := ""
	for late, n := time.Now().Add(patience), 0; body != fmt.Sprint("id", n) && time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
		n++ // until it listens and has its list
		if c, err := net.Dial("tcp", addr); err == nil {
			c.SetDeadline(time.Now().Add(patience))
			body, _ = get(c, bufio.NewReader(c), "hit", fmt.Sprint("id", n))
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

// The whole program: hits and misses are served, the counters are printed on request, and the word to stop under
// load loses nothing.
func TestProxy(t *testing.T) {
	one, two, origin, discovery, addr := listen(t), listen(t), listen(t), listen(t), vacant(t)
	go cache(one)
	go cache(two)
	var fetched atomic.Int32
	go http.Serve(origin, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fetched.Add(1)
		if body, _ := io.ReadAll(r.Body); r.Method == http.MethodPut {
			fmt.Fprint(w, len(body))
			return
		}
		io.WriteString(w, r.Header.Get("X-Trace-Id"))
	}))
	list := `{"generation":1,"reset":true,"instances":[` + entry("one", "box", one) + "," + entry("two", "box", two) + "," +
		entry("o", "origin", origin) + "]}"
	go http.Serve(discovery, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list)
	}))
	second, moved := listen(t), make(chan bool, 9)
	go http.Serve(second, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, list)
		moved <- true
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
		ended <- run(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] }, signals, &log, module)
	}()
	var c net.Conn
	var err error
	for late := time.Now().Add(patience); time.Now().Before(late); time.Sleep(5 * time.Millisecond) {
		if c, err = net.Dial("tcp", addr); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	r := bufio.NewReader(c)
	for key, fetches := range map[string]int32{"hit": 0, "missing": 1} {
		before := fetched.Load()
		if body, err := get(c, r, key, "id-"+key); body != "id-"+key || err != nil || fetched.Load()-before != fetches {
			t.Errorf("%s: %q, %v, %d fetches", key, body, err, fetched.Load()-before)
		}
	}
	if body, err := get(c, r, "big", "id-big"); body != longest || err != nil {
		t.Errorf("the longest value came back as %d bytes, %v", len(body), err)
	}
	fmt.Fprintf(c, "*5\r\n$9\r\nCACHE.SET\r\n$3\r\nbig\r\n$2\r\nid\r\n$16\r\nc=read,d=5000,x=\r\n$%d\r\n%s\r\n", len(longest), longest)
	if head, err := r.ReadString('\n'); head != "$5\r\n" || err != nil {
		t.Errorf("the longest value was answered %q, %v", head, err)
	}
	if body, _ := r.ReadString('\n'); body != "65536\r\n" {
		t.Errorf("the origin had %q bytes", body)
	}
	signals <- syscall.SIGUSR1
	// A reload changes nothing for clients; a file that is no configuration leaves the old one in force.
	for _, change := range []string{strings.Replace(text, discovery.Addr().String(), second.Addr().String(), 1), "{"} {
		if err := os.WriteFile(path, []byte(change), 0o600); err != nil {
			t.Fatal(err)
		}
		signals <- syscall.SIGHUP
		if change != "{" {
			select {
			case <-moved:
			case <-time.After(patience):
				t.Fatal("the new discovery was not asked")
			}
		}
	}

	var all sync.WaitGroup
	var served atomic.Int32
	for n := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			r := bufio.NewReader(c)
			for i := 0; ; i++ {
				id := fmt.Sprint(n, "-", i)
				body, err := get(c, r, "k"+id, id)
				if err != nil && body == "" && i > 0 {
					return // closed between ops
				}
				if body != id && !strings.HasPrefix(body, "-BUSY") {
					t.Errorf("op %s: %q, %v", id, body, err)
					return
				}
				if served.Add(1); served.Load() == 100 {
					signals <- syscall.SIGTERM
				}
			}
		}()
	}
	all.Wait()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatal("did not end")
	}
	if served.Load() < 100 || strings.Count(log.String(), `"message":"counters"`) != 2 ||
		!strings.Contains(log.String(), `"message":"stopped"`) ||
		!strings.Contains(log.String(), "the old one stands") || !strings.Contains(log.String(), `"overdue":0`) {
		t.Errorf("%d served; log:\n%s", served.Load(), log.String())
	}
}
