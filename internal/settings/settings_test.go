package settings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"minttray/policy"
)

// baseSettings has verbs for more fields in limits, in load-report and at the top level.
const baseSettings = `{"balancers":3,"index":2,"discovery":"push","categories":[{"name":"read","benefit":5,"effect":"read_like","group":"all",
"target-latency-us":600000,"ttl-us":1200000,"dedup-window-us":5000000}],"contract":{"ask-every-us":10000000,"cold-from":0.31,
"fall-multiple":3,"tip-after-us":3000000,"warm-up-us":8800000},"deductions":{"connection":0.12,"handshake":0.08},
"family-info":{"mode":"aside","origin-kind":1},"client-habits":{"marks-retry":true},"limits":{"cancelling":true,"most-pushes":5,
"peers":false,"retry-after":true,"max-retry-after-us":2000000%s},"load-report":{"fields":["svc_ms","failed_ps","pending","x0"]%s},
"skus":["std","origin"],"tenants":[{"name":"a","quota-rps":67}],"tick-us":5000,"zones":["m","s","n"]%s}`

// Guards against files of the original format that decode to something else than before: fields that were added later are off
// where absent.
func TestPoolShapeIsAsItWas(t *testing.T) {
	s, err := Decode([]byte(fmt.Sprintf(baseSettings, "", "", "")))
	want := policy.Settings{
		Proxies:        3,
		Index:          2,
		Categories:     []policy.Category{{Benefit: 5, Target: 6000, TTL: 12000, Window: 50000}},
		AskEvery:       100000,
		ColdFrom:       0.31,
		FallMultiple:   3,
		TipAfter:       30000,
		WarmUp:         88000,
		ConnPrice:      0.12,
		HandshakePrice: 0.08,
		Aside:          true,
		OriginKind:     1,
		MarksRetry:     true,
		Cancelling:     true,
		MostPushes:     5,
		MaxRetryAfter:  20000,
		Quotas:         []float64{67},
		Tick:           50,
		Zones:          3,
	}
	if err != nil || !reflect.DeepEqual(s.Policy, want) {
		t.Errorf("error %v\n got %+v\nwant %+v", err, s.Policy, want)
	}
	// Probing needs permission, reports on probes and both report fields. Here one of these is absent.
	for _, c := range []struct{ limits, report string }{
		{`,"probing":true`, `,"how":"inline"`},
		{"", `,"how":"on_probe"`},
		{`,"probing":true`, `,"how":"on_probe"`},
		{`,"probing":true`, `,"how":"off"`},
	} {
		if s, err := Decode([]byte(fmt.Sprintf(baseSettings, c.limits, c.report, ""))); err != nil || s.Policy.Probing {
			t.Errorf("%+v: error %v, probing %v, want it off", c, err, s.Policy.Probing)
		}
	}
}

// Guards against fields of the newer format that are not read, and errors that don't name the field.
func TestNewShape(t *testing.T) {
	text := strings.Replace(fmt.Sprintf(baseSettings, `,"probing":true`, `,"how":"on_probe"`, `,"zone":1,"weights":"rough"`),
		`["svc_ms","failed_ps","pending","x0"]`, `["pending","served_ps"]`, 1)
	text = strings.Replace(text, `"handshake":0.08`, `"cross-zone":0.08,"probe":0.0074`, 1)
	s, err := Decode([]byte(text))
	if p := s.Policy; err != nil || !p.Probing || p.Zone != 1 || !p.RoughWeights || p.CrossPrice != 0.08 || p.ProbePrice != 0.0074 ||
		s.WaitingField != "pending" || s.RateField != "served_ps" || s.Waiting != 0 || s.Rate != 1 {
		t.Errorf("error %v: %+v", err, s)
	}
	for old, c := range map[string]struct{ new, want string }{
		`"zone":1`:             {`"zone":3`, "settings: zone: 3 is not 0 to 2"},
		`"rough"`:              {`"tough"`, `settings: weights: "tough" is none of`},
		`"on_probe"`:           {`"probe"`, `settings: load-report.how: "probe" is none of`},
		`"push"`:               {`"pull"`, `settings: discovery: "pull" is none of`},
		`"cross-zone":0.08`:    {`"cross-zone":-0.08`, "settings: deductions.cross-zone: -0.08 is below 0"},
		`"probe":0.0074`:       {`"probe":"dear"`, "deductions.probe"},
		`"probing":true`:       {`"probing":1`, "limits.probing"},
		`"zones":["m","s","n"`: {`"zones":["m"`, "settings: zone: 1 is not 0 to 0"},
	} {
		_, err := Decode([]byte(strings.Replace(text, old, c.new, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), "settings: ") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %s", c.new, err, c.want)
		}
	}
}

// Guards against "blend" and "deductions.peer" having an effect when absent, and errors that don't name the field.
func TestNinesAndMessages(t *testing.T) {
	base := fmt.Sprintf(baseSettings, "", "", "")
	absent, err := Decode([]byte(base))
	if err != nil || absent.Policy.NinesPart != 0 || absent.Policy.FullAtNines != 0 || absent.Policy.PeerPrice != 0 {
		t.Errorf("fields absent: error %v, %+v", err, absent.Policy)
	}
	with := func(blend, peer string) string {
		return strings.Replace(strings.Replace(base, `"handshake":0.08`, `"handshake":0.08`+peer, 1), `"index":2`, `"index":2`+blend, 1)
	}
	s, err := Decode([]byte(with(`,"blend":{"whole":0.3,"nines-part":0.2,"full-at-nines":2}`, `,"peer":0.01`)))
	if p := s.Policy; err != nil || p.NinesPart != 0.2 || p.FullAtNines != 2 || p.PeerPrice != 0.01 {
		t.Errorf("fields present: error %v, %+v", err, s.Policy)
	}
	if s, err := Decode([]byte(with(`,"blend":{"nines-part":0,"full-at-nines":3}`, ""))); err != nil || s.Policy.FullAtNines != 3 {
		t.Errorf("nines-part 0: error %v, full-at-nines %v, want 3", err, s.Policy.FullAtNines)
	}
	for blend, want := range map[string]string{
		`,"blend":{"nines-part":0.2,"full-at-nines":0}`:    "settings: blend.full-at-nines: 0 is not above 0",
		`,"blend":{"full-at-nines":-1}`:                    "settings: blend.full-at-nines: -1 is not above 0",
		`,"blend":{"nines-part":0.2,"full-at-nines":1000}`: "settings: blend.full-at-nines: 1000 is not above 0, 9 at most",
		`,"blend":{"nines-part":0.2}`:                      "settings: blend.full-at-nines: missing",
		`,"blend":{"nines-part":-0.1,"full-at-nines":2}`:   "settings: blend.nines-part: -0.1 is not 0 to 1",
		`,"blend":{"nines-part":1.5,"full-at-nines":2}`:    "settings: blend.nines-part: 1.5 is not 0 to 1",
		`,"blend":{"nines-part":"many"}`:                   "blend.nines-part",
	} {
		if _, err := Decode([]byte(with(blend, ""))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %s", blend, err, want)
		}
	}
	if _, err := Decode([]byte(with("", `,"peer":-1`))); err == nil || !strings.Contains(err.Error(), "settings: deductions.peer: -1 is below 0") {
		t.Errorf("peer -1: got error %v", err)
	}
}

// Guards against overflow: a duration near 2^64 microseconds would turn negative in nanoseconds, and what should wait for ever
// would not wait at all.
func TestSpansWithoutAnEnd(t *testing.T) {
	const huge = "18446744073709551615"
	s, err := Decode([]byte(`{"categories":[{"name":"a","effect":"idempotency_key","target-latency-us":` + huge + `,"ttl-us":` + huge + `,"dedup-window-us":` + huge + `}],
		"contract":{"ask-every-us":` + huge + `,"tip-after-us":` + huge + `,"warm-up-us":` + huge + `},"tick-us":` + huge + `,
		"limits":{"connect-timeout-us":` + huge + `,"conn-idle-us":` + huge + `,"retry-after":true,"max-retry-after-us":` + huge + `}}`))
	if err != nil {
		t.Fatal(err)
	}
	p := s.Policy
	shortest := min(p.Categories[0].Target, p.Categories[0].TTL, p.Categories[0].Window, p.AskEvery, p.TipAfter, p.WarmUp, p.Tick, p.MaxRetryAfter)
	if longest := policy.Time(1 << 40); shortest <= 10000 || p.Categories[0].TTL > longest {
		t.Errorf("times not within 10000 and %d: %+v", longest, p)
	}
	if s.MaxTTL() <= time.Second || s.ConnectTimeout <= time.Second || s.IdleServer <= time.Second {
		t.Errorf("max TTL %v, connect timeout %v, idle timeout %v: want each above 1 s", s.MaxTTL(), s.ConnectTimeout, s.IdleServer)
	}
}
