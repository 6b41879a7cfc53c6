package load

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"minttray/lab/ledger"
)

// conn is one client's connection: one op at a time. Its reader goes on between ops, so that a second answer to the
// last one is seen.
type conn struct {
	nc    net.Conn
	proxy *Proxy
	zone  int // of its client
	life  uint32
	load  *Load

	mu    sync.Mutex
	op    uint64 // the last one asked
	name  string
	got   chan answer // nil: nothing is waited for
	over  bool
	asked int // ops so far
}

// begin says that an op is about to be sent; the answer comes over the channel that it gives.
func (c *conn) begin(op uint64, name string) <-chan answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	got := make(chan answer, 1)
	c.op, c.name, c.got = op, name, got
	c.asked++
	if c.over {
		c.got = nil
		got <- answer{how: unreached}
	}
	return got
}

// quit ends the connection with its answer owed; false: the answer has come.
func (c *conn) quit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.got == nil {
		return false
	}
	c.got, c.over = nil, true
	c.nc.Close()
	return true
}

func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over
}

// read takes answers until the connection ends.
func (c *conn) read() {
	r := bufio.NewReader(c.nc)
	for {
		how, back, err := c.next(r)
		now := c.load.now()
		c.mu.Lock()
		got, op, quit := c.got, c.op, c.over
		c.got = nil
		if err != nil {
			c.over = true
		}
		c.mu.Unlock()
		switch {
		case err == nil: // with nobody waiting, this is one answer more than there may be
			c.load.book.Append(ledger.Record{Kind: ledger.OpAnswered, At: now, Op: op, A: how, B: uint32(back.Milliseconds())})
		case got != nil && !quit:
			c.mu.Lock()
			reused := c.asked > 1
			c.mu.Unlock()
			switch how = ledger.AnswerClosed; {
			case errors.Is(err, errHalf):
				how = ledger.AnswerTruncated
			case reused:
				how = ledger.AnswerIdleClosed
			}
			c.load.book.Append(ledger.Record{Kind: ledger.OpAnswered, At: now, Op: op, A: how})
		}
		if got != nil {
			got <- answer{how: how, back: back}
		}
		if err != nil {
			c.nc.Close()
			return
		}
	}
}

var errHalf = errors.New("an answer that did not end")

// next reads one answer.
func (c *conn) next(r *bufio.Reader) (how uint32, back time.Duration, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		if line != "" {
			err = errHalf
		}
		return ledger.AnswerClosed, 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case line == "":
		return ledger.AnswerDeadLettered, 0, nil
	case strings.HasPrefix(line, "-BUSY"):
		ms, _ := strconv.Atoi(strings.TrimSpace(line[5:]))
		return ledger.AnswerNacked, time.Duration(ms) * time.Millisecond, nil
	case line[0] == '$':
		size, err := strconv.Atoi(line[1:])
		if err != nil || size < 0 || size > 4<<20 {
			return ledger.AnswerDeadLettered, 0, nil
		}
		value := make([]byte, size+2)
		if _, err := io.ReadFull(r, value); err != nil {
			return ledger.AnswerTruncated, 0, errHalf
		}
		c.mu.Lock()
		name := c.name
		c.mu.Unlock()
		if !strings.HasPrefix(string(value), name+" ") {
			return ledger.AnswerWrongValue, 0, nil
		}
		return ledger.AnswerAcked, 0, nil
	}
	return ledger.AnswerDeadLettered, 0, nil
}
