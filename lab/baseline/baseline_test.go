package baseline

import (
	"fmt"
	"testing"

	"minttray/policy"
)

// fakeHost logs the actions of a policy.
type fakeHost struct {
	now     policy.Time
	actions []string
}

// record logs an action.
func (h *fakeHost) record(format string, args ...any) {
	h.actions = append(h.actions, fmt.Sprintf(format, args...))
}

func (h *fakeHost) Now() policy.Time                  { return h.now }
func (h *fakeHost) Push(op, to uint32, _ policy.Time) { h.record("push %d", op) }
func (h *fakeHost) Cancel(op uint32, n int)           { h.record("cancel %d", op) }
func (h *fakeHost) Nack(op uint32, _ policy.Time)     { h.record("nack %d", op) }
func (h *fakeHost) DeadLetter(op uint32)              { h.record("dead %d", op) }
func (h *fakeHost) Timer(uint64, policy.Time)         {}
func (h *fakeHost) SendToPeers([]byte)                {}
func (h *fakeHost) Probe(uint32)                      {}
func (h *fakeHost) Watch(bool)                        {}
func (h *fakeHost) CloseIdle(uint32)                  {}
func (h *fakeHost) Log(string)                        {}

// TestBaselinesKeepTheRules checks that the baselines repeat and answer ops only as their effects allow. A comparison with a
// baseline that breaks these rules would not be valid evidence.
func TestBaselinesKeepTheRules(t *testing.T) {
	for _, name := range Names[:len(Names)-1] { // the last one breaks the rules on purpose
		for _, c := range []struct {
			effect   policy.Effect
			outcomes []policy.Outcome
			want     string
		}{
			{policy.Redeliverable, []policy.Outcome{policy.Acked}, "[push 1]"},
			{policy.Redeliverable, []policy.Outcome{policy.ConnectionLost, policy.Acked}, "[push 1 push 1]"},
			{policy.Redeliverable, []policy.Outcome{policy.ConnectionLost, policy.Errored}, "[push 1 push 1 nack 1]"},
			{policy.Redeliverable, []policy.Outcome{policy.Miss, policy.Errored}, "[push 1 push 1 nack 1]"},
			{policy.AtMostOnce, []policy.Outcome{policy.ConnectionLost}, "[push 1 dead 1]"},
			{policy.AtMostOnce, []policy.Outcome{policy.Rejected, policy.Rejected}, "[push 1 push 1 nack 1]"},
			{policy.Deduplicated, []policy.Outcome{policy.TimedOut}, "[push 1 nack 1]"},
		} {
			h := &fakeHost{now: 1000}
			r, err := New(name, policy.Settings{Categories: []policy.Category{{Effect: c.effect, Target: 5000, TTL: 10000}}, Aside: true, OriginKind: 1,
				MostPushes: 5, Tick: 50}, 7, h)
			if err != nil {
				t.Fatal(err)
			}
			r.ListArrived(policy.ListFull, []policy.Entry{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1, State: policy.Draining}, {ID: 9, Kind: 1}})
			r.OpArrived(1, 5, 0, 0, false, false, 9000)
			for n, outcome := range c.outcomes {
				r.PushEnded(1, n, outcome, false, outcome == policy.Acked, 100)
			}
			if got := fmt.Sprint(h.actions); got != c.want || len(r.ops) > 0 {
				t.Errorf("%s, effect %d, outcomes %v: actions %s, want %s; %d ops still open", name, c.effect, c.outcomes, got, c.want, len(r.ops))
			}
		}
	}
	if _, err := New("best", policy.Settings{}, 0, nil); err == nil {
		t.Error("an unknown baseline was created")
	}
}
