package logsum

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// countersLine returns a line of counters, at a time that the collector put before it.
func countersLine(at string, nacked, open int) string {
	return at + ` {"level":"info","time":1,"engine":{"nacked":` + strconv.Itoa(nacked) + `,"stall_ms":9},"servers":{"open":` + strconv.Itoa(open) +
		`},"message":"counters"}`
}

// TestSumOverAFleet checks sums over two logs, with a restarted proxy and with every kind of line that cannot be read.
func TestSumOverAFleet(t *testing.T) {
	dir := t.TempDir()
	logs := map[string][]string{
		"a.log": {`0.010 {"level":"info","time":1,"message":"serving"}`, countersLine("1.5", 3, 4), countersLine("2.5", 5, 4),
			`2.700 {"level":"info","time":1,"message":"serving"}`, countersLine("3.5", 2, 1), `3.6 {"level":"warn","mess`},
		"b.log": {countersLine("1.2", 1, 2), "", "noise", "x {}", strings.Repeat("z", maxLineLength+5), `2.0 {"level":"warn"}`,
			`{"level":"warn","message":"no time"}`, `1e11 {"message":"far"}`, countersLine("2.9", 9, 2)},
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
	// The counters of a restarted proxy start at 0; the second line of b.log adds 8 to its first.
	for name, want := range map[string][4]float64{"engine.nacked": {0, 4, 10, 2}, "servers.open": {0, 6, 6, 1}, "info: serving": {1, 0, 1, 0}} {
		for interval, n := range want {
			if got := s.Series(name)[interval]; got != n {
				t.Errorf("%s in second %d: %v, want %v", name, interval, got, n)
			}
		}
	}
	skipped := 0
	for _, n := range s.Skipped {
		skipped += n
	}
	if s.Files != 2 || s.CounterLines != 5 || s.OtherLines != 2 || skipped != 7 || s.Lines != s.CounterLines+s.OtherLines+skipped {
		t.Errorf("%d files, %d lines: %d of counters, %d others, skipped %v", s.Files, s.Lines, s.CounterLines, s.OtherLines, s.Skipped)
	}
	var out strings.Builder
	if err := s.Write(&out, "nacked"); err != nil || !strings.Contains(out.String(), "engine.nacked") ||
		strings.Contains(out.String(), "servers") {
		t.Errorf("table of series that match nacked: %v\n%s", err, out.String())
	}
	if _, err := ReadDir(t.TempDir(), time.Second); err == nil {
		t.Error("a directory without logs was accepted")
	}
	if _, err := ReadDir(dir, 0); err == nil {
		t.Error("an interval of 0 was accepted")
	}
}
