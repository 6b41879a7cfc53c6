package evidence

import "math"

// parts is how finely Median tells shares apart.
const parts = 256

// Median counts shares from 0 to 1, and gives their median without a sort: 0 exactly, any other rounded up to the next of so many parts.
// What is compared with it is thereby taken for an outlier by one part too late, never too early. The zero value has no shares.
type Median struct {
	counts [parts + 1]int
	n      int
}

// MedianBin is a share's place in a Median.
type MedianBin int

// MedianBinOf is the place of a share.
func MedianBinOf(share float64) MedianBin {
	return MedianBin(min(max(math.Ceil(share*parts), 0), parts))
}

// Add counts a share at its place.
func (m *Median) Add(at MedianBin) {
	m.counts[at]++
	m.n++
}

// Move counts a share at another place than before.
func (m *Median) Move(from, to MedianBin) {
	m.counts[from]--
	m.counts[to]++
}

// Value is the median; 0 with no shares.
func (m *Median) Value() float64 {
	seen := 0
	for at, n := range m.counts {
		if seen += n; seen > m.n/2 {
			return float64(at) / parts
		}
	}
	return 0
}

// IsOutlier tells whether a share of failures, 0 to 1, stands out against the median of all.
func (m *Median) IsOutlier(share float64) bool {
	return m.n > 0 && share > 2*m.Value()+0.25
}
