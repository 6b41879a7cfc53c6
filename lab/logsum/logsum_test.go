package logsum

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

func counters(at string, nacked, open int) string {
	return at + ` {"level":"info","time":1,"engine":{"nacked":` + itoa(nacked) + `,"stall_ms":9},"servers":{"open":` + itoa(open) +
		`},"message":"counters"}`
}

func itoa(n int) string { return strconv.Itoa(n) }

func TestSumOverAFleet(t *testing.T) {
	dir := t.TempDir()
	logs := map[string][]string{
		"a.log": {`0.010 {"level":"info","time":1,"message":"serving"}`, counters("1.5", 3, 4), counters("2.5", 5, 4),
			`2.700 {"level":"info","time":1,"message":"serving"}`, counters("3.5", 2, 1), `3.6 {"level":"warn","mess`},
		"b.log": {counters("1.2", 1, 2), "", "noise", "x {}", strings.Repeat("z", longestLine+5), `2.0 {"level":"warn"}`,
			`{"level":"warn","message":"no time"}`, `1e11 {"message":"far"}`, counters("2.9", 9, 2)},
		"c.txt": {"not a log"},
	}
	for name, lines := range logs {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := ReadDir(dir, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	// A restarted proxy counts from nothing; b's second line holds 8 more than its first.
	for name, want := range map[string][4]float64{"engine.nacked": {0, 4, 10, 2}, "servers.open": {0, 6, 6, 1}, "info: serving": {1, 0, 1, 0}} {
		for span, n := range want {
			if got := s.Of(name)[span]; got != n {
				t.Errorf("%s in second %d: %v, want %v", name, span, got, n)
			}
		}
	}
	garbled := 0
	for _, n := range s.Garbled {
		garbled += n
	}
	if s.Files != 2 || s.Counters != 5 || s.Said != 2 || garbled != 7 || s.Lines != s.Counters+s.Said+garbled {
		t.Errorf("%d files, %d lines: %d of counters, %d others, garbled %v", s.Files, s.Lines, s.Counters, s.Said, s.Garbled)
	}
	var out strings.Builder
	if err := s.Write(&out, "nacked"); err != nil || !strings.Contains(out.String(), "engine.nacked") ||
		strings.Contains(out.String(), "servers") {
		t.Errorf("%v\n%s", err, out.String())
	}
	if _, err := ReadDir(t.TempDir(), time.Second); err == nil {
		t.Error("a folder without logs is no error")
	}
	if _, err := ReadDir(dir, 0); err == nil {
		t.Error("a span of nothing is no error")
	}
}
