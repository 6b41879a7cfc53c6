package evidence

// ClientTimeout is how long clients wait for their first try, by majority vote: later tries are longer or shorter. The zero
// value has seen none.
type ClientTimeout[T ~int64] struct {
	span  T
	votes int
}

const mostVotes = 64

// Set books a wait that is known to be a first try's.
func (w *ClientTimeout[T]) Set(left T) { w.span = left }

// Matches tells whether a wait lies as near to the usual one as by.
func (w *ClientTimeout[T]) Matches(left, by T) bool { return left >= w.span-by && left <= w.span+by }

// ObserveFirstTry books a wait, and tells whether it is a first try's.
func (w *ClientTimeout[T]) ObserveFirstTry(left, by T) bool {
	if w.Matches(left, by) {
		w.votes = min(w.votes+1, mostVotes)
		return true
	}
	if w.votes--; w.votes < 0 {
		*w = ClientTimeout[T]{left, 1}
		return true
	}
	return false
}

// Snapshot is the wait, and the votes for it; RecalledWait takes both.
func (w *ClientTimeout[T]) Snapshot() (span T, votes int) { return w.span, w.votes }

// RestoreClientTimeout gives back what Seen gave.
func RestoreClientTimeout[T ~int64](span T, votes int) ClientTimeout[T] {
	return ClientTimeout[T]{span, min(max(votes, 0), mostVotes)}
}
