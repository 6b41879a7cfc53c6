package pool_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"minttray/internal/caches"
	"minttray/internal/engine"
	"minttray/internal/memory"
	"minttray/internal/origin"
	"minttray/internal/pool"
	"minttray/policy"
)

// blockValue returns a value that is kept in a block.
func blockValue(size int) []byte {
	value := make([]byte, size)
	for i := range value {
		value[i] = byte('a' + i*7%26)
	}
	return value
}

// Large values from a cache come whole, in pieces of any size, with what follows them; without a block the attempt ends
// unproven at its deadline and its server is not blamed.
func TestLargeValuesOfACacheAreReadIntoBlocks(t *testing.T) {
	value := blockValue(64 << 10)
	response := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$4\r\nmiss\r\n$8\r\nsvc_ms=7\r\n", len(value), value)
	addr := listen(t, func(n int, c net.Conn) {
		for r := bufio.NewReader(c); ; {
			if _, err := command(r); err != nil {
				return
			}
			for rest := response; rest != ""; {
				n := min(len(rest), 1+len(rest)/3)
				io.WriteString(c, rest[:n])
				rest = rest[n:]
			}
		}
	})
	blocks := memory.NewPool(memory.BlockSize)
	p := pool.New(shared(), addr, caches.Protocol{LatencyField: "svc_ms", Values: blocks})
	results, _ := push(p, request("a"))
	res := wait(t, results)
	if res.Outcome != policy.Acked || !bytes.Equal(res.Value, value) || !res.Missed || res.ReportedLatency != 70 || res.Block == nil {
		t.Fatalf("%v, %d bytes, missed %v, latency %v, %v", res.Outcome, len(res.Value), res.Missed, res.ReportedLatency, res.Err)
	}
	waitUntilReusable()
	short := request("b")
	short.Deadline = short.Deadline.AtMost(time.Now().Add(50 * time.Millisecond))
	results, _ = push(p, short)
	if res := wait(t, results); res.Outcome != policy.Cancelled || res.Block != nil {
		t.Errorf("without memory: %v, %v", res.Outcome, res.Err)
	}
	res.Block.Release()
	results, _ = push(p, request("c"))
	if res := wait(t, results); res.Outcome != policy.Acked || !bytes.Equal(res.Value, value) {
		t.Errorf("with memory again: %v, %v", res.Outcome, res.Err)
	}
}

// The same from the origin, with a length and chunked; a body that is too long, or cut, gives its block back.
func TestLargeValuesOfTheOriginAreReadIntoBlocks(t *testing.T) {
	value := blockValue(64 << 10)
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/cut":
			out.Header().Set("Content-Length", fmt.Sprint(len(value)))
			out.Write(value[:len(value)/2])
		case "/long":
			out.(http.Flusher).Flush()
			io.WriteString(out, strings.Repeat("x", 70<<10))
		case "/chunked":
			out.(http.Flusher).Flush()
			out.Write(value)
		default:
			out.Header().Set("Content-Length", fmt.Sprint(len(value)))
			out.Write(value)
		}
	}))
	defer server.Close()
	blocks := memory.NewPool(memory.BlockSize)
	addr := server.Listener.Addr().String()
	p := pool.New(shared(), addr, origin.Protocol{Host: addr, Values: blocks})
	for _, key := range []string{"whole", "chunked", "cut", "long"} {
		r := request(key)
		r.Key = key
		results, _ := push(p, r)
		res := wait(t, results)
		if served := key == "whole" || key == "chunked"; served != (res.Outcome == policy.Acked) || served && !bytes.Equal(res.Value, value) {
			t.Errorf("%s: %v, %d bytes, %v", key, res.Outcome, len(res.Value), res.Err)
		}
		res.Block.Release()
		if lent := blocks.Usage().Lent; lent != 0 {
			t.Fatalf("%s: %d bytes are still lent", key, lent)
		}
	}
}

// A request's memory is kept until the last attempt has written it, and not longer, however the attempts end.
func TestARequestIsHeldUntilItsAttemptsAreWritten(t *testing.T) {
	value := blockValue(60 << 10)
	received := make(chan int, 4)
	addr := listen(t, func(n int, c net.Conn) {
		words, err := command(bufio.NewReader(c))
		if err == nil {
			received <- len(words[4])
			io.Copy(io.Discard, c)
		}
	})
	r := request("a")
	r.Write, r.Value = true, value
	r.Hold() // as the engine does
	p := pool.New(shared(), addr, caches.Protocol{})
	_, abort := push(p, r)
	if n := wait(t, received); n != len(value) {
		t.Fatalf("the cache got %d bytes", n)
	}
	abort(engine.Always)
	refusing := listen(t, func(int, net.Conn) {})
	results, abort := push(pool.New(shared(), refusing, caches.Protocol{}), r)
	wait(t, results)
	abort(engine.Always)
	if holders := r.Holders(); holders != 1 {
		t.Errorf("%d holders, want the engine alone", holders)
	}
}
