package plan

import (
	"strings"
	"testing"
)

const text = `
[keys]
count = 1000
zipf = 1.1
hits = 0.9
[origin]
site = "a"
fetches = 100
[cold]
warm_up = "8s"
[[site]]
name = "a"
ops = 10
proxies = 1
[[site]]
name = "b"
[[cache]]
name = "x"
site = "a"
cores = 1
keys = 100
[[category]]
name = "read"
share = 1.0
work = "10ms"
`

// Guards against wrong defaults, and errors that don't name file, line and field.
func TestDecode(t *testing.T) {
	d, err := Decode("f", text)
	if err != nil || d.WarmUp != 8 || d.Caches[0].Weight != 1 || d.UsableShare != 0.9 {
		t.Fatalf("%+v, %v", d, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`zipf = 1.1`, `zips = 1.1`, "f:4: keys.zips: unknown field"},
		{`warm_up = "8s"`, `warm_up = "8"`, "f:10: cold.warm_up: \"8\" is not a duration"},
		{`site = "a"` + "\ncores", `site = "z"` + "\ncores", "f:19: cache[0].site: unknown site \"z\""},
		{`name = "b"`, `name = "a"`, "f:16: site[1].name: \"a\" is empty or used by another site"},
		{`work = "10ms"`, `work = "-1s"`, "f:25: category[0].work"},
		{`hits = 0.9`, `hits = 9.0`, "f: hits: 9 is not 0 to 1"},
	} {
		if _, err := Decode("f", strings.Replace(text, c.old, c.new, 1)); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want prefix %q", c.new, err, c.want)
		}
	}
	if _, err := Losses(d, []string{"a", "z"}); err == nil {
		t.Error("an unknown site is accepted")
	}
	if losses, _ := Losses(d, nil); len(losses) != 5 {
		t.Errorf("%d losses for 2 sites, want 5: %v", len(losses), losses)
	}
}
