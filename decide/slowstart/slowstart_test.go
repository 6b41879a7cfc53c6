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

// walked are the totals by a walk over all servers.
func walked(ramp Ramp[int64], all []server, now int64) (t Totals) {
	for _, s := range all {
		t.Weight += s.weight * ramp.Share(s.start, now)
		t.Size += s.size * ramp.Share(s.start, now)
		t.Answered += s.answered
	}
	return t
}

// The sums are those of a walk, but for slow starts that end between two resets: then they are larger, by what grows meanwhile at most.
func TestSumsAreThoseOfAWalk(t *testing.T) {
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
		got, want := s.At(base+tick), walked(ramp, all, base+tick)
		grown := weights * (1 - ramp.InitialShare) * float64(tick) / float64(ramp.Duration)
		if got.Weight < want.Weight-1e-6 || got.Weight > want.Weight+grown+1e-6 || got.Size < want.Size-1e-6 {
			t.Fatalf("%+v, a walk gives %+v", got, want)
		}
		if math.Abs(got.Answered-want.Answered) > 1e-6 {
			t.Fatalf("answered %v, a walk gives %v", got.Answered, want.Answered)
		}
	})
}

// What is answered is not known after Forget, and is again after a reset.
func TestForget(t *testing.T) {
	var s Sums[int64]
	s.Reset(Ramp[int64]{0.5, 100}, 0)
	s.Add(1, 1, 30, 0)
	if s.ForgetAnswered(); s.At(0) != (Totals{1, 1, 0}) {
		t.Errorf("%+v", s.At(0))
	}
}
