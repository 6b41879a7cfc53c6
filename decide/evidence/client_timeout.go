package evidence

// ClientTimeout estimates by majority vote how long clients wait for their first try. Later tries have other waits.
// The zero value has seen none.
type ClientTimeout[T ~int64] struct {
	span  T
	votes int // for span, 0 to maxTimeoutVotes
}

const maxTimeoutVotes = 64

// Set records the remaining wait of a try that is known to be a first one.
func (c *ClientTimeout[T]) Set(remaining T) { c.span = remaining }

// Matches reports whether a remaining wait lies within a tolerance of the estimate.
func (c *ClientTimeout[T]) Matches(remaining, tolerance T) bool {
	return remaining >= c.span-tolerance && remaining <= c.span+tolerance
}

// ObserveFirstTry records the remaining wait of a try and reports whether the try counts as a first one. A wait that
// differs from the estimate takes one vote from it, and replaces it once no votes are left.
func (c *ClientTimeout[T]) ObserveFirstTry(remaining, tolerance T) bool {
	if c.Matches(remaining, tolerance) {
		c.votes = min(c.votes+1, maxTimeoutVotes)
		return true
	}
	if c.votes--; c.votes < 0 {
		*c = ClientTimeout[T]{remaining, 1}
		return true
	}
	return false
}

// Snapshot returns the estimate and its votes. RestoreClientTimeout takes both.
func (c *ClientTimeout[T]) Snapshot() (span T, votes int) { return c.span, c.votes }

// RestoreClientTimeout returns a ClientTimeout with the values of an earlier Snapshot.
func RestoreClientTimeout[T ~int64](span T, votes int) ClientTimeout[T] {
	return ClientTimeout[T]{span, min(max(votes, 0), maxTimeoutVotes)}
}
