package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestParseKnown(t *testing.T) {
	good := "# comment\n\nminttray/a TestOne; it is slow; issue 1\nminttray/b TestTwo; cause; issue 2\n"
	known, err := parseKnown(good)
	if err != nil || len(known) != 2 || known[0].testID != (testID{"minttray/a", "TestOne"}) || known[0].cause != "it is slow" || known[1].issue != "issue 2" {
		t.Errorf("%+v, %v", known, err)
	}
	for _, c := range []struct{ text, want string }{
		{strings.Repeat("a TestA; c; i\n", 2), "twice"},
		{"a TestA; c; i\na TestB; c; i\na TestC; c; i\na TestD; c; i\n", "3 at most"},
		{"a TestA; c\n", "KNOWN-RED.txt:1"},
		{"\nTestA; c; i\n", "KNOWN-RED.txt:2"},
		{"a BenchmarkA; c; i\n", "a package and a test"},
		{"a TestA; ; i\n", "no cause"},
	} {
		if _, err := parseKnown(c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// runModule runs the tests of a temporary module that holds body, and returns their results.
func runModule(t *testing.T, body string) *results {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{"go.mod": "module planted\n\ngo 1.24\n", "a_test.go": "package planted\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n" + body}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	t.Setenv("GOFLAGS", "-mod=mod")
	r := newResults()
	if err := r.runTests(nil, []string{"planted"}); err != nil {
		t.Fatal(err)
	}
	return r
}

func known(name string) []knownFailure {
	return []knownFailure{{testID{"planted", name}, "planted", "issue 0"}}
}

// A failure that is taken for a known one would hide a defect. A failing test fails the run unless it is listed, and a
// listed one is printed with its outcome.
func TestReport(t *testing.T) {
	const good, bad = "func TestGood(t *testing.T) {}\n", "func TestBad(t *testing.T) { t.Run(\"sub\", func(t *testing.T) { t.Error(\"planted\") }) }\n"
	for _, c := range []struct {
		name, body string
		known      []knownFailure
		fault      string // in the error; empty: the run passes
		printed    string // in the output
	}{
		{"all pass", good, nil, "", "1 passed, 0 failed"},
		{"one fails", good + bad, nil, "planted TestBad failed", "1 passed, 1 failed"},
		{"a known one fails", good + bad, known("TestBad"), "", "known failure: planted TestBad: fail (planted; issue 0)"},
		{"another than the known one fails", good + bad, known("TestGood"), "planted TestBad failed", "known failure: planted TestGood: pass"},
		{"a listed one does not exist", good, known("TestGone"), "has no result", ""},
		{"a known one panics", good + "func TestPanic(t *testing.T) { panic(1) }\n", known("TestPanic"), "did not run", ""},
		{"it does not build", "func TestBad(", known("TestBad"), "has no result", ""},
		{"the process ends", "func TestExit(t *testing.T) { os.Exit(3) }\n", nil, "failed", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var printed strings.Builder
			err := runModule(t, c.body).report(&printed, c.known)
			if (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
				t.Errorf("%v, want %q", err, c.fault)
			}
			if !strings.Contains(printed.String(), c.printed) {
				t.Errorf("printed, without %q:\n%s", c.printed, printed.String())
			}
		})
	}
}

func TestSplit(t *testing.T) {
	for _, c := range []struct{ args, flags, patterns string }{
		{"", "", "./..."},
		{"-race -count=1", "-race -count=1", "./..."},
		{"-race -- ./a ./b/...", "-race", "./a ./b/..."},
	} {
		flags, patterns := splitArgs(strings.Fields(c.args))
		if strings.Join(flags, " ") != c.flags || strings.Join(patterns, " ") != c.patterns {
			t.Errorf("%q: %q, %q", c.args, flags, patterns)
		}
	}
}

// Lines that are not JSON are messages of the go command: they are printed, not dropped.
func TestReadShowsOtherLines(t *testing.T) {
	var printed strings.Builder
	if err := newResults().read(strings.NewReader("go: a message\n"), io.Writer(&printed)); err != nil || printed.String() != "go: a message\n" {
		t.Errorf("%v, printed %q", err, printed.String())
	}
}
