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

var testParams = RuleParams{
	Categories: []Category{
		{TTL: 500 * ms, MaxRefusalDelay: 200 * ms, Effect: "redeliverable"},
		{TTL: 500 * ms, Effect: "at-most-once"},
		{TTL: 500 * ms, Effect: "deduplicated", DedupWindow: 200 * ms, ZoneScopedDedup: true},
	},
	ServerZone:        map[uint32]int{1: 0, 2: 1, 3: 0},
	DrainGrace:        100 * ms,
	OverloadFactor:    3,
	OverloadWindow:    1000 * ms,
	ColdCapacityShare: 0.3,
	WarmUp:            4000 * ms,
	MaxPushes:         3,
	Slack:             10 * ms,
}

// kindWords are the words for kinds of records. A word of valueWords in their place is an answer.
var kindWords = map[string]Kind{
	"sent":       OpSent,
	"clientleft": ClientLeft,
	"push":       PushReceived,
	"ended":      PushEnded,
	"state":      StateAnnounced,
	"started":    ServerStarted,
	"exited":     ProxyExited,
	"override":   OperatorOverride,
	"stalled":    ProxyStalled,
	"linkfault":  LinkFault,
	"deadline":   DeadlineForwarded,
}

// valueWords are the words for answers, ends of pushes and states of servers.
var valueWords = map[string]uint32{
	"acked":        AnswerAcked,
	"nacked":       AnswerNacked,
	"deadlettered": AnswerDeadLettered,
	"closed":       AnswerClosed,
	"wrongvalue":   AnswerWrongValue,
	"truncated":    AnswerTruncated,
	"idleclosed":   AnswerIdleClosed,
	"answered":     EndAnswered,
	"missed":       EndMissed,
	"refused":      EndRefused,
	"failed":       EndFailed,
	"connlost":     EndConnLost,
	"unanswered":   EndUnanswered,
	"leaving":      StateLeaving,
	"out":          StateOut,
	"active":       StateActive,
}

// parseRecords parses records that are separated by semicolons, such as "120 push s1 c7": the time in ms, the kind, and
// parameters: s1 is server 1, c7 connection 7, p1 proxy process 1, cat1 category 1, work900 a work of 900 ms, 390ms a
// deadline, op2 op 2 (without it, a record belongs to op 1).
func parseRecords(t *testing.T, text string) (records []Record) {
	for _, recordText := range strings.Split(strings.TrimSpace(text), ";") {
		words := strings.Fields(recordText)
		var at int
		fmt.Sscan(words[0], &at)
		r := Record{At: time.Duration(at) * ms, Op: 1, Kind: OpAnswered}
		if kind, ok := kindWords[words[1]]; ok {
			r.Kind = kind
		} else if value, ok := valueWords[words[1]]; ok {
			r.A = value
		} else {
			t.Fatalf("unknown word %q", words[1])
		}
		if r.Kind == OpSent {
			r.A, r.C = 1, 400_000
		}
		for _, word := range words[2:] {
			var n uint32
			fmt.Sscan(strings.TrimLeft(word, "abcdefghijklmnopqrstuvwxyz"), &n)
			value, isValue := valueWords[word]
			switch {
			case strings.HasPrefix(word, "op"):
				r.Op = uint64(n)
			case strings.HasPrefix(word, "cat"):
				r.B = n
			case strings.HasPrefix(word, "work"), r.Kind == DeadlineForwarded && strings.HasSuffix(word, "ms"):
				r.C = n * 1000
			case strings.HasPrefix(word, "cold"):
				r.B, r.C = 1000, 1
			case word == "on":
				r.C = 1
			case word == "killed":
				r.C = ExitKilled
			case word == "terminated":
				r.C = ExitTerminated
			case word == "closes":
				r.A = 1
			case isValue:
				r.C = value
			case word[0] == 'p':
				r.A = n
			case word[0] == 's' && (r.Kind == StateAnnounced || r.Kind == OperatorOverride):
				r.B = n
			case word[0] == 's':
				r.A = n
			case word[0] == 'c':
				r.B = n
			}
		}
		records = append(records, r)
	}
	return records
}

// TestVerdicts checks that each violation is found under its rule, and that nothing else is reported, in whatever order the
// records come.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct{ name, records, rule string }{
		{"served", "0 sent; 5 push s1 c1; 20 ended s1 c1 answered; 21 acked", ""},
		{"miss, then origin", "0 sent; 5 push s1 c1; 8 ended s1 c1 missed; 9 push s0 c2; 40 ended s0 c2 answered; 41 acked", ""},
		{"forwards the remaining time", "0 sent; 5 push s1 c1; 5 deadline s1 c1 390ms; 105 ended s1 c1 missed; 106 push s0 c2; 106 deadline s0 c2 290ms; 140 ended s0 c2 answered; 141 acked", ""},
		{"forwards slightly more, within the tolerance", "0 sent; 300 push s1 c1; 300 deadline s1 c1 300ms; 320 ended s1 c1 answered; 321 acked", ""},
		{"forwards the client's whole deadline with a retry", "0 sent; 5 push s1 c1; 5 deadline s1 c1 390ms; 205 ended s1 c1 missed; 206 push s0 c2; 206 deadline s0 c2 400ms; 240 ended s0 c2 answered; 241 acked", RuleDeadline},
		{"forwards more than the remaining time with the first push", "0 sent; 300 push s1 c1; 300 deadline s1 c1 301ms; 320 ended s1 c1 answered; 321 acked", RuleDeadline},
		{"forwards no deadline", "0 sent; 5 push s1 c1; 5 deadline s1 c1; 20 ended s1 c1 answered; 21 acked", RuleDeadline},
		{"client leaves", "0 sent; 5 push s1 c1; 30 clientleft; 31 ended s1 c1 connlost", ""},
		{"push after the client left", "0 sent; 5 push s1 c1; 30 clientleft closes; 20 ended s1 c1 refused; 341 push s2 c2; 350 ended s2 c2 answered", RulePushAfterClientLeft},
		{"push just before the proxy has to notice that the client left", "0 sent; 5 push s1 c1; 30 clientleft closes; 20 ended s1 c1 refused; 339 push s2 c2; 350 ended s2 c2 answered", ""},
		{"first push after the client left", "0 sent; 30 clientleft closes; 341 push s2 c2; 350 ended s2 c2 answered", RulePushAfterClientLeft},
		{"push after the client left, by a process that was stopped meanwhile", "0 sent; 30 clientleft closes; 20 stalled p1 on; 340 stalled p1; 341 push s2 c2; 350 ended s2 c2 answered", ""},
		{"push in progress when the client leaves runs to its end", "0 sent cat1; 5 push s1 c1; 30 clientleft closes; 390 ended s1 c1 answered", ""},
		{"push after the client left, behind a link fault", "0 sent; 5 push s1 c1; 30 clientleft; 20 ended s1 c1 refused; 341 push s2 c2; 350 ended s2 c2 answered", ""},
		{"no answer, process was stopped with the op in progress", "0 sent; 5 push s1 c1; 10 stalled p1 on; 20 ended s1 c1 answered; 600 stalled p1", ""},
		{"late answer, process was stopped", "0 sent; 5 push s1 c1; 10 stalled p1 on; 20 ended s1 c1 answered; 600 stalled p1; 601 acked", ""},
		{"no answer, another process was stopped", "0 sent; 5 push s1 c1; 10 stalled p2 on; 20 ended s1 c1 answered; 600 stalled p2", RuleAnswerLost},
		{"duplicate after the process was stopped", "0 sent cat1; 5 push s1 c1; 10 stalled p1 on; 20 ended s1 c1 failed; 100 stalled p1; 101 push s2 c2; 120 ended s2 c2 answered; 121 acked", RuleDuplicateEffect},
		{"server leaves while the process is stopped, push right after", "0 stalled p1 on; 10 state p1 s1 leaving; 300 stalled p1; 301 sent; 305 push s1 c1; 320 ended s1 c1 answered; 321 acked", ""},
		{"server leaves while the process is stopped, push long after", "0 stalled p1 on; 10 state p1 s1 leaving; 300 stalled p1; 501 sent; 505 push s1 c1; 520 ended s1 c1 answered; 521 acked", RuleDrainedServer},
		{"refusal delayed without a push", "0 sent; 300 nacked", RuleDelayedRefusal},
		{"refusal delayed after a refused push", "0 sent; 5 push s1 c1; 6 ended s1 c1 refused; 300 nacked", RuleDelayedRefusal},
		{"refusal with a push at a server that never answers", "0 sent; 5 push s1 c1; 6 ended s1 c1 unanswered; 300 nacked", ""},
		{"refusal during a link fault", "0 linkfault on; 1 sent; 300 nacked; 301 linkfault", ""},
		{"refusal delayed long after a link fault", "0 linkfault on; 1 linkfault; 700 sent; 1000 nacked", RuleDelayedRefusal},
		{"no answer", "0 sent; 5 push s1 c1; 20 ended s1 c1 answered", RuleAnswerLost},
		{"connection closed before the answer", "0 sent; 5 push s1 c1; 20 closed", RuleAnswerLost},
		{"late answer", "0 sent; 5 push s1 c1; 450 ended s1 c1 answered; 451 acked", RuleAnswerLost},
		{"late answer, client has left", "0 sent; 5 push s1 c1; 400 clientleft; 450 ended s1 c1 answered; 451 acked", ""},
		{"value of another op", "0 sent; 5 push s1 c1; 20 ended s1 c1 answered; 21 wrongvalue", RuleAnswerLost},
		{"process killed with the op in progress", "0 sent; 5 push s1 c1; 20 exited p1 killed; 20 closed; 20 ended s1 c1 connlost", ""},
		{"process killed while it writes the answer", "0 sent; 5 push s1 c1; 18 ended s1 c1 answered; 20 truncated; 20 exited p1 killed", ""},
		{"process killed, end of the connection not seen", "0 sent; 5 push s1 c1; 20 exited p1 killed", ""},
		{"process crashes with the op in progress", "0 sent; 5 push s1 c1; 20 exited p1; 20 closed", RuleAnswerLost},
		{"process terminated with the op in progress", "0 sent; 5 push s1 c1; 20 exited p1 terminated; 20 closed; 20 ended s1 c1 connlost", RuleAnswerLost},
		{"process terminated with the op unread", "0 sent; 20 exited p1 terminated; 20 closed", RuleAnswerLost},
		{"process terminated, end of the connection not seen", "0 sent; 20 exited p1 terminated", RuleAnswerLost},
		{"process terminated, idle connection closed", "0 sent; 20 exited p1 terminated; 20 idleclosed", ""},
		{"another process killed", "0 sent; 5 push s1 c1; 20 exited p2 killed; 25 closed", RuleAnswerLost},
		{"idle connection closed, op unread", "0 sent; 1 idleclosed", ""},
		{"reused connection closed after a push", "0 sent; 5 push s1 c1; 9 idleclosed; 10 ended s1 c1 connlost", RuleAnswerLost},
		{"two answers", "0 sent; 5 push s1 c1; 20 ended s1 c1 answered; 21 acked; 25 nacked", RuleAnsweredTwice},
		{"push after the answer", "0 sent; 21 nacked; 60 push s1 c1; 70 ended s1 c1 answered", RulePushAfterAnswer},
		{"push that crosses the answer", "0 sent; 5 push s1 c1; 20 nacked; 25 push s2 c2; 25 ended s1 c1 connlost; 26 ended s2 c2 connlost", ""},
		{"two pushes at once", "0 sent; 5 push s1 c1; 30 push s2 c2; 60 ended s1 c1 answered; 61 acked; 62 ended s2 c2 connlost", RuleDuplicateEffect},
		{"two pushes in turn", "0 sent; 5 push s1 c1; 30 ended s1 c1 connlost; 31 push s2 c2; 61 ended s2 c2 answered; 62 acked", ""},
		{"two pushes in turn, end of the first recorded late", "0 sent; 5 push s1 c1; 31 push s2 c2; 33 ended s1 c1 connlost; 61 ended s2 c2 answered; 62 acked", ""},
		{"at-most-once, pushed again after it may have run", "0 sent cat1; 5 push s1 c1; 30 ended s1 c1 failed; 31 push s2 c2; 61 ended s2 c2 answered; 62 acked", RuleDuplicateEffect},
		{"at-most-once, pushed again after a refusal", "0 sent cat1; 5 push s1 c1; 30 ended s1 c1 refused; 31 push s2 c2; 61 ended s2 c2 answered; 62 acked", ""},
		{"at-most-once, nacked though it may have run", "0 sent cat1; 5 push s1 c1; 30 ended s1 c1 connlost; 31 nacked", RuleUnsafeNack},
		{"at-most-once, dead-lettered", "0 sent cat1; 5 push s1 c1; 30 ended s1 c1 connlost; 31 deadlettered", ""},
		{"deduplicated, pushed again in its zone", "0 sent cat2; 5 push s1 c1; 30 ended s1 c1 connlost; 31 push s3 c2; 61 ended s3 c2 answered; 62 acked", ""},
		{"deduplicated, pushed again in another zone", "0 sent cat2; 5 push s1 c1; 30 ended s1 c1 connlost; 31 push s2 c2; 61 ended s2 c2 answered; 62 acked", RuleDuplicateEffect},
		{"deduplicated, pushed again after its window", "0 sent cat2; 5 push s1 c1; 30 ended s1 c1 connlost; 231 push s3 c2; 261 ended s3 c2 answered; 262 acked", RuleDuplicateEffect},
		{"too many pushes", "0 sent; 1 push s1 c1; 2 ended s1 c1 refused; 3 push s2 c2; 4 ended s2 c2 refused; 5 push s3 c3; 6 ended s3 c3 refused; 7 push s1 c4; 8 ended s1 c4 answered; 9 acked", RuleTooManyPushes},
		{"push to a leaving server after the grace period", "0 state p1 s1 leaving; 200 sent; 205 push s1 c1; 220 ended s1 c1 answered; 221 acked", RuleDrainedServer},
		{"push to a leaving server within the grace period", "150 state p1 s1 leaving; 200 sent; 205 push s1 c1; 220 ended s1 c1 answered; 221 acked", ""},
		{"another proxy was told that the server leaves", "0 state p2 s1 leaving; 200 sent; 205 push s1 c1; 220 ended s1 c1 answered; 221 acked", ""},
		{"server active again", "0 state p1 s1 out; 50 state p1 s1 active; 200 sent; 205 push s1 c1; 220 ended s1 c1 answered; 221 acked", ""},
		{"push to a detached server", "150 override p1 s1 on; 200 sent; 205 push s1 c1; 220 ended s1 c1 answered; 221 acked", RuleDrainedServer},
		{"push to a detached server that discovery lists as active", "150 override p1 s1 on; 180 state p1 s1 active; 200 sent; 205 push s1 c1; 220 ended s1 c1 answered; 221 acked", RuleDrainedServer},
		{"server attached again", "100 override p1 s1 on; 150 override p1 s1; 200 sent; 205 push s1 c1; 220 ended s1 c1 answered; 221 acked", ""},
		{"server detached at another proxy", "150 override p2 s1 on; 200 sent; 205 push s1 c1; 220 ended s1 c1 answered; 221 acked", ""},
		{"refusal delayed after a failed push", "0 sent; 5 push s1 c1; 30 ended s1 c1 failed; 350 nacked", RuleDelayedRefusal},
		{"refusal long delayed without a push", "0 sent; 350 nacked", RuleDelayedRefusal},
		{"refusal after a long push", "0 sent; 5 push s1 c1; 350 ended s1 c1 connlost; 351 nacked", ""},
		{"cold cache overloaded", "0 started s1 cold; 0 sent; 5 push s1 c1 work1500; 6 ended s1 c1 answered; 7 acked", RuleColdOverload},
		{"cold cache within its bound", "0 started s1 cold; 0 sent; 5 push s1 c1 work900; 6 ended s1 c1 answered; 7 acked", ""},
	} {
		records := parseRecords(t, c.records)
		for order := range 3 {
			// The start of a server always comes before the pushes to it.
			if order > 0 && !strings.Contains(c.records, "started") {
				rand.New(rand.NewPCG(uint64(order), 1)).Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			}
			j := NewJudge(testParams)
			for _, r := range records {
				j.Add(r)
			}
			j.Add(Record{Kind: RunFinished, At: 60 * time.Second})
			v := j.Finish()
			if c.rule == "" && !v.Passed() || c.rule != "" && (len(v.Violations) != 1 || v.Violations[c.rule] != 1) {
				t.Errorf("%s: violations %v, want %q: %v", c.name, v.Violations, c.rule, v.Findings)
			}
		}
	}
}

// TestLedgerOnDisk checks that a truncated ledger can be judged, that the judge holds only open ops, and that a corrupt ledger
// is rejected.
func TestLedgerOnDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	w, err := Create(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5000 {
		at := time.Duration(i) * 10 * ms
		w.Append(Record{OpSent, at, uint64(i), 1, 0, 400_000})
		w.Append(Record{OpAnswered, at + ms, uint64(i), AnswerAcked, 0, 0})
	}
	if n, err := w.Close(); n != 10000 || err != nil {
		t.Fatalf("%d records written, error %v", n, err)
	}
	raw, _ := os.ReadFile(path)
	j := NewJudge(testParams)
	if err := Read(bytes.NewReader(raw[:len(raw)-5]), j.Add); err != nil {
		t.Fatal(err)
	}
	if v := j.Finish(); v.Ops != 5000 || v.Answers["acked"] != 4999 || v.Violations[RuleAnswerLost] != 1 || v.Complete || v.MaxOpenOps > 500 {
		t.Errorf("verdict on a truncated ledger: %+v", v)
	}
	raw[0] = 99
	if Read(bytes.NewReader(raw), j.Add) == nil {
		t.Error("a ledger with a record of unknown kind was accepted")
	}
}

// TestCloseReportsFullDisk guards against a verdict on part of a run, because a write error went unnoticed.
func TestCloseReportsFullDisk(t *testing.T) {
	w, err := Create("/dev/full")
	if err != nil {
		t.Skip("/dev/full does not exist")
	}
	for range 100_000 {
		w.Append(Record{Kind: OpSent})
	}
	if _, err := w.Close(); err == nil {
		t.Error("Close reported no error on a full disk")
	}
}
