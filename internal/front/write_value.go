package front

import (
	"bytes"
	"context"
	"errors"
	"os"
	"time"

	"minttray/internal/engine"
	"minttray/internal/memory"
	"minttray/internal/resp"
)

// longValueTimeout bounds the time in which a value must arrive completely.
const longValueTimeout = 20 * time.Second

var errLongValue = errors.New("the rest of the value did not come")

// writeValue is the memory of a write's value that is read apart from its command: one block, or several for a value longer
// than engine.MaxContiguousBytes.
type writeValue struct {
	server *Server
	size   int
	blocks []*memory.Block
	parts  [][]byte // the bytes that have arrived, by block
}

// isLong reports whether the value takes part of the budget of long values.
func (v *writeValue) isLong() bool { return v.size > engine.MaxContiguousBytes }

// attach makes the value that of an op, which releases it.
func (v *writeValue) attach(op *engine.Op) {
	if op.OnRelease = v.release; v.isLong() {
		op.Request.Parts = v.parts
	} else {
		op.Request.Value = v.parts[0]
	}
}

// release gives the memory back.
func (v *writeValue) release() {
	for _, block := range v.blocks {
		block.Release()
	}
	if v.blocks = nil; v.isLong() {
		v.server.longValueBudget.Release(int64(v.size))
	}
}

// nextPart returns the free place for the next bytes.
func (v *writeValue) nextPart() []byte {
	arrived := 0
	for _, part := range v.parts {
		arrived += len(part)
	}
	if len(v.parts) == 0 || len(v.parts[len(v.parts)-1]) == memory.BlockSize {
		if len(v.parts) == len(v.blocks) {
			v.blocks = append(v.blocks, v.server.longValueBlock())
		}
		v.parts = append(v.parts, v.blocks[len(v.parts)].Bytes()[:0])
	}
	last := v.parts[len(v.parts)-1]
	return last[len(last):min(memory.BlockSize, len(last)+v.size-arrived)]
}

// add records that n bytes of the part that nextPart returned have arrived.
func (v *writeValue) add(n int) {
	last := &v.parts[len(v.parts)-1]
	*last = (*last)[:len(*last)+n]
}

// longValueBlock returns a block for a part of a long value, whose share of the budget is held. The blocks are as many as the
// budget needs, so that one is left; if they were lost, the part is allocated.
func (srv *Server) longValueBlock() *memory.Block {
	if block := srv.Blocks.LongValues.TryAcquire(); block != nil {
		return block
	}
	var unlimited *memory.Pool
	return unlimited.TryAcquire()
}

// acquireValue returns memory for a value of size bytes, or nil if there is none. It waits for it no longer than wait.
func (c *conn) acquireValue(size int, wait func() time.Duration) *writeValue {
	v := &writeValue{server: c.server, size: size}
	acquire := func(ctx context.Context) bool {
		block, err := c.server.Blocks.Values.Acquire(ctx)
		v.blocks = []*memory.Block{block}
		return err == nil
	}
	if v.isLong() {
		acquire = func(ctx context.Context) bool { return c.server.longValueBudget.Acquire(ctx, int64(size)) == nil }
		if c.server.longValueBudget.TryAcquire(int64(size)) {
			return v
		}
	} else if block := c.server.Blocks.Values.TryAcquire(); block != nil {
		v.blocks = []*memory.Block{block}
		return v
	}
	c.input.end()
	ctx, cancel := context.WithTimeout(context.Background(), wait())
	defer cancel()
	defer c.watchPeer(cancel)()
	if !acquire(ctx) {
		return nil
	}
	return v
}

// valueWait returns how long a write may wait for memory: half of the time that its client waits, and longValueWait at most. words
// are those before the value.
func (c *conn) valueWait(words [][]byte) time.Duration {
	now := time.Now()
	op, err := c.server.names.Load().parseRequest(append(words, nil), true, now)
	if err != nil {
		return 0 // the command is rejected once its value has been read
	}
	return min(op.Request.Deadline.Remaining(now)/2, c.server.longValueWait)
}

// handleWrite reads a command whose value exceeds inlineLimits and whose other words are in the buffer. The value is read into
// memory of its own, or thrown away and the request refused if there is none. It reports whether to read on.
func (c *conn) handleWrite(tooLong *resp.BulkTooLongError) bool {
	words := tooLong.ElementsBefore(c.buf.Bytes())
	for i, word := range words {
		words[i] = bytes.Clone(word)
	}
	c.buf.Discard(tooLong.Offset)
	c.mu.Lock()
	c.hasUnhandledInput, c.commandSeen = true, true
	c.readWait = waitCommandRest
	c.readerChanged.Broadcast()
	c.mu.Unlock()
	value, err := c.receiveValue(tooLong.Length, words)
	if err != nil {
		if value != nil {
			value.release()
		}
		if errors.Is(err, errLongValue) {
			c.rejectAndStop(&c.server.partialTimeouts, err)
		} else if errors.Is(err, errFraming) {
			c.rejectAndStop(&c.server.malformed, err)
		} else {
			c.abort(clientGone)
		}
		return false
	}
	c.partialSince = time.Time{}
	if value == nil {
		c.server.rejected.Add(1)
		return c.refuseWrite(words)
	}
	return c.handleCommand(append(words, nil), value, c.source.receivedAfter)
}

// receiveValue acquires memory for a value of size bytes and reads it. value is nil if there was no memory.
func (c *conn) receiveValue(size int, words [][]byte) (value *writeValue, err error) {
	deadline := time.Now().Add(longValueTimeout)
	if size <= engine.MaxContiguousBytes {
		deadline = time.Now().Add(partialCommandTimeout)
		if err := c.awaitBuffered(size+len(lineEnd)-len(c.buf.Bytes()), deadline); err != nil {
			return nil, err
		}
	}
	value = c.acquireValue(size, func() time.Duration { return c.valueWait(words) })
	return value, c.readValue(size, value, max(time.Until(deadline), closingReadTimeout))
}

// awaitBuffered waits until the kernel holds n further bytes of a command.
func (c *conn) awaitBuffered(n int, deadline time.Time) error {
	for buffered := n <= 0; !buffered; {
		err := c.readRest(deadline, func() error {
			waitErr := c.source.waitBuffered(n)
			buffered = waitErr == nil
			return waitErr
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// readValue reads a value of size bytes and the line end after it. A nil value is thrown away as it arrives.
func (c *conn) readValue(size int, value *writeValue, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for remaining := size; remaining > 0; {
		n, err := 0, error(nil)
		if value == nil {
			if n = min(len(c.buf.Bytes()), remaining); n == 0 {
				err = c.readRest(deadline, func() error { return c.buf.Fill(c.input) })
			}
			c.buf.Discard(n)
		} else {
			n, err = c.readPart(value.nextPart(), deadline)
			value.add(n)
		}
		if remaining -= n; err != nil && n == 0 {
			return err
		}
	}
	for len(c.buf.Bytes()) < len(lineEnd) {
		if err := c.readRest(deadline, func() error { return c.buf.Fill(c.input) }); err != nil {
			return err
		}
	}
	if string(c.buf.Bytes()[:len(lineEnd)]) != lineEnd {
		return errFraming
	}
	c.buf.Discard(len(lineEnd))
	return nil
}

const lineEnd = "\r\n"

// readPart reads the next bytes of a value, from the buffer first. It returns errLongValue at the deadline.
func (c *conn) readPart(free []byte, deadline time.Time) (n int, err error) {
	if n = copy(free, c.buf.Bytes()); n > 0 {
		c.buf.Discard(n)
		return n, nil
	}
	err = c.readRest(deadline, func() (err error) {
		n, err = c.input.Read(free)
		return err
	})
	return n, err
}

// readRest reads once. At the end of the time for the rest of a command it returns errLongValue.
func (c *conn) readRest(deadline time.Time, read func() error) error {
	if !c.setLongReadDeadline(deadline) {
		return errLongValue
	}
	err := read()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if c.startGrace() {
		return nil
	}
	return errLongValue
}

// setLongReadDeadline sets the read deadline for the next bytes of a long value, at most latest. It reports whether
// that is still ahead.
func (c *conn) setLongReadDeadline(latest time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(partialCommandTimeout)
	if c.closing && c.graceUsed {
		deadline = c.graceDeadline
	}
	if deadline.After(latest) {
		deadline = latest
	}
	c.nc.SetReadDeadline(deadline)
	return time.Now().Before(deadline)
}

// startGrace grants, once, closingReadTimeout for the rest of a value on a connection that closes.
func (c *conn) startGrace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing || c.graceUsed {
		return false
	}
	c.beginGrace(time.Now())
	return true
}

// refuseWrite refuses a write for lack of memory, after its value has arrived.
func (c *conn) refuseWrite(words [][]byte) bool {
	op, err := c.server.names.Load().parseRequest(append(words, nil), true, c.source.receivedAfter)
	if err != nil || string(bytes.ToUpper(words[0])) != "CACHE.SET" {
		return c.rejectCommand(&c.server.malformed, errors.New("long value in no command that takes one"))
	}
	s := &slot{conn: c, op: op, class: c.server.names.Load().classes[op.Category]}
	if !c.reserve(s) {
		return false
	}
	c.mu.Lock()
	s.op = nil
	c.mu.Unlock()
	s.Nacked(0)
	return true
}
