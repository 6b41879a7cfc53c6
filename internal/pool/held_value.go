package pool

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"minttray/internal/engine"
)

// heldPartSize is the size in bytes of the parts in which a value is held.
const heldPartSize = 64 << 10

// errNoValueMemory means that the budget had no room for a value that has to be held whole.
var errNoValueMemory = errors.New("no memory for a value that has to be held whole")

// ValueBudget limits the bytes of long values that are held in memory. *semaphore.Weighted implements it.
type ValueBudget interface {
	// Acquire waits for n bytes until ctx is done.
	Acquire(ctx context.Context, n int64) error
	Release(n int64)
}

// heldValue is a long value that has arrived whole. It gives its memory back as it is read or closed.
type heldValue struct {
	budget ValueBudget

	mu       sync.Mutex
	reserved int64    // bytes of the budget
	parts    [][]byte // not read yet
}

// fill reads size bytes of r, and expects its end behind them.
func (v *heldValue) fill(r io.Reader, size int) error {
	for remaining := size; remaining > 0; {
		part := make([]byte, min(remaining, heldPartSize))
		if _, err := io.ReadFull(r, part); err != nil {
			return err
		}
		v.parts = append(v.parts, part)
		remaining -= len(part)
	}
	if n, err := r.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return errors.Join(ErrInvalidResponse, err)
	}
	return nil
}

// Read implements io.Reader.
func (v *heldValue) Read(b []byte) (int, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(b, v.parts[0])
	if v.parts[0] = v.parts[0][n:]; len(v.parts[0]) == 0 {
		v.parts = v.parts[1:]
	}
	v.release(int64(n))
	return n, nil
}

// Close drops what has not been read. Further calls have no effect.
func (v *heldValue) Close() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.parts = nil
	v.release(v.reserved)
	return nil
}

// release gives n bytes back to the budget. The mutex is held.
func (v *heldValue) release(n int64) {
	v.reserved -= n
	v.budget.Release(n)
}

// serveValue passes a value on as it arrives, or holds it whole first if the request's owner wants that. A value that was to be held and
// is cut is a failed attempt like any other: nothing of it has reached the client.
func (c *conn) serveValue(a *attempt, res engine.Result) {
	if c.pool.shared.HeldValues == nil || a.request.MayStream == nil || a.request.MayStream() {
		c.release(a, c.streamValue(a, res))
		return
	}
	value, keep, err := c.holdValue(a, res.Body.Size)
	if err != nil {
		c.pool.shared.IncompleteValues.Add(1)
		c.closeAndFail(a, ResponseStarted, err)
		return
	}
	c.pool.shared.WholeValues.Add(1)
	c.netConn.SetReadDeadline(time.Time{})
	c.release(a, keep)
	res.Body.ReadCloser = value
	a.complete(res)
}

// holdValue reads a value of size bytes to its end. It waits for memory until the attempt's own deadline.
func (c *conn) holdValue(a *attempt, size int) (whole *heldValue, keep bool, err error) {
	budget := c.pool.shared.HeldValues
	waitCtx, cancel := context.WithDeadline(context.Background(), a.responseDeadline)
	defer cancel()
	if budget.Acquire(waitCtx, int64(size)) != nil {
		return nil, false, errNoValueMemory
	}
	value := &heldValue{budget: budget, reserved: int64(size)}
	r, w := io.Pipe()
	filled := make(chan error, 1)
	go func() {
		fillErr := value.fill(r, size)
		r.CloseWithError(fillErr)
		filled <- fillErr
	}()
	defer func() {
		w.CloseWithError(io.ErrUnexpectedEOF) // has no effect behind the value's end
		if fillErr := <-filled; err == nil {
			err = fillErr
		}
		if whole = value; err != nil {
			value.Close()
			whole = nil
		}
	}()
	err = errPanic // unless StreamValue returns
	if keep, err = c.responses.StreamValue(w); err == nil {
		w.Close()
	}
	return nil, keep, err
}
