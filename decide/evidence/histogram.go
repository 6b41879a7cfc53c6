package evidence

import "math"

const (
	binsPerOctave    = 2
	histogramBins    = 12 * binsPerOctave // upper bounds from one unit up to about 2900; longer times count in the last bin
	minAnswerSamples = 8                  // answers before a histogram is relied on
)

// LatencyHistogram is a histogram of answer times in bins of half an octave. Only answers to pushes with a
// time-out long enough for slow answers may be added: otherwise slow answers are never seen, and the distribution of
// the rest would make other answers look late. The zero value is empty.
type LatencyHistogram struct {
	bins  [histogramBins]float64
	total float64 // sum of bins
}

func binOf(span float64) int {
	if span <= 1 {
		return 0
	}
	return min(int(math.Ceil(binsPerOctave*math.Log2(span)-1e-9)), histogramBins-1)
}

// binUpperBounds are the upper bounds of the bins, in units of time.
var binUpperBounds = func() (bounds [histogramBins]float64) {
	for i := range bounds {
		bounds[i] = math.Exp2(float64(i) / binsPerOctave)
	}
	return bounds
}()

// Add counts an answer that took the given time.
func (h *LatencyHistogram) Add(span float64) {
	h.bins[binOf(span)]++
	h.total++
}

// Snapshot returns a copy of the counts by bin. RestoreHistogram takes it.
func (h *LatencyHistogram) Snapshot() []float64 { return append([]float64(nil), h.bins[:]...) }

// RestoreHistogram returns a histogram with the counts of an earlier Snapshot. It is empty if there are more counts
// than bins; negative counts become 0.
func RestoreHistogram(counts []float64) (h LatencyHistogram) {
	if len(counts) <= histogramBins {
		for i, n := range counts {
			h.bins[i] = max(n, 0)
			h.total += h.bins[i]
		}
	}
	return h
}

// Decay multiplies all counts by a factor from 0 to 1.
func (h *LatencyHistogram) Decay(factor float64) {
	h.total = 0
	for i := range h.bins {
		h.bins[i] *= factor
		h.total += h.bins[i]
	}
}

// HasEnoughSamples reports whether the histogram holds enough answers to be relied on.
func (h *LatencyHistogram) HasEnoughSamples() bool { return h.total >= minAnswerSamples }

// ShareWithin returns the share of answers that came within a span, 0 to 1, interpolated within a bin. It is 0 for an
// empty histogram, and 1 for a span beyond the last bin.
func (h *LatencyHistogram) ShareWithin(span float64) float64 {
	if h.total <= 0 || !(span > 0) {
		return 0
	}
	sum, lower := 0.0, 0.0
	for i, n := range h.bins {
		if span < binUpperBounds[i] && i < histogramBins-1 {
			return min((sum+n*max(span-lower, 0)/(binUpperBounds[i]-lower))/h.total, 1)
		}
		sum += n
		lower = binUpperBounds[i]
	}
	return 1
}

// Quantile returns the span within which a share of the answers came, or 0 for an empty histogram.
func (h *LatencyHistogram) Quantile(share float64) float64 {
	want, sum, lower := share*h.total, 0.0, 0.0
	for i, n := range h.bins {
		if sum += n; n > 0 && sum >= want {
			return binUpperBounds[i] - (sum-want)/n*(binUpperBounds[i]-lower)
		}
		lower = binUpperBounds[i]
	}
	return 0
}
