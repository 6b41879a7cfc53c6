package evidence

import "math"

const leastSeen, mostSeen = 6, 128 // answers of a kind that its speed goes by

// Speed is how quick one kind of machine is: the mean logarithm of its answer times, and by how many octaves it is
// slower than the quickest kind, in halves. The zero value has seen none, and counts as quick.
type Speed struct{ OctavesSlower, mean, n float64 }

// Snapshot is the mean logarithm of its answer times, and how many that goes by; Recalled takes both, and Slower.
func (s *Speed) Snapshot() (mean, n float64) { return s.mean, s.n }

// RestoreSpeed gives back what Seen gave.
func RestoreSpeed(slower, mean, n float64) *Speed {
	return &Speed{min(max(slower, 0), 1), mean, min(max(n, 0), mostSeen)}
}

// UpdateSpeeds books an answer time in any one unit, and weighs kinds anew once one is clearly slower or quicker than it
// counts for; it tells whether any changed. Steps of half an octave come alike at nearly all proxies, so that
// keys live in the same caches. A kind counts for an octave slower at most.
func UpdateSpeeds[K comparable](kinds map[K]*Speed, kind K, span float64) (changed bool) {
	k := kinds[kind]
	k.n = min(k.n+1, mostSeen)
	k.mean += (math.Log2(max(span, 1)) - k.mean) / k.n
	fastest := math.Inf(1)
	for _, k := range kinds {
		if k.n >= leastSeen {
			fastest = min(fastest, k.mean)
		}
	}
	for _, k := range kinds {
		want := min(k.mean-fastest, 1)
		if k.n >= leastSeen && math.Abs(want-k.OctavesSlower) > 0.25+1.5/math.Sqrt(k.n) {
			k.OctavesSlower, changed = math.Round(2*want)/2, true
		}
	}
	return changed
}
