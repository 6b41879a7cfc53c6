// Command case8 plays a cache that resets its connection in the middle of a long value, while its client has further requests on the connection:
// one ahead of it and one behind it, which the proxy has read and the origin has run.
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
	rounds    = 12
	valueSize = 1 << 20
	firstPart = 192 << 10
	headAfter = 150 * time.Millisecond // of the first value; that of the second comes after 10 ms
	cutAfter  = 800 * time.Millisecond // of the second value, or its rest
	bookAfter = 350 * time.Millisecond // when the client sends its third command
	waitMS    = 2500
)

func main() { rig2.Main(play) }

func play(c *rig2.Case) (int, error) {
	origin, err := rig2.StartOrigin("origin-0", "a")
	if err != nil {
		return rig2.Unable, err
	}
	var mu sync.Mutex
	ran := map[string]int{} // writes that the origin has run and answered, by id
	origin.Handle = func(r *http.Request, body string, conn *net.TCPConn) bool {
		id := r.Header.Get("X-Trace-Id")
		time.Sleep(20 * time.Millisecond)
		receipt := id + " receipt"
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(receipt), receipt)
		mu.Lock()
		ran[id]++
		mu.Unlock()
		c.Log("origin has run and answered %s of %s", r.Method, id)
		return true
	}
	list := []rig2.Instance{origin.Instance}
	for i := range 4 {
		cache, err := rig2.StartCache(fmt.Sprintf("box-%d", i), "a")
		if err != nil {
			return rig2.Unable, err
		}
		cache.Handle = func(command rig2.Command) {
			answer := rig2.Hit(command.ID() + " " + strings.Repeat("v", valueSize-len(command.ID())-1))
			if strings.HasPrefix(command.Key(), "aaaa") {
				time.Sleep(headAfter)
				cache.Send(command.Conn, answer)
				c.Log("%s writes the value of %s whole", cache.ID, command.ID())
				return
			}
			time.Sleep(10 * time.Millisecond)
			c.Log("%s writes the first %d bytes of the value of %s", cache.ID, firstPart, command.ID())
			cache.Send(command.Conn, answer[:firstPart])
			time.Sleep(cutAfter)
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
	answered, lost, unread := 0, 0, 0
	for round := range rounds {
		client, err := rig2.Dial(proxy.Addr)
		if err != nil {
			return rig2.Unable, err
		}
		first, second, book := rig2.NewID(), rig2.NewID(), rig2.NewID()
		if err := client.Send(rig2.Get(fmt.Sprintf("aaaa%012x", round+1), first, "read", waitMS), rig2.Get(fmt.Sprintf("bbbb%012x", round+1), second, "read", waitMS)); err != nil {
			return rig2.Unable, err
		}
		c.Log("client: sends %s and %s, both of long values", first, second)
		sent := make(chan error, 1)
		go func() { // the client reads meanwhile
			time.Sleep(bookAfter)
			sent <- client.Send(rig2.Set(fmt.Sprintf("%016x", round+1), book, "book", waitMS, "a booking"))
			c.Log("client: sends %s, a write", book)
		}()
		var failed error
		got := false
		for i, id := range []string{first, second, book} {
			answer, err := client.Receive(5 * time.Second)
			if err != nil {
				failed = err
				c.Log("client: no whole answer to %s: %v", id, err)
				break
			}
			c.Log("client: %s: served %v, line %.60q", id, answer.Served, answer.Line)
			got = i == 2
		}
		if err := <-sent; err != nil {
			return rig2.Unable, fmt.Errorf("round %d: the write could not be sent: %w", round, err)
		}
		time.Sleep(50 * time.Millisecond)
		client.Close()
		mu.Lock()
		times := ran[book]
		mu.Unlock()
		switch {
		case got:
			answered++
		case times > 0:
			lost++
			c.Log("client: LOST: %s has run at the origin, which answered the proxy, and its client gets no answer: %v", book, failed)
		default:
			unread++
			c.Log("client: %s was not read", book)
		}
	}
	c.Say("%d rounds; of the writes behind the long values %d were answered, %d had run at the origin and were never answered, %d were not read", rounds, answered, lost, unread)
	if lost > 0 {
		return rig2.Broken, nil
	}
	return rig2.Held, nil
}
