package front

import (
	"errors"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"minttray/internal/buffer"
	"minttray/internal/memory"
)

// readLoop reads commands until the client leaves, the framing is lost, a timeout expires or the connection is being
// closed. While requests are open it keeps waiting on the connection, so that the engine learns at once of a client
// that has left.
func (c *conn) readLoop() {
	defer close(c.readerDone)
	defer c.waitPeerClosed(func() bool { return !c.hasOpenRequest() }, func() {}) // open requests may still lose their client
	defer func() {
		if recovered := recover(); recovered != nil {
			c.server.logPanic(c, recovered)
			c.answerSubmitting()
			c.stopReading() // commands read so far are still answered
		}
	}()
	defer func() {
		c.input.end()
		c.server.bufferedBytes.Add(-int64(c.accountedSize))
		c.buf.Release()
	}()
	args := make([][]byte, 0, 8)
	for {
		c.input.end()
		if !c.prepareRead() {
			return
		}
		err := c.buf.Fill(c.input)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !c.handleReadTimeout() {
				return
			}
			continue
		}
		if err == nil {
			err = c.accountBuffer()
		}
		if errors.Is(err, memory.ErrNoMemory) {
			err = errBufferMemory
		}
		if errors.Is(err, buffer.ErrFull) || errors.Is(err, errBufferMemory) {
			c.rejectAndStop(&c.server.malformed, err)
			return
		}
		if err != nil || !c.markInputRead() {
			c.abort(clientGone)
			return
		}
		now, received := time.Now(), c.source.receivedAfter
		for {
			n, words, err := nextCommand(c.buf.Bytes(), args)
			if tooLong := valueTooLong(err); tooLong != nil {
				if !c.handleWrite(tooLong) {
					return
				}
				now, received = time.Now(), c.source.receivedAfter
				continue
			}
			if err != nil {
				// The bounds of later commands are unknown: earlier ones are answered, then the connection is closed.
				c.rejectAndStop(&c.server.malformed, err)
				return
			}
			if n == 0 {
				break
			}
			if !c.handleCommand(words, nil, received) {
				return
			}
			clear(words) // they refer to the buffer
			c.buf.Discard(n)
			c.partialSince = time.Time{}
		}
		if c.badCommands >= maxBadCommands {
			c.server.tooManyErrors.Add(1)
			c.stopReading()
			return
		}
		if c.overflow && c.commandSeen {
			c.server.overflowRefused.Add(1)
			c.stopReading()
			return
		}
		if len(c.buf.Bytes()) == 0 {
			c.partialSince = time.Time{}
		} else if c.partialSince.IsZero() {
			c.partialSince = now
		}
	}
}

// maxCommandName bounds the bytes of a command's name that are compared and repeated in errors.
const maxCommandName = 32

var (
	errBufferMemory   = errors.New("too much half read from all clients")
	errPartialCommand = errors.New("the rest of the command did not come")
)

// accountBuffer adds the buffer's growth to the sum of all clients' buffers, and returns an error above MaxPendingBytes:
// each buffer may grow to hold the longest command, but not all of them together.
func (c *conn) accountBuffer() error {
	grown := c.buf.Size() - c.accountedSize
	c.accountedSize += grown
	if sum := c.server.bufferedBytes.Add(int64(grown)); grown > 0 && sum > c.server.MaxPendingBytes {
		return errBufferMemory
	}
	return nil
}

// markInputRead records that input has been read which has no slot yet, and returns false if the connection has been
// closed meanwhile. Without it, a connection evicted at that moment would lose a command that has been read.
func (c *conn) markInputRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasUnhandledInput = true
	return !c.closed
}

// answerSubmitting answers the request that was being submitted when the reader panicked: whether the engine has taken
// it is unknown.
func (c *conn) answerSubmitting() {
	if s := c.submitting; s != nil {
		s.disown("")
		s.DeadLettered()
	}
}

// rejectAndStop replies with an error and closes the connection once earlier commands are answered.
func (c *conn) rejectAndStop(counter *atomic.Int64, err error) {
	c.replyError(counter, err)
	c.stopReading()
}

// stopReading ends reading for good. Only the reader calls it.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.markReadStopped()
}

// replyError counts an error and queues it as the command's answer.
func (c *conn) replyError(counter *atomic.Int64, err error) {
	counter.Add(1)
	c.reserve(&slot{conn: c, answer: errorLine(err)})
}

// errorLine formats an error as a RESP error line.
func errorLine(err error) []byte { return redcon.AppendError(nil, "ERR "+sanitize(err.Error())) }

// sanitize replaces control characters and invalid UTF-8, which could break the line.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == '\ufffd' {
			return '?'
		}
		return r
	}, s)
}

// rejectCommand replies with an error to a command whose bounds are known, so that the connection can go on. readLoop
// closes it after maxBadCommands of them.
func (c *conn) rejectCommand(counter *atomic.Int64, err error) (readOn bool) {
	c.replyError(counter, err)
	c.badCommands++
	return true
}

// handleCommand handles one command, whose last byte arrived at received or later. value holds a write's value that was read
// apart from the words, and is nil otherwise. It reports whether to read on.
func (c *conn) handleCommand(words [][]byte, value *writeValue, received time.Time) bool {
	name := strings.ToUpper(string(words[0][:min(len(words[0]), maxCommandName)]))
	isRequest := name == "CACHE.GET" || name == "CACHE.SET"
	busy := c.badCommands >= maxBadCommands || c.overflow && name != "PING"
	if isRequest && !busy {
		return c.handleRequest(words, name == "CACHE.SET", value, received)
	}
	value.release()
	if busy {
		return c.refuseBusy(name)
	}
	switch name {
	case "PING":
		if c.server.lameDuck.Load() {
			return c.reserve(&slot{conn: c, answer: lameDuckLine})
		}
		return c.reserve(&slot{conn: c, answer: pongLine})
	case "CLIENT", "SELECT":
		return c.reserve(&slot{conn: c, answer: okLine})
	}
	return c.rejectCommand(&c.server.malformed, errors.New("unknown command '"+name+"'"))
}

// refuseBusy answers requests with BUSY on a connection that was admitted above the limit, or that has reached
// maxBadCommands: requests that were read in the same batch are still answered before the close. Other commands are
// ignored.
func (c *conn) refuseBusy(name string) bool {
	if name != "CACHE.GET" && name != "CACHE.SET" {
		return true
	}
	return c.reserve(&slot{conn: c, answer: busyLine})
}

// awaitSpace waits until a further command may be outstanding, or the connection is closed, and then for the connection's turn. The
// mutex is held, and released meanwhile. Space is freed by the writer, which sees a client that leaves; only open requests need a
// watch of their own.
func (c *conn) awaitSpace() {
	resumeTurn := c.input.suspend()
	stopWatch := func() {}
	if c.hasUnansweredRequest() {
		c.mu.Unlock()
		stopWatch = c.watchPeer(func() {})
		c.mu.Lock()
	}
	for c.isFull() && !c.closed {
		c.spaceFreed.Wait()
	}
	c.mu.Unlock()
	stopWatch()
	resumeTurn()
	c.mu.Lock()
}

// isFull reports whether a further command has to wait. The mutex is held.
func (c *conn) isFull() bool {
	return len(c.slots) >= maxOutstandingCommands || c.unwrittenBytes >= maxUnreadAnswerBytes ||
		len(c.slots) >= minOutstandingCommands && c.server.MaxCommands > 0 && c.server.commands.Load() >= c.server.MaxCommands
}

// reserve appends a slot, and waits for room first. It returns false if the connection has been closed.
func (c *conn) reserve(s *slot) bool {
	c.mu.Lock()
	for c.isFull() && !c.closed {
		c.awaitSpace()
	}
	if c.closed {
		c.mu.Unlock()
		return false
	}
	c.server.commands.Add(1)
	if c.slots = append(c.slots, s); s.class != nil {
		c.server.Metrics.InFlight.Add(1)
	}
	c.commandSeen = true
	c.unwrittenBytes += len(s.answer)
	c.server.unwrittenBytes.Add(int64(len(s.answer)))
	c.lastActive = time.Now()
	isFirst := s.answer != nil && len(c.slots) == 1
	c.readerChanged.Broadcast()
	c.mu.Unlock()
	if isFirst {
		c.wakeWriter()
	}
	return true
}
