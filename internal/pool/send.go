package pool

import (
	"io"
	"net"
	"time"

	"minttray/internal/deadline"
	"minttray/internal/engine"
)

// alwaysHeld is the size of a request that our system takes at once, as nothing else is on its way there: the least buffer of a socket.
const alwaysHeld = 4 << 10

// keptBuffer is the largest buffer for requests that an idle connection keeps.
const keptBuffer = 16 << 10

// send writes a request. The deadline that it passes on is computed here, right ahead of the write, and nowhere else; a write
// that does not end in the time that was left out of it is broken off.
func (c *conn) send(a *attempt) (passed deadline.AttemptDeadline, err error) {
	r := a.request
	if !r.Probe {
		how := deadline.SingleWrite
		if len(r.Parts) > 0 {
			how = deadline.MultipleWrites
		}
		if passed, err = r.Deadline.ForAttempt(time.Now(), a.until, how); err != nil {
			return passed, err
		}
	}
	var gap int
	c.out, gap = c.pool.protocol.Append(c.out[:0], r, passed)
	if slow := r.Size()+len(c.out) > alwaysHeld; slow && !r.Probe {
		c.nc.SetWriteDeadline(passed.WriteBy())
		defer c.nc.SetWriteDeadline(time.Time{})
	}
	err = c.write(r, gap)
	if cap(c.out) > keptBuffer {
		c.out = nil
	}
	return passed, err
}

// write writes a request, with a value in parts put into its gap.
func (c *conn) write(r *engine.Request, gap int) error {
	if gap == 0 {
		n, err := c.nc.Write(c.out)
		if n < len(c.out) && err == nil {
			err = io.ErrShortWrite
		}
		return err
	}
	all := append(append(net.Buffers{c.out[:gap]}, r.Parts...), c.out[gap:])
	_, err := all.WriteTo(c.nc)
	return err
}
