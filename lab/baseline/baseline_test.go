package baseline

import (
	"fmt"
	"testing"

	"minttray/policy"
)

type host struct {
	now policy.Time
	log []string
}

func (h *host) say(format string, args ...any) { h.log = append(h.log, fmt.Sprintf(format, args...)) }

func (h *host) Now() policy.Time                  { return h.now }
func (h *host) Push(op, to uint32, _ policy.Time) { h.say("push %d", op) }
func (h *host) Cancel(op uint32, n int)           { h.say("cancel %d", op) }
func (h *host) Nack(op uint32, _ policy.Time)     { h.say("nack %d", op) }
func (h *host) DeadLetter(op uint32)              { h.say("dead %d", op) }
func (h *host) Timer(uint64, policy.Time)         {}
func (h *host) SendToPeers([]byte)                       {}
func (h *host) Probe(uint32)                      {}
func (h *host) Watch(bool)                        {}
func (h *host) CloseIdle(uint32)                      {}
func (h *host) Log(string)                        {}

// Plain as they are, rules keep the four rules; what they are compared by would else prove nothing.
func TestRulesKeepTheRules(t *testing.T) {
	for _, name := range Names[:len(Names)-1] { // the last one is to break them
		for _, c := range []struct {
			effect policy.Effect
			ends   []policy.Outcome
			want   string
		}{
			{policy.Redeliverable, []policy.Outcome{policy.Acked}, "[push 1]"},
			{policy.Redeliverable, []policy.Outcome{policy.ConnectionLost, policy.Acked}, "[push 1 push 1]"},
			{policy.Redeliverable, []policy.Outcome{policy.ConnectionLost, policy.Errored}, "[push 1 push 1 nack 1]"},
			{policy.Redeliverable, []policy.Outcome{policy.Miss, policy.Errored}, "[push 1 push 1 nack 1]"},
			{policy.AtMostOnce, []policy.Outcome{policy.ConnectionLost}, "[push 1 dead 1]"},
			{policy.AtMostOnce, []policy.Outcome{policy.Rejected, policy.Rejected}, "[push 1 push 1 nack 1]"},
			{policy.Deduplicated, []policy.Outcome{policy.TimedOut}, "[push 1 nack 1]"},
		} {
			h := &host{now: 1000}
			r, err := New(name, policy.Settings{Categories: []policy.Category{{Effect: c.effect, Target: 5000, TTL: 10000}}, Aside: true, OriginKind: 1,
				MostPushes: 5, Tick: 50}, 7, h)
			if err != nil {
				t.Fatal(err)
			}
			r.ListArrived(policy.ListFull, []policy.Entry{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1, State: policy.Draining}, {ID: 9, Kind: 1}})
			r.OpArrived(1, 5, 0, 0, false, false, 9000)
			for n, how := range c.ends {
				r.PushEnded(1, n, how, false, how == policy.Acked, 100)
			}
			if got := fmt.Sprint(h.log); got != c.want || len(r.ops) > 0 {
				t.Errorf("%s, effect %d, %v: %s, want %s; %d ops kept", name, c.effect, c.ends, got, c.want, len(r.ops))
			}
		}
	}
	if _, err := New("best", policy.Settings{}, 0, nil); err == nil {
		t.Error("an unknown rule was made")
	}
}
