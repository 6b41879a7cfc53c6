// Command case7 tells a proxy to end, as a planned restart does, while clients with a slow request send a further one on the same connection,
// which stays open.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	rig2 "minttray/review/rig-2"
)

const (
	rounds     = 3 // proxies that are told to end, one after another
	clients    = 8 // of each
	slow       = 2200 * time.Millisecond
	ttl        = 2800 * time.Millisecond
	afterTerm  = 1000 * time.Millisecond // from SIGTERM to the further request
	killBehind = 700 * time.Millisecond  // from SIGTERM and the longest deadline to SIGKILL
)

func main() { rig2.Main(play) }

func play(c *rig2.Case) (int, error) {
	origin, err := rig2.StartOrigin("origin-0", "a")
	if err != nil {
		return rig2.Unable, err
	}
	origin.Handle = func(r *http.Request, body string, conn *net.TCPConn) bool {
		id := r.Header.Get("X-Trace-Id")
		c.Log("origin runs %s %s of %s", r.Method, r.URL.Path, id)
		receipt := id + " receipt"
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(receipt), receipt)
		return true
	}
	list := []rig2.Instance{origin.Instance}
	for i := range 4 {
		cache, err := rig2.StartCache(fmt.Sprintf("box-%d", i), "a")
		if err != nil {
			return rig2.Unable, err
		}
		cache.Handle = func(command rig2.Command) {
			time.Sleep(slow)
			c.Log("%s answers %s", cache.ID, command.ID())
			cache.Send(command.Conn, rig2.Hit(command.ID()+" value"))
		}
		list = append(list, cache.Instance)
	}
	agent, err := c.StartAgent(list)
	if err != nil {
		return rig2.Unable, err
	}
	var answered, lost, first atomic.Int64
	for round := range rounds {
		proxy, err := c.StartProxy(fmt.Sprintf("n%d", round), fmt.Sprintf("%016x", 0xe4d+round), agent.Addr, agent.Known(), rig2.Settings(0, 1, []string{"a"}, []rig2.Category{
			{Name: "read", Effect: "read_like", TargetMS: 2600, TTL: int(ttl.Milliseconds())},
			{Name: "book", Effect: "non_idempotent", TargetMS: 1500, TTL: int(ttl.Milliseconds())}}))
		if err != nil {
			return rig2.Unable, err
		}
		time.Sleep(time.Second)
		var all sync.WaitGroup
		term := time.Now().Add(600 * time.Millisecond)
		for n := range clients {
			time.Sleep(40 * time.Millisecond)
			client, err := rig2.Dial(proxy.Addr)
			if err != nil {
				return rig2.Unable, err
			}
			all.Add(1)
			go func() {
				defer all.Done()
				defer client.Close()
				read, book := rig2.NewID(), rig2.NewID()
				client.Send(rig2.Get(fmt.Sprintf("%016x", 1000*round+n+1), read, "read", 2700))
				c.Log("client %d: %s is written", n, read)
				time.Sleep(time.Until(term.Add(afterTerm)))
				if early, err := client.Receive(2 * time.Millisecond); err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
					c.Log("client %d: %s has ended before, nothing further is sent: %q %v", n, read, early.Line, err)
					return
				}
				if err := client.Send(rig2.Set(fmt.Sprintf("%016x", 1000*round+n+1), book, "book", 2000, "a booking")); err != nil {
					c.Log("client %d: %v", n, err)
					return
				}
				written := time.Now()
				c.Log("client %d: the connection is open, %s still waits; %s is written whole behind it", n, read, book)
				answer, err := client.Receive(4 * time.Second)
				c.Log("client %d: %s: %s %s %v", n, read, answer.Line, answer.Value, err)
				if err == nil && answer.Served {
					first.Add(1)
				}
				if err == nil {
					answer, err = client.Receive(4 * time.Second)
				}
				if err != nil {
					lost.Add(1)
					c.Log("client %d: LOST: %s, written whole %.3f s before the connection's end, has no answer: %v", n, book, time.Since(written).Seconds(), err)
					return
				}
				answered.Add(1)
				c.Log("client %d: %s: %s %s", n, book, answer.Line, answer.Value)
			}()
		}
		time.Sleep(time.Until(term))
		if c.Trouble {
			c.Log("SIGTERM to %s", proxy.Name)
			proxy.Process.Signal(syscall.SIGTERM)
		}
		time.Sleep(time.Until(term.Add(ttl + killBehind)))
		if c.Trouble {
			c.Log("SIGKILL to %s, if it has not ended", proxy.Name)
			proxy.Process.Kill()
		}
		all.Wait()
	}
	c.Say("%d slow requests served; of the requests sent behind them on an open connection %d were answered, %d never", first.Load(), answered.Load(), lost.Load())
	switch {
	case lost.Load() > 0:
		return rig2.Broken, nil
	case answered.Load() == 0 && !c.Trouble:
		return rig2.Unable, fmt.Errorf("no further request was sent")
	}
	return rig2.Held, nil
}
