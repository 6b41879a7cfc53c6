package measure

import (
	"testing"
	"time"

	"minttray/lab/experiment"
)

// TestSettleSeconds checks that processes count as settled only if two consecutive buckets together are as good as the peers.
func TestSettleSeconds(t *testing.T) {
	peers := AgeBucket{Service: 0.9}
	for want, services := range map[float64][]float64{0: {0.9, 0.9, 0.1, 0.1}, 1: {0.2, 0.5, 0.9, 0.89, 0.5}, -1: {0.2, 0.9, 0.2, 0.9}} {
		ages := make([]AgeBucket, len(services))
		for i, service := range services {
			for n := range 100 {
				ages[i].add(1, float64(n) < 100*service)
			}
		}
		if got := settleSeconds(ages, peers); got != want {
			t.Errorf("service by age %v: settled after %v s, want %v", services, got, want)
		}
	}
	if got := settleSeconds(make([]AgeBucket, 5), peers); got != 0 {
		t.Errorf("without restarted processes: settled after %v s, want 0", got)
	}
}

// TestRecoverySeconds checks the time from the end of the last fault to the recovery of service.
func TestRecoverySeconds(t *testing.T) {
	duration := func(seconds int) experiment.Duration {
		return experiment.Duration(time.Duration(seconds) * time.Second)
	}
	fault := []experiment.Fault{{Start: duration(4), Duration: duration(3)}}
	for _, c := range []struct {
		name   string
		faults []experiment.Fault
		served string // benefit in time of each second, out of 10; the first second is warm-up
		want   float64
	}{
		{"no fault", nil, "099900999", 0},
		{"recovers at once", fault, "1999111999", 0},
		{"recovers after two seconds", fault, "199911155999", 2},
		{"a single good second does not count", fault, "1999111919999", 2},
		{"never recovers", fault, "199911155555", -1},
		{"a fault from the start leaves no reference", []experiment.Fault{{Start: duration(0), Duration: duration(3)}}, "111999", 0},
	} {
		x := &experiment.File{Length: duration(len(c.served)), WarmUp: duration(1), Faults: c.faults}
		var seconds []*Second
		for _, digit := range c.served {
			seconds = append(seconds, &Second{BenefitRequested: 10, BenefitInTime: float64(digit - '0')})
		}
		if got := recoverySeconds(x, seconds); got != c.want {
			t.Errorf("%s: recovered after %v s, want %v", c.name, got, c.want)
		}
	}
}
