package pool

import (
	"io"
	"net"
	"time"

	"minttray/internal/deadline"
	"minttray/internal/engine"
)

// minSocketBuffer is the smallest send buffer of a socket in bytes. The kernel accepts a request of up to this size at once if the
// buffer is empty.
const minSocketBuffer = 4 << 10

// maxIdleBuffer is the largest write buffer in bytes that an idle connection retains.
const maxIdleBuffer = 16 << 10

// send writes a request. Immediately before the write it computes the deadline that is sent to the server. A write that may block and takes
// longer than the margin subtracted from that deadline fails.
func (c *conn) send(a *attempt) (attemptDeadline deadline.AttemptDeadline, err error) {
	r := a.request
	if !r.Probe {
		transfer := deadline.SingleWrite
		if len(r.Parts) > 0 {
			transfer = deadline.MultipleWrites
		}
		if attemptDeadline, err = r.Deadline.ForAttempt(time.Now(), a.responseDeadline, transfer); err != nil {
			return attemptDeadline, err
		}
	}
	var valueOffset int
	c.writeBuffer, valueOffset = c.pool.protocol.AppendRequest(c.writeBuffer[:0], r, attemptDeadline)
	if mayBlock := r.Size()+len(c.writeBuffer) > minSocketBuffer; mayBlock && !r.Probe {
		c.netConn.SetWriteDeadline(attemptDeadline.WriteBy())
		defer c.netConn.SetWriteDeadline(time.Time{})
	}
	err = c.write(r, valueOffset)
	if cap(c.writeBuffer) > maxIdleBuffer {
		c.writeBuffer = nil
	}
	return attemptDeadline, err
}

// write writes a request, inserting its value at valueOffset; 0 means that there is nothing to insert.
func (c *conn) write(r *engine.Request, valueOffset int) error {
	if valueOffset == 0 {
		n, err := c.netConn.Write(c.writeBuffer)
		if n < len(c.writeBuffer) && err == nil {
			err = io.ErrShortWrite
		}
		return err
	}
	buffers := append(append(net.Buffers{c.writeBuffer[:valueOffset]}, r.Pieces()...), c.writeBuffer[valueOffset:])
	_, err := buffers.WriteTo(c.netConn)
	return err
}
