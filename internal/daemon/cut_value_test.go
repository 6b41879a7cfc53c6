package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// cutSize is the length of the values that serveCuttingCache announces, and cutAt how much it gives of those that it cuts.
const (
	cutSize = 200_000
	cutAt   = 120_000
)

// serveCuttingCache answers keys that begin with k as serveCache does. Others have long values, of which it cuts those
// for which cut returns true.
func serveCuttingCache(l net.Listener, cut func(key string) bool) {
	serveCommands(l, func(c net.Conn, words []string) bool {
		switch key := words[1]; {
		case strings.HasPrefix(key, "k"):
			fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(words[2]), words[2])
		case cut(key):
			fmt.Fprintf(c, "*3\r\n$%d\r\n%s", cutSize, strings.Repeat("v", cutAt))
			c.(*net.TCPConn).SetLinger(0)
			return false
		default:
			fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", cutSize, strings.Repeat("v", cutSize))
		}
		return true
	})
}

// useCuttingCaches replaces the caches by ones that cut long values, and adds an origin that counts the writes it runs.
func (env *testEnv) useCuttingCaches(cut func(key string) bool) (writes *atomic.Int64) {
	var entries []string
	for i := range 2 {
		l := listen(env.t)
		go serveCuttingCache(l, cut)
		entries = append(entries, listEntry(fmt.Sprint("c", i), "box", l))
	}
	writes = new(atomic.Int64)
	origin := listen(env.t)
	go http.Serve(origin, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		writes.Add(1)
		io.WriteString(w, r.Header.Get("X-Trace-Id"))
	}))
	entries = append(entries, listEntry("store", "origin", origin))
	env.list = `{"generation":1,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}"
	return writes
}

// withOrigin changes a configuration to one with an origin, behind caches that are asked first, and a category of
// at-most-once writes.
func withOrigin(text string) string {
	for old, replacement := range map[string]string{
		`"skus":["box"]`:   `"skus":["box","origin"],"family":"cache","family-info":{"mode":"aside","origin-kind":1}`,
		`"categories":[{"`: `"categories":[{"name":"buy","benefit":2,"effect":"non_idempotent","target-latency-us":4000000,"ttl-us":5000000},{"`,
	} {
		text = strings.Replace(text, old, replacement, 1)
	}
	return text
}

// commandText returns the text of a command.
func commandText(words ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	return text
}

// Guards against requests that run and are never answered: they stand behind a long value on their connection, and its
// server cuts it.
func TestRequestsBehindACutValueAreAnswered(t *testing.T) {
	var cuts atomic.Int64
	env := newTestEnv(t)
	writes := env.useCuttingCaches(func(key string) bool {
		return key == "always-cut" || key == "cut-once" && cuts.Add(1) == 1
	})
	p := env.startWithConfig(withOrigin)
	for key, want := range map[string]string{"whole": "$200000", "cut-once": "$200000", "always-cut": "-"} {
		t.Run(key, func(t *testing.T) {
			c, r := env.dial()
			before := writes.Load()
			id := func(n int) string { return fmt.Sprint(key, "-", n) }
			io.WriteString(c, commandText("CACHE.GET", key, id(0), "c=read,t=acme,d=1500")+
				commandText("CACHE.SET", "pack", id(1), "c=buy,t=acme,d=1500", "pack")+
				commandText("CACHE.GET", "k", id(2), "c=read,t=acme,d=1500"))
			head, err := r.ReadString('\n')
			if !strings.HasPrefix(head, want) {
				t.Errorf("the long value was answered %q, %v", head, err)
			}
			if want != "-" {
				if n, err := io.CopyN(io.Discard, r, cutSize+2); err != nil {
					t.Fatalf("the value ends after %d bytes: %v", n, err)
				}
			}
			for n := 1; n <= 2; n++ {
				r.ReadString('\n')
				if got, err := r.ReadString('\n'); strings.TrimSpace(got) != id(n) {
					t.Errorf("request %d was answered %q, %v", n, got, err)
				}
			}
			if n := writes.Load() - before; n != 1 {
				t.Errorf("the write ran %d times", n)
			}
		})
	}
	p.waitForMetric(`svc_served{class="buy"}`, 3)
}
