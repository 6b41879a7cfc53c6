package fleet

// Suspicion avoids a server for a while after one failed push, and for twice as long if the next push there fails as
// well. It is for fleets in which each proxy sends a server too few pushes to judge it by. The zero value suspects
// nothing.
type Suspicion[T ~int64] struct {
	span  T // length of the last suspicion
	until T // clock reading at which it ends
}

const maxSuspicionFactor = 4 // longest suspicion, in multiples of the first

// Raise records a failure. One that comes during a suspicion does not prolong it: its push was sent before, or for lack
// of a better server.
func (s *Suspicion[T]) Raise(now, span T) {
	if now >= s.until {
		s.span = min(max(2*s.span, span), maxSuspicionFactor*span)
		s.until = now + s.span
	}
}

// Clear records an answer, which ends the suspicion.
func (s *Suspicion[T]) Clear() { *s = Suspicion[T]{} }

// Active reports whether the server is to be avoided now.
func (s *Suspicion[T]) Active(now T) bool { return now < s.until }

// GroupSuspicion suspects a group of servers that fail together, such as those of one zone, after a number of failures
// in a row. A proxy sends each server of the group too few pushes to judge it soon, but the group as a whole gets
// enough. The zero value suspects nothing.
type GroupSuspicion[T ~int64] struct {
	Suspicion[T]
	failures int // in a row
}

// RecordFailure records a push that the group left unanswered. Once threshold failures came in a row the group is
// suspected for the span, and up to four times as long; after that one more failure renews the suspicion.
func (g *GroupSuspicion[T]) RecordFailure(now, span T, threshold int) {
	if g.failures++; g.failures >= threshold {
		g.Raise(now, span)
	}
}

// RecordAnswer records any answer, including one that rejects the push.
func (g *GroupSuspicion[T]) RecordAnswer() { *g = GroupSuspicion[T]{} }
