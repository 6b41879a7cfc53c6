// Command case6 plays caches and an origin that write values slowly, in small pieces, many at a time, and looks at the proxy's memory.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	rig2 "minttray/review/rig-2"
)

const (
	memoryMB  = 32
	sockets   = 1024
	clients   = sockets / 3 // "clients hold a third of the descriptors at most for requests"
	longSize  = 4 << 20
	fairSize  = 60 << 10
	pieceSize = 16 << 10
	pieceWait = 80 * time.Millisecond // between two pieces of a long value: 256 pieces take 20 s
	waitMS    = 2400
	ramp      = 30 * time.Millisecond // between the first requests of two clients
	length    = 45 * time.Second
)

func main() { rig2.Main(play) }

type stats struct{ atOnce, most, long, fair, other atomic.Int64 }

func play(c *rig2.Case) (int, error) {
	c.MemoryMB, c.Sockets = memoryMB, sockets
	s := &stats{}
	origin, err := rig2.StartOrigin("origin-0", "a")
	if err != nil {
		return rig2.Unable, err
	}
	origin.Handle = func(r *http.Request, _ string, conn *net.TCPConn) bool {
		id := r.Header.Get("X-Trace-Id")
		if r.Method == http.MethodPut {
			if time.Sleep(50 * time.Millisecond); c.Trouble {
				time.Sleep(1500 * time.Millisecond)
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s ", len(id)+1, id)
			return true
		}
		c.Log("origin writes the value of %s", id)
		return s.write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longSize), value(id, longSize), "", pieceSize, pause(c))
	}
	list := []rig2.Instance{origin.Instance}
	for i := range 8 {
		cache, err := rig2.StartCache(fmt.Sprintf("box-%d", i), "a")
		if err != nil {
			return rig2.Unable, err
		}
		cache.Handle = func(command rig2.Command) {
			time.Sleep(3 * time.Millisecond)
			goOn := true
			switch key, id := command.Key(), command.ID(); {
			case strings.HasPrefix(key, "bbbb"): // not stored
				cache.Send(command.Conn, rig2.Miss)
			case strings.HasPrefix(key, "cccc"):
				goOn = s.write(command.Conn, fmt.Sprintf("*3\r\n$%d\r\n", fairSize), value(id, fairSize), "\r\n$3\r\nhit\r\n$-1\r\n", fairSize/15, pause(c))
			default:
				c.Log("%s writes the value of %s", cache.ID, id)
				goOn = s.write(command.Conn, fmt.Sprintf("*3\r\n$%d\r\n", longSize), value(id, longSize), "\r\n$3\r\nhit\r\n$-1\r\n", pieceSize, pause(c))
			}
			if !goOn {
				command.Conn.Close()
			}
		}
		list = append(list, cache.Instance)
	}
	agent, err := c.StartAgent(list)
	if err != nil {
		return rig2.Unable, err
	}
	proxy, err := c.StartProxy("n0", "0000000000003e30", agent.Addr, agent.Known(), rig2.Settings(0, 1, []string{"a"}, []rig2.Category{
		{Name: "read", Effect: "read_like", TargetMS: 1800, TTL: 2500}}))
	if err != nil {
		return rig2.Unable, err
	}
	c.Say("at the start: peak %d KiB, limit %d KiB", peak(proxy), memoryMB<<10)
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for n := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(n) * ramp)
			switch n % 17 {
			case 1, 3, 9:
				s.askFair(proxy, n, end)
			default:
				s.askLong(c, proxy, n, end)
			}
		}()
	}
	highest := 0
	for time.Now().Before(end) {
		time.Sleep(500 * time.Millisecond)
		now := peak(proxy)
		c.Log("peak %d KiB, %d values on their way; served: %d long, %d others; %d refused or failed", now, s.atOnce.Load(), s.long.Load(), s.fair.Load(), s.other.Load())
		if highest = max(highest, now); now == 0 {
			return rig2.Unable, fmt.Errorf("the proxy's memory can't be read")
		}
	}
	all.Wait()
	c.Say("%d clients, %d values on their way at a time at most; served: %d long, %d others; %d refused or failed; the proxy's memory was %d KiB at its peak, its limit is %d KiB",
		clients, s.most.Load(), s.long.Load(), s.fair.Load(), s.other.Load(), highest, memoryMB<<10)
	switch {
	case highest > memoryMB<<10:
		return rig2.Broken, nil
	case s.long.Load() == 0:
		return rig2.Unable, fmt.Errorf("no long value was served")
	}
	return rig2.Held, nil
}

func pause(c *rig2.Case) time.Duration {
	if c.Trouble {
		return pieceWait
	}
	return 0
}

func value(id string, size int) string { return id + " " + strings.Repeat("v", size-len(id)-1) }

// write writes an answer in pieces.
func (s *stats) write(conn net.Conn, head, value, tail string, piece int, pause time.Duration) bool {
	n := s.atOnce.Add(1)
	defer s.atOnce.Add(-1)
	for old := s.most.Load(); n > old && !s.most.CompareAndSwap(old, n); old = s.most.Load() {
	}
	text := head + value + tail
	for from := 0; from < len(text); from += piece {
		if _, err := io.WriteString(conn, text[from:min(from+piece, len(text))]); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// askLong is a client that asks for one long value, again after a refusal.
func (s *stats) askLong(c *rig2.Case, proxy *rig2.Proxy, n int, end time.Time) {
	key := fmt.Sprintf("dddd%012x", n)
	if n%4 != 0 {
		key = fmt.Sprintf("bbbb%012x", n)
	}
	for time.Now().Before(end) {
		client, err := rig2.Dial(proxy.Addr)
		if err != nil {
			return
		}
		id := rig2.NewID()
		client.Send(rig2.Get(key, id, "read", waitMS))
		answer, err := client.Receive(time.Until(end))
		client.Close()
		if err == nil && answer.Served && strings.HasPrefix(answer.Value, id+" ") {
			s.long.Add(1)
			c.Log("client %d: %s came whole", n, id)
			return
		}
		s.other.Add(1)
		c.Log("client %d: %s: %s %v", n, id, answer.Line, err)
		time.Sleep(time.Second)
	}
}

// askFair is a client that reads or writes a value of fairSize, or writes one of longSize, again and again.
func (s *stats) askFair(proxy *rig2.Proxy, n int, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		client, err := rig2.Dial(proxy.Addr)
		if err != nil {
			return
		}
		key := fmt.Sprintf("cccc%012x", 1000*n+i)
		switch n % 17 {
		case 1:
			client.Send(rig2.Set(key, rig2.NewID(), "read", waitMS, strings.Repeat("w", longSize)))
		case 3:
			client.Send(rig2.Set(key, rig2.NewID(), "read", waitMS, strings.Repeat("w", fairSize)))
		default:
			client.Send(rig2.Get(key, rig2.NewID(), "read", waitMS))
		}
		answer, err := client.Receive(5 * time.Second)
		client.Close()
		if err == nil && answer.Served {
			s.fair.Add(1)
		} else {
			s.other.Add(1)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// peak returns the most memory that a proxy has had, in KiB: the kernel's count of its resident pages.
func peak(p *rig2.Proxy) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kib
		}
	}
	return 0
}
