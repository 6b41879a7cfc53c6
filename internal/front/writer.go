package front

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"minttray/decide/lifecycle"
	"minttray/internal/engine"
	"minttray/internal/figures"
)

const (
	copyBufferSize    = 32 << 10
	maxKeptOutputSize = 1 << 10 // bytes; a larger output buffer is released after the write
	maxKeptBatch      = 16      // a longer list of answers is released after the write
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writerState is the state of a connection's writer. It is a goroutine only while there is something to write: most of hundreds of
// connections have nothing, and a goroutine takes memory and time of the collector.
type writerState int32

const (
	writerIdle    writerState = iota // no goroutine
	writerRunning                    // it is going to look at the connection, or has something to write
	writerWoken                      // it has to look at the connection once more
)

// wakeWriter has the writer look at the connection. It does not block.
func (c *conn) wakeWriter() {
	for {
		switch {
		case c.writer.CompareAndSwap(int32(writerIdle), int32(writerRunning)):
			go c.runWriter()
			return
		case c.writer.CompareAndSwap(int32(writerRunning), int32(writerWoken)), writerState(c.writer.Load()) == writerWoken:
			return
		}
	}
}

// runWriter writes answers in the order of their commands for as long as it is woken.
func (c *conn) runWriter() {
	defer func() {
		if recovered := recover(); recovered != nil {
			c.server.logPanic(c, recovered)
			c.abort(connPanicked)
		}
	}()
	for {
		if !c.writeAnswers() {
			return // the connection has ended
		}
		if !c.writer.CompareAndSwap(int32(writerRunning), int32(writerIdle)) {
			c.writer.Store(int32(writerRunning))
			continue
		}
		return
	}
}

// batch is a number of answers that are written at once. Only the writer uses it.
type batch struct {
	slots  []*slot
	output []byte // their answers, without the payload of the last
	size   int    // bytes that the answers hold
}

// writeAnswers writes the answers that there are, and closes the connection once nothing more is to be done. It reports whether the
// connection goes on.
func (c *conn) writeAnswers() bool {
	for {
		if !c.takeBatch() {
			return false
		}
		if len(c.batch.slots) > 0 {
			if reason, err := c.writeBatch(); err != nil {
				c.abort(reason)
				return false
			}
		}
		hasNextAnswer, canClose := c.finishBatch()
		if canClose {
			c.closeGracefully()
			return false
		}
		if !hasNextAnswer {
			return true
		}
	}
}

// takeBatch moves the next answers from the slots to the batch. An answer with a payload ends it, since the payload is written before
// the next answer. It returns false if the connection is closed: abort has settled what its slots owe.
func (c *conn) takeBatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	n := 0
	for n < len(c.slots) && c.slots[n].answer != nil && (n == 0 || !c.slots[n-1].hasPayload()) {
		s := c.slots[n]
		c.batch.output = append(c.batch.output, s.answer...)
		c.batch.slots = append(c.batch.slots, s)
		c.batch.size += s.size()
		n++
	}
	c.slots = slices.Delete(c.slots, 0, n) // clears the places behind the end, which would retain answered requests
	if c.writing = n > 0; c.writing {
		c.server.commands.Add(-int64(n))
		c.writingSince, c.writingValue = time.Now(), c.batch.slots[n-1].block != nil
	}
	return true
}

// writeBatch writes the batch and records how its requests ended.
func (c *conn) writeBatch() (reason closeReason, err error) {
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	slots := c.batch.slots
	reason, err = writeFailed, c.writeOutput(slots[len(slots)-1])
	for _, s := range slots {
		if err == nil && s.body.Size > 0 { // the last of the batch
			if err = c.streamBody(s.body); err != nil {
				reason = streamFailed
				s.outcome = figures.Failed
				s.recordOutcome(c.server, true)
				s.logAnswered(c.server, err)
				break
			}
		}
		s.closePayload()
		s.recordOutcome(c.server, err == nil)
		s.logAnswered(c.server, err)
	}
	return reason, err
}

// finishBatch records that the batch has been written, and reports whether there is a further answer and whether the connection can
// be closed.
func (c *conn) finishBatch() (hasNextAnswer, canClose bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if lifecycle.ClosePolicy(c.server.closePolicy.Load()) >= lifecycle.CloseAfterReply && len(c.slots) == 0 && len(c.batch.slots) > 0 {
		// Just after an answer the client is unlikely to be sending. A command that arrives after the close is not read.
		c.beginClose()
	}
	if !c.closed {
		c.unwrittenBytes -= c.batch.size
		c.server.unwrittenBytes.Add(-int64(c.batch.size))
	}
	for _, s := range c.batch.slots {
		c.resumeReading(s)
	}
	c.batch.reset()
	c.lastActive = time.Now()
	c.spaceFreed.Signal()
	// The connection is not closed before the reader has stopped: a command that was read and has no slot yet would
	// be lost.
	return len(c.slots) > 0 && c.slots[0].answer != nil, c.canClose()
}

// reset empties the batch, and releases large allocations.
func (b *batch) reset() {
	clear(b.slots)
	b.slots, b.output, b.size = b.slots[:0], b.output[:0], 0
	if cap(b.slots) > maxKeptBatch {
		b.slots = nil
	}
	if cap(b.output) > maxKeptOutputSize {
		b.output = nil
	}
}

// writeOutput writes the batch's output, and the value in a block that its last answer may have, in one system call.
func (c *conn) writeOutput(last *slot) error {
	if last.block == nil {
		_, err := c.nc.Write(c.batch.output)
		return err
	}
	buffers := net.Buffers{c.batch.output, last.value, []byte(lineEnd)}
	_, err := buffers.WriteTo(c.nc)
	return err
}

// streamBody copies a long value to the client as it arrives. The final line end is written only if the cache has sent
// exactly body.Size bytes: otherwise the client must recognise the truncation by the close of the connection.
func (c *conn) streamBody(body engine.Body) error {
	defer body.Close()
	c.mu.Lock()
	c.streaming = &body
	c.mu.Unlock()
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	for remaining := body.Size; ; {
		n, err := body.Read(buf[:])
		if remaining -= n; err == io.EOF && remaining == 0 {
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = io.WriteString(c.nc, "\r\n")
			return err
		}
		if err == io.EOF || remaining < 0 {
			err = fmt.Errorf("value length mismatch: got %d of %d bytes", body.Size-remaining, body.Size)
		}
		if n > 0 && remaining >= 0 {
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.nc.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			c.server.truncated.Add(1)
			return err
		}
	}
}
