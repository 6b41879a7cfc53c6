// Package chance draws by chance from a seed: the same seed gives the same draws everywhere.
package chance

import "math/bits"

// PCG is a permuted congruential generator of 32 bits a draw.
type PCG struct{ State uint64 }

// Next draws 32 bits.
func (p *PCG) Next() uint32 {
	old := p.State
	p.State = old*6364136223846793005 + 1442695040888963407
	return bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
}

// Float64 draws from 0 up to 1, without 1.
func (p *PCG) Float64() float64 { return float64(p.Next()) / (1 << 32) }

// Between draws a span from lo to hi; one that ends before it begins gives its begin.
func Between[T ~int64](p *PCG, lo, hi T) T { return lo + T(uint64(p.Next())*uint64(max(hi-lo, 0))>>32) }
