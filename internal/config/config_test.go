package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const validFile = `{"name":"n3","listen":"127.0.0.4:6379","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":41,"reset":true,"instances":[]},
"settings":{"balancers":3,"categories":[{"name":"read","benefit":2,"effect":"read_like","target-latency-us":300000,
"ttl-us":900000}],"limits":{"conn-idle-us":60000000,"connect-timeout-us":100000,"max-open":20000},
"skus":["box","origin"],"tenants":[{"name":"acme","quota-rps":9}],"zones":["a","b"]}}`

// load writes text to a file and loads it with the environment.
func load(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return path
		}
		return env[name]
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, validFile, map[string]string{"BALANCER_NAME": "n3"})
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n3" || c.Listen != "127.0.0.4:6379" || c.Discovery != "127.2.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.Cores != 1 || c.MemoryMB != 192 || c.Sockets != 1024 || !strings.Contains(string(c.Known), "41") {
		t.Errorf("%+v", c)
	}
	if s.Policy.Proxies != 3 || s.Categories[0] != "read" || s.Tenants[0] != "acme" || s.Zones[1] != "b" || s.Kinds[1] != "origin" ||
		s.ConnectTimeout != 100*time.Millisecond || s.IdleServer != time.Minute || s.MaxOpen != 20000 {
		t.Errorf("%+v", s)
	}
	withoutName := strings.Replace(validFile, `"name":"n3",`, "", 1)
	if c, err = load(t, withoutName, map[string]string{"BALANCER_NAME": "n4"}); err != nil || c.Name != "n4" {
		t.Errorf("%+v, %v", c, err)
	}
}

// Guards against errors that span several lines or don't begin with the name of the field.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{validFile, "", "BALANCER_CONFIG: "},
		{validFile, "{", "BALANCER_CONFIG: "},
		{`"n3"`, `7`, "BALANCER_CONFIG: "},
		{`"n3"`, `"n5"`, "name: "},
		{`"127.0.0.4:6379"`, `"127.0.0.4"`, "listen: "},
		{`"listen":"127.0.0.4:6379",`, "", "listen: "},
		{`"127.2.0.1:8500"`, `""`, "discovery: "},
		{`"8c1f30d27a5be964"`, `"seed"`, "seed: "},
		{`"cores":1.0`, `"cores":-1`, "limits.cores: "},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb: "},
		{`"sockets":1024`, `"sockets":10`, "limits.sockets: "},
		{`"settings"`, `"other"`, "settings: "},
		{`"read_like"`, `"sometimes"`, "settings: categories[0].effect: "},
		{`"balancers":3`, `"balancers":-3`, "settings: balancers: "},
		{`"balancers":3`, `"balancers":80000000`, "settings: balancers: "},
		{`"balancers":3`, `"balancers":3,"index":-1`, "settings: index: "},
		{`"benefit":2`, `"benefit":-2`, "settings: categories[0].benefit: "},
		{`"benefit":2`, `"benefit":2,"tardy-benefit":-0.5`, "settings: categories[0].tardy-benefit: "},
		{`"quota-rps":9`, `"quota-rps":-9`, "settings: tenants[0].quota-rps: "},
		{`"max-open":20000`, `"max-open":-1`, "settings: limits.max-open: "},
		{`"balancers":3`, `"balancers":3,"contract":{"cold-from":-0.1}`, "settings: contract.cold-from: "},
		{`"balancers":3`, `"balancers":3,"contract":{"fall-multiple":-3}`, "settings: contract.fall-multiple: "},
		{`"balancers":3`, `"balancers":3,"beyond-share-benefit":-1`, "settings: beyond-share-benefit: "},
		{`"ttl-us":900000`, `"ttl-us":"long"`, "settings: json: cannot unmarshal string into Go struct field "},
		{`"ttl-us":900000`, `"ttl-us":-900000`, "settings: json: cannot unmarshal number -900000 into Go struct field "},
		{`"ttl-us":900000`, `"ttl-us":0`, "settings: categories[0].ttl-us: "},
		{`"target-latency-us":300000`, `"target-latency-us":null`, "settings: categories[0].target-latency-us: "},
		{`"categories":[{"name":"read","benefit":2,"effect":"read_like","target-latency-us":300000,
"ttl-us":900000}]`, `"categories":null`, "settings: categories is empty"},
	} {
		_, err := load(t, strings.Replace(validFile, c.old, c.new, 1), map[string]string{"BALANCER_NAME": "n3"})
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: got error %v, want one line with prefix %q", c.new, c.old, err, c.want)
		}
	}
	for _, path := range []string{"", "/nowhere/at/all.json"} {
		if _, err := Load(func(string) string { return path }); err == nil || !strings.HasPrefix(err.Error(), "BALANCER_CONFIG: ") {
			t.Errorf("path %q: got error %v, want prefix BALANCER_CONFIG", path, err)
		}
	}
}

// Guards against refusing other customers' files: a field that is absent, null, zero or empty is no error, and an unknown field is
// none either.
func TestAnotherCustomersSettings(t *testing.T) {
	for _, c := range []struct{ old, new string }{
		{`,"tenants":[{"name":"acme","quota-rps":9}]`, ""},
		{`"tenants":[{"name":"acme","quota-rps":9}]`, `"tenants":null`},
		{`"tenants":[{"name":"acme","quota-rps":9}]`, `"tenants":[]`},
		{`,"zones":["a","b"]`, ""},
		{`"zones":["a","b"]`, `"zones":null,"zone":null`},
		{`"skus":["box","origin"],`, ""},
		{`"limits":{"conn-idle-us":60000000,"connect-timeout-us":100000,"max-open":20000}`, `"limits":{}`},
		{`"limits":{"conn-idle-us":60000000,"connect-timeout-us":100000,"max-open":20000}`, `"limits":null`},
		{`"max-open":20000`, `"max-open":0,"most-pushes":null,"retry-after":false,"max-retry-after-us":0,"max-streams":1`},
		{`"balancers":3`, `"balancers":null,"load-report":null,"contract":null,"deductions":null,"blend":null,"weights":"","discovery":"ask"`},
		{`"balancers":3`, `"balancers":1,"load-report":{"fields":["qps","x1"],"how":"inline"},"a-field-of-theirs":{"deep":[1]}`},
		{`"read"`, `"Lesen & mehr / 42%"`},
		{`"benefit":2`, `"benefit":0,"group":"cell","dedup-window-us":0,"tardy-benefit":1`},
		{`"ttl-us":900000`, `"ttl-us":100`},
	} {
		text := strings.Replace(validFile, c.old, c.new, 1)
		got, err := load(t, text, map[string]string{"BALANCER_NAME": "n3"})
		if p := got.Settings.Policy; text == validFile || err != nil || p.Proxies < 1 || p.MostPushes < 1 || p.Tick < 1 || p.AskEvery < 1 || p.Zones < 1 {
			t.Errorf("%s for %s: error %v, %+v", c.new, c.old, err, p)
		}
	}
	for interval, want := range map[string]int{"5000000": 50000, "60000000": 80000, "0": 80000} { // us: tenths of ms, 8 s at most
		text := strings.Replace(validFile, `"balancers":3`, `"balancers":3,"discovery":"ask","contract":{"ask-every-us":`+interval+`}`, 1)
		if c, err := load(t, text, map[string]string{"BALANCER_NAME": "n3"}); err != nil || int(c.Settings.Policy.AskEvery) != want {
			t.Errorf("ask-every-us %s: got %d, want %d, error %v", interval, c.Settings.Policy.AskEvery, want, err)
		}
	}
}

// Guards against a reload that is applied in part, one that is refused because the environment still has the old discovery address,
// and a file that was truncated or lost fields in editing.
func TestReload(t *testing.T) {
	env := map[string]string{"BALANCER_DISCOVERY": "127.2.0.1:8500"}
	c, err := load(t, validFile, env)
	if err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(validFile, "127.2.0.1:8500", "127.2.0.2:8500", 1)
	write := `{"name":"write","benefit":1,"effect":"non_idempotent","target-latency-us":300000,"ttl-us":900000}`
	change := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(moved) }
	for text, want := range map[string]string{ // discovery address, categories ("-": dropped), fields that wait for a restart, error
		validFile:                          "127.2.0.1:8500 [read] []",
		moved:                              "127.2.0.2:8500 [read] []",
		change("41", "99", "8c1f", "0000"): "127.2.0.2:8500 [read] []",
		change(`"n3"`, `"n4"`, ":192", ":96", `["a","b"]`, `["a"]`):          "127.2.0.2:8500 [read] [settings.zones name limits]",
		change(`"known":{"generation":41,"reset":true,"instances":[]},`, ""): "127.2.0.2:8500 [read] []",
		change(`"categories":[`, `"categories":[`+write+","):                 "127.2.0.2:8500 [read write] []",
		change(`"read"`, `"get"`):                                            "127.2.0.2:8500 [-read get] []",
		change(`"benefit":2`, `"benefit":3`):                                 "127.2.0.2:8500 [-read read] []",
		change("read_like", ""):                                              "127.2.0.1:8500 [read] [] settings: categories[0].effect: ",
		change(`"benefit":2`, `"b":2`):                                       "127.2.0.1:8500 [read] [] settings: categories[0].benefit: missing",
		change(`,
"ttl-us":900000`, ""): "127.2.0.1:8500 [read] [] settings: categories[0].ttl-us: ",
		change(`"ttl-us":900000`, `"ttl-us":0`):                              "127.2.0.1:8500 [read] [] settings: categories[0].ttl-us: ",
		change(`"ttl-us":900000`, `"ttl-us":-5`):                             "127.2.0.1:8500 [read] [] settings: ",
		change(`"target-latency-us":300000`, `"target-latency-us":0`):        "127.2.0.1:8500 [read] [] settings: categories[0].target-latency-us: ",
		change(`"max-open":20000`, `"max-open":20000,"most-pushes":0`):       "127.2.0.1:8500 [read] [] settings: limits.most-pushes: ",
		change(`"conn-idle-us":60000000,`, ""):                               "127.2.0.1:8500 [read] [] settings: limits.conn-idle-us: missing",
		change(`"tenants":[{"name":"acme","quota-rps":9}],`, ""):             "127.2.0.1:8500 [read] [] settings: tenants: missing",
		change(`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, ""): "127.2.0.1:8500 [read] [] limits.sockets: ",
		change(`"categories":[`, `"categories":[`+write+","+write+","):       "127.2.0.1:8500 [read] [] settings: categories[1].name: ",
		moved[:len(moved)/2]: "127.2.0.1:8500 [read] [] BALANCER_CONFIG: ",
		"":                   "127.2.0.1:8500 [read] [] BALANCER_CONFIG: ",
		"[]":                 "127.2.0.1:8500 [read] [] BALANCER_CONFIG: ",
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		reloaded, waiting, err := c.Reload(func(name string) string {
			return map[string]string{"BALANCER_CONFIG": path, "BALANCER_DISCOVERY": env["BALANCER_DISCOVERY"]}[name]
		})
		categories := slices.Clone(reloaded.Settings.Categories)
		for i, category := range reloaded.Settings.Policy.Categories {
			if category.Dropped {
				categories[i] = "-" + categories[i]
			}
		}
		got := fmt.Sprint(reloaded.Discovery, " ", categories, " ", waiting)
		if err != nil {
			got += " " + err.Error()
		}
		if got != want && (err == nil || !strings.HasPrefix(got, want)) {
			t.Errorf("%.60q: got %s, want %s", text, got, want)
		}
	}
}

// Guards against an old value of BALANCER_CONTROL that overrides the file, which may be newer.
func TestControl(t *testing.T) {
	withControl := strings.Replace(validFile, `"seed"`, `"control":"127.0.0.4:7001","seed"`, 1)
	for _, test := range []struct{ text, env, want string }{
		{validFile, "", ""},
		{validFile, "127.0.0.4:7000", "127.0.0.4:7000"},
		{withControl, "", "127.0.0.4:7001"},
		{withControl, "127.0.0.4:7000", "127.0.0.4:7001"},
	} {
		c, err := load(t, test.text, map[string]string{"BALANCER_CONTROL": test.env})
		if err != nil || c.Control != test.want {
			t.Errorf("environment %q: got %q, want %q, error %v", test.env, c.Control, test.want, err)
		}
	}
	if _, err := load(t, validFile, map[string]string{"BALANCER_CONTROL": "nowhere"}); err == nil || !strings.HasPrefix(err.Error(), "control: ") {
		t.Errorf("address without a port: got error %v, want prefix \"control: \"", err)
	}
}
