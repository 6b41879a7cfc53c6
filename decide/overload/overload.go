// Package overload decides which requests to shed while the event loop that routes them lags behind: which to reject on
// arrival, and which of those already queued to answer without the loop.
package overload

// Time is a duration in nanoseconds.
type Time int64

const millisecond Time = 1e6

const (
	// rejectAllLag is the loop's lag above which every new request is rejected.
	rejectAllLag = 250 * millisecond
	// behindLag is the lag from which the event loop counts as behind.
	behindLag = 40 * millisecond
	// behindDivisor applies to requests with short timeouts: the loop counts as behind from the request's timeout
	// divided by it, if that is less than behindLag.
	behindDivisor = 4
)

// ShouldReject reports whether to reject a new request that has the remaining time until its client stops waiting. Lag
// is the age of the oldest waiting event. A request is rejected if it would be reached too late, or if the lag is so
// long that nobody can tell when it would be reached.
func ShouldReject(lag, remaining Time) bool {
	return lag > rejectAllLag || lag > behindLag && lag > remaining/2
}

// Request is the state of an accepted request.
type Request struct {
	Waited    Time // since its arrival
	Remaining Time // until its client stops waiting; negative after that
	Attempted bool // an attempt was sent, so it may have run and can't be refused any more
	Answered  bool // an attempt's answer has arrived and waits for the event loop
}

// Action is what to do with a request.
type Action uint8

const (
	Wait   Action = iota // leave it to the event loop
	Refuse               // answer that it was not run: no attempt was sent, and none will be
	Fail                 // answer with an error: it may have run
	Serve                // answer with the response that has arrived
)

// Decide returns what to do with a request, given the event loop's lag. A request without an attempt is refused at half
// of its timeout, while its client can still be served elsewhere. One with an attempt fails when a sixteenth of its
// timeout is left.
func Decide(r Request, lag Time) Action {
	timeout := r.Waited + r.Remaining
	switch {
	case lag < min(behindLag, timeout/behindDivisor):
		return Wait
	case r.Answered:
		return Serve
	case !r.Attempted && r.Waited >= timeout/2:
		return Refuse
	case r.Attempted && r.Remaining <= timeout/16:
		return Fail
	}
	return Wait
}

// DecideAtShutdown returns what to do with a request that the event loop has not reached when the process exits.
func DecideAtShutdown(r Request) Action {
	switch {
	case r.Answered:
		return Serve
	case r.Attempted:
		return Fail
	}
	return Refuse
}
