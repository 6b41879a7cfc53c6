// Command case8 plays a cache that dies in the middle of a long value while its client has a further request on the same connection, which it
// sent once the value had begun to arrive.
package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	rig2 "minttray/review/rig-2"
)

const (
	rounds     = 12
	valueSize  = 1 << 20
	firstPart  = 192 << 10
	beforeEnd  = 600 * time.Millisecond // from the value's first bytes to the death of its cache, or to its rest
	readWaitMS = 2500
	bookWaitMS = 2500
)

func main() { rig2.Main(play) }

func play(c *rig2.Case) (int, error) {
	origin, err := rig2.StartOrigin("origin-0", "a")
	if err != nil {
		return rig2.Unable, err
	}
	var mu sync.Mutex
	written := map[string]int{} // requests that the origin has run, by id
	origin.Handle = func(r *http.Request, body string, conn *net.TCPConn) bool {
		id := r.Header.Get("X-Trace-Id")
		mu.Lock()
		written[id]++
		mu.Unlock()
		c.Log("origin runs %s %s of %s", r.Method, r.URL.Path, id)
		time.Sleep(20 * time.Millisecond)
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
			time.Sleep(10 * time.Millisecond)
			if !strings.HasPrefix(command.Key(), "ffff") {
				cache.Send(command.Conn, rig2.Hit(command.ID()+" short"))
				return
			}
			value := command.ID() + " " + strings.Repeat("v", valueSize-len(command.ID())-1)
			answer := rig2.Hit(value)
			c.Log("%s writes the first %d bytes of the value of %s", cache.ID, firstPart, command.ID())
			cache.Send(command.Conn, answer[:firstPart])
			time.Sleep(beforeEnd)
			if c.Trouble {
				c.Log("%s resets the connection under %s", cache.ID, command.ID())
				command.Conn.SetLinger(0)
				command.Conn.Close()
				return
			}
			cache.Send(command.Conn, answer[firstPart:])
		}
		list = append(list, cache.Instance)
	}
	agent, err := c.StartAgent(list)
	if err != nil {
		return rig2.Unable, err
	}
	proxy, err := c.StartProxy("n0", "00000000000a11ce", agent.Addr, agent.Known(), rig2.Settings(0, 1, []string{"a"}, []rig2.Category{
		{Name: "read", Effect: "read_like", TargetMS: 1500, TTL: 3000}, {Name: "book", Effect: "non_idempotent", TargetMS: 1500, TTL: 3000}}))
	if err != nil {
		return rig2.Unable, err
	}
	cut, answered, lost := 0, 0, 0
	for round := range rounds {
		behind, err := oneRound(c, proxy, round)
		if err != nil {
			return rig2.Unable, err
		}
		cut += behind.cut
		answered += behind.answered
		lost += behind.lost
	}
	mu.Lock()
	defer mu.Unlock()
	c.Say("%d rounds, %d long values cut; of the requests sent behind a value that had begun %d were answered, %d never", rounds, cut, answered, lost)
	if lost > 0 {
		return rig2.Broken, nil
	}
	return rig2.Held, nil
}

type outcome struct{ cut, answered, lost int }

// oneRound asks for a long value, and for a write once the value's first bytes have come.
func oneRound(c *rig2.Case, proxy *rig2.Proxy, round int) (o outcome, err error) {
	client, err := rig2.Dial(proxy.Addr)
	if err != nil {
		return o, err
	}
	defer client.Close()
	long, book := rig2.NewID(), rig2.NewID()
	if err := client.Send(rig2.Get(fmt.Sprintf("ffff%012x", round+1), long, "read", readWaitMS)); err != nil {
		return o, err
	}
	client.SetReadDeadline(time.Now().Add(3 * time.Second))
	if head, err := client.Reader.Peek(1024); err != nil || head[0] != '$' {
		return o, fmt.Errorf("round %d: the value did not begin: %q, %v", round, head, err)
	}
	began := time.Now()
	if err := client.Send(rig2.Set(fmt.Sprintf("%016x", round+1), book, "book", bookWaitMS, "a booking")); err != nil {
		return o, err
	}
	c.Log("client: the value of %s has begun; %s is written whole on the same connection", long, book)
	first, err := client.Receive(10 * time.Second)
	if err != nil {
		o.cut = 1
		c.Log("client: the value of %s was cut, %.3f s after it began: %v", long, time.Since(began).Seconds(), err)
	} else {
		c.Log("client: the value of %s came whole, own: %v", long, strings.HasPrefix(first.Value, long+" "))
	}
	answer, err := rig2.Answer{}, err
	if err == nil {
		answer, err = client.Receive(5 * time.Second)
	}
	if err != nil {
		o.lost = 1
		c.Log("client: LOST: %s, written whole %.3f s before the connection's end, has no answer: %v", book, time.Since(began).Seconds(), err)
		return o, nil
	}
	o.answered = 1
	c.Log("client: %s: %s %s", book, answer.Line, answer.Value)
	return o, nil
}
