package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// startAlone starts a proxy without hostile clients and returns its address.
func startAlone(t *testing.T) string {
	t.Helper()
	backends, err := startServers()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backends.close)
	p, err := startProxy(Setup{Program: builtBinary, Dir: t.TempDir(), Cores: 1, MemoryMB: *memoryMB, Sockets: *sockets, Seed: *seed}, backends.list(), backends.agent)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.stop)
	return p.addr
}

// connect opens a connection that ends with the test.
func connect(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(answerTimeout))
	return c
}

// A long answer that its server writes for longer than its client's deadline must reach the client whole.
func TestALongAnswerThatIsWrittenSlowlyIsNotCut(t *testing.T) {
	addr := startAlone(t)
	for i := range 3 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			c := connect(t, addr)
			id := fmt.Sprint("slow", i)
			writeAll(c, encode("CACHE.GET", fmt.Sprint(longKeyPrefix, i), id, "c=read,t=acme,d=1000"))
			r := bufio.NewReader(c)
			head, err := r.ReadString('\n')
			if err != nil || head != fmt.Sprintf("$%d\r\n", longValueSize) {
				t.Fatalf("%q, %v", head, err)
			}
			value := make([]byte, longValueSize)
			if n, err := io.ReadFull(r, value); err != nil || !strings.HasPrefix(string(value), id) {
				t.Errorf("%d bytes of the value, %v", n, err)
			}
		})
	}
}

// A large write that the origin reads slowly must have its final answer by the terms' time.
func TestALargeWriteThatIsReadSlowlyIsAnsweredInTime(t *testing.T) {
	addr := startAlone(t)
	const wait = time.Second
	for _, class := range []string{"put", "once"} {
		for _, size := range []int{60 << 10, 500 << 10, 2 << 20} {
			t.Run(fmt.Sprint(class, size), func(t *testing.T) {
				t.Parallel()
				c := connect(t, addr)
				properties := fmt.Sprintf("c=%s,t=acme,d=%d", class, wait.Milliseconds())
				writeAll(c, encode("CACHE.SET", fmt.Sprint(slowKeyPrefix, class, size), fmt.Sprint("w", class, size), properties, strings.Repeat("v", size)))
				sent := time.Now()
				answer, err := bufio.NewReader(c).ReadString('\n')
				took := time.Since(sent)
				t.Logf("%q after %v", strings.TrimSpace(answer), took.Round(time.Millisecond))
				if err != nil || took > wait+lateAfter-clientWait {
					t.Errorf("%q, %v after %v", answer, err, took)
				}
			})
		}
	}
}
