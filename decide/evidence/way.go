package evidence

import "cmp"

// PathLatency is what answers tell of the way to a location: the least that one takes, lately and over long, and when the last
// came. Sick or crowded servers are not all slow at every moment, but what crosses a slow way can't be quick.
type PathLatency[T ~int64] struct{ quick, Baseline, LastAnswer T }

// ObserveAnswer books an answer that took so long.
func (w *PathLatency[T]) ObserveAnswer(taken, now T) {
	w.Baseline, w.quick, w.LastAnswer = min(cmp.Or(w.Baseline, taken), taken), min(cmp.Or(w.quick, taken), taken), now
}

// ObserveLowerBound books how long one took at least, or would have. Without an answer ever there is nothing to compare with.
func (w *PathLatency[T]) ObserveLowerBound(span T) {
	if w.Baseline > 0 {
		w.quick += max(span*5/4-w.quick, 0) / 4
	}
}

// Excess is how much longer the way takes lately.
func (w *PathLatency[T]) Excess() T { return w.quick - w.Baseline }

// AdjustBaseline lets what lasts become usual.
func (w *PathLatency[T]) AdjustBaseline() { w.Baseline += w.Excess() / 256 }
