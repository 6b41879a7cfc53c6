package ledger

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var terms = RuleParams{
	Categories: []Category{{TTL: 500 * ms, MaxRefusalDelay: 200 * ms, Effect: "redeliverable"}, {TTL: 500 * ms, Effect: "at-most-once"},
		{TTL: 500 * ms, Effect: "deduplicated", DedupWindow: 200 * ms, ZoneScopedDedup: true}},
	ServerZone: map[uint32]int{1: 0, 2: 1, 3: 0}, DrainGrace: 100 * ms, OverloadFactor: 3, OverloadWindow: 1000 * ms, ColdCapacityShare: 0.3,
	WarmUp: 4000 * ms, MaxPushes: 3, Slack: 10 * ms,
}

var kinds = map[string]Kind{"sent": OpSent, "left": ClientLeft, "push": PushReceived, "over": PushEnded, "told": StateAnnounced, "started": ServerStarted, "gone": ProxyExited, "hand": OperatorOverride, "stalled": ProxyStalled, "blind": LinkFault, "passed": DeadlineForwarded}
var hows = map[string]uint32{"acked": AnswerAcked, "nacked": AnswerNacked, "dead": AnswerDeadLettered, "closed": AnswerClosed, "foreign": AnswerWrongValue, "half": AnswerTruncated,
	"crossed": AnswerIdleClosed, "answered": EndAnswered, "missed": EndMissed, "refused": EndRefused, "failed": EndFailed, "dropped": EndConnLost, "silent": EndUnanswered,
	"leaving": StateLeaving, "out": StateOut, "active": StateActive}

// history reads lines such as "120 push s1 c7" (ms, what, server, connection); ops are op 1 unless "op2" is said.
func history(t *testing.T, text string) (all []Record) {
	for _, line := range strings.Split(strings.TrimSpace(text), ";") {
		w := strings.Fields(line)
		var at int
		fmt.Sscan(w[0], &at)
		r := Record{At: time.Duration(at) * ms, Op: 1, Kind: OpAnswered}
		if k, ok := kinds[w[1]]; ok {
			r.Kind = k
		} else if h, ok := hows[w[1]]; ok {
			r.A = h
		} else {
			t.Fatalf("unknown word %q", w[1])
		}
		if r.Kind == OpSent {
			r.A, r.C = 1, 400_000
		}
		for _, x := range w[2:] {
			var n uint32
			fmt.Sscan(strings.TrimLeft(x, "abcdefghijklmnopqrstuvwxyz"), &n)
			switch {
			case strings.HasPrefix(x, "op"):
				r.Op = uint64(n)
			case strings.HasPrefix(x, "cat"):
				r.B = n
			case strings.HasPrefix(x, "work"), r.Kind == DeadlineForwarded && strings.HasSuffix(x, "ms"):
				r.C = n * 1000
			case strings.HasPrefix(x, "cold"):
				r.B, r.C = 1000, 1
			case strings.HasPrefix(x, "meant"):
				r.C = 1
			case x == "warned":
				r.C = ExitTerminated
			case x == "closing":
				r.A = 1
			case hows[x] > 0 || x == "answered" || x == "active":
				r.C = hows[x]
			case x[0] == 'p':
				r.A = n
			case x[0] == 's' && (r.Kind == StateAnnounced || r.Kind == OperatorOverride):
				r.B = n
			case x[0] == 's':
				r.A = n
			case x[0] == 'c':
				r.B = n
			}
		}
		all = append(all, r)
	}
	return all
}

// Each rule's breach is caught by its name, and a right proxy is not accused.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct{ name, text, broken string }{
		{"served", "0 sent; 5 push s1 c1; 20 over s1 c1 answered; 21 acked", ""},
		{"a miss, then the origin", "0 sent; 5 push s1 c1; 8 over s1 c1 missed; 9 push s0 c2; 40 over s0 c2 answered; 41 acked", ""},
		{"passes what is left", "0 sent; 5 push s1 c1; 5 passed s1 c1 390ms; 105 over s1 c1 missed; 106 push s0 c2; 106 passed s0 c2 290ms; 140 over s0 c2 answered; 141 acked", ""},
		{"passes a little more, within what is tolerated", "0 sent; 300 push s1 c1; 300 passed s1 c1 300ms; 320 over s1 c1 answered; 321 acked", ""},
		{"passes the client's own deadline with a retry", "0 sent; 5 push s1 c1; 5 passed s1 c1 390ms; 205 over s1 c1 missed; 206 push s0 c2; 206 passed s0 c2 400ms; 240 over s0 c2 answered; 241 acked", RuleDeadline},
		{"passes more than is left with a first attempt", "0 sent; 300 push s1 c1; 300 passed s1 c1 301ms; 320 over s1 c1 answered; 321 acked", RuleDeadline},
		{"passes no deadline", "0 sent; 5 push s1 c1; 5 passed s1 c1; 20 over s1 c1 answered; 21 acked", RuleDeadline},
		{"the client goes away", "0 sent; 5 push s1 c1; 30 left; 31 over s1 c1 dropped", ""},
		{"sends on for a client that has left", "0 sent; 5 push s1 c1; 30 left closing; 20 over s1 c1 refused; 341 push s2 c2; 350 over s2 c2 answered", RulePushAfterClientLeft},
		{"sends on for it before it can know", "0 sent; 5 push s1 c1; 30 left closing; 20 over s1 c1 refused; 339 push s2 c2; 350 over s2 c2 answered", ""},
		{"sends on first for one that has left", "0 sent; 30 left closing; 341 push s2 c2; 350 over s2 c2 answered", RulePushAfterClientLeft},
		{"sends on for it, having stood still", "0 sent; 30 left closing; 20 stalled p1 meant; 340 stalled p1; 341 push s2 c2; 350 over s2 c2 answered", ""},
		{"what it began runs on", "0 sent cat1; 5 push s1 c1; 30 left closing; 390 over s1 c1 answered", ""},
		{"a client that is beyond a broken way", "0 sent; 5 push s1 c1; 30 left; 20 over s1 c1 refused; 341 push s2 c2; 350 over s2 c2 answered", ""},
		{"stands still with the op in hand", "0 sent; 5 push s1 c1; 10 stalled p1 meant; 20 over s1 c1 answered; 600 stalled p1", ""},
		{"answers late, having stood still", "0 sent; 5 push s1 c1; 10 stalled p1 meant; 20 over s1 c1 answered; 600 stalled p1; 601 acked", ""},
		{"another stands still", "0 sent; 5 push s1 c1; 10 stalled p2 meant; 20 over s1 c1 answered; 600 stalled p2", RuleAnswerLost},
		{"stands still, and sends a copy after", "0 sent cat1; 5 push s1 c1; 10 stalled p1 meant; 20 over s1 c1 failed; 100 stalled p1; 101 push s2 c2; 120 over s2 c2 answered; 121 acked", RuleDuplicateEffect},
		{"told to drain as it stands still", "0 stalled p1 meant; 10 told p1 s1 leaving; 300 stalled p1; 301 sent; 305 push s1 c1; 320 over s1 c1 answered; 321 acked", ""},
		{"and pushes there long after", "0 stalled p1 meant; 10 told p1 s1 leaving; 300 stalled p1; 501 sent; 505 push s1 c1; 520 over s1 c1 answered; 521 acked", RuleDrainedServer},
		{"held with nothing out", "0 sent; 300 nacked", RuleDelayedRefusal},
		{"held behind a push that was refused", "0 sent; 5 push s1 c1; 6 over s1 c1 refused; 300 nacked", RuleDelayedRefusal},
		{"out at a server that never answers", "0 sent; 5 push s1 c1; 6 over s1 c1 silent; 300 nacked", ""},
		{"out on a broken way", "0 blind meant; 1 sent; 300 nacked; 301 blind", ""},
		{"long after the way is whole", "0 blind meant; 1 blind; 700 sent; 1000 nacked", RuleDelayedRefusal},
		{"loses", "0 sent; 5 push s1 c1; 20 over s1 c1 answered", RuleAnswerLost},
		{"hangs up", "0 sent; 5 push s1 c1; 20 closed", RuleAnswerLost},
		{"late", "0 sent; 5 push s1 c1; 450 over s1 c1 answered; 451 acked", RuleAnswerLost},
		{"late, and its client has left", "0 sent; 5 push s1 c1; 400 left; 450 over s1 c1 answered; 451 acked", ""},
		{"another op's value", "0 sent; 5 push s1 c1; 20 over s1 c1 answered; 21 foreign", RuleAnswerLost},
		{"killed by the lab with the op in hand", "0 sent; 5 push s1 c1; 20 gone p1 meant; 20 closed; 20 over s1 c1 dropped", ""},
		{"killed in the midst of its answer", "0 sent; 5 push s1 c1; 18 over s1 c1 answered; 20 half; 20 gone p1 meant", ""},
		{"killed, and no word of the connection's end", "0 sent; 5 push s1 c1; 20 gone p1 meant", ""},
		{"ends by itself with the op in hand", "0 sent; 5 push s1 c1; 20 gone p1; 20 closed", RuleAnswerLost},
		{"ends with the op in hand, warned ahead", "0 sent; 5 push s1 c1; 20 gone p1 warned; 20 closed; 20 over s1 c1 dropped", RuleAnswerLost},
		{"ends with the op unread, warned ahead", "0 sent; 20 gone p1 warned; 20 closed", RuleAnswerLost},
		{"ends with no word, warned ahead", "0 sent; 20 gone p1 warned", RuleAnswerLost},
		{"ends between two ops, warned ahead", "0 sent; 20 gone p1 warned; 20 crossed", ""},
		{"another proxy is killed", "0 sent; 5 push s1 c1; 20 gone p2 meant; 25 closed", RuleAnswerLost},
		{"closed between two ops, unread", "0 sent; 1 crossed", ""},
		{"closed after it was read", "0 sent; 5 push s1 c1; 9 crossed; 10 over s1 c1 dropped", RuleAnswerLost},
		{"answers twice", "0 sent; 5 push s1 c1; 20 over s1 c1 answered; 21 acked; 25 nacked", RuleAnsweredTwice},
		{"sends after its answer", "0 sent; 21 nacked; 60 push s1 c1; 70 over s1 c1 answered", RulePushAfterAnswer},
		{"a push that is under way as the answer is", "0 sent; 5 push s1 c1; 20 nacked; 25 push s2 c2; 25 over s1 c1 dropped; 26 over s2 c2 dropped", ""},
		{"two at once", "0 sent; 5 push s1 c1; 30 push s2 c2; 60 over s1 c1 answered; 61 acked; 62 over s2 c2 dropped", RuleDuplicateEffect},
		{"one after the other", "0 sent; 5 push s1 c1; 30 over s1 c1 dropped; 31 push s2 c2; 61 over s2 c2 answered; 62 acked", ""},
		{"word of a connection's end comes late", "0 sent; 5 push s1 c1; 31 push s2 c2; 33 over s1 c1 dropped; 61 over s2 c2 answered; 62 acked", ""},
		{"at-most-once, again after it may have run", "0 sent cat1; 5 push s1 c1; 30 over s1 c1 failed; 31 push s2 c2; 61 over s2 c2 answered; 62 acked", RuleDuplicateEffect},
		{"at-most-once, again after a refusal", "0 sent cat1; 5 push s1 c1; 30 over s1 c1 refused; 31 push s2 c2; 61 over s2 c2 answered; 62 acked", ""},
		{"at-most-once, nacked though it may have run", "0 sent cat1; 5 push s1 c1; 30 over s1 c1 dropped; 31 nacked", RuleUnsafeNack},
		{"at-most-once, dead-lettered", "0 sent cat1; 5 push s1 c1; 30 over s1 c1 dropped; 31 dead", ""},
		{"deduplicated, again in its zone", "0 sent cat2; 5 push s1 c1; 30 over s1 c1 dropped; 31 push s3 c2; 61 over s3 c2 answered; 62 acked", ""},
		{"deduplicated, again in another zone", "0 sent cat2; 5 push s1 c1; 30 over s1 c1 dropped; 31 push s2 c2; 61 over s2 c2 answered; 62 acked", RuleDuplicateEffect},
		{"deduplicated, again past its window", "0 sent cat2; 5 push s1 c1; 30 over s1 c1 dropped; 231 push s3 c2; 261 over s3 c2 answered; 262 acked", RuleDuplicateEffect},
		{"too many pushes", "0 sent; 1 push s1 c1; 2 over s1 c1 refused; 3 push s2 c2; 4 over s2 c2 refused; 5 push s3 c3; 6 over s3 c3 refused; 7 push s1 c4; 8 over s1 c4 answered; 9 acked", RuleTooManyPushes},
		{"pushes to a drained cache", "0 told p1 s1 leaving; 200 sent; 205 push s1 c1; 220 over s1 c1 answered; 221 acked", RuleDrainedServer},
		{"within the grace", "150 told p1 s1 leaving; 200 sent; 205 push s1 c1; 220 over s1 c1 answered; 221 acked", ""},
		{"another proxy was told", "0 told p2 s1 leaving; 200 sent; 205 push s1 c1; 220 over s1 c1 answered; 221 acked", ""},
		{"back since", "0 told p1 s1 out; 50 told p1 s1 active; 200 sent; 205 push s1 c1; 220 over s1 c1 answered; 221 acked", ""},
		{"pushes to what an operator took out", "150 hand p1 s1 meant; 200 sent; 205 push s1 c1; 220 over s1 c1 answered; 221 acked", RuleDrainedServer},
		{"whatever the list says since", "150 hand p1 s1 meant; 180 told p1 s1 active; 200 sent; 205 push s1 c1; 220 over s1 c1 answered; 221 acked", RuleDrainedServer},
		{"called back since", "100 hand p1 s1 meant; 150 hand p1 s1; 200 sent; 205 push s1 c1; 220 over s1 c1 answered; 221 acked", ""},
		{"taken out at another proxy", "150 hand p2 s1 meant; 200 sent; 205 push s1 c1; 220 over s1 c1 answered; 221 acked", ""},
		{"sits on its refusal", "0 sent; 5 push s1 c1; 30 over s1 c1 failed; 350 nacked", RuleDelayedRefusal},
		{"sits on it with nothing ever out", "0 sent; 350 nacked", RuleDelayedRefusal},
		{"refuses after a long push", "0 sent; 5 push s1 c1; 350 over s1 c1 dropped; 351 nacked", ""},
		{"a cold cache pushed over", "0 started s1 cold; 0 sent; 5 push s1 c1 work1500; 6 over s1 c1 answered; 7 acked", RuleColdOverload},
		{"a cold cache within its bound", "0 started s1 cold; 0 sent; 5 push s1 c1 work900; 6 over s1 c1 answered; 7 acked", ""},
	} {
		records := history(t, c.text)
		for try := range 3 { // the verdict hangs on times, not on the order of lines
			if try > 0 && !strings.Contains(c.text, "started") { // a server is booked before it can be asked
				rand.New(rand.NewPCG(uint64(try), 1)).Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			}
			j := NewJudge(terms)
			for _, r := range records {
				j.Add(r)
			}
			j.Add(Record{Kind: RunFinished, At: 60 * time.Second})
			v := j.Finish()
			if c.broken == "" && !v.Passed() || c.broken != "" && (len(v.Violations) != 1 || v.Violations[c.broken] != 1) {
				t.Errorf("%s: %v, want %q: %v", c.name, v.Violations, c.broken, v.Findings)
			}
		}
	}
}

// A run that was cut short can be judged, and only open ops are held.
func TestLedgerOnDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	book, err := Create(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5000 {
		at := time.Duration(i) * 10 * ms
		book.Append(Record{OpSent, at, uint64(i), 1, 0, 400_000})
		book.Append(Record{OpAnswered, at + ms, uint64(i), AnswerAcked, 0, 0})
	}
	if n, err := book.Close(); n != 10000 || err != nil {
		t.Fatal(n, err)
	}
	text, _ := os.ReadFile(path)
	j := NewJudge(terms)
	if err := Read(bytes.NewReader(text[:len(text)-5]), j.Add); err != nil {
		t.Fatal(err)
	}
	if v := j.Finish(); v.Ops != 5000 || v.Answers["acked"] != 4999 || v.Violations[RuleAnswerLost] != 1 || v.Complete || v.MaxOpenOps > 500 {
		t.Errorf("%+v", v)
	}
	text[0] = 99
	if Read(bytes.NewReader(text), j.Add) == nil {
		t.Error("a garbled ledger was read")
	}
}

// Danger: a full disk that nobody notices makes a verdict on half a run.
func TestAFullDiskIsTold(t *testing.T) {
	book, err := Create("/dev/full")
	if err != nil {
		t.Skip("no /dev/full here")
	}
	for range 100_000 {
		book.Append(Record{Kind: OpSent})
	}
	if _, err := book.Close(); err == nil {
		t.Error("all was written, it says")
	}
}
