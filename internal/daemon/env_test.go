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
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"minttray/policy"
)

// testTimeout limits waits that end by an event. No test measures time with it.
const testTimeout = 20 * time.Second

// maxValue is a value of the maximum length.
var maxValue = strings.Repeat("x", 64<<10)

// missReply is a cache's reply for a key that it does not have.
const missReply = "*3\r\n$-1\r\n$-1\r\n$-1\r\n"

// serveCache answers each command with its request ID after 5 ms. Keys that begin with m are misses, and those that
// begin with b have maxValue.
func serveCache(l net.Listener) {
	answerCommands(l, func(words []string) string {
		time.Sleep(5 * time.Millisecond)
		switch {
		case words[0] == "INFO":
			return "$22\r\npending=0,served_ps=30\r\n"
		case strings.HasPrefix(words[1], "m"):
			return missReply
		case strings.HasPrefix(words[1], "b"):
			return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(maxValue), maxValue)
		}
		return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$7\r\nqueue=0\r\n", len(words[2]), words[2])
	})
}

// answerCommands accepts connections until the listener is closed, and answers each command that they send.
func answerCommands(l net.Listener, answer func(words []string) string) {
	serveCommands(l, func(c net.Conn, words []string) bool {
		io.WriteString(c, answer(words))
		return true
	})
}

// serveCommands accepts connections until the listener is closed, and calls serve for each command that they send, until
// it returns false.
func serveCommands(l net.Listener, serve func(c net.Conn, words []string) (readOn bool)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				words, err := readCommand(r)
				if err != nil || !serve(c, words) {
					return
				}
			}
		}()
	}
}

// readCommand reads one command and returns its words.
func readCommand(r *bufio.Reader) ([]string, error) {
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

// listen opens a listener that the end of the test closes.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// addrCount is the number of addresses that unusedAddr has returned.
var addrCount atomic.Uint32

// unusedAddr returns an address for a process to listen at. Each has an IP of its own: with a common one, another test's
// listener or connection could take the port before the process does.
func unusedAddr(t *testing.T) string {
	t.Helper()
	n := addrCount.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, n/250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// getKey sends a GET with a deadline of 5 s. It returns the value, or the first line of another reply.
func getKey(c net.Conn, r *bufio.Reader, key, id string) (string, error) {
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

// getCommand returns the text of a GET of the key k with a deadline.
func getCommand(id string, deadlineMS int) string {
	props := fmt.Sprintf("c=read,t=acme,d=%d", deadlineMS)
	return fmt.Sprintf("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(props), props)
}

// listEntry returns the entry of one server in discovery's list.
func listEntry(id, kind string, l net.Listener) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":%q,"lifecycle":"active","weight":1}`, id, l.Addr(), kind)
}

func newPolicyModule(s policy.Settings, seed uint64, h policy.Host) Module {
	return policy.New(s, seed, h)
}

// testEnv is the environment of a proxy: two caches that count their commands, and a discovery agent.
type testEnv struct {
	t             *testing.T
	dir           string // for the state of processes
	addr          string // of the proxy
	list          string // that the agent returns
	agent         net.Listener
	commandCounts [2]atomic.Int64 // of each cache
	operatorsPath string          // of the operators' file; empty: none
	newModule     ModuleFactory
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, dir: t.TempDir(), addr: unusedAddr(t), agent: listen(t), newModule: newPolicyModule}
	var entries []string
	for i := range env.commandCounts {
		l := listen(t)
		go serveCache(&countingListener{l, &env.commandCounts[i]})
		entries = append(entries, listEntry(fmt.Sprint("c", i), "box", l))
	}
	env.list = `{"generation":1,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}"
	go http.Serve(env.agent, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, env.list)
	}))
	return env
}

// countingListener counts the cache commands that its connections receive.
type countingListener struct {
	net.Listener
	commands *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l.commands}, err
}

// countingConn counts the cache commands that it receives.
type countingConn struct {
	net.Conn
	commands *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.commands.Add(int64(bytes.Count(b[:n], []byte("CACHE."))))
	return n, err
}

// writeOperators writes the operators' file for processes that start from now on.
func (env *testEnv) writeOperators(format string, args ...any) {
	env.operatorsPath = filepath.Join(env.t.TempDir(), "minttray.toml")
	if err := os.WriteFile(env.operatorsPath, []byte(fmt.Sprintf(format, args...)), 0o600); err != nil {
		env.t.Fatal(err)
	}
}

// useSilentCaches replaces the caches by ones that read what they are sent and answer nothing.
func (env *testEnv) useSilentCaches() {
	var entries []string
	for i := range env.commandCounts {
		l := listen(env.t)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go io.Copy(io.Discard, &countingConn{c, &env.commandCounts[i]})
			}
		}()
		entries = append(entries, listEntry(fmt.Sprint("c", i), "box", l))
	}
	env.list = `{"generation":1,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}"
}

// process is one running proxy. It runs in a goroutine of the test.
type process struct {
	env     *testEnv
	control string // address of the control port
	path    string // of the configuration
	signals chan os.Signal
	ended   chan error    // receives the result of run
	stopped chan struct{} // closed behind that
	log     *bytes.Buffer // nil if the log goes elsewhere
}

// start starts a proxy and waits until it is ready.
func (env *testEnv) start() *process { return env.startWithLog(new(bytes.Buffer)) }

// startWithLog is start with a destination for the log.
func (env *testEnv) startWithLog(log io.Writer) *process {
	return env.startProcess(log, func(text string) string { return text })
}

// startWithConfig is start with a change to the configuration.
func (env *testEnv) startWithConfig(change func(text string) string) *process {
	return env.startProcess(new(bytes.Buffer), change)
}

func (env *testEnv) startProcess(log io.Writer, change func(text string) string) *process {
	p := &process{
		env:     env,
		control: unusedAddr(env.t),
		path:    filepath.Join(env.t.TempDir(), "config.json"),
		signals: make(chan os.Signal, 4),
		ended:   make(chan error, 1),
		stopped: make(chan struct{}),
	}
	p.log, _ = log.(*bytes.Buffer)
	p.writeConfig(change(env.config(p, "read")))
	go func() {
		defer close(p.stopped)
		p.ended <- run(func(name string) string {
			return map[string]string{"BALANCER_CONFIG": p.path, "BALANCER_CONTROL": p.control, "TMPDIR": env.dir, "MINTTRAY_OPERATORS": env.operatorsPath}[name]
		}, p.signals, log, env.newModule)
	}()
	env.t.Cleanup(p.stop)
	for giveUpAt := time.Now().Add(testTimeout); ; time.Sleep(2 * time.Millisecond) {
		if status, _ := p.call("GET", "/_ready", ""); status == 200 {
			return p
		}
		if time.Now().After(giveUpAt) {
			env.t.Fatalf("not ready: %s", p.log)
		}
	}
}

// stop ends a process that the test has left running: it would go on to call discovery at a port that another test's listener gets.
func (p *process) stop() {
	select {
	case <-p.stopped:
		return
	case p.signals <- syscall.SIGTERM:
	default: // stop signals wait to be read
	}
	select {
	case <-p.stopped:
	case <-time.After(testTimeout):
		p.env.t.Errorf("the process has not ended within %v of its stop", testTimeout)
	}
}

// writeConfigWithClass writes the configuration with another name for its only category.
func (p *process) writeConfigWithClass(class string) { p.writeConfig(p.env.config(p, class)) }

// config returns the text of a configuration with one category.
func (env *testEnv) config(p *process, class string) string {
	return fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"7","limits":{"cores":2,"memory_mb":512,"sockets":256},
		"known":%s,"settings":{"balancers":1,"categories":[{"name":%q,"benefit":2,"effect":"read_like",
		"target-latency-us":4000000,"ttl-us":5000000}],"contract":{"tip-after-us":3000000,"fall-multiple":3,"cold-from":0.5},
		"limits":{"most-pushes":3,"cancelling":true},"skus":["box"],"tenants":[{"name":"acme","quota-rps":100000}],
		"tick-us":5000}}`, p.env.addr, p.env.agent.Addr(), p.env.list, class)
}

func (p *process) writeConfig(text string) {
	if err := os.WriteFile(p.path, []byte(text), 0o600); err != nil {
		p.env.t.Fatal(err)
	}
}

// call sends a request to the control port and returns the status and the body, or 0 and the error.
func (p *process) call(method, path, body string) (int, string) {
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, "http://"+p.control+path, strings.NewReader(body))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// metric returns the value of a metric, read from the control port.
func (p *process) metric(name string) int {
	_, text := p.call("GET", "/_vars", "")
	match := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\d+)$`).FindStringSubmatch(text)
	if match == nil {
		p.env.t.Fatalf("no %s in\n%s", name, text)
	}
	value, _ := strconv.Atoi(match[1])
	return value
}

// waitForMetric waits until a metric has a value. A request is counted just after its answer has been written, so that its client may have
// the answer before.
func (p *process) waitForMetric(name string, want int) {
	p.env.t.Helper()
	p.waitFor(fmt.Sprintf("%s is %d", name, want), func() bool { return p.metric(name) == want })
}

// waitFor waits until a condition holds. The test fails if it does not within testTimeout.
func (p *process) waitFor(what string, holds func() bool) {
	p.env.t.Helper()
	for giveUpAt := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(giveUpAt) {
			p.env.t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

// dial connects to the proxy.
func (env *testEnv) dial() (net.Conn, *bufio.Reader) {
	env.t.Helper()
	c, err := net.Dial("tcp", env.addr)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

// sendRequests sends n requests, numbered from first, each on a connection of its own. The test fails unless each is
// served.
func (env *testEnv) sendRequests(first, n int) {
	env.t.Helper()
	for i := range n {
		c, r := env.dial()
		id := fmt.Sprint("ask", first+i)
		if body, err := getKey(c, r, "k"+id, id); body != id {
			env.t.Fatalf("%s: %q, %v", id, body, err)
		}
		c.Close()
	}
}
