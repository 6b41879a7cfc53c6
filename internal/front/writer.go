package front

import (
	"errors"
	"io"
	"sync"
	"time"

	"minttray/decide/lifecycle"
	"minttray/internal/engine"
	"minttray/internal/figures"
)

// write writes answers as far as the order allows.
func (c *conn) write() {
	defer func() {
		if fault := recover(); fault != nil {
			c.front.panicked(c, fault)
			c.drop(panicked)
		}
	}()
	var out []byte
	var done []slot // whose answers are in out
	for range c.wake {
		c.mu.Lock()
		n := 0
		for n < len(c.slots) && c.slots[n].answer != nil && (n == 0 || c.slots[n-1].body.Size == 0) {
			out = append(out, c.slots[n].answer...)
			done = append(done, slot{op: c.slots[n].op, class: c.slots[n].class, end: c.slots[n].end, body: c.slots[n].body})
			n++
		}
		c.slots = append(c.slots[:0], c.slots[n:]...)
		ended := c.ended
		c.writing = n > 0 && !ended
		c.mu.Unlock()
		if ended {
			return
		}
		if len(out) > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(slowClient))
			why := writeFailed
			_, err := c.nc.Write(out)
			for _, s := range done {
				if err == nil && s.body.Size > 0 { // the last of them
					if err = c.pass(s.body); err != nil {
						why = valueBroken
						s.end = figures.Failed
						s.over(c.front, true)
						s.log(c.front, err)
						break
					}
				}
				s.let()
				s.over(c.front, err == nil)
				s.log(c.front, err)
			}
			clear(done)
			if done = done[:0]; err != nil {
				c.drop(why)
				return
			}
		}
		c.mu.Lock()
		c.writing = false
		if lifecycle.ClosePolicy(c.front.phase.Load()) >= lifecycle.CloseAfterReply && len(c.slots) == 0 && len(out) > 0 {
			// Right behind an answer the client is least likely to be writing: what crosses the end is left unread.
			c.endReading()
		}
		if !c.ended {
			c.piled -= len(out)
			c.front.piled.Add(-int64(len(out)))
		}
		c.used = time.Now()
		c.room.Signal()
		// Not before the reader has stopped: a command that it has read but not yet put in its place would be lost.
		last := c.closable()
		more := len(c.slots) > 0 && c.slots[0].answer != nil
		c.mu.Unlock()
		if out = out[:0]; cap(out) > 16<<10 {
			out = nil
		}
		if last {
			c.bye()
			return
		}
		if more {
			c.signal()
		}
	}
}

// pass hands on a value as it comes. The last line end is not written before the value has ended as it should: else the
// client must be able to tell, by the end of its connection.
func (c *conn) pass(body engine.Body) error {
	defer body.Close()
	c.mu.Lock()
	c.body = &body
	c.mu.Unlock()
	buf := passing.Get().(*[32 << 10]byte)
	defer passing.Put(buf)
	for left := body.Size; ; {
		n, err := body.Read(buf[:])
		if left -= n; err == io.EOF && left == 0 {
			c.nc.SetWriteDeadline(time.Now().Add(slowClient))
			_, err = io.WriteString(c.nc, "\r\n")
			return err
		}
		if err == io.EOF || left < 0 {
			err = errShort
		}
		if n > 0 && left >= 0 {
			c.nc.SetWriteDeadline(time.Now().Add(slowClient))
			if _, err := c.nc.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			c.front.cutOff.Add(1)
			return err
		}
	}
}

var (
	passing  = sync.Pool{New: func() any { return new([32 << 10]byte) }}
	errShort = errors.New("a value of another length than was said")
)
