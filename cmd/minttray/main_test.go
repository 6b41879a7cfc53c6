package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against commands that accept wrong arguments or files, and errors that don't name what is wrong.
func TestCommands(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[stop]\nwithin = \"5ms\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("BALANCER_CONFIG", "")
	t.Setenv("MINTTRAY_OPERATORS", "")
	for _, c := range []struct {
		args       string
		wantOutput string
		wantError  string // empty: none
	}{
		{"version", "minttray ", ""},
		{"check ../../deploy/minttray.toml", "fine", ""},
		{"check " + bad, "", "bad.toml:2: stop.within"},
		{"check", "", "at least 1 arg"},
		{"nonsense", "", "unknown command"},
		{"", "", "BALANCER_CONFIG: not set"}, // serve is the default command
		{"serve", "", "BALANCER_CONFIG: not set"},
		{"--operators " + bad, "", "MINTTRAY_OPERATORS"},
	} {
		var out bytes.Buffer
		root := newRootCommand()
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(strings.Fields(c.args))
		err := root.Execute()
		if (err != nil) != (c.wantError != "") || err != nil && !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%q: got error %v, want %q", c.args, err, c.wantError)
		}
		if !strings.Contains(out.String(), c.wantOutput) {
			t.Errorf("%q: got output %q, want %q in it", c.args, out.String(), c.wantOutput)
		}
	}
}
