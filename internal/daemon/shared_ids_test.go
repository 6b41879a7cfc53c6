package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// heldOrigin is an origin that holds writes until it is released, and counts how often it runs each.
type heldOrigin struct {
	release chan struct{}

	mu   sync.Mutex
	runs map[string]int // by request id
}

func (o *heldOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Trace-Id")
	o.mu.Lock()
	o.runs[id]++
	o.mu.Unlock()
	<-o.release
	io.WriteString(w, id)
}

// runsOf returns how often a write was run.
func (o *heldOrigin) runsOf(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[id]
}

// useHeldOrigin adds an origin that holds writes to the list.
func (env *testEnv) useHeldOrigin() *heldOrigin {
	origin := &heldOrigin{release: make(chan struct{}), runs: map[string]int{}}
	l := listen(env.t)
	go http.Serve(l, origin)
	env.list = strings.Replace(env.list, "]}", ","+listEntry("store", "origin", l)+"]}", 1)
	return origin
}

// buy returns the text of an at-most-once write.
func buy(id string) string {
	return commandText("CACHE.SET", "pack", id, "c=buy,t=acme,d=5000", "pack")
}

// replyTo sends a text and returns the first line of the reply, behind "$N" its second.
func replyTo(t *testing.T, c io.Writer, r *bufio.Reader, text string) string {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return readReply(t, r)
}

func readReply(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	line, err := r.ReadString('\n')
	if err == nil && line[0] == '$' {
		line, err = r.ReadString('\n')
	}
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

const takenReply = "-ERR an op with this id was taken before"

// Guards against an at-most-once write that runs twice during an upgrade: a bad client sends the id of an open request to
// the other of the two processes.
func TestACopiedIDIsRefusedByBothProcessesOfAnUpgrade(t *testing.T) {
	env := newTestEnv(t)
	origin := env.useHeldOrigin()
	old := env.startWithConfig(withOrigin)
	atOld, fromOld := env.dial()
	badAtOld, fromBadAtOld := env.dial()
	if first, second := replyTo(t, atOld, fromOld, commandText("PING")), replyTo(t, badAtOld, fromBadAtOld, commandText("PING")); first+second != "+PONG+PONG" {
		t.Fatal(first, second)
	}
	open := func(c io.Writer, id string) {
		t.Helper()
		io.WriteString(c, buy(id))
		old.waitFor(id+" is at the origin", func() bool { return origin.runsOf(id) > 0 })
	}
	open(atOld, "before")
	next := env.startWithConfig(withOrigin)
	atNew, fromNew := env.dial()
	badAtNew, fromBadAtNew := env.dial()
	open(atOld, "at-old")
	open(atNew, "at-new")
	for _, id := range []string{"before", "at-old", "at-new"} {
		if got := replyTo(t, badAtNew, fromBadAtNew, buy(id)); got != takenReply {
			t.Errorf("copy of %s at the new process: %q", id, got)
		}
		if got := replyTo(t, badAtOld, fromBadAtOld, buy(id)); got != takenReply {
			t.Errorf("copy of %s at the old process: %q", id, got)
		}
	}
	close(origin.release)
	for _, want := range []string{"before", "at-old"} {
		if got := readReply(t, fromOld); got != want {
			t.Errorf("%s was answered %q", want, got)
		}
	}
	if got := readReply(t, fromNew); got != "at-new" {
		t.Errorf("at-new was answered %q", got)
	}
	next.waitForMetric(`svc_served{class="buy"}`, 1) // otherwise the clients are not where the test wants them
	// What the old process has run stays taken behind its end, and at the next upgrade.
	old.signals <- syscall.SIGTERM
	<-old.ended
	if got := replyTo(t, badAtNew, fromBadAtNew, buy("at-old")); got != takenReply {
		t.Errorf("copy behind the end of the old process: %q", got)
	}
	third := env.startWithConfig(withOrigin)
	atThird, fromThird := env.dial()
	for _, id := range []string{"at-old", "at-new"} {
		if got := replyTo(t, atThird, fromThird, buy(id)); got != takenReply {
			t.Errorf("copy of %s at the third process: %q", id, got)
		}
	}
	for _, id := range []string{"before", "at-old", "at-new"} {
		if n := origin.runsOf(id); n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if left, _ := filepath.Glob(filepath.Join(env.dir, "*.ids*")); len(left) > 0 {
		t.Errorf("files left behind: %v", left)
	}
	for _, p := range []*process{next, third} {
		p.signals <- syscall.SIGTERM
		<-p.ended
	}
}

// Guards against at-most-once writes that may run twice where the old process can't share its ids: the new one refuses
// them, and nothing else, until it is alone.
func TestWithoutSharedIDsTheNewProcessRefusesAtMostOnceWrites(t *testing.T) {
	for name, obstruct := range map[string]func(t *testing.T, path string){
		"no file can be made": func(t *testing.T, path string) {
			if err := os.MkdirAll(filepath.Join(path+".new", "in the way"), 0o700); err != nil {
				t.Fatal(err)
			}
		},
		"a file of another kind": func(t *testing.T, path string) {
			if err := os.MkdirAll(filepath.Join(path, "in the way"), 0o700); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			origin := env.useHeldOrigin()
			close(origin.release)
			old := env.startWithConfig(withOrigin)
			locks, _ := filepath.Glob(filepath.Join(env.dir, "*.serves"))
			if len(locks) != 1 {
				t.Fatalf("lock files: %v", locks)
			}
			obstruct(t, strings.TrimSuffix(locks[0], ".serves")+".ids")
			next := env.startWithConfig(withOrigin)
			c, r := env.dial()
			if got := replyTo(t, c, r, buy("undecided")); got != "-BUSY" {
				t.Errorf("a write that can't be decided: %q", got)
			}
			if got, err := getKey(c, r, "k", "read"); got != "read" {
				t.Errorf("a read: %q, %v", got, err)
			}
			old.signals <- syscall.SIGTERM
			<-old.ended
			writes := 0
			next.waitFor("writes are taken", func() bool {
				writes++
				id := fmt.Sprint("write", writes)
				return replyTo(t, c, r, buy(id)) == id
			})
			if n := origin.runsOf("undecided"); n != 0 {
				t.Errorf("the undecided write ran %d times", n)
			}
			next.signals <- syscall.SIGTERM
			<-next.ended
		})
	}
}

// Guards against a table that an earlier upgrade left behind: it holds none of the ids that the old process has taken.
func TestATableLeftBehindIsNotUsed(t *testing.T) {
	env := newTestEnv(t)
	origin := env.useHeldOrigin()
	old := env.startWithConfig(withOrigin)
	locks, _ := filepath.Glob(filepath.Join(env.dir, "*.serves"))
	path := strings.TrimSuffix(locks[0], ".serves") + ".ids"
	for n := range 2 {
		if err := os.WriteFile(path, make([]byte, 100), 0o600); err != nil {
			t.Fatal(err)
		}
		atOld, fromOld := env.dial()
		id := fmt.Sprint("open", n)
		io.WriteString(atOld, buy(id))
		old.waitFor(id+" is at the origin", func() bool { return origin.runsOf(id) > 0 })
		next := env.startWithConfig(withOrigin)
		c, r := env.dial()
		if got := replyTo(t, c, r, buy(id)); got != takenReply {
			t.Errorf("copy at the new process: %q", got)
		}
		if n == 0 {
			close(origin.release)
		}
		if got := readReply(t, fromOld); got != id {
			t.Errorf("%s was answered %q", id, got)
		}
		c.Close()
		next.signals <- syscall.SIGTERM // the new version is taken back
		<-next.ended
	}
	old.signals <- syscall.SIGTERM
	<-old.ended
}
