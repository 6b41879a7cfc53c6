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

// heldValues are two long values whose servers let the test order what they do: the earlier one does not begin before it is released, and
// the later one stops at cutAt until it is cut.
type heldValues struct {
	release, cut chan bool
}

// serve writes one of the values. The length line and what comes behind the value are those of the server's protocol.
func (v *heldValues) serve(w io.Writer, earlier bool, head, tail string) {
	if earlier {
		<-v.release
		io.WriteString(w, head+strings.Repeat("v", cutSize)+tail)
		return
	}
	io.WriteString(w, head+strings.Repeat("v", cutAt))
	<-v.cut
}

// serveCache serves the values as a cache does. Keys that begin with m are misses.
func (v *heldValues) serveCache(l net.Listener) {
	serveCommands(l, func(c net.Conn, words []string) bool {
		if words[0] != "CACHE.GET" || strings.HasPrefix(words[1], "m") {
			io.WriteString(c, missReply)
			return true
		}
		isEarlier := strings.HasSuffix(words[1], "earlier")
		v.serve(c, isEarlier, fmt.Sprintf("*3\r\n$%d\r\n", cutSize), "\r\n$-1\r\n$-1\r\n")
		if !isEarlier {
			c.(*net.TCPConn).SetLinger(0)
		}
		return isEarlier
	})
}

// serveOrigin serves the values as the origin does, and counts the writes that it runs.
func (v *heldValues) serveOrigin(l net.Listener, writes *atomic.Int64) {
	http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPut {
			writes.Add(1)
			io.WriteString(w, r.Header.Get("X-Trace-Id"))
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		v.serve(c, strings.HasSuffix(r.URL.Path, "earlier"), fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", cutSize), "")
	}))
}

// Guards against a write that runs and is never answered: it was read behind a long value that its server cuts, since an earlier long
// value had ended the pause of the reader (review case 8). Values of caches and of the origin come by two paths.
func TestNoWriteRunsBehindAValueThatIsPassedOnBesideAnEarlierOne(t *testing.T) {
	const rounds = 10
	for name, prefix := range map[string]string{"caches": "k", "origin": "m"} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			values := &heldValues{release: make(chan bool), cut: make(chan bool)}
			var writes atomic.Int64
			var entries []string
			for i := range 2 {
				l := listen(t)
				go values.serveCache(l)
				entries = append(entries, listEntry(fmt.Sprint("c", i), "box", l))
			}
			origin := listen(t)
			go values.serveOrigin(origin, &writes)
			entries = append(entries, listEntry("store", "origin", origin))
			env.list = `{"generation":1,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}"
			p := env.startWithConfig(withOrigin)
			for round := range rounds {
				c, r := env.dial()
				key := func(kind string) string { return fmt.Sprint(prefix, round, "-", kind) }
				io.WriteString(c, commandText("CACHE.GET", key("earlier"), key("id0"), "c=read,t=acme,d=4000")+
					commandText("CACHE.GET", key("later"), key("id1"), "c=read,t=acme,d=4000"))
				p.waitFor("the later value is passed on", func() bool { return p.metric(`svc_connections{awaits="end of a long value"}`) == 1 })
				values.release <- true
				expectLongValue(t, r, cutSize)
				io.WriteString(c, commandText("CACHE.SET", "pack", key("id2"), "c=buy,t=acme,d=4000", "pack"))
				expectLongValue(t, r, cutAt)
				values.cut <- true
				if rest, err := io.ReadAll(r); len(rest) > 0 {
					t.Errorf("%d bytes behind the cut value, %v", len(rest), err)
				}
				p.waitFor("the connection ends", func() bool { return p.metric(`svc_connections{awaits="end of a long value"}`) == 0 })
				if n := writes.Load(); n != 0 {
					t.Fatalf("round %d: a write has run behind a value that was cut, and is not answered", round)
				}
			}
		})
	}
}

// expectLongValue reads the head of a value of cutSize bytes and, as far as it is to come, the value.
func expectLongValue(t *testing.T, r io.Reader, size int) {
	t.Helper()
	want := fmt.Sprintf("$%d\r\n", cutSize)
	head := make([]byte, len(want))
	if _, err := io.ReadFull(r, head); err != nil || string(head) != want {
		t.Fatalf("the long value was answered %q, %v", head, err)
	}
	if size == cutSize {
		size += len("\r\n")
	}
	if n, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
		t.Fatalf("the value ends after %d of %d bytes: %v", n, size, err)
	}
}
