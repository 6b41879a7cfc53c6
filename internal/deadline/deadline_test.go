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
				t.Errorf("got %d ms, error %v; want %d ms", passed.milliseconds, err, c.milliseconds)
			}
		})
	}
}

// Guards against a server being given more time than its client waits. For any input, the deadline sent is at least a millisecond, never
// exceeds the time remaining at WriteBy, and is lower than the allowed maximum by less than the rounding to milliseconds.
func TestPassedIsWithinWhatIsLeft(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
		}
		wait, waited, until := duration("wait", time.Hour), duration("waited", time.Minute), duration("until", time.Minute)
		transfer := rapid.SampledFrom([]Transfer{SingleWrite, MultipleWrites}).Draw(t, "how")
		d, now := After(start, wait), start.Add(waited)
		passed, err := d.ForAttempt(now, now.Add(until), transfer)
		remaining := d.Remaining(now)
		divisor := map[Transfer]time.Duration{SingleWrite: singleWriteMargin, MultipleWrites: multipleWriteMargin}[transfer]
		maxSent := min(remaining-remaining/divisor, until)
		if err != nil {
			if maxSent >= minDeadline {
				t.Fatalf("error %v, though %v could be sent", err, maxSent)
			}
			return
		}
		sent := time.Duration(passed.milliseconds) * time.Millisecond
		if sent < minDeadline || sent > maxSent || sent <= maxSent-time.Millisecond {
			t.Fatalf("sent %v, allowed maximum %v", sent, maxSent)
		}
		if by := passed.WriteBy(); sent > d.Remaining(by) || by.Before(now) {
			t.Fatalf("sent %v until %v from now, when only %v remain", sent, by.Sub(now), d.Remaining(by))
		}
	})
}

// A deadline must never be extended after it was set.
func TestAtMostOnlyLowers(t *testing.T) {
	now := time.Now()
	d := After(now, time.Second)
	if remaining := d.AtMost(now.Add(2 * time.Second)).Remaining(now); remaining != time.Second {
		t.Errorf("%v remaining", remaining)
	}
	if remaining := d.AtMost(now.Add(time.Millisecond)).Remaining(now); remaining != time.Millisecond {
		t.Errorf("%v remaining", remaining)
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
