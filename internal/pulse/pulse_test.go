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
		"in another stall, right behind":     {[]time.Duration{20 * ms, 500 * ms, 520 * ms}, 600 * ms, 20 * ms},
		"in another stall":                   {[]time.Duration{20 * ms, 500 * ms, 520 * ms, 540 * ms, 560 * ms, 580 * ms, 600 * ms}, 700 * ms, 600 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			p := New(start)
			for _, at := range c.beats {
				p.Beat(start.Add(at))
			}
			if got := p.Since(start.Add(c.now)).Sub(start); got != c.want {
				t.Errorf("since %v, %v wanted", got, c.want)
			}
		})
	}
}

func TestNoPulseKnowsOfNoStall(t *testing.T) {
	var p *Pulse
	now := time.Now()
	p.Beat(now)
	if p.Since(now) != now {
		t.Error("a stall")
	}
}

// Danger: two stalls follow each other, and what came in the first is read behind the second.
func TestAStallRightBehindAnother(t *testing.T) {
	start := time.Now()
	p := New(start)
	first := start.Add(time.Second)   // the first stall ends
	second := first.Add(recovery / 2) // the second one begins
	end := second.Add(time.Second)    // and ends
	p.Beat(first)
	p.Beat(second)
	p.Beat(end)
	if got := p.Since(end.Add(recovery / 2)); got != start {
		t.Errorf("%v after the start: what came in the first stall counts from the second", got.Sub(start))
	}
	// Once all is read that piled up, a further stall is one of its own.
	later := end.Add(2 * recovery)
	for at := end; at.Before(later); at = at.Add(Every) {
		p.Beat(at)
	}
	p.Beat(later)
	p.Beat(later.Add(time.Second))
	if got := p.Since(later.Add(time.Second)); got != later {
		t.Errorf("%v before", later.Sub(got))
	}
}
