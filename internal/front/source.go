package front

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"minttray/internal/pulse"
)

// source reads one client's connection, and bounds the moment at which what it read had come. A request's time counts from there, and the
// proxy may read it later: its reader waits for room, or is behind with what came before, or the process was not run.
type source struct {
	nc    net.Conn
	raw   syscall.RawConn // nil: the connection is no socket
	pulse *pulse.Pulse
	empty time.Time // nothing that has not been read had come by then
	came  time.Time // the last byte that was read came after this

	// Of the read that is under way.
	known   time.Time // what it brings had not come by then
	into    []byte
	n       int
	err     error
	waited  bool
	attempt func(fd uintptr) (done bool)
}

// newSource reads a connection on which nothing had come by a moment.
func newSource(nc net.Conn, empty time.Time, pulse *pulse.Pulse) *source {
	s := &source{nc: nc, pulse: pulse, empty: empty, came: empty}
	if socket, ok := nc.(syscall.Conn); ok {
		s.raw, _ = socket.SyscallConn()
	}
	s.attempt = s.readOnce
	return s
}

// Read reads once, waiting for at least a byte.
func (s *source) Read(into []byte) (int, error) {
	if s.raw == nil {
		n, err := s.nc.Read(into)
		s.came = s.pulse.Since(time.Now())
		return n, err
	}
	s.into, s.waited, s.known = into, false, s.empty
	err := s.raw.Read(s.attempt)
	s.into = nil
	if err != nil {
		return 0, err
	}
	s.came = s.known
	if s.waited {
		// It came while the reader waited, and whoever waits is woken at once, unless the process was not run.
		s.came = later(s.pulse.Since(time.Now()), s.known)
	}
	switch {
	case s.err != nil:
		return 0, s.err
	case s.n == 0 && len(into) > 0:
		return 0, io.EOF
	}
	return s.n, nil
}

// readOnce tries to read, and notes when nothing further was there.
func (s *source) readOnce(fd uintptr) (done bool) {
	for {
		before := time.Now()
		s.n, s.err = syscall.Read(int(fd), s.into)
		switch {
		case errors.Is(s.err, syscall.EINTR):
			continue
		case errors.Is(s.err, syscall.EAGAIN):
			s.empty, s.known, s.waited = before, before, true
			return false
		case s.err != nil:
			s.n = 0
		case s.n < len(s.into): // all that there was
			s.empty = before
		}
		return true
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
