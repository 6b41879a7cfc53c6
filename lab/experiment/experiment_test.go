package experiment

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// good is a minimal valid file.
const good = "name = \"x\"\nlength = \"10s\"\n"

// An invalid file must be rejected with the file, the line and the field.
func TestInvalidFileErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{good, ""},
		{good + "[load]\nrate = 12.5\n", ""},
		{good + "[load]\nrat = 12.5\n", "f.toml:4: load.rat: unknown field"},
		{good + "[load]\nrate = \"much\"\n", "f.toml:4: load.rate"},
		{good + "[load]\nrate = 0.0\n", "f.toml:4: load.rate: 0 is not between 0.1 and 50000"},
		{good + "[caches]\nwarm_up = 8\n", "f.toml:4: caches.warm_up"},
		{good + "[caches]\nwarm_up = \"8\"\n", "is not a duration with a unit"},
		{good + "[caches]\nmode = \"around\"\n", `f.toml:4: caches.mode: "around" is none of aside, through`},
		{good + "[[fault]]\nkind = \"kill\"\nat = \"1s\"\n[[fault]]\nat = \"2s\"\nkind = \"explode\"\n", `f.toml:8: fault[1].kind: "explode" is none of`},
		{good + "[[fault]]\nkind = \"lose\"\nat = \"1s\"\n", "fault[0].size: lose needs a size: share of answers dropped"},
		{good + "[[fault]]\nkind = \"kill\"\nat = \"11s\"\n", "f.toml:5: fault[0].at: 11s is not between 0s and 10s"},
		{good + "[[category]]\nname = \"a\"\nshare = 0.4\n", "f.toml:5: category[0].share: the shares of all categories sum to 0.4, want 1"},
		{"length = \"10s\"\n", "f.toml:0: name"},
		{good + "from = \"none.toml\"\n", "f.toml:3: from: open none.toml"},
	} {
		_, err := Decode("f.toml", []byte(c.text))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// Overrides must replace fields of the file, and be decoded as strictly.
func TestOverlay(t *testing.T) {
	x, err := Decode("f.toml", []byte(good), "load.rate=77", "length=12s", "caches.mode=\"through\"")
	if err != nil || x.Load.Rate != 77 || x.Length.Std() != 12*time.Second || x.Caches.Mode != "through" || x.Caches.Cores != 3 {
		t.Errorf("%+v, %v", x, err)
	}
	if _, err := Decode("f.toml", []byte(good), "load.rat=77"); err == nil {
		t.Error("override of an unknown field was accepted")
	}
}

// Drawn timelines must be valid, reproducible from their seed, varied, and end early enough for the recovery to be observed.
func TestDrawnTimelines(t *testing.T) {
	kinds := map[string]bool{}
	for seed := uint64(1); seed <= 200; seed++ {
		x, err := Read("../../experiments/site-lost-short.toml")
		if err != nil {
			t.Fatal(err)
		}
		y := *x
		x.DrawFaults(seed)
		y.DrawFaults(seed)
		if !reflect.DeepEqual(x.Faults, y.Faults) || len(x.Faults) < 2 {
			t.Fatalf("seed %d: %+v and %+v", seed, x.Faults, y.Faults)
		}
		if err := x.check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		for _, f := range x.Faults {
			if kinds[f.Kind] = true; f.Start+f.Duration > x.Length*3/4 {
				t.Errorf("seed %d: the fault ends after three quarters of the run: %+v", seed, f)
			}
		}
	}
	if len(kinds) < 10 {
		t.Errorf("%d kinds of faults drawn, want at least 10: %v", len(kinds), kinds)
	}
}
