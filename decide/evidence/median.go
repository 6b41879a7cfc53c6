package evidence

import "math"

// medianBins is the resolution of Median: a share is rounded up to a multiple of 1/medianBins.
const medianBins = 256

// Median keeps a histogram of shares from 0 to 1 and yields their median without sorting. A share of 0 is exact; any
// other is rounded up to the next bin, so a value that is compared with the median is taken for an outlier one bin too
// late at most, never too early. The zero value has no shares.
type Median struct {
	counts [medianBins + 1]int
	n      int // shares counted
}

// MedianBin is the index of a share's bin in a Median.
type MedianBin int

// MedianBinOf returns the bin of a share.
func MedianBinOf(share float64) MedianBin {
	return MedianBin(min(max(math.Ceil(share*medianBins), 0), medianBins))
}

// Add counts a share in its bin.
func (m *Median) Add(bin MedianBin) {
	m.counts[bin]++
	m.n++
}

// Move moves a share that was counted in one bin to another.
func (m *Median) Move(from, to MedianBin) {
	m.counts[from]--
	m.counts[to]++
}

// Value returns the median, or 0 if no shares were counted.
func (m *Median) Value() float64 {
	seen := 0
	for bin, n := range m.counts {
		if seen += n; seen > m.n/2 {
			return float64(bin) / medianBins
		}
	}
	return 0
}

// IsOutlier reports whether a failure share, 0 to 1, stands out against the median.
func (m *Median) IsOutlier(share float64) bool {
	return m.n > 0 && share > 2*m.Value()+0.25
}
