// Package fleet is what one of many instances may do as its part of the whole: what is harmless from one and ruins
// a shared service when all do it at once. Nothing here reads a clock or draws by chance: spans come in any one
// unit, and what is drawn from them is the caller's.
package fleet

import "minttray/decide/circle"

// StartSlot is when one instance of n makes its first call to a service that all share, from its number: the span is cut
// into n turns, and the call falls somewhere in its own. All that start together so call evenly, never in a burst. A
// number outside 0 to n-1 gets a turn all the same.
func StartSlot[T ~int64](number, n int, span T) (from, to T) {
	n = max(n, 1)
	number = (number%n + n) % n
	return span * T(number) / T(n), span * T(number+1) / T(n)
}

// Backoff spreads calls that failed. A service that is asked for more than it can do holds calls until they are too
// old and then answers none: it comes back only if all ask less. The zero value is ready.
type Backoff[T ~int64] struct{ failed int }

// RecordFailure books a failure, and gives the span within which, drawn evenly from 0, to call again: the first one, doubled
// with each failure in a row, most at the longest.
func (b *Backoff[T]) RecordFailure(first, most T) T {
	span := first << min(b.failed, 16)
	b.failed++
	return min(max(span, 1), max(most, 1))
}

// Reset books a call that was answered.
func (b *Backoff[T]) Reset() { b.failed = 0 }

// Suspicion is what one failure says of one of many servers where each instance sees little of it: that it is better passed
// over for a while, and for twice as long if the next push there fails as well. The zero value is no doubt.
type Suspicion[T ~int64] struct{ span, until T }

const mostDoubled = 4 // times the span that a first failure gives

// Raise books a failure now. One that comes while the doubt stands was sent before, or for want of a better server, and
// does not lengthen it.
func (d *Suspicion[T]) Raise(now, span T) {
	if now >= d.until {
		d.span = min(max(2*d.span, span), mostDoubled*span)
		d.until = now + d.span
	}
}

// Clear books an answer.
func (d *Suspicion[T]) Clear() { *d = Suspicion[T]{} }

// Active tells whether the server is to be passed over now.
func (d *Suspicion[T]) Active(now T) bool { return now < d.until }

// Silence is what failures in a row say of a group of servers that stand or fall together, as those of one zone do: where
// each server alone is asked too rarely to be judged soon, the group as a whole is not. The zero value has heard all.
type Silence[T ~int64] struct {
	Suspicion[T]
	row int
}

// Failures, with no answer from any server of the group between them, that are not chance: of servers in one place, and of
// all in other places together, of which a good part may be failing while the way there is whole.
const inARow, ofAllOthers = 4, 8

// Silent books a push that the group left unanswered. The doubt that follows so many in a row lasts for the span at first, and
// up to four times as long; then one more push is enough to renew it.
func (s *Silence[T]) Silent(now, span T, inARow int) {
	if s.row++; s.row >= inARow {
		s.Raise(now, span)
	}
}

// Heard books any answer, also one that turns a push away.
func (s *Silence[T]) Heard() { *s = Silence[T]{} }

// SiteHealth is what silence says of many sites at an instance in one of them. A site that is lost is silent for itself; where the
// own one is cut off, all others are at once: pushes go to each in turn, and each alone would take many more to tell. A site
// that comes back is used at once; one that was lost again shortly after gets its keys back over a while, twice as long each time.
type SiteHealth[T ~int64] struct {
	Local    int
	by     map[int]*place[T]
	others Silence[T]
}

type place[T ~int64] struct {
	Silence[T]
	unit   T   // the span of its doubt
	losses int // one shortly after the other
	back   T   // when it was heard again
	over   T   // from then until all its keys are back
}

const (
	spread   = 1 << 20 // a salt that places no key
	mostOver = 8       // units, that a return takes
	forgiven = 64      // units after a return: a loss then is the first again
)

func (s *SiteHealth[T]) of(site int) *place[T] {
	if s.by == nil {
		s.by = map[int]*place[T]{}
	}
	if s.by[site] == nil {
		s.by[site] = &place[T]{}
	}
	return s.by[site]
}

// RecordFailure books a push that a site left unanswered.
func (s *SiteHealth[T]) RecordFailure(site int, now, span T) {
	p := s.of(site)
	if p.unit = span; p.losses > 0 && now >= p.back+forgiven*p.unit {
		p.losses = 0
	}
	if p.Silent(now, span, inARow); site != s.Local {
		s.others.Silent(now, span, ofAllOthers)
	}
}

// RecordAnswer books any answer from a site.
func (s *SiteHealth[T]) RecordAnswer(site int, now T) {
	p := s.of(site)
	if p.row >= inARow {
		p.losses++
		p.back, p.over = now, min(T(1)<<min(p.losses-1, 16), mostOver)*p.unit
		if p.losses == 1 {
			p.over = 0
		}
	}
	if p.Heard(); site != s.Local {
		s.others.Heard()
	}
}

// ShouldAvoid tells whether a site is to be passed over now for a key, by its hash: the same keys come back first at every instance.
func (s *SiteHealth[T]) ShouldAvoid(site int, key uint64, now T) bool {
	p := s.of(site)
	return p.Active(now) || site != s.Local && s.others.Active(now) ||
		now < p.back+p.over && float64(circle.Mix(key, spread)>>11)/(1<<53) >= float64(now-p.back)/float64(p.over)
}
