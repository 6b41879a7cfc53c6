// Command case7 plays caches whose second copies of an answer come some milliseconds late, and clients that look whose value they get.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	rig2 "minttray/review/rig-2"
)

const (
	length       = 40 * time.Second
	oneWay       = 8 * time.Millisecond  // between two zones; the site files have 5.6 to 10 ms
	copyShare    = 20                    // one answer in this many is followed by a second copy
	latestCopy   = 12 * time.Millisecond // of a copy behind its answer
	clientsEach  = 16                    // clients of each proxy
	clientWaitMS = 600
)

func main() { rig2.Main(play) }

func play(c *rig2.Case) (int, error) {
	zones := []string{"a", "b", "c"}
	settings := func(index int) rig2.JSON {
		return rig2.Settings(index, 2, zones, []rig2.Category{{Name: "read", Effect: "read_like", TargetMS: 400, TTL: 800}})
	}
	var copies, served, foreign, other atomic.Int64
	var list []rig2.Instance
	for i := range 6 {
		cache, err := rig2.StartCache(fmt.Sprintf("box-%d", i), zones[i%3])
		if err != nil {
			return rig2.Unable, err
		}
		if cache.Zone != "a" {
			cache.OneWay = oneWay
		}
		cache.Handle = func(command rig2.Command) {
			time.Sleep(time.Duration(4+rand.IntN(8)) * time.Millisecond)
			answer := rig2.Hit(command.ID() + " made for this request by " + cache.ID)
			c.Log("%s runs and answers %s", cache.ID, command.ID())
			cache.Send(command.Conn, answer)
			if c.Trouble && rand.IntN(copyShare) == 0 {
				go func() {
					late := time.Duration(rand.Int64N(int64(latestCopy)))
					time.Sleep(late)
					if cache.SendIfIdle(command.Conn, answer) {
						copies.Add(1)
						c.Log("%s sends the answer of %s a second time, %.1f ms behind it, nothing else waits", cache.ID, command.ID(), late.Seconds()*1000)
					}
				}()
			}
		}
		list = append(list, cache.Instance)
	}
	agent, err := c.StartAgent(list)
	if err != nil {
		return rig2.Unable, err
	}
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	for i := range 2 {
		proxy, err := c.StartProxy(fmt.Sprintf("n%d", i), fmt.Sprintf("%016x", 0x5eed+i), agent.Addr, agent.Known(), settings(i))
		if err != nil {
			return rig2.Unable, err
		}
		for range clientsEach {
			clients.Add(1)
			go func() {
				defer clients.Done()
				var conn *rig2.Client
				for time.Now().Before(end) {
					if conn == nil {
						if conn, err = rig2.Dial(proxy.Addr); err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
					}
					id := rig2.NewID()
					err := conn.Send(rig2.Get(fmt.Sprintf("%016x", 1+rand.IntN(400)), id, "read", clientWaitMS))
					var answer rig2.Answer
					if err == nil {
						answer, err = conn.Receive(3 * time.Second)
					}
					switch {
					case err != nil:
						c.Log("client: %s: %v", id, err)
						conn.Close()
						conn = nil
						other.Add(1)
					case !answer.Served:
						c.Log("client: %s: %s", id, answer.Line)
						other.Add(1)
					case strings.HasPrefix(answer.Value, id+" "):
						served.Add(1)
					default:
						foreign.Add(1)
						c.Log("client: FOREIGN: request %s was answered with %q", id, answer.Value)
					}
					time.Sleep(time.Duration(10+rand.IntN(30)) * time.Millisecond)
				}
			}()
		}
	}
	clients.Wait()
	c.Say("%d second copies; %d requests served with their own value, %d with a value made for another request, %d refused or failed",
		copies.Load(), served.Load(), foreign.Load(), other.Load())
	switch {
	case served.Load() < 1000:
		return rig2.Unable, fmt.Errorf("hardly anything was served")
	case foreign.Load() > 0:
		return rig2.Broken, nil
	}
	return rig2.Held, nil
}
