package evidence

import "cmp"

// PathLatency estimates the latency of the network path to a location from the fastest answers that cross it. A
// failing or overloaded server answers some requests quickly, but nothing that crosses a slow path is fast.
type PathLatency[T ~int64] struct {
	recent     T // recent minimum answer time
	Baseline   T // minimum answer time over the long term; 0 before the first answer
	LastAnswer T // clock reading of the last answer
}

// ObserveAnswer records the time that an answer took.
func (p *PathLatency[T]) ObserveAnswer(taken, now T) {
	p.Baseline = min(cmp.Or(p.Baseline, taken), taken)
	p.recent = min(cmp.Or(p.recent, taken), taken)
	p.LastAnswer = now
}

// ObserveLowerBound records the least time that a push took, or would have taken if it had been waited for. The recent
// minimum rises towards longer ones. Before the first answer there is nothing to compare with.
func (p *PathLatency[T]) ObserveLowerBound(span T) {
	if p.Baseline > 0 {
		p.recent += max(span*5/4-p.recent, 0) / 4
	}
}

// Excess returns by how much the recent minimum exceeds the baseline.
func (p *PathLatency[T]) Excess() T { return p.recent - p.Baseline }

// AdjustBaseline moves the baseline by 1/256 towards the recent minimum, so that a lasting change becomes normal.
func (p *PathLatency[T]) AdjustBaseline() { p.Baseline += p.Excess() / 256 }
