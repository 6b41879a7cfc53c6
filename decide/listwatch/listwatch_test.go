package listwatch

import "testing"

// testTiming is in milliseconds.
var testTiming = Timing[int64]{Wait: 5000, WatchLimit: 2000, ShortWait: 20, ShortLimit: 200, SlowLimit: 1000, SlowEvery: 3, AnswerWithin: 500}

func TestOnlyAnAnsweredCallIsFollowedByAFullWatch(t *testing.T) {
	c := Calls[int64]{Timing: testTiming}
	expect := func(when string, versionKnown bool, want Call[int64]) {
		t.Helper()
		if got := c.Next(versionKnown); got != want {
			t.Errorf("%s: %+v, want %+v", when, got, want)
		}
	}
	full, short, slow := Call[int64]{5000, 7000}, Call[int64]{20, 220}, Call[int64]{20, 1020}
	expect("the first call", true, short)
	expect("the first call for the whole list", false, Call[int64]{0, 200})
	c.Answered()
	expect("after an answer", true, full)
	expect("after an answer, for the whole list", false, Call[int64]{0, 200})
	if !c.Failed() {
		t.Error("a full watch was taken for a short call")
	}
	expect("after a failure", true, short)
	if c.Failed() {
		t.Error("a short call was taken for a full watch")
	}
	expect("one call in three", true, slow)
	if n := c.Answered(); n != 2 || c.Failures() != 0 {
		t.Errorf("%d failures before an answer, %d after it", n, c.Failures())
	}
	c.AddressChanged()
	expect("at a new address", true, short)
}

// Guards against a bound that leaves out the time that a failed call may last.
func TestTheLongestPauseLeavesTimeForAFailedCallAndAnAnswer(t *testing.T) {
	for within, want := range map[int64]int64{6000: 6000 - 1020 - 500, 1520: 0, 100: 0} {
		if got := testTiming.MaxPause(within); got != want {
			t.Errorf("within %d: %d, want %d", within, got, want)
		}
	}
}
