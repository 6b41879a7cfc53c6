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
	maxKeptOutputSize = 4 << 10 // a larger output buffer is released after the write
	maxKeptBatch      = 32      // a longer list of answers is released after the write
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeLoop writes answers in the order of their commands.
func (c *conn) writeLoop() {
	defer func() {
		if recovered := recover(); recovered != nil {
			c.server.logPanic(c, recovered)
			c.abort(connPanicked)
		}
	}()
	var output []byte
	var batch []*slot // whose answers are in output
	for range c.wake {
		c.mu.Lock()
		if c.closed { // abort has settled what its slots owe
			c.mu.Unlock()
			return
		}
		n := 0 // length of the batch; an answer with a payload ends it, since the payload is written before the next answer
		for n < len(c.slots) && c.slots[n].answer != nil && (n == 0 || !c.slots[n-1].hasPayload()) {
			output = append(output, c.slots[n].answer...)
			batch = append(batch, c.slots[n])
			n++
		}
		c.slots = slices.Delete(c.slots, 0, n) // clears the places behind the end, which would retain answered requests
		c.writing = n > 0
		written := 0 // bytes that the batch holds
		if n > 0 {
			c.server.commands.Add(-int64(n))
			c.writingSince, c.writingValue = time.Now(), batch[n-1].block != nil
			written = len(output) + batch[n-1].size() - len(batch[n-1].answer)
		}
		c.mu.Unlock()
		if len(output) > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			reason := writeFailed
			err := c.writeBatch(output, batch[len(batch)-1])
			for _, s := range batch {
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
			clear(batch)
			if batch = batch[:0]; cap(batch) > maxKeptBatch {
				batch = nil
			}
			if err != nil {
				c.abort(reason)
				return
			}
		}
		c.mu.Lock()
		c.writing = false
		if lifecycle.ClosePolicy(c.server.closePolicy.Load()) >= lifecycle.CloseAfterReply && len(c.slots) == 0 && len(output) > 0 {
			// Just after an answer the client is unlikely to be sending. A command that arrives after the close is not read.
			c.beginClose()
		}
		if !c.closed {
			c.unwrittenBytes -= written
			c.server.unwrittenBytes.Add(-int64(written))
		}
		c.lastActive = time.Now()
		c.spaceFreed.Signal()
		if len(c.slots) == 0 {
			c.resumeReading()
		}
		// The connection is not closed before the reader has stopped: a command that was read and has no slot yet would
		// be lost.
		canClose := c.canClose()
		hasNextAnswer := len(c.slots) > 0 && c.slots[0].answer != nil
		c.mu.Unlock()
		if output = output[:0]; cap(output) > maxKeptOutputSize {
			output = nil
		}
		if canClose {
			c.closeGracefully()
			return
		}
		if hasNextAnswer {
			c.wakeWriter()
		}
	}
}

// writeBatch writes the answers of a batch, and the value in a block that its last answer may have, in one system call.
func (c *conn) writeBatch(output []byte, last *slot) error {
	if last.block == nil {
		_, err := c.nc.Write(output)
		return err
	}
	buffers := net.Buffers{output, last.value, []byte(lineEnd)}
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
