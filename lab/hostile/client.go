package hostile

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	clientWait  = 600 * time.Millisecond // how long a well-behaved client waits for its answer
	clientPause = 10 * time.Millisecond  // between an answer and the next request
	// lateAfter is when a final answer comes too late by the protocol's terms: half a second after the request's time, and 50 ms
	// on sockets.
	lateAfter = clientWait + 550*time.Millisecond
	// answerTimeout is how long an answer is awaited at all.
	answerTimeout = 8 * time.Second
)

// ending is how a request of a well-behaved client ended.
type ending int

const (
	served ending = iota
	refused
	failed
	lost // no answer
)

// client is a well-behaved client: one short read at a time.
type client struct {
	addr   string
	number int
	count  *tally
	sent   int

	stopping *atomic.Bool // the process has been told to end: new connections go to another one

	conn   net.Conn // nil: not connected
	reader *bufio.Reader
}

func newClient(addr string, number int, count *tally, stopping *atomic.Bool) *client {
	return &client{addr: addr, number: number, count: count, stopping: stopping}
}

// run sends requests until the given time, or until it has no connection to a process that has been told to end.
func (c *client) run(until time.Time) {
	for time.Now().Before(until) {
		c.sent++
		id := fmt.Sprintf("good%02d-%08d", c.number, c.sent)
		begun := time.Now()
		end := c.request(id, begun)
		if end == lost && c.stopping.Load() && time.Since(begun) < lateAfter {
			break // its connection was closed and no other is taken: it is sent to another process
		}
		c.count.add(end, time.Since(begun))
		time.Sleep(clientPause)
	}
	c.disconnect()
}

// request sends one request. A proxy may close a connection between two requests, so one that met a close before its answer
// is sent again on a new connection, for as long as the client waits.
func (c *client) request(id string, begun time.Time) ending {
	for {
		end := c.try(id, begun)
		if end != lost || time.Since(begun) >= clientWait || c.stopping.Load() {
			return end
		}
		time.Sleep(pollInterval)
	}
}

// try sends the request once, and connects first if needed.
func (c *client) try(id string, begun time.Time) ending {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, clientWait)
		if err != nil {
			return lost
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	remaining := max((clientWait - time.Since(begun)).Milliseconds(), 1)
	c.conn.SetDeadline(begun.Add(answerTimeout))
	command := encode("CACHE.GET", fmt.Sprintf("key%d", c.sent%400), id, fmt.Sprintf("c=read,t=acme,d=%d", remaining))
	if writeAll(c.conn, command) != nil {
		c.disconnect()
		return lost
	}
	line, err := c.reader.ReadString('\n')
	if err == nil && line[0] == '$' {
		var value string
		if value, err = c.reader.ReadString('\n'); err == nil && strings.HasPrefix(value, id) {
			return served
		}
	}
	switch {
	case err != nil:
		c.disconnect()
		return lost
	case strings.HasPrefix(line, "-BUSY"):
		return refused
	}
	return failed
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
