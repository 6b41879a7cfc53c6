package evidence

// OutcomeCounts counts, for each of a few kinds of work, what was answered and what was not. A server that fails one kind only
// serves the others well, so that its sum tells nothing of it. The zero value is empty.
type OutcomeCounts[K comparable] struct{ of map[K][2]float64 }

// Add adds answers, and failures by what they prove.
func (s *OutcomeCounts[K]) Add(kind K, good, bad float64) {
	if s.of == nil {
		s.of = map[K][2]float64{}
	}
	x := s.of[kind]
	s.of[kind] = [2]float64{x[0] + good, x[1] + bad}
}

// Decay lets what was counted count for less, by a factor from 0 to 1.
func (s *OutcomeCounts[K]) Decay(by float64) {
	for kind, x := range s.of {
		s.of[kind] = [2]float64{x[0] * by, x[1] * by}
	}
}

// IsOutlier tells whether a kind fails here far more than in all, and not by chance. It ends by itself as what was
// counted fades, so that the kind is tried again.
func (s *OutcomeCounts[K]) IsOutlier(all *OutcomeCounts[K], kind K) bool {
	x := s.of[kind]
	if x[1] < 3 {
		return false
	}
	sum := all.of[kind]
	return x[1]/(x[0]+x[1]) > 1.5*sum[1]/(sum[0]+sum[1])+0.2
}
