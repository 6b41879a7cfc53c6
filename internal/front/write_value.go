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

// attach makes the value that of an op. A nil value is none.
func (v *writeValue) attach(op *engine.Op) {
	switch {
	case v == nil:
	case v.isLong():
		op.Request.Parts = v.parts
	default:
		op.Request.Value = v.parts[0]
	}
}

// release gives the memory back. A nil value has none.
func (v *writeValue) release() {
	if v == nil {
		return
	}
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

// valueWaitDivisor is the share of a client's time for which its write may wait for memory: a refusal has to come within half of it.
const valueWaitDivisor = 4

// valueWait returns how long a write may wait for memory: a part of the time that its client waits, and longValueWait at most. words
// are those before the value.
func (c *conn) valueWait(words [][]byte) time.Duration {
	now := time.Now()
	op, err := c.server.names.Load().parseRequest(append(words, nil), true, now)
	if err != nil {
		return 0 // the command is rejected once its value has been read
	}
	return min(op.Request.Deadline.Remaining(now)/valueWaitDivisor, c.server.longValueWait)
}

// handleWrite reads a command whose value exceeds inlineLimits and whose other words are in the buffer. The value is read into
// memory of its own, or thrown away and the request refused if there is none. It reports whether to read on.
func (c *conn) handleWrite(tooLong *resp.BulkTooLongError) bool {
	words := tooLong.ElementsBefore(c.buf.Bytes())
	c.mu.Lock()
	c.hasUnhandledInput, c.commandSeen = true, true
	c.readWait = waitCommandRest
	c.readerChanged.Broadcast()
	c.mu.Unlock()
	input := &valueInput{conn: c, buffered: c.buf.Bytes()[tooLong.Offset:], deadline: time.Now().Add(longValueTimeout)}
	value, err := input.receive(tooLong.Length, words)
	if err != nil {
		value.release()
		if errors.Is(err, errLongValue) {
			c.rejectAndStop(&c.server.partialTimeouts, err)
		} else if errors.Is(err, errFraming) {
			c.rejectAndStop(&c.server.malformed, err)
		} else {
			c.abort(clientGone)
		}
		return false
	}
	defer c.buf.Discard(tooLong.Offset + input.used) // the words refer to the buffer
	c.partialSince = time.Time{}
	if value == nil {
		c.server.rejected.Add(1)
		return c.refuseWrite(words)
	}
	return c.handleCommand(append(words, nil), value, c.source.receivedAfter)
}

// valueInput reads a write's value and the line end after it: what is in the connection's buffer, and then from the client. The
// buffer is left as it is, since the command's other words stand there.
type valueInput struct {
	conn     *conn
	buffered []byte // not consumed yet
	used     int    // bytes of the buffer that were consumed
	deadline time.Time
}

// receive acquires memory for a value of size bytes and reads it. value is nil if there was no memory.
func (in *valueInput) receive(size int, words [][]byte) (value *writeValue, err error) {
	c := in.conn
	if size <= engine.MaxContiguousBytes {
		in.deadline = time.Now().Add(partialCommandTimeout)
		if err := in.awaitArrival(size + len(lineEnd) - len(in.buffered)); err != nil {
			return nil, err
		}
	}
	value = c.acquireValue(size, func() time.Duration { return c.valueWait(words) })
	if earliest := time.Now().Add(closingReadTimeout); in.deadline.Before(earliest) {
		in.deadline = earliest // the time spent on the wait for memory is not the client's
	}
	if value == nil {
		err = in.skip(size)
	} else {
		err = in.fill(value)
	}
	if err != nil {
		return value, err
	}
	return value, in.readLineEnd()
}

const (
	// arrivalCheckInterval is the time between two looks at how much of a value the kernel holds.
	arrivalCheckInterval = 100 * time.Millisecond
	// leastReceiveWindow is the number of bytes from which a value that has stopped arriving may have stopped for lack of room.
	leastReceiveWindow = 16 << 10
)

// awaitArrival waits until the kernel holds n further bytes, or as many of them as it seems to have room for.
func (in *valueInput) awaitArrival(n int) error {
	for available := 0; n > 0; {
		arrived, err := in.awaitFor(n, arrivalCheckInterval)
		if arrived || err != nil {
			return err
		}
		before := available
		if available = in.conn.source.available(); available == before && available >= leastReceiveWindow {
			return nil
		}
	}
	return nil
}

// awaitFor waits for awaitArrival, for a time at most.
func (in *valueInput) awaitFor(n int, limit time.Duration) (arrived bool, err error) {
	latest := time.Now().Add(limit)
	if latest.After(in.deadline) {
		latest = in.deadline
	}
	if !in.conn.setLongReadDeadline(latest) {
		return false, errLongValue
	}
	err = in.conn.source.waitBuffered(n)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err == nil, err
	}
	if in.conn.startGrace() || time.Now().Before(in.deadline) {
		return false, nil
	}
	return false, errLongValue
}

// fill reads a value whole.
func (in *valueInput) fill(value *writeValue) error {
	for remaining := value.size; remaining > 0; {
		n, err := in.read(value.nextPart())
		value.add(n)
		if remaining -= n; err != nil && n == 0 {
			return err
		}
	}
	return nil
}

// skip reads n bytes and throws them away.
func (in *valueInput) skip(n int) error {
	scratch := make([]byte, skipSize)
	for n > 0 {
		skipped, err := in.read(scratch[:min(n, skipSize)])
		if n -= skipped; err != nil && skipped == 0 {
			return err
		}
	}
	return nil
}

// skipSize is the number of bytes that are thrown away at a time.
const skipSize = 4 << 10

// lineEnd ends each line and each value.
const lineEnd = "\r\n"

func (in *valueInput) readLineEnd() error {
	var end [len(lineEnd)]byte
	for at := 0; at < len(end); {
		n, err := in.read(end[at:])
		if at += n; err != nil && n == 0 {
			return err
		}
	}
	if string(end[:]) != lineEnd {
		return errFraming
	}
	return nil
}

// read reads the next bytes. It returns errLongValue at the deadline.
func (in *valueInput) read(dest []byte) (n int, err error) {
	if n = copy(dest, in.buffered); n > 0 {
		in.buffered = in.buffered[n:]
		in.used += n
		return n, nil
	}
	err = in.attempt(func() (err error) {
		n, err = in.conn.input.Read(dest)
		return err
	})
	return n, err
}

// attempt calls read with a deadline, and returns errLongValue at the end of the time for the rest of a command.
func (in *valueInput) attempt(read func() error) error {
	if !in.conn.setLongReadDeadline(in.deadline) {
		return errLongValue
	}
	err := read()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if in.conn.startGrace() {
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
	op.MarkRead(time.Now())
	return c.refuse(&slot{conn: c, op: op, class: c.server.names.Load().classes[op.Category]}, noValueMemory)
}
