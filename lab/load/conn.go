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

// maxValueSize is the largest accepted value, in bytes.
const maxValueSize = 4 << 20

// conn is a client's connection to a proxy, which carries one op at a time. Its reader also runs between ops, so that it
// sees a second answer to the last op.
type conn struct {
	netConn     net.Conn
	proxy       *Proxy
	zone        int    // index of its client's zone
	incarnation uint32 // number of the proxy's process in the ledger
	generator   *Generator

	mu          sync.Mutex
	op          uint64           // ID of the last try sent
	valuePrefix string           // the prefix of the value that op has to be answered with
	pending     chan<- tryResult // nil if no op waits for an answer
	closed      bool
	opsSent     int // begin was called so often
}

// begin registers an op that is about to be sent, and returns the channel on which its result arrives.
func (c *conn) begin(op uint64, valuePrefix string) <-chan tryResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers := make(chan tryResult, 1)
	c.op, c.valuePrefix, c.pending = op, valuePrefix, answers
	c.opsSent++
	if c.closed {
		c.pending = nil
		answers <- tryResult{result: resultUnreached}
	}
	return answers
}

// abort closes the connection if its op has no answer yet. It returns false if the answer has come.
func (c *conn) abort() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		return false
	}
	c.pending, c.closed = nil, true
	c.netConn.Close()
	return true
}

// isClosed reports whether the connection has ended.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// read reads answers until the connection ends, and records each in the ledger.
func (c *conn) read() {
	r := bufio.NewReader(c.netConn)
	for {
		result, retryAfter, err := c.readAnswer(r)
		now := c.generator.now()
		c.mu.Lock()
		pending, op, aborted := c.pending, c.op, c.closed
		c.pending = nil
		if err != nil {
			c.closed = true
		}
		c.mu.Unlock()
		switch {
		case err == nil: // also without a pending op: the ledger has to show a second answer
			c.generator.ledger.Append(ledger.Record{Kind: ledger.OpAnswered, At: now, Op: op, A: result, B: uint32(retryAfter.Milliseconds())})
		case pending != nil && !aborted:
			c.mu.Lock()
			reused := c.opsSent > 1
			c.mu.Unlock()
			switch result = ledger.AnswerClosed; {
			case errors.Is(err, errTruncated):
				result = ledger.AnswerTruncated
			case reused:
				result = ledger.AnswerIdleClosed
			}
			c.generator.ledger.Append(ledger.Record{Kind: ledger.OpAnswered, At: now, Op: op, A: result})
		}
		if pending != nil {
			pending <- tryResult{result: result, retryAfter: retryAfter}
		}
		if err != nil {
			c.netConn.Close()
			return
		}
	}
}

var errTruncated = errors.New("connection ended within an answer")

// readAnswer reads one answer. result is one of the ledger's Answer constants.
func (c *conn) readAnswer(r *bufio.Reader) (result uint32, retryAfter time.Duration, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		if line != "" {
			err = errTruncated
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
		if err != nil || size < 0 || size > maxValueSize {
			return ledger.AnswerDeadLettered, 0, nil
		}
		value := make([]byte, size+2)
		if _, err := io.ReadFull(r, value); err != nil {
			return ledger.AnswerTruncated, 0, errTruncated
		}
		c.mu.Lock()
		valuePrefix := c.valuePrefix
		c.mu.Unlock()
		if !strings.HasPrefix(string(value), valuePrefix+" ") {
			return ledger.AnswerWrongValue, 0, nil
		}
		return ledger.AnswerAcked, 0, nil
	}
	return ledger.AnswerDeadLettered, 0, nil
}
