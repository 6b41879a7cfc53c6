// Package chance provides a seeded pseudo-random generator. The same seed yields the same sequence on every machine.
package chance

import "math/bits"

// PCG is a permuted congruential generator (PCG-XSH-RR) with 64 bits of state and 32 bits of output.
type PCG struct{ State uint64 }

// Next returns the next 32 random bits.
func (p *PCG) Next() uint32 {
	old := p.State
	p.State = old*6364136223846793005 + 1442695040888963407
	return bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
}

// Float64 returns a uniform value in [0, 1).
func (p *PCG) Float64() float64 { return float64(p.Next()) / (1 << 32) }

// Between returns a uniform value in [lo, hi), or lo if hi is not above lo.
func Between[T ~int64](p *PCG, lo, hi T) T {
	return lo + T(uint64(p.Next())*uint64(max(hi-lo, 0))>>32)
}
