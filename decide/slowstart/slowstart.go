// Package slowstart says what part of its capacity a server has reached since it started, and keeps the sums over all servers that a
// budget for one of them is made from, so that a request need not walk them. Spans and clock readings are in any one unit.
package slowstart

// Ramp is a slow start: a server begins at a share of its capacity, and reaches all of it, evenly, after a span.
type Ramp[T ~int64] struct {
	InitialShare float64
	Duration T
}

// Over tells whether a server's slow start is over; a start of 0 was long ago.
func (r Ramp[T]) Over(start, now T) bool { return start == 0 || now-start >= r.Duration }

// Share is the part of its capacity that a server has reached, 0 to 1.
func (r Ramp[T]) Share(start, now T) float64 {
	if r.Over(start, now) {
		return 1
	}
	return r.InitialShare + (1-r.InitialShare)*float64(max(now-start, 0))/float64(r.Duration)
}

// Totals are sums over the servers that are in use: their weights and sizes, each by the share of its capacity that it has reached, and
// what they have answered lately.
type Totals struct{ Weight, Size, Answered float64 }

// Sums gives the totals at any moment without a walk. They are made anew now and then, and follow answers and the passing time in between.
// Their one error is on the safe side: a slow start that ends in between goes on growing until they are made anew, so the weight of all is
// too large, and a budget from it too small, by the share that grows in that span at most.
type Sums[T ~int64] struct {
	ramp   Ramp[T]
	base   T
	totals Totals // at base
	slope  Totals // by unit of time
}

// Reset begins anew at a moment, with no servers.
func (s *Sums[T]) Reset(ramp Ramp[T], now T) { *s = Sums[T]{ramp: ramp, base: now} }

// Add adds a server that is in use.
func (s *Sums[T]) Add(weight, size, answered float64, start T) {
	share := s.ramp.Share(start, s.base)
	s.totals.Weight += weight * share
	s.totals.Size += size * share
	s.totals.Answered += answered
	if !s.ramp.Over(start, s.base) {
		growth := (1 - s.ramp.InitialShare) / float64(s.ramp.Duration)
		s.slope.Weight += weight * growth
		s.slope.Size += size * growth
	}
}

// AddAnswered books answers of a server that was added.
func (s *Sums[T]) AddAnswered(n float64) { s.totals.Answered += n }

// ForgetAnswered takes all answers back: they are not known until the next Reset.
func (s *Sums[T]) ForgetAnswered() { s.totals.Answered = 0 }

// At gives the totals at a moment from the last Reset on.
func (s *Sums[T]) At(now T) Totals {
	passed := float64(now - s.base)
	return Totals{s.totals.Weight + s.slope.Weight*passed, s.totals.Size + s.slope.Size*passed, s.totals.Answered}
}
