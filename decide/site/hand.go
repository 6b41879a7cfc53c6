package site

import "minttray/decide/circle"

// Rollout is an operator's word on a whole site: all its caches go out, or come back, one after another over a span. Every proxy
// that was told the same takes them in the same order, without talk.
type Rollout[T ~int64] struct {
	Excluded  bool
	StartedAt   T // when it was said
	Duration T // from then until the last one follows; 0: all at once
}

// IsExcluded tells whether a cache of the site is out now. A word from the future, as after a clock that stepped, has been
// followed whole: what an operator took out is out.
func (h Rollout[T]) IsExcluded(id uint32, now T) bool {
	turn := float64(circle.Mix(uint64(id), 0x5e)>>11) / (1 << 53)
	followed := now < h.StartedAt || float64(now-h.StartedAt) >= turn*float64(h.Duration)
	return followed == h.Excluded
}

// Done tells whether nothing is left to be done.
func (h Rollout[T]) Done(now T) bool { return now < h.StartedAt || now-h.StartedAt >= h.Duration }
