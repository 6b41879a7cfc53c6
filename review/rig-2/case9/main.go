// Command case9 plays an origin that is slow for a while, and clients that send many commands on a connection and read all that they are sent.
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
	memoryMB   = 32
	rounds     = 3 // each with a proxy that has just started
	clients    = 10
	batches    = 24 // of each client behind its first request
	batchSize  = 10 // commands sent at once
	batchEvery = 90 * time.Millisecond
	valueSize  = 2000
	usual      = 330 * time.Millisecond  // of the origin, for a fetch
	slowed     = 2200 * time.Millisecond // 6.7 times slower
	waitMS     = 2450
)

func main() { rig2.Main(play) }

// answers are the requests that a cache or the origin has answered.
type answers struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (a *answers) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids[id] = true
}

func (a *answers) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

func play(c *rig2.Case) (int, error) {
	c.MemoryMB = memoryMB
	origin, err := rig2.StartOrigin("origin-0", "a")
	if err != nil {
		return rig2.Unable, err
	}
	answered := &answers{ids: map[string]bool{}}
	origin.Handle = func(r *http.Request, _ string, conn *net.TCPConn) bool {
		id := r.Header.Get("X-Trace-Id")
		if time.Sleep(usual); c.Trouble {
			time.Sleep(slowed - usual)
		}
		value := id + " from the origin"
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value); err != nil {
			return false
		}
		answered.add(id)
		c.Log("origin has answered %s", id)
		return true
	}
	list := []rig2.Instance{origin.Instance}
	for i := range 8 {
		cache, err := rig2.StartCache(fmt.Sprintf("box-%d", i), "a")
		if err != nil {
			return rig2.Unable, err
		}
		cache.Handle = func(command rig2.Command) {
			time.Sleep(3 * time.Millisecond)
			id := command.ID()
			if strings.HasPrefix(command.Key(), "bbbb") {
				cache.Send(command.Conn, rig2.Miss)
				return
			}
			answered.add(id)
			cache.Send(command.Conn, rig2.Hit(id+" "+strings.Repeat("v", valueSize-len(id)-1)))
		}
		list = append(list, cache.Instance)
	}
	agent, err := c.StartAgent(list)
	if err != nil {
		return rig2.Unable, err
	}
	total := outcome{}
	for round := range rounds {
		proxy, err := c.StartProxy(fmt.Sprintf("n%d", round), fmt.Sprintf("%016x", 0x10ad+round), agent.Addr, agent.Known(), rig2.Settings(0, 1, []string{"a"}, []rig2.Category{
			{Name: "read", Effect: "read_like", TargetMS: 2400, TTL: 2500}}))
		if err != nil {
			return rig2.Unable, err
		}
		time.Sleep(500 * time.Millisecond)
		outcomes := make(chan outcome)
		for n := range clients {
			time.Sleep(30 * time.Millisecond)
			client, err := rig2.Dial(proxy.Addr)
			if err != nil {
				return rig2.Unable, err
			}
			go func() { outcomes <- ask(c, client, n, 100*round+n, answered) }()
		}
		for range clients {
			o := <-outcomes
			total.served += o.served
			total.refused += o.refused
			total.lost += o.lost
			total.unknown += o.unknown
		}
		c.Say("after round %d: %d requests served, %d refused or failed; %d lost (a server has answered them, their client has not been answered), %d others unanswered",
			round+1, total.served, total.refused, total.lost, total.unknown)
	}
	switch {
	case total.lost > 0:
		return rig2.Broken, nil
	case total.served < 1000:
		return rig2.Unable, fmt.Errorf("hardly anything was served")
	}
	return rig2.Held, nil
}

type outcome struct{ served, refused, lost, unknown int }

// ask is one client. It sends a request for a value that no cache has, and then ten commands at a time, while it reads.
func ask(c *rig2.Case, client *rig2.Client, n, key int, answered *answers) (o outcome) {
	defer client.Close()
	sent := make(chan string, batches*batchSize+1) // in order; closed once all is sent
	go func() {
		defer close(sent)
		send := func(commands []string, ids ...string) bool {
			if client.Send(commands...) != nil {
				return false
			}
			for _, id := range ids {
				sent <- id
			}
			return true
		}
		id := rig2.NewID()
		goOn := send([]string{rig2.Get(fmt.Sprintf("bbbb%012x", key), id, "read", waitMS)}, id)
		for b := 0; b < batches && goOn; b++ {
			time.Sleep(batchEvery)
			var commands, ids []string
			for k := range batchSize {
				ids = append(ids, rig2.NewID())
				commands = append(commands, rig2.Get(fmt.Sprintf("aaaa%012x", 1000*n+batchSize*b+k), ids[k], "read", waitMS))
			}
			goOn = send(commands, ids...)
		}
	}()
	for id := range sent {
		answer, err := client.Receive(6 * time.Second)
		if err != nil {
			c.Log("client %d: the connection ended, the next answer was to be that to %s: %v", n, id, err)
			o.unanswered(c, n, id, answered)
			for id := range sent {
				o.unanswered(c, n, id, answered)
			}
			return o
		}
		if answer.Served && strings.HasPrefix(answer.Value, id+" ") {
			o.served++
		} else {
			o.refused++
			c.Log("client %d: %s: %s", n, id, answer.Line)
		}
	}
	return o
}

// unanswered books a request that was written whole and has no answer.
func (o *outcome) unanswered(c *rig2.Case, n int, id string, answered *answers) {
	if !answered.has(id) {
		o.unknown++
		return
	}
	o.lost++
	c.Log("client %d: LOST: %s, which a server has answered", n, id)
}
