package operators

import (
	"strings"
	"testing"
	"time"
)

// Guards against defaults that enable a feature, a shipped file that is refused, and errors that don't name file, line and field.
func TestDecode(t *testing.T) {
	f, err := Decode("f", []byte("[state]\ndir = \"/var/lib/x\"\nevery = \"2s\"\n[stop]\nspread = \"3s\"\n"))
	if err != nil || f.State.Dir != "/var/lib/x" || f.State.Every.Duration() != 2*time.Second ||
		f.Stop.Spread.Duration() != 3*time.Second || f.State.Oldest.Duration() != time.Minute {
		t.Errorf("%+v, %v", f, err)
	}
	if f, err := Read(""); err != nil || f.State.Dir != "" || f.List.Doubt != 0 || f.Stop.Spread.Duration() != 0 {
		t.Errorf("a feature is on without a file: %+v, %v", f, err)
	}
	if _, err := Read("../../deploy/minttray.toml"); err != nil {
		t.Error(err)
	}
	for text, want := range map[string]string{
		"[stop]\nwithn = \"1s\"":                   "f:2: stop.withn: unknown field",
		"[stop]\nwithin = 5":                       "f:2: stop.within: ",
		"[stop]\nwithin = \"5\"":                   "f:2: stop.within: \"5\" is not a duration",
		"[stop]\n\nwithin = \"5ms\"":               "f:3: stop.within: 5ms is not 1s to 1h",
		"[stop]\nwithin = \"2s\"\nspread = \"3s\"": "f:3: stop.spread: 3s is not 0s to 2s",
		"[list]\ndoubt = 1.5":                      "f:2: list.doubt: 1.5 is not 0 to 1",
		"[list]\ndoubt = nan":                      "f:2: list.doubt: NaN is not 0 to 1",
		"[list]\nconfirm = \"5s\"":                 "f:2: list.confirm: 5s is not 50ms to 1s",
		"[state]\ndir = \"x\"":                     "f:2: state.dir: \"x\" is not an absolute path",
		"[state":                                   "f:1: ",
		"[nothing]":                                "f:1: nothing: unknown field",
	} {
		if _, err := Decode("f", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: got error %v, want prefix %q", text, err, want)
		}
	}
}
