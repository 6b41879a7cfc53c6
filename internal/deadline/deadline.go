// Package deadline holds a request's deadline: the time at which its client stops waiting. The deadline is set once, when the request is
// read, on the monotonic clock, and can only be lowered afterwards. The deadline that an attempt sends to its server is computed when the
// attempt is written. The client's own value is removed when the request is read, so that no caller can forward it unchanged.
package deadline

import (
	"errors"
	"strconv"
	"time"
)

// Deadline is the time at which a request's client stops waiting. The zero value has expired.
type Deadline struct{ at time.Time }

// After returns the deadline of a request received at the given time whose client waits for the given duration.
func After(received time.Time, wait time.Duration) Deadline { return Deadline{received.Add(wait)} }

// AtMost returns the earlier of the deadline and the given time.
func (d Deadline) AtMost(latest time.Time) Deadline {
	if latest.Before(d.at) {
		return Deadline{latest}
	}
	return d
}

// Remaining returns how long the client still waits; it is negative after the deadline.
func (d Deadline) Remaining(now time.Time) time.Duration { return d.at.Sub(now) }

// Transfer is how a request is written to its server.
type Transfer uint8

const (
	SingleWrite    Transfer = iota // the whole request in one write
	MultipleWrites                 // a long value, streamed in several writes
)

// A server starts a request when its last byte has arrived, which is later than the proxy read its clock: a busy system or a slow reader
// may hold up the write. A margin is therefore subtracted from the remaining time, and a write that takes longer is aborted. The margin is
// a fraction of the remaining time so that it suits deadlines of any length. Operators tolerate a further 150 ms, which is reserved for a
// process that is stalled between reading its clock and writing.
const (
	singleWriteMargin   = 16 // divisor of the remaining time
	multipleWriteMargin = 4
)

// minDeadline is the shortest deadline that can be sent, as the wire format has whole milliseconds.
const minDeadline = time.Millisecond

// ErrNoTime means that too little time remains to send a deadline. The attempt must not be written.
var ErrNoTime = errors.New("no time is left for an attempt")

// AttemptDeadline is the deadline that one attempt sends to its server.
type AttemptDeadline struct {
	milliseconds int64 // time the server is given
	writeBy      time.Time
}

// ForAttempt computes the deadline of an attempt that is written now. The proxy itself stops waiting for the attempt's answer at until.
func (d Deadline) ForAttempt(now, until time.Time, transfer Transfer) (AttemptDeadline, error) {
	remaining := d.Remaining(now)
	margin := remaining / singleWriteMargin
	if transfer == MultipleWrites {
		margin = remaining / multipleWriteMargin
	}
	wait := min(remaining-margin, until.Sub(now))
	if wait < minDeadline {
		return AttemptDeadline{}, ErrNoTime
	}
	wait = wait.Truncate(time.Millisecond)
	return AttemptDeadline{wait.Milliseconds(), d.at.Add(-wait)}, nil
}

// WriteBy returns the time by which the attempt's last byte must be written. After it the server would be given more time than remains.
func (p AttemptDeadline) WriteBy() time.Time { return p.writeBy }

// Properties holds a request's property list as its client sent it, without the client's deadline value.
type Properties struct{ before, after []byte }

// RemoveDeadline returns the list without the client's deadline, which occupies list[from:to]. It refers to a list of bytes.
func RemoveDeadline[List string | []byte](list List, from, to int) Properties {
	return Properties{[]byte(list[:from]), []byte(list[to:])}
}

// CopyTo returns the same list with its bytes in dest, which holds Size of them.
func (p Properties) CopyTo(dest []byte) Properties {
	n := copy(dest, p.before)
	return Properties{dest[:n:n], dest[n : n+copy(dest[n:], p.after)]}
}

// Size returns the length of the list without the deadline value, in bytes.
func (p Properties) Size() int { return len(p.before) + len(p.after) }

// EncodedSize returns the length of what Append appends, in bytes.
func (p Properties) EncodedSize(attempt AttemptDeadline) int {
	var digits [20]byte // the longest int64
	return p.Size() + len(strconv.AppendInt(digits[:0], attempt.milliseconds, 10))
}

// Append appends the list to b with the attempt's deadline in place of the client's; everything else is unchanged.
func (p Properties) Append(b []byte, attempt AttemptDeadline) []byte {
	b = append(b, p.before...)
	b = strconv.AppendInt(b, attempt.milliseconds, 10)
	return append(b, p.after...)
}
