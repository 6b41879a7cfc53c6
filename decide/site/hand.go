package site

import "minttray/decide/circle"

// Hand is an operator's word on a whole site: all its caches go out, or come back, one after another over a span. Every proxy
// that was told the same takes them in the same order, without talk.
type Hand[T ~int64] struct {
	Out  bool
	At   T // when it was said
	Over T // from then until the last one follows; 0: all at once
}

// Holds tells whether a cache of the site is out now. A word from the future, as after a clock that stepped, has been
// followed whole: what an operator took out is out.
func (h Hand[T]) Holds(id uint32, now T) bool {
	turn := float64(circle.Mix(uint64(id), 0x5e)>>11) / (1 << 53)
	followed := now < h.At || float64(now-h.At) >= turn*float64(h.Over)
	return followed == h.Out
}

// Followed tells whether nothing is left to be done.
func (h Hand[T]) Followed(now T) bool { return now < h.At || now-h.At >= h.Over }
