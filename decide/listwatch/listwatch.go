// Package listwatch decides how the list of a discovery service is watched: how long each call may wait and last, and what
// bounds the pause after one that failed. A change of the list must be noticed within a fixed time from when the service has it and can be
// reached, whatever happened to the calls before. The package reads no clock and makes no calls: durations may be in any unit.
package listwatch

// Timing holds the times of calls to one kind of service.
type Timing[T ~int64] struct {
	Wait       T // longest time that the service delays its answer to a watch while the list is unchanged
	WatchLimit T // limit for the answer to such a watch, beyond its wait

	ShortWait    T   // in place of Wait, unless the last call was answered: a long wait would outlast the return of a silent service
	ShortLimit   T   // in place of WatchLimit then, and for a call without a wait
	SlowLimit    T   // in place of ShortLimit, for one call in SlowEvery
	SlowEvery    int // so that a service that is only slow is heard
	AnswerWithin T   // in which a service that can be reached answers the call that brings a change
}

// longestShortCall returns the longest time from the begin of a call that does not follow an answered one to its failure.
func (t Timing[T]) longestShortCall() T { return t.ShortWait + max(t.ShortLimit, t.SlowLimit) }

// MaxPause returns the longest pause after a failed call with which a change is noticed within a time from when the service has it and can
// be reached. In the worst case that is just after a call began which the service never answers: the rest of that call, the pause and the answer
// to the next call add up.
func (t Timing[T]) MaxPause(noticedWithin T) T {
	return max(noticedWithin-t.longestShortCall()-t.AnswerWithin, 0)
}

// Call is one call to the service.
type Call[T ~int64] struct {
	Wait    T // that the service is asked for; 0 in a call for the whole list
	Timeout T // for the whole call
}

// Calls decides on the calls of one proxy, which are made one after another.
type Calls[T ~int64] struct {
	Timing[T]
	answered bool // the last call was
	failures int  // in a row
}

// Next returns the next call. versionKnown tells whether it is a watch for changes since a version, or a call for the whole list.
func (c *Calls[T]) Next(versionKnown bool) Call[T] {
	if versionKnown && c.answered {
		return Call[T]{Wait: c.Wait, Timeout: c.Wait + c.WatchLimit}
	}
	limit := c.ShortLimit
	if c.failures%c.SlowEvery == c.SlowEvery-1 {
		limit = c.SlowLimit
	}
	if !versionKnown {
		return Call[T]{Timeout: limit}
	}
	return Call[T]{Wait: c.ShortWait, Timeout: c.ShortWait + limit}
}

// Answered records that the last call was answered, and returns how many before it failed in a row.
func (c *Calls[T]) Answered() (failures int) {
	failures, c.failures, c.answered = c.failures, 0, true
	return failures
}

// Failed records that the last call failed, and reports whether it was a watch with the full wait. What such a watch has missed counts as
// told soon after its wait, so one that timed out is followed by a call at once.
func (c *Calls[T]) Failed() (wasFullWatch bool) {
	wasFullWatch = c.answered
	c.answered = false
	c.failures++
	return wasFullWatch
}

// Failures returns how many calls have failed in a row.
func (c *Calls[T]) Failures() int { return c.failures }

// AddressChanged records that the next call goes to another service, which may not answer.
func (c *Calls[T]) AddressChanged() { c.answered = false }
