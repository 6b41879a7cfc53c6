// Package overload says what is done for requests while the event loop that decides on them is behind: which are turned away at the door, and
// which that wait inside are answered without it.
package overload

// Time is a span in nanoseconds.
type Time int64

const millisecond Time = 1e6

const (
	// mostLag is the age of the oldest waiting event from which on no request is taken.
	mostLag = 250 * millisecond
	// behind is the age from which on the event loop counts as behind; for a request with little time a part of that.
	behind = 40 * millisecond
	// behindPart is that part of its time.
	behindPart = 4
)

// ShouldReject tells whether a request is refused as it comes: the oldest event has waited so long that its turn would come too late, or
// that nobody knows when it comes at all.
func ShouldReject(lag, left Time) bool { return lag > mostLag || lag > behind && lag > left/2 }

// Request is what is known of one that was taken.
type Request struct {
	Waited   Time // since it came
	Remaining     Time // until its client stops waiting
	Attempted    bool // an attempt has begun: a refusal would promise too much
	Answered bool // an attempt's answer has come, and waits for the event loop
}

// Action is what is done for a request.
type Action uint8

const (
	Wait   Action = iota // the event loop may still come to it
	Refuse               // no attempt was begun, and none will be
	Fail                 // it may have run
	Serve                // by the answer that has come
)

// Decide tells what is done for a request while the oldest event has waited for so long. One without an attempt is refused at half of its time: its
// client can still be served elsewhere. One with an attempt is answered when its time is nearly over.
func Decide(r Request, lag Time) Action {
	whole := r.Waited + r.Remaining
	switch {
	case lag < min(behind, whole/behindPart):
		return Wait
	case r.Answered:
		return Serve
	case !r.Attempted && r.Waited >= whole/2:
		return Refuse
	case r.Attempted && r.Remaining <= whole/16:
		return Fail
	}
	return Wait
}

// DecideAtShutdown tells what is done for a request as the process ends, and the event loop does not come to it.
func DecideAtShutdown(r Request) Action {
	switch {
	case r.Answered:
		return Serve
	case r.Attempted:
		return Fail
	}
	return Refuse
}
