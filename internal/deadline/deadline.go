// Package deadline owns a request's deadline: the moment at which its client stops waiting. It is made once, where the request is read,
// on the monotonic clock, and can only be lowered from there on. What an attempt passes to its server is computed from it as the attempt is
// written, and the client's own figure is cut out of the request as that is read, so that no caller can pass it on.
package deadline

import (
	"errors"
	"strconv"
	"time"
)

// Deadline is the moment at which a request's client stops waiting. The zero value has passed long ago.
type Deadline struct{ at time.Time }

// After is the deadline of a request that was received at a moment, and whose client waits for so long from then on.
func After(received time.Time, wait time.Duration) Deadline { return Deadline{received.Add(wait)} }

// AtMost is the deadline, or the given moment if that is earlier.
func (d Deadline) AtMost(latest time.Time) Deadline {
	if latest.Before(d.at) {
		return Deadline{latest}
	}
	return d
}

// Remaining is how long the client still waits.
func (d Deadline) Remaining(now time.Time) time.Duration { return d.at.Sub(now) }

// Transfer is how a request travels to its server.
type Transfer uint8

const (
	SingleWrite    Transfer = iota // in one write
	MultipleWrites                 // a long value, in many writes
)

// A server begins a request when its last byte has come, and that is later than the clock was read: by what a busy system, or a slow
// reader, holds the write up. So much of what is left is kept back for that, and a write that takes longer is broken off. The margin is
// a share of what is left, so that it fits deadlines of any length; operators tolerate 150 ms more, which stay for a process that is itself
// held up between its clock and its write.
const (
	singleWriteMargin   = 16 // one part in so many, of what is left
	multipleWriteMargin = 4
)

// minDeadline is the shortest deadline that can be passed: it travels in whole milliseconds.
const minDeadline = time.Millisecond

// ErrNoTime means that so little is left that no deadline can be passed: the attempt must not be written.
var ErrNoTime = errors.New("no time is left for an attempt")

// AttemptDeadline is the deadline that one attempt passes to its server.
type AttemptDeadline struct {
	milliseconds int64 // what the server is told to have
	writeBy      time.Time
}

// ForAttempt computes what an attempt passes that is written now, and whose answer the proxy waits for until a moment of its own.
func (d Deadline) ForAttempt(now, until time.Time, how Transfer) (AttemptDeadline, error) {
	left := d.Remaining(now)
	margin := left / singleWriteMargin
	if how == MultipleWrites {
		margin = left / multipleWriteMargin
	}
	wait := min(left-margin, until.Sub(now))
	if wait < minDeadline {
		return AttemptDeadline{}, ErrNoTime
	}
	wait = wait.Truncate(time.Millisecond)
	return AttemptDeadline{wait.Milliseconds(), d.at.Add(-wait)}, nil
}

// WriteBy is when the attempt's last byte must have been written: later, the server would be told more than is left.
func (p AttemptDeadline) WriteBy() time.Time { return p.writeBy }

// Properties are a request's names and values as its client sent them, but for the client's own deadline.
type Properties struct{ before, after string }

// RemoveDeadline takes the client's deadline, which stands from one place to another, out of a list.
func RemoveDeadline(list string, from, to int) Properties { return Properties{list[:from], list[to:]} }

// Size is the length of what is kept.
func (p Properties) Size() int { return len(p.before) + len(p.after) }

// Append adds the list with what an attempt passes in the place of the client's deadline; all else is as it came.
func (p Properties) Append(b []byte, passed AttemptDeadline) []byte {
	b = append(b, p.before...)
	b = strconv.AppendInt(b, passed.milliseconds, 10)
	return append(b, p.after...)
}
