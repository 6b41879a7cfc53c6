package evidence

import "math"

const (
	minSpeedSamples = 6   // answers of a kind before it is compared
	maxSpeedSamples = 128 // answers that the running mean covers
)

// Speed is how fast one kind of machine answers. The zero value has no samples and counts as fast.
type Speed struct {
	OctavesSlower float64 // than the fastest kind, 0 to 1, in steps of 0.5
	meanLog2      float64 // running mean of the binary logarithm of its answer times
	samples       float64 // answers in the mean, 0 to maxSpeedSamples
}

// Snapshot returns the mean binary logarithm of the answer times and the number of samples in it. RestoreSpeed takes
// both, with OctavesSlower.
func (s *Speed) Snapshot() (meanLog2, samples float64) { return s.meanLog2, s.samples }

// RestoreSpeed returns a Speed with the values of an earlier Snapshot.
func RestoreSpeed(octavesSlower, meanLog2, samples float64) *Speed {
	return &Speed{min(max(octavesSlower, 0), 1), meanLog2, min(max(samples, 0), maxSpeedSamples)}
}

// UpdateSpeeds records an answer time, in any unit that all kinds share, and re-rates the kinds that have become
// clearly slower or faster than their rating. It reports whether any rating changed. Ratings move in steps of half an
// octave so that nearly all proxies arrive at the same ones and keep a key in the same caches. No kind is rated more
// than one octave slower.
func UpdateSpeeds[K comparable](kinds map[K]*Speed, kind K, span float64) (changed bool) {
	k := kinds[kind]
	k.samples = min(k.samples+1, maxSpeedSamples)
	k.meanLog2 += (math.Log2(max(span, 1)) - k.meanLog2) / k.samples
	fastest := math.Inf(1)
	for _, k := range kinds {
		if k.samples >= minSpeedSamples {
			fastest = min(fastest, k.meanLog2)
		}
	}
	for _, k := range kinds {
		octaves := min(k.meanLog2-fastest, 1)
		// The margin is half a step plus an allowance for the error of the mean.
		if k.samples >= minSpeedSamples && math.Abs(octaves-k.OctavesSlower) > 0.25+1.5/math.Sqrt(k.samples) {
			k.OctavesSlower, changed = math.Round(2*octaves)/2, true
		}
	}
	return changed
}
