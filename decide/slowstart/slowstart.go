// Package slowstart computes the share of its capacity that a server has reached since its start, and keeps sums over all
// servers for the slow-start budget of each, so that no request has to iterate over them. Durations and clock readings
// may be in any unit that they share.
package slowstart

// Ramp is a slow start: a server begins at a share of its capacity and reaches all of it linearly.
type Ramp[T ~int64] struct {
	InitialShare float64 // of the capacity, 0 to 1
	Duration     T       // from the start to full capacity
}

// Finished reports whether a server's slow start is over. A start of 0 (unknown) counts as finished.
func (r Ramp[T]) Finished(start, now T) bool { return start == 0 || now-start >= r.Duration }

// Share returns the share of its capacity that a server has reached, 0 to 1.
func (r Ramp[T]) Share(start, now T) float64 {
	if r.Finished(start, now) {
		return 1
	}
	return r.InitialShare + (1-r.InitialShare)*float64(max(now-start, 0))/float64(r.Duration)
}

// Totals are sums over the servers in use.
type Totals struct {
	Weight   float64 // weights, each times the share of capacity reached
	Size     float64 // sizes in the caller's unit, each times the share of capacity reached
	Answered float64 // answers in the caller's window
}

// Sums yields the Totals at any moment without a loop over the servers. They are rebuilt from time to time; in between,
// answers are added and slow starts extrapolated. A slow start that ends between two rebuilds is extrapolated beyond
// its end, so Weight and Size are too large, and a budget computed from them too small, by at most the growth in that
// time. Servers that join or leave count from the next rebuild.
type Sums[T ~int64] struct {
	ramp   Ramp[T]
	base   T      // clock reading of the last Reset
	totals Totals // at base
	slope  Totals // growth per unit of time
}

// Reset starts a rebuild at a moment, with no servers.
func (s *Sums[T]) Reset(ramp Ramp[T], now T) { *s = Sums[T]{ramp: ramp, base: now} }

// Add adds a server in use.
func (s *Sums[T]) Add(weight, size, answered float64, start T) {
	share := s.ramp.Share(start, s.base)
	s.totals.Weight += weight * share
	s.totals.Size += size * share
	s.totals.Answered += answered
	if !s.ramp.Finished(start, s.base) {
		growth := (1 - s.ramp.InitialShare) / float64(s.ramp.Duration)
		s.slope.Weight += weight * growth
		s.slope.Size += size * growth
	}
}

// AddAnswered adds n answers of a server that was added before.
func (s *Sums[T]) AddAnswered(n float64) { s.totals.Answered += n }

// ForgetAnswered sets the answers to 0. Until the next rebuild Answered holds only
// the answers added since.
func (s *Sums[T]) ForgetAnswered() { s.totals.Answered = 0 }

// At returns the totals at a moment not before the last Reset.
func (s *Sums[T]) At(now T) Totals {
	passed := float64(now - s.base)
	return Totals{s.totals.Weight + s.slope.Weight*passed, s.totals.Size + s.slope.Size*passed, s.totals.Answered}
}
