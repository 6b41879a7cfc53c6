package settings

import (
	"time"

	"fmt"
	"reflect"
	"strings"
	"testing"

	"minttray/policy"
)

const pool = `{"balancers":3,"index":2,"discovery":"push","categories":[{"name":"read","benefit":5,"effect":"read_like","group":"all",
"target-latency-us":600000,"ttl-us":1200000,"dedup-window-us":5000000}],"contract":{"ask-every-us":10000000,"cold-from":0.31,
"fall-multiple":3,"tip-after-us":3000000,"warm-up-us":8800000},"deductions":{"connection":0.12,"handshake":0.08},
"family-info":{"mode":"aside","origin-kind":1},"client-habits":{"marks-retry":true},"limits":{"cancelling":true,"most-pushes":5,
"peers":false,"retry-after":true,"max-retry-after-us":2000000%s},"load-report":{"fields":["svc_ms","failed_ps","pending","x0"]%s},
"skus":["std","origin"],"tenants":[{"name":"a","quota-rps":67}],"tick-us":5000,"zones":["m","s","n"]%s}`

// What a file of the pool's shape says means what it always meant: settings that came later are off where absent.
func TestPoolShapeIsAsItWas(t *testing.T) {
	s, err := Decode([]byte(fmt.Sprintf(pool, "", "", "")))
	want := policy.Settings{Proxies: 3, Index: 2, Categories: []policy.Category{{Benefit: 5, Target: 6000, TTL: 12000, Window: 50000}},
		AskEvery: 100000, ColdFrom: 0.31, FallMultiple: 3, TipAfter: 30000, WarmUp: 88000, ConnPrice: 0.12, HandshakePrice: 0.08,
		Aside: true, OriginKind: 1, MarksRetry: true, Cancelling: true, MostPushes: 5, MaxRetryAfter: 20000, Quotas: []float64{67},
		Tick: 50, Zones: 3}
	if err != nil || !reflect.DeepEqual(s.Policy, want) {
		t.Errorf("%v\n%+v, want\n%+v", err, s.Policy, want)
	}
	// Probes allowed, but reports come with answers; or asked for, but not allowed; or without the figures needed.
	for _, c := range [][3]string{{`,"probing":true`, `,"how":"inline"`}, {"", `,"how":"on_probe"`}, {`,"probing":true`, `,"how":"on_probe"`},
		{`,"probing":true`, `,"how":"off"`}} {
		if s, err := Decode([]byte(fmt.Sprintf(pool, c[0], c[1], c[2]))); err != nil || s.Policy.Probing {
			t.Errorf("%q: %v, probing %v", c, err, s.Policy.Probing)
		}
	}
}

func TestNewShape(t *testing.T) {
	text := strings.Replace(fmt.Sprintf(pool, `,"probing":true`, `,"how":"on_probe"`, `,"zone":1,"weights":"rough"`),
		`["svc_ms","failed_ps","pending","x0"]`, `["pending","served_ps"]`, 1)
	text = strings.Replace(text, `"handshake":0.08`, `"cross-zone":0.08,"probe":0.0074`, 1)
	s, err := Decode([]byte(text))
	if p := s.Policy; err != nil || !p.Probing || p.Zone != 1 || !p.RoughWeights || p.CrossPrice != 0.08 || p.ProbePrice != 0.0074 ||
		s.WaitingField != "pending" || s.RateField != "served_ps" || s.Waiting != 0 || s.Rate != 1 {
		t.Errorf("%v: %+v", err, s)
	}
	for from, c := range map[string][2]string{
		`"zone":1`:             {`"zone":3`, "settings: zone: 3 is not 0 to 2"},
		`"rough"`:              {`"tough"`, `settings: weights: "tough" is none of`},
		`"on_probe"`:           {`"probe"`, `settings: load-report.how: "probe" is none of`},
		`"push"`:               {`"pull"`, `settings: discovery: "pull" is none of`},
		`"cross-zone":0.08`:    {`"cross-zone":-0.08`, "settings: deductions.cross-zone: -0.08 is below 0"},
		`"probe":0.0074`:       {`"probe":"dear"`, "deductions.probe"},
		`"probing":true`:       {`"probing":1`, "limits.probing"},
		`"zones":["m","s","n"`: {`"zones":["m"`, "settings: zone: 1 is not 0 to 0"},
	} {
		if _, err := Decode([]byte(strings.Replace(text, from, c[0], 1))); err == nil || !strings.HasPrefix(err.Error(), "settings: ") || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: want %s, got %v", c[0], c[1], err)
		}
	}
}

// The nines and the price of messages: absent, all stays as it was; wrong, the error names the field.
func TestNinesAndMessages(t *testing.T) {
	plain := fmt.Sprintf(pool, "", "", "")
	before, err := Decode([]byte(plain))
	if err != nil || before.Policy.NinesPart != 0 || before.Policy.FullAtNines != 0 || before.Policy.PeerPrice != 0 {
		t.Errorf("absent: %v, %+v", err, before.Policy)
	}
	with := func(blend, peer string) string {
		return strings.Replace(strings.Replace(plain, `"handshake":0.08`, `"handshake":0.08`+peer, 1), `"index":2`, `"index":2`+blend, 1)
	}
	s, err := Decode([]byte(with(`,"blend":{"whole":0.3,"nines-part":0.2,"full-at-nines":2}`, `,"peer":0.01`)))
	if p := s.Policy; err != nil || p.NinesPart != 0.2 || p.FullAtNines != 2 || p.PeerPrice != 0.01 {
		t.Errorf("%v: %+v", err, s.Policy)
	}
	if s, err := Decode([]byte(with(`,"blend":{"nines-part":0,"full-at-nines":3}`, ""))); err != nil || s.Policy.FullAtNines != 3 {
		t.Errorf("a weight of none: %v", err)
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
			t.Errorf("%s: want %s, got %v", blend, want, err)
		}
	}
	if _, err := Decode([]byte(with("", `,"peer":-1`))); err == nil || !strings.Contains(err.Error(), "settings: deductions.peer: -1 is below 0") {
		t.Errorf("peer: %v", err)
	}
}

// Danger: a span that is far too long turns below 0 in nanoseconds, and what should wait for ever does not wait at all.
func TestSpansWithoutAnEnd(t *testing.T) {
	const huge = "18446744073709551615"
	s, err := Decode([]byte(`{"categories":[{"name":"a","effect":"idempotency_key","target-latency-us":` + huge + `,"ttl-us":` + huge + `,"dedup-window-us":` + huge + `}],
		"contract":{"ask-every-us":` + huge + `,"tip-after-us":` + huge + `,"warm-up-us":` + huge + `},"tick-us":` + huge + `,
		"limits":{"connect-timeout-us":` + huge + `,"conn-idle-us":` + huge + `,"retry-after":true,"max-retry-after-us":` + huge + `}}`))
	if err != nil {
		t.Fatal(err)
	}
	p := s.Policy
	least := min(p.Categories[0].Target, p.Categories[0].TTL, p.Categories[0].Window, p.AskEvery, p.TipAfter, p.WarmUp, p.Tick, p.MaxRetryAfter)
	if most := policy.Time(1 << 40); least <= 10000 || p.Categories[0].TTL > most {
		t.Errorf("%+v", p)
	}
	if s.MaxTTL() <= time.Second || s.ConnectTimeout <= time.Second || s.IdleServer <= time.Second {
		t.Errorf("%v, %v, %v", s.MaxTTL(), s.ConnectTimeout, s.IdleServer)
	}
}
