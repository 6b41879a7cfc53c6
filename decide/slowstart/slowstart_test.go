package slowstart

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

type server struct {
	weight, size, answered float64
	start                  int64
}

// walk computes the totals server by server.
func walk(ramp Ramp[int64], all []server, now int64) (t Totals) {
	for _, s := range all {
		t.Weight += s.weight * ramp.Share(s.start, now)
		t.Size += s.size * ramp.Share(s.start, now)
		t.Answered += s.answered
	}
	return t
}

// Guards against sums that differ from a walk over all servers. Only a slow start that ends between two resets may make
// them larger, by at most what it grows until the next reset.
func TestSumsMatchAWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ramp := Ramp[int64]{rapid.Float64Range(0, 1).Draw(t, "from"), rapid.Int64Range(1, 100000).Draw(t, "span")}
		base := int64(1_000_000)
		all := make([]server, rapid.IntRange(0, 40).Draw(t, "servers"))
		var s Sums[int64]
		s.Reset(ramp, base)
		weights := 0.0
		for i := range all {
			all[i] = server{rapid.Float64Range(0.1, 8).Draw(t, "weight"), rapid.Float64Range(0.1, 8).Draw(t, "size"),
				rapid.Float64Range(0, 1000).Draw(t, "answered"), rapid.SampledFrom([]int64{0, base - ramp.Duration - 1, base - ramp.Duration/2, base}).Draw(t, "start")}
			s.Add(all[i].weight, all[i].size, all[i].answered, all[i].start)
			weights += all[i].weight
		}
		for range rapid.IntRange(0, 5).Draw(t, "answers") {
			if len(all) > 0 {
				all[0].answered++
				s.AddAnswered(1)
			}
		}
		tick := rapid.Int64Range(0, 500).Draw(t, "tick")
		got, want := s.At(base+tick), walk(ramp, all, base+tick)
		maxExcess := weights * (1 - ramp.InitialShare) * float64(tick) / float64(ramp.Duration)
		if got.Weight < want.Weight-1e-6 || got.Weight > want.Weight+maxExcess+1e-6 || got.Size < want.Size-1e-6 {
			t.Fatalf("sums %+v, walk %+v", got, want)
		}
		if math.Abs(got.Answered-want.Answered) > 1e-6 {
			t.Fatalf("answered: sums %v, walk %v", got.Answered, want.Answered)
		}
	})
}

// Guards against answers that still count after ForgetAnswered, and against one that forgets the other sums.
func TestForgetAnswered(t *testing.T) {
	var s Sums[int64]
	s.Reset(Ramp[int64]{0.5, 100}, 0)
	s.Add(1, 1, 30, 0)
	if s.ForgetAnswered(); s.At(0) != (Totals{1, 1, 0}) {
		t.Errorf("totals %+v, want weight 1, size 1, answered 0", s.At(0))
	}
}
