package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// listHost records what a balancer asks of its host about the list.
type listHost struct {
	Host
	calls []string
}

func (h *listHost) Now() Time     { return 0 }
func (h *listHost) Watch(on bool) { h.calls = append(h.calls, fmt.Sprint("watch ", on)) }
func (h *listHost) Timer(token uint64, after Time) {
	if token == listToken {
		h.calls = append(h.calls, fmt.Sprint(int64(after)))
	}
}

// failListCalls returns what a balancer asks of its host in two runs of five failed calls, each ended by an answer.
func failListCalls(s Settings) []string {
	h := &listHost{}
	s.Categories = []Category{{Target: 2700, TTL: 5400, Benefit: 5}}
	s.Proxies, s.Index, s.AskList, s.Tick, s.TipAfter = 80, 7, true, 10, 30000
	b := New(s, 7, h)
	for range 2 {
		for range 5 {
			b.TimerDue(listToken)
			b.ListArrived(ListFailed, nil)
		}
		b.ListArrived(ListDelta, nil)
	}
	return h.calls
}

// Guards against other calls to the host on the simulator, whose settings name no longest pause: same inputs, same calls.
func TestCallsForTheListWithoutALongestPauseAreUnchanged(t *testing.T) {
	want := "4375 watch true 39686 watch true 32451 watch true 16700 watch true 154474 watch true 172284 " +
		"watch true 16967 watch true 19113 watch true 127208 watch true 160912 watch true 138096"
	if got := strings.Join(failListCalls(Settings{AskEvery: 100_000}), " "); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// Guards against pauses through which the return of discovery is not noticed in time, and against calls of many proxies that come close to
// each other: a pause is at most MaxListPause and half of AskEvery, and at least half of its bound.
func TestPausesBetweenFailedListCallsAreBounded(t *testing.T) {
	for _, c := range []struct{ askEvery, maxPause, longest Time }{
		{80_000, 20_000, 20_000},
		{10_000, 20_000, 5_000},
		{1, 20_000, 1},
	} {
		calls := failListCalls(Settings{AskEvery: c.askEvery, MaxListPause: c.maxPause})
		calls = slices.DeleteFunc(calls, func(call string) bool { return call == "watch true" })
		for i, call := range calls[1:] { // behind the start slot
			longest := c.longest
			if i%5 == 0 { // the first in a row
				longest = max(longest/2, 1)
			}
			var pause Time
			if fmt.Sscan(call, &pause); pause < longest/2 || pause > longest {
				t.Errorf("ask every %d: pause %d is %d, want %d to %d", c.askEvery, i, pause, longest/2, longest)
			}
		}
	}
}
