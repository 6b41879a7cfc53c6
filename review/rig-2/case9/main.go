// Command case9 plays a cache that writes a long value in pieces, for longer than its client would wait for the first bytes, and a client that
// sends two commands at once.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	rig2 "minttray/review/rig-2"
)

const (
	rounds    = 8
	valueSize = 2 << 20
	pieceSize = 32 << 10
	pieceWait = 40 * time.Millisecond // between two pieces: 64 pieces take 2.6 s
	waitMS    = 1400
)

func main() { rig2.Main(play) }

// transfer is a long value on its way from a cache.
type transfer struct {
	first, last time.Time // when its first and last piece were written
	pieces      int
	cutOff      bool // the proxy ended the connection before the last piece
}

func play(c *rig2.Case) (int, error) {
	var mu sync.Mutex
	transfers := map[string]*transfer{} // the last one, by request
	var list []rig2.Instance
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
			t := &transfer{first: time.Now()}
			mu.Lock()
			transfers[command.ID()] = t
			mu.Unlock()
			writePieces(c, cache.ID, command, t, &mu)
		}
		list = append(list, cache.Instance)
	}
	agent, err := c.StartAgent(list)
	if err != nil {
		return rig2.Unable, err
	}
	proxy, err := c.StartProxy("n0", "00000000000b0b0b", agent.Addr, agent.Known(), rig2.Settings(0, 1, []string{"a"}, []rig2.Category{
		{Name: "read", Effect: "read_like", TargetMS: 800, TTL: 1500}}))
	if err != nil {
		return rig2.Unable, err
	}
	whole, cut := 0, 0
	for round := range rounds {
		client, err := rig2.Dial(proxy.Addr)
		if err != nil {
			return rig2.Unable, err
		}
		long, short := rig2.NewID(), rig2.NewID()
		commands := []string{rig2.Get(fmt.Sprintf("ffff%012x", round+1), long, "read", waitMS)}
		pipelined := round%2 == 0 // every second value is asked for alone, to compare
		if pipelined {
			commands = append(commands, rig2.Get(fmt.Sprintf("%016x", round+1), short, "read", waitMS))
		}
		if err := client.Send(commands...); err != nil {
			return rig2.Unable, err
		}
		c.Log("client: %d commands at once, the first is %s", len(commands), long)
		answer, err := client.Receive(10 * time.Second)
		c.Log("client: %s: served %v, line %.60q, %d bytes, %v", long, answer.Served, answer.Line, len(answer.Value), err)
		if pipelined && err == nil {
			behind, err := client.Receive(5 * time.Second)
			c.Log("client: %s: served %v, line %.60q, %v", short, behind.Served, behind.Line, err)
		}
		time.Sleep(3 * pieceWait) // the cache sees the end of its connection
		client.Close()
		mu.Lock()
		t := transfers[long]
		switch {
		case t == nil:
			mu.Unlock()
			return rig2.Unable, fmt.Errorf("%s never came to a cache", long)
		case answer.Served && strings.HasPrefix(answer.Value, long+" "):
			whole++
		case t.cutOff:
			cut++
			c.Log("CUT OFF: the proxy ended the connection of %s to its cache after %d of %d pieces, %.3f s behind the first; its client was there, and nothing of the value reached it",
				long, t.pieces, valueSize/pieceSize, t.last.Sub(t.first).Seconds())
		}
		mu.Unlock()
	}
	c.Say("%d long values asked for, half of them with a further command behind: %d served whole, %d cut off while their cache still wrote", rounds, whole, cut)
	switch {
	case cut > 0:
		return rig2.Broken, nil
	case whole < rounds:
		return rig2.Unable, fmt.Errorf("%d values neither served nor cut off", rounds-whole)
	}
	return rig2.Held, nil
}

// writePieces writes a value in pieces, without the disruption at once.
func writePieces(c *rig2.Case, name string, command rig2.Command, t *transfer, mu *sync.Mutex) {
	answer := rig2.Hit(command.ID() + " " + strings.Repeat("v", valueSize-len(command.ID())-1))
	c.Log("%s begins to write the value of %s", name, command.ID())
	for from := 0; from < len(answer); from += pieceSize {
		_, err := command.Conn.Write([]byte(answer[from:min(from+pieceSize, len(answer))]))
		mu.Lock()
		if err != nil {
			t.cutOff = true
			mu.Unlock()
			c.Log("%s: the connection has ended under the value of %s: %v", name, command.ID(), err)
			command.Conn.Close()
			return
		}
		t.pieces, t.last = t.pieces+1, time.Now()
		mu.Unlock()
		if c.Trouble {
			time.Sleep(pieceWait)
		}
	}
	c.Log("%s has written the value of %s whole", name, command.ID())
}
