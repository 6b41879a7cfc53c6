// Command case10 plays discovery that is asked for lists, refuses calls for a while, and has caches that begin to drain as it can be reached
// again.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	rig2 "minttray/review/rig-2"
)

const (
	proxies    = 6
	caches     = 10
	rounds     = 3
	quiet      = 6 * time.Second  // before discovery goes down
	down       = 8 * time.Second  // for which it refuses calls
	watchFor   = 17 * time.Second // after its return
	toldBy     = 6 * time.Second  // from when discovery had a change and could be reached, by the standing test
	grace      = 250 * time.Millisecond
	slack      = 50 * time.Millisecond  // on sockets
	stall      = 150 * time.Millisecond // more than the pages give: the grace has to cover it
	waitMS     = 400
	drainRound = 2 // caches that drain in a round
)

func main() { rig2.Main(play) }

func play(c *rig2.Case) (int, error) {
	var mu sync.Mutex
	limits := map[string]time.Time{} // by cache: nothing may be sent there any more
	var late, served, other atomic.Int64
	latest := time.Duration(0)
	var list []rig2.Instance
	for i := range caches {
		cache, err := rig2.StartCache(fmt.Sprintf("box-%d", i), "a")
		if err != nil {
			return rig2.Unable, err
		}
		cache.Handle = func(command rig2.Command) {
			mu.Lock()
			limit, draining := limits[cache.ID]
			if over := time.Since(limit); draining && over > 0 {
				late.Add(1)
				latest = max(latest, over)
				c.Log("%s: LATE: %s from %s comes %.3f s past the last moment", cache.ID, command.ID(), command.Conn.RemoteAddr(), over.Seconds())
			}
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			cache.Send(command.Conn, rig2.Hit(command.ID()+" value"))
		}
		list = append(list, cache.Instance)
	}
	agent, err := c.StartAgent(list)
	if err != nil {
		return rig2.Unable, err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range proxies {
		settings := rig2.Settings(i, proxies, []string{"a"}, []rig2.Category{{Name: "read", Effect: "read_like", TargetMS: 300, TTL: 600}})
		settings["discovery"] = "ask"
		settings["contract"].(rig2.JSON)["drain-grace-us"] = grace.Microseconds()
		proxy, err := c.StartProxy(fmt.Sprintf("n%d", i), fmt.Sprintf("%016x", 0xbacc0ff+i), agent.Addr, agent.Known(), settings)
		if err != nil {
			return rig2.Unable, err
		}
		for range 2 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				ask(proxy.Addr, done, &served, &other)
			}()
		}
	}
	for round := range rounds {
		time.Sleep(quiet)
		if c.Trouble {
			agent.SetDown(true)
		}
		time.Sleep(down)
		var draining []string
		for _, in := range list[round*drainRound:][:drainRound] {
			draining = append(draining, in.ID)
		}
		agent.SetDown(false)
		agent.Set(draining, "leaving")
		mu.Lock()
		for _, id := range draining {
			limits[id] = time.Now().Add(toldBy + grace + slack + stall)
		}
		mu.Unlock()
		c.Say("round %d: discovery can be reached, %v begin to drain", round+1, draining)
		time.Sleep(watchFor)
		c.Say("round %d: %d requests have come too late so far", round+1, late.Load())
	}
	close(done)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.Say("%d requests served, %d not; %d sent to draining caches later than %v after the change could be told, the last of them %.3f s past that", served.Load(), other.Load(),
		late.Load(), toldBy+grace+slack+stall, latest.Seconds())
	switch {
	case late.Load() > 0:
		return rig2.Broken, nil
	case served.Load() < 1000:
		return rig2.Unable, fmt.Errorf("hardly anything was served")
	}
	return rig2.Held, nil
}

// ask sends requests to a proxy until done is closed.
func ask(addr string, done chan struct{}, served, other *atomic.Int64) {
	var conn *rig2.Client
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(30+rand.IntN(40)) * time.Millisecond):
		}
		var err error
		if conn == nil {
			if conn, err = rig2.Dial(addr); err != nil {
				conn = nil
				continue
			}
		}
		err = conn.Send(rig2.Get(fmt.Sprintf("%016x", 1+rand.IntN(1000)), rig2.NewID(), "read", waitMS))
		var answer rig2.Answer
		if err == nil {
			answer, err = conn.Receive(3 * time.Second)
		}
		switch {
		case err != nil:
			conn.Close()
			conn = nil
			other.Add(1)
		case answer.Served:
			served.Add(1)
		default:
			other.Add(1)
		}
	}
}
