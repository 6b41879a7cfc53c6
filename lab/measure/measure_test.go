package measure

import (
	"testing"
	"time"

	"minttray/lab/experiment"
)

func TestSettled(t *testing.T) {
	peers := Age{Service: 0.9}
	for want, services := range map[float64][]float64{0: {0.9, 0.9, 0.1, 0.1}, 1: {0.2, 0.5, 0.9, 0.89, 0.5}, -1: {0.2, 0.9, 0.2, 0.9}} {
		ages := make([]Age, len(services))
		for i, s := range services {
			for n := range 100 {
				ages[i].take(1, float64(n) < 100*s)
			}
		}
		if got := settled(ages, peers); got != want {
			t.Errorf("%v: settled after %v, not %v", services, got, want)
		}
	}
	if settled(make([]Age, 5), peers) != 0 {
		t.Error("none came anew")
	}
}

func TestBack(t *testing.T) {
	span := func(s int) experiment.Duration { return experiment.Duration(time.Duration(s) * time.Second) }
	fault := []experiment.Fault{{Start: span(4), Duration: span(3)}}
	for _, c := range []struct {
		name   string
		faults []experiment.Fault
		served string // of ten, by second; the first second is warm-up
		want   float64
	}{
		{"no fault", nil, "099900999", 0},
		{"at once", fault, "1999111999", 0},
		{"after two seconds", fault, "199911155999", 2},
		{"a lucky second does not count", fault, "1999111919999", 2},
		{"never", fault, "199911155555", -1},
		{"a fault from the start: nothing to go by", []experiment.Fault{{Start: span(0), Duration: span(3)}}, "111999", 0},
	} {
		x := &experiment.File{Length: span(len(c.served)), WarmUp: span(1), Faults: c.faults}
		var seconds []*Second
		for _, n := range c.served {
			seconds = append(seconds, &Second{BenefitRequested: 10, BenefitInTime: float64(n - '0')})
		}
		if got := back(x, seconds); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
