package front

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"minttray/internal/pulse"
)

// arrivalReader reads one client's connection and computes a lower bound of the time at which the bytes read arrived.
// A request's deadline counts from its arrival, and the proxy may read it later: its reader waits for room or works on
// earlier commands, or the process was not scheduled.
type arrivalReader struct {
	nc            net.Conn
	raw           syscall.RawConn // nil if the connection is no socket
	pulse         *pulse.Monitor
	emptyAt       time.Time // all bytes not read yet arrived after this
	receivedAfter time.Time // the last byte read arrived after this

	// State of the current Read.
	readBound time.Time // lower bound of the arrival of its bytes
	dest      []byte
	n         int
	err       error
	blocked   bool      // it found no input at first
	wakeBound time.Time // tighter bound, valid if blocked
	readFunc  func(fd uintptr) (done bool)

	onBlock func() // called when a Read or waitBuffered finds no input; nil: nothing is to be done
}

// newArrivalReader returns a reader of a connection on which nothing had arrived at emptyAt.
func newArrivalReader(nc net.Conn, emptyAt time.Time, pulse *pulse.Monitor) *arrivalReader {
	r := &arrivalReader{nc: nc, pulse: pulse, emptyAt: emptyAt, receivedAfter: emptyAt}
	if socket, ok := nc.(syscall.Conn); ok {
		r.raw, _ = socket.SyscallConn()
	}
	r.readFunc = r.readOnce
	return r
}

// Read reads once and blocks until at least one byte arrives.
func (r *arrivalReader) Read(dest []byte) (int, error) {
	if r.raw == nil {
		n, err := r.nc.Read(dest)
		r.receivedAfter = r.pulse.EarliestArrival(time.Now())
		return n, err
	}
	r.dest, r.blocked, r.readBound = dest, false, r.emptyAt
	err := r.raw.Read(r.readFunc)
	r.dest = nil
	if err != nil {
		return 0, err
	}
	r.receivedAfter = r.readBound
	if r.blocked {
		r.receivedAfter = laterOf(r.wakeBound, r.readBound)
	}
	switch {
	case r.err != nil:
		return 0, r.err
	case r.n == 0 && len(dest) > 0:
		return 0, io.EOF
	}
	return r.n, nil
}

// waitRemoteClose is the function of this name on the reader's connection. Input that arrives meanwhile stays unread;
// when it arrived is recorded for the next Read. It must not be called during a Read.
func (r *arrivalReader) waitRemoteClose() error {
	if r.raw == nil {
		return errors.ErrUnsupported
	}
	empty := false // no input waited when the socket was last looked at
	return r.raw.Read(func(fd uintptr) bool {
		before := time.Now()
		events := pollEvents(fd, unix.POLLIN|unix.POLLRDHUP)
		switch {
		case events&unix.POLLIN == 0:
			r.emptyAt, empty = before, true
		case empty:
			r.emptyAt, empty = r.receiveBound(fd, before), false
		}
		return hasRemoteClose(events)
	})
}

// waitBuffered waits until n bytes can be read without blocking. It returns io.EOF if the client has closed its sending side or the
// connection has broken, also if the bytes are there. The kernel keeps the bytes meanwhile, so a client that is slow or stops holds no
// memory of the process. Like a Read it ends at the read deadline, and it must not be called during one.
func (r *arrivalReader) waitBuffered(n int) error {
	if r.raw == nil {
		return nil
	}
	closed := false
	wakeAtLevel := false // the kernel wakes the reader only once n bytes have arrived, and makes room for them
	err := r.raw.Read(func(fd uintptr) bool {
		for {
			before := time.Now()
			events := pollEvents(fd, unix.POLLIN|unix.POLLRDHUP)
			available, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
			closed = hasRemoteClose(events)
			// Input of no bytes: the system does not count the bytes of this socket, which is read as they come.
			uncounted := available == 0 && events&unix.POLLIN != 0
			if closed || err != nil || uncounted || available >= n {
				return true
			}
			r.emptyAt = before // the last of the bytes is still to come
			r.noteBlock()
			if wakeAtLevel {
				return false
			}
			wakeAtLevel = true
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVLOWAT, n)
		}
	})
	if wakeAtLevel {
		r.raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVLOWAT, 1) })
	}
	if err == nil && closed {
		return io.EOF
	}
	return err
}

// available returns the number of bytes that can be read without blocking, as far as the system tells.
func (r *arrivalReader) available() (n int) {
	if r.raw != nil {
		r.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	}
	return n
}

// hasRemoteClose is the function of this name on the reader's connection, without a wait.
func (r *arrivalReader) hasRemoteClose() (closed bool) {
	if r.raw != nil {
		r.raw.Control(func(fd uintptr) { closed = hasRemoteClose(pollEvents(fd, unix.POLLRDHUP)) })
	}
	return closed
}

// readOnce tries to read without blocking, and records when the socket had no further input.
func (r *arrivalReader) readOnce(fd uintptr) (done bool) {
	for {
		before := time.Now()
		if r.blocked {
			r.wakeBound = r.receiveBound(fd, before)
		}
		r.n, r.err = syscall.Read(int(fd), r.dest)
		switch {
		case errors.Is(r.err, syscall.EINTR):
			continue
		case errors.Is(r.err, syscall.EAGAIN):
			r.emptyAt, r.readBound, r.blocked = before, before, true
			r.noteBlock()
			return false
		case r.err != nil:
			r.n = 0
		case r.n < len(r.dest): // the socket is empty now
			r.emptyAt = before
		}
		return true
	}
}

func (r *arrivalReader) noteBlock() {
	if r.onBlock != nil {
		r.onBlock()
	}
}

// receiveBound returns a lower bound of the arrival of input that a blocked reader was woken for. The reader is woken
// at once, unless the process was not scheduled; then the kernel's time of the last receive is used. It is queried
// before the read: bytes that arrive in between are taken for older than they are, never for newer.
func (r *arrivalReader) receiveBound(fd uintptr, now time.Time) time.Time {
	earliest := r.pulse.EarliestArrival(now)
	if !earliest.Before(now) {
		return now
	}
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return earliest
	}
	return now.Add(-time.Duration(info.Last_data_recv)*time.Millisecond - receiveTimeResolution)
}

// receiveTimeResolution is the resolution of the kernel's time of the last receive.
const receiveTimeResolution = 10 * time.Millisecond

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
