package engine

import (
	"testing"
	"time"

	"minttray/internal/deadline"
	"minttray/internal/pulse"
	"minttray/policy"
)

// requestCapture is a server that passes each push's request to the test.
type requestCapture struct{ requests chan *Request }

func (p requestCapture) Push(r *Request, _ time.Time, _ func(Result)) func(AbortCondition) bool {
	p.requests <- r
	return func(AbortCondition) bool { return true }
}
func (requestCapture) Release() {}
func (requestCapture) Retire()  {}

// Guards against a push with a deadline beyond its category's TTL, under the settings in force when the op arrived.
func TestADeadlineIsNoLaterThanTheCategorysTTL(t *testing.T) {
	const ttl = 2 * time.Second
	servers := requestCapture{make(chan *Request, 9)}
	e, s := startEngine(t, func(o *Options) {
		o.Settings.Categories[0].TTL = policy.Time(ttl / timeUnit)
		o.Connect = func(Member) Server { return servers }
	})
	for id, c := range map[string]struct{ wait, want time.Duration }{"longer": {time.Minute, ttl}, "shorter": {time.Second, time.Second}} {
		o := s.op(id, 0)
		o.Request.Deadline = deadline.After(o.ReceivedAt, c.wait)
		if err := e.Submit(o); err != nil {
			t.Fatal(err)
		}
		r := <-servers.requests
		if left := r.Deadline.Remaining(o.ReceivedAt); r.ID != id || left != c.want {
			t.Errorf("op %s: deadline is %v after receipt, want %v", r.ID, left, c.want)
		}
	}
}

// Guards against an idle engine being taken for a stalled process: it must beat while it has nothing to do.
func TestAnEngineThatRestsBeats(t *testing.T) {
	const rest = 500 * time.Millisecond
	beat := pulse.New(time.Now())
	startEngine(t, func(o *Options) { o.StallMonitor, o.Settings.Tick = beat, policy.Time(time.Hour/timeUnit) })
	time.Sleep(rest) // a stall before the first beat is over by now
	beats := 0
	for begun := time.Now(); time.Since(begun) < rest; time.Sleep(time.Millisecond) {
		if now := time.Now(); beat.EarliestArrival(now).Equal(now) {
			beats++
		}
	}
	if beats == 0 {
		t.Error("the idle engine was taken for stalled throughout")
	}
}
