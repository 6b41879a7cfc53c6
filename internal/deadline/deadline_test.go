package deadline

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPass(t *testing.T) {
	const never = time.Hour
	for name, c := range map[string]struct {
		wait, waited, until time.Duration
		how                 Transfer
		milliseconds        int64 // 0: ErrNoTime is expected
	}{
		"at once":                    {480 * time.Millisecond, 0, never, SingleWrite, 450},
		"later":                      {480 * time.Millisecond, 160 * time.Millisecond, never, SingleWrite, 300},
		"in parts":                   {480 * time.Millisecond, 160 * time.Millisecond, never, MultipleWrites, 240},
		"the proxy waits for less":   {480 * time.Millisecond, 160 * time.Millisecond, 100 * time.Millisecond, SingleWrite, 100},
		"rounded down":               {100 * time.Millisecond, 0, never, SingleWrite, 93},
		"just enough":                {1067 * time.Microsecond, 0, never, SingleWrite, 1},
		"under a millisecond":        {1066 * time.Microsecond, 0, never, SingleWrite, 0},
		"nothing left":               {time.Second, time.Second, never, SingleWrite, 0},
		"past":                       {time.Second, 2 * time.Second, never, SingleWrite, 0},
		"the proxy waits no longer":  {time.Second, 0, 0, SingleWrite, 0},
		"the proxy's wait is past":   {time.Second, 0, -time.Second, SingleWrite, 0},
		"as long as a client may":    {time.Hour, 0, never, SingleWrite, 3_375_000},
		"a fraction of a tick short": {time.Second, 999 * time.Millisecond, never, MultipleWrites, 0},
	} {
		t.Run(name, func(t *testing.T) {
			received := time.Now()
			now := received.Add(c.waited)
			passed, err := After(received, c.wait).ForAttempt(now, now.Add(c.until), c.how)
			if c.milliseconds == 0 && !errors.Is(err, ErrNoTime) || c.milliseconds > 0 && err != nil || passed.milliseconds != c.milliseconds {
				t.Errorf("%d ms, %v; %d ms wanted", passed.milliseconds, err, c.milliseconds)
			}
		})
	}
}

// Guards against a server being given more time than its client waits. For any input, the deadline sent is at least a millisecond, never
// exceeds the time remaining at WriteBy, and is lower than the allowed maximum by less than the rounding to milliseconds.
func TestPassedIsWithinWhatIsLeft(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		wait, waited, until := span("wait", time.Hour), span("waited", time.Minute), span("until", time.Minute)
		how := rapid.SampledFrom([]Transfer{SingleWrite, MultipleWrites}).Draw(t, "how")
		d, now := After(start, wait), start.Add(waited)
		passed, err := d.ForAttempt(now, now.Add(until), how)
		left := d.Remaining(now)
		share := map[Transfer]time.Duration{SingleWrite: singleWriteMargin, MultipleWrites: multipleWriteMargin}[how]
		most := min(left-left/share, until)
		if err != nil {
			if most >= minDeadline {
				t.Fatalf("%v, though %v could be passed", err, most)
			}
			return
		}
		told := time.Duration(passed.milliseconds) * time.Millisecond
		if told < minDeadline || told > most || told <= most-time.Millisecond {
			t.Fatalf("%v is passed, %v could be", told, most)
		}
		if by := passed.WriteBy(); told > d.Remaining(by) || by.Before(now) {
			t.Fatalf("%v is passed up to %v from now, %v are left then", told, by.Sub(now), d.Remaining(by))
		}
	})
}

// A deadline must never be extended after it was set.
func TestAtMostOnlyLowers(t *testing.T) {
	now := time.Now()
	d := After(now, time.Second)
	if left := d.AtMost(now.Add(2 * time.Second)).Remaining(now); left != time.Second {
		t.Errorf("%v left", left)
	}
	if left := d.AtMost(now.Add(time.Millisecond)).Remaining(now); left != time.Millisecond {
		t.Errorf("%v left", left)
	}
}

func TestPropertiesKeepAllButTheDeadline(t *testing.T) {
	const list = "c=read,d=480.5,t=acme,x=d"
	p := RemoveDeadline(list, 9, 14)
	now := time.Now()
	passed, err := After(now, time.Second).ForAttempt(now, now.Add(7*time.Millisecond), SingleWrite)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(p.Append(nil, passed)); got != "c=read,d=7,t=acme,x=d" {
		t.Error(got)
	}
	if p.Size() != len(list)-len("480.5") {
		t.Error(p.Size())
	}
}
