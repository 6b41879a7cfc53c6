package hostile

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
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
	shut // its connection, on which it was the first, was closed before it was read, or was never accepted: it may be sent again
	lost // no answer on a connection that was not closed, or one that was cut
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
	tries  []string // how the tries of the present request ended
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
		c.tries = nil
		end := c.request(id, begun)
		if end == shut && c.stopping.Load() && time.Since(begun) < lateAfter {
			break // its connection was closed and no other is taken: it is sent to another process
		}
		c.count.add(end, time.Since(begun))
		if end == lost {
			c.count.explain(id, c.tries)
		}
		time.Sleep(clientPause)
	}
	c.disconnect()
}

// request sends one request. A proxy may close a connection between two requests, so one that met a close before its answer
// is sent again on a new connection, for as long as the client waits. The first request on a connection that is closed with
// nothing sent on for it has failed by the platform's terms; it is sent again as well.
func (c *client) request(id string, begun time.Time) ending {
	for {
		end := c.try(id, begun)
		if end != shut || time.Since(begun) >= clientWait || c.stopping.Load() {
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
			c.note(begun, err)
			return shut
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	remaining := max((clientWait - time.Since(begun)).Milliseconds(), 1)
	c.conn.SetDeadline(begun.Add(answerTimeout))
	command := encode("CACHE.GET", fmt.Sprintf("key%d", c.sent%400), id, fmt.Sprintf("c=read,t=acme,d=%d", remaining))
	if err := writeAll(c.conn, command); err != nil {
		c.note(begun, err)
		c.disconnect()
		return shut
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
		c.note(begun, err)
		c.disconnect()
		if line != "" || errors.Is(err, os.ErrDeadlineExceeded) {
			return lost
		}
		return shut
	case strings.HasPrefix(line, "-BUSY"):
		return refused
	}
	return failed
}

// note records how a try ended without an answer.
func (c *client) note(begun time.Time, err error) {
	c.tries = append(c.tries, fmt.Sprintf("%v: %v", time.Since(begun).Round(time.Millisecond), err))
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
