package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const oldText = `{"name":"p3","listen":"127.0.0.1:7003","discovery":"127.0.0.1:8500","seed":"7","limits":{"sockets":1024},
"settings":{"balancers":3,"categories":[{"name":"read","benefit":2,"effect":"read_like","target-latency-us":1,"ttl-us":2}]}}`

const shapeText = "name = \"q\"\nlisten = \"127.0.0.1:7117\"\nseed = \"2a\"\nproxies = 176\nindex = 17\n"

// folderState returns the names, modification times and contents of a folder's files as one text, to compare.
func folderState(t *testing.T, dir string) string {
	t.Helper()
	var state strings.Builder
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		text, _ := os.ReadFile(filepath.Join(dir, entry.Name()))
		info, _ := entry.Info()
		state.WriteString(entry.Name() + info.ModTime().Format(time.RFC3339Nano) + string(text))
	}
	return state.String()
}

// Each call ends with the documented exit status, writes only where it should, and a dry run prints the same report as
// the run after it.
func TestCommand(t *testing.T) {
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	for name, text := range map[string]string{"old": oldText, "shape": shapeText, "broken": "{"} {
		if err := os.WriteFile(in(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var dryRunReport string
	for _, c := range []struct {
		args   []string
		status int
		writes bool
		prints string
	}{
		{nil, exitUsage, false, "usage"},
		{[]string{in("old")}, exitUsage, false, "usage"},
		{[]string{"-to", in("shape"), "-q", in("old")}, exitUsage, false, "-q"},
		{[]string{"-to", in("shape"), in("nowhere")}, exitFailed, false, "nowhere"},
		{[]string{"-to", in("shape"), in("broken")}, exitFailed, false, "broken"},
		{[]string{"-to", in("broken"), in("old")}, exitFailed, false, "broken"},
		{[]string{"-f", "-o", in("old"), "-to", in("shape"), in("old")}, exitFailed, false, "never overwritten"},
		{[]string{"-n", "-to", in("shape"), in("old")}, exitOK, false, "nothing written"},
		{[]string{"-to", in("shape"), in("old")}, exitOK, true, "settings.balancers: changed: from 3 to 176"},
		{[]string{"-to", in("shape"), in("old")}, exitFailed, false, "already exists"},
		{[]string{"-o", filepath.Join(dir, "no", "where"), "-to", in("shape"), in("old")}, exitFailed, false, "where"},
		{[]string{"-f", "-o", in("broken"), "-to", in("shape"), in("old")}, exitOK, true, "bytes in"},
	} {
		before := folderState(t, dir)
		var stdout, stderr bytes.Buffer
		status := run(c.args, &stdout, &stderr)
		wrote := folderState(t, dir) != before
		if status != c.status || wrote != c.writes || !strings.Contains(stdout.String()+stderr.String(), c.prints) {
			t.Errorf("%v: status %d, wrote %v, printed %s%s", c.args, status, wrote, &stdout, &stderr)
		}
		if report, _, ok := strings.Cut(stdout.String(), "nothing written"); ok {
			dryRunReport = report
		} else if status == exitOK && !strings.HasPrefix(stdout.String(), dryRunReport) {
			t.Errorf("the dry run printed\n%s\nbut the run itself\n%s", dryRunReport, &stdout)
		}
	}
	for _, name := range []string{"old.new", "broken"} {
		if text, err := os.ReadFile(in(name)); err != nil || !strings.Contains(string(text), `"balancers": 176`) {
			t.Errorf("%s: %s, %v", name, text, err)
		}
	}
}
