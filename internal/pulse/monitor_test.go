package pulse

import (
	"testing"
	"time"
)

func TestSince(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		beats     []time.Duration
		now, want time.Duration
	}{
		"it beats":                           {[]time.Duration{20 * ms, 40 * ms}, 60 * ms, 60 * ms},
		"a beat is a little late":            {[]time.Duration{20 * ms}, 60 * ms, 60 * ms},
		"in a stall":                         {[]time.Duration{20 * ms}, 61 * ms, 20 * ms},
		"long in a stall":                    {[]time.Duration{20 * ms}, 2 * time.Second, 20 * ms},
		"a stall is just over":               {[]time.Duration{20 * ms, 500 * ms}, 501 * ms, 20 * ms},
		"it beats again, just after a stall": {[]time.Duration{20 * ms, 500 * ms, 520 * ms}, 530 * ms, 20 * ms},
		"still just after a stall":           {[]time.Duration{20 * ms, 500 * ms, 520 * ms, 540 * ms, 560 * ms, 580 * ms}, 599 * ms, 20 * ms},
		"some time after a stall":            {[]time.Duration{20 * ms, 500 * ms, 520 * ms, 540 * ms, 560 * ms, 580 * ms}, 600 * ms, 600 * ms},
		"in another stall":                   {[]time.Duration{20 * ms, 500 * ms, 520 * ms}, 600 * ms, 520 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			p := New(start)
			for _, at := range c.beats {
				p.Beat(start.Add(at))
			}
			if got := p.EarliestArrival(start.Add(c.now)).Sub(start); got != c.want {
				t.Errorf("earliest arrival is %v, want %v", got, c.want)
			}
		})
	}
}

func TestNoPulseKnowsOfNoStall(t *testing.T) {
	var p *Monitor
	now := time.Now()
	p.Beat(now)
	if p.EarliestArrival(now) != now {
		t.Error("a nil monitor reported a stall")
	}
}
