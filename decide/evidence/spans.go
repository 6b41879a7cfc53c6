// Package evidence weighs what happens to pushes and tries: how much a push that ended without an answer proves,
// which try has no chance, and how many tries that come again are let in. It decides nothing by itself: the
// module asks it. Spans are in any one unit, as long as all of one Spans are in the same; nothing here reads a
// clock, draws by chance or keeps what it is handed.
package evidence

import "math"

const (
	perOctave = 2
	bins      = 12 * perOctave // from one unit up to four thousand
	enough    = 8              // answers from which on a Spans speaks for itself
)

// LatencyHistogram is how long answers take, in bins of half an octave, for a reader that also knows how long each push
// could have waited. Only answers that were waited for in full length are put in: where clients leave early,
// slow answers are never seen, and what is seen would make the rest look late. The zero value is empty.
type LatencyHistogram struct {
	bin   [bins]float64
	total float64
}

func binOf(span float64) int {
	if span <= 1 {
		return 0
	}
	return min(int(math.Ceil(perOctave*math.Log2(span)-1e-9)), bins-1)
}

// edges are the bins' upper ones, in units.
var edges = func() (e [bins]float64) {
	for i := range e {
		e[i] = math.Exp2(float64(i) / perOctave)
	}
	return e
}()

// Add books an answer that took so long.
func (s *LatencyHistogram) Add(span float64) {
	s.bin[binOf(span)]++
	s.total++
}

// Snapshot is what was booked, by bins of half an octave; Recalled takes it.
func (s *LatencyHistogram) Snapshot() []float64 { return append([]float64(nil), s.bin[:]...) }

// RestoreHistogram gives back what Seen gave. More bins than there are is none of it; below 0 nothing was seen.
func RestoreHistogram(seen []float64) (s LatencyHistogram) {
	if len(seen) <= bins {
		for i, n := range seen {
			s.bin[i] = max(n, 0)
			s.total += s.bin[i]
		}
	}
	return s
}

// Decay lets what was seen count for less, by a factor from 0 to 1.
func (s *LatencyHistogram) Decay(by float64) {
	s.total = 0
	for i := range s.bin {
		s.bin[i] *= by
		s.total += s.bin[i]
	}
}

// HasEnoughSamples tells whether there are answers enough to judge by.
func (s *LatencyHistogram) HasEnoughSamples() bool { return s.total >= enough }

// ShareWithin is the share of answers that had come after a span, 0 to 1; 1 beyond all that was seen, 0 if none was.
func (s *LatencyHistogram) ShareWithin(span float64) float64 {
	if s.total <= 0 || !(span > 0) {
		return 0
	}
	sum, lower := 0.0, 0.0
	for i, n := range s.bin {
		if span < edges[i] && i < bins-1 {
			return min((sum+n*max(span-lower, 0)/(edges[i]-lower))/s.total, 1)
		}
		sum += n
		lower = edges[i]
	}
	return 1
}

// Quantile is the span after which a share of the answers had come; 0 if none was seen.
func (s *LatencyHistogram) Quantile(share float64) float64 {
	want, sum, lower := share*s.total, 0.0, 0.0
	for i, n := range s.bin {
		if sum += n; n > 0 && sum >= want {
			return edges[i] - (sum-want)/n*(edges[i]-lower)
		}
		lower = edges[i]
	}
	return 0
}
