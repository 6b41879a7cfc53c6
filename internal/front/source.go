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

// source reads one client's connection, and bounds the moment at which what it read had come. A request's time counts from there, and the
// proxy may read it later: its reader waits for room, or is behind with what came before, or the process was not run.
type source struct {
	nc    net.Conn
	raw   syscall.RawConn // nil: the connection is no socket
	pulse *pulse.Monitor
	empty time.Time // nothing that has not been read had come by then
	came  time.Time // the last byte that was read came after this

	// Of the read that is under way.
	known   time.Time // what it brings had not come by then
	into    []byte
	n       int
	err     error
	waited  bool
	arrived time.Time // it had not come by then, if the reader waited for it
	attempt func(fd uintptr) (done bool)
}

// newSource reads a connection on which nothing had come by a moment.
func newSource(nc net.Conn, empty time.Time, pulse *pulse.Monitor) *source {
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
		s.came = s.pulse.EarliestArrival(time.Now())
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
		s.came = later(s.arrived, s.known)
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
		if s.waited {
			s.arrived = s.arrival(fd, before)
		}
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

// arrival is a moment at which what a reader has waited for had not come. Whoever waits is woken at once, unless the process was not run: then our
// system knows when it last received something. Asked ahead of the read: what comes in between is taken for older than it is, never for newer.
func (s *source) arrival(fd uintptr, now time.Time) time.Time {
	since := s.pulse.EarliestArrival(now)
	if !since.Before(now) {
		return now
	}
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return since
	}
	return now.Add(-time.Duration(info.Last_data_recv)*time.Millisecond - receiveGrain)
}

// receiveGrain is how coarsely the system keeps the time of what it received.
const receiveGrain = 10 * time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
