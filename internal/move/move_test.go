package move

import (
	"strings"
	"testing"

	"minttray/internal/config"
)

const oldText = `{"name":"p3","listen":"127.0.0.1:7003","discovery":"127.0.0.1:8500","seed":"7","unheard":{"of":1},
"limits":{"cores":1,"memory_mb":192,"sockets":1024,"threads":4},"known":{"generation":41,"reset":true,"instances":[]},
"settings":{"balancers":3,"index":2,"layer":0,"discovery":"push","categories":[{"name":"read","benefit":2.50,"effect":"read_like",
"target-latency-us":300000,"ttl-us":900000}],"contract":{"fall-multiple":3,"tip-after-us":3000000,"drain-grace-us":2000000},
"deductions":{"connection":0.12,"waste":0.3},"load-report":{"fields":["svc_ms"],"how":"inline"},"tick-us":5000,"zones":["a","b","c"]}}`

const shapeText = `name = "q17"
listen = "127.0.0.1:7117"
seed = "2a"
proxies = 176
index = 17
[limits]
memory_mb = 48
[settings]
zone = 1
zones = ["north", "south"]
weights = "rough"
load-report = { fields = ["pending", "served_ps"], how = "on_probe" }
limits = { probing = true }
deductions = { probe = 0.0074, connection = 0.12 }
`

func convert(t *testing.T, old, shape string) ([]byte, []FieldResult, error) {
	t.Helper()
	s, err := ParseShape("shape.toml", []byte(shape))
	if err != nil {
		return nil, nil, err
	}
	return Convert("old.json", []byte(old), "shape.toml", s)
}

// A field that is dropped without a word would change what the new proxy does. Each field of either input is reported,
// with what became of it and why.
func TestEachFieldIsReported(t *testing.T) {
	text, results, err := convert(t, oldText, shapeText)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, result := range results {
		lines = append(lines, result.String())
	}
	report := strings.Join(lines, "\n") + "\n"
	for _, want := range []string{
		`name: changed: from "p3" to "q17": set by the shape file`,
		`listen: changed: from "127.0.0.1:7003" to "127.0.0.1:7117"`,
		`discovery: kept: "127.0.0.1:8500"`,
		`known: not carried over: {"generation":41`,
		`limits.memory_mb: changed: from 192 to 48`,
		`limits.sockets: kept: 1024`,
		`limits.threads: not carried over: 4: not a field`,
		`unheard.of: not carried over: 1: not a field`,
		`settings.balancers: changed: from 3 to 176`,
		`settings.index: changed: from 2 to 17`,
		`settings.layer: not carried over: 0: the proxy does not read it`,
		`settings.contract.drain-grace-us: not carried over: 2000000: the proxy`,
		`settings.categories: kept: [{"benefit":2.50,`,
		`settings.deductions.connection: kept: 0.12`,
		`settings.deductions.waste: not carried over`,
		`settings.deductions.probe: changed: from nothing to 0.0074`,
		`settings.load-report.how: changed: from "inline" to "on_probe"`,
		`settings.zones: changed: from ["a","b","c"] to ["north","south"]`,
	} {
		if !strings.Contains("\n"+report, "\n"+want) {
			t.Errorf("no line %s in\n%s", want, report)
		}
	}
	c, err := config.Parse("new", text, func(string) string { return "" })
	s := c.Settings.Policy
	if err != nil || c.Name != "q17" || c.Seed != 42 || len(c.Known) > 0 || c.MemoryMB != 48 || s.Proxies != 176 || s.Index != 17 ||
		!s.Probing || !s.RoughWeights || s.Zone != 1 || s.Zones != 2 || s.ProbePrice != 0.0074 || s.FallMultiple != 3 {
		t.Errorf("%v: %+v", err, c)
	}
	if again, _, _ := convert(t, oldText, shapeText); string(again) != string(text) {
		t.Errorf("converted again, the text differs:\n%s\nfrom\n%s", again, text)
	}
	// A field that the old proxy gets from its environment may be missing in its file.
	if _, _, err := convert(t, strings.Replace(oldText, `"name":"p3",`, "", 1), shapeText); err != nil {
		t.Error(err)
	}
}

func TestUnusableInput(t *testing.T) {
	for _, c := range []struct{ input, from, to, want string }{
		{"old", oldText, "", "old.json: "},
		{"old", oldText, oldText + "{}", "old.json: unexpected data after"},
		{"old", `"sockets":1024`, `"sockets":1`, "old.json: limits.sockets: 1 is below"},
		{"old", `"connection":0.12`, `"connection":-1`, "old.json: settings: deductions.connection: -1 is below 0"},
		{"old", `"listen":"127.0.0.1:7003"`, `"listen":"127.0.0.1:7117"`, "shape.toml: listen: 127.0.0.1:7117 is the old proxy's address"},
		{"shape", `index = 17`, `index = 176`, "shape.toml: index: 176 is not 0 to 175"},
		{"shape", `index = 17`, ``, "shape.toml: index: missing"},
		{"shape", `seed = "2a"`, `seed = "seed"`, `shape.toml: with old.json: seed: "seed"`},
		{"shape", `proxies = 176`, `proxies = 0`, "shape.toml: proxies: 0 is below 1"},
		{"shape", `proxies = 176`, "proxies = 176\nproxy = 1", "shape.toml: line 5: proxy: unknown field"},
		{"shape", `zone = 1`, "zone = 2", "shape.toml: with old.json: settings: zone: 2 is not 0 to 1"},
		{"shape", `"on_probe"`, `"on-probe"`, "shape.toml: with old.json: settings: load-report.how: "},
		{"shape", `probing = true`, `probes = true`, "shape.toml: settings.limits.probes: unknown field"},
		{"shape", `zone = 1`, "zone = 1\nbalancers = 2", "shape.toml: settings.balancers: set by proxies and index"},
	} {
		old, shape := oldText, shapeText
		if c.input == "old" {
			old = strings.Replace(old, c.from, c.to, 1)
		} else {
			shape = strings.Replace(shape, c.from, c.to, 1)
		}
		if text, _, err := convert(t, old, shape); text != nil || err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: want %s, got %v", c.to, c.want, err)
		}
	}
}
