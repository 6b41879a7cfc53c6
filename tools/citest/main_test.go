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
	if err != nil || len(known) != 2 || known[0].test != (test{"minttray/a", "TestOne"}) || known[0].cause != "it is slow" || known[1].issue != "issue 2" {
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

// planted is a module with tests that pass, fail, and end their process.
func planted(t *testing.T, body string) *results {
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
	if err := r.test(nil, []string{"planted"}); err != nil {
		t.Fatal(err)
	}
	return r
}

func known(name string) []knownFailure {
	return []knownFailure{{test{"planted", name}, "planted", "issue 0"}}
}

// A planted failing test fails the run unless it is listed, and is printed with its outcome where it is.
func TestJudge(t *testing.T) {
	const good, bad = "func TestGood(t *testing.T) {}\n", "func TestBad(t *testing.T) { t.Run(\"sub\", func(t *testing.T) { t.Error(\"planted\") }) }\n"
	for _, c := range []struct {
		name, body string
		known      []knownFailure
		fault      string // "": the run passes
		shown      string
	}{
		{"all pass", good, nil, "", "1 passed, 0 failed"},
		{"one fails", good + bad, nil, "planted TestBad failed", "1 passed, 1 failed"},
		{"a known one fails", good + bad, known("TestBad"), "", "known failure: planted TestBad: fail (planted; issue 0)"},
		{"another than the known one fails", good + bad, known("TestGood"), "planted TestBad failed", "known failure: planted TestGood: pass"},
		{"a listed one does not exist", good, known("TestGone"), "does not exist", ""},
		{"a known one panics", good + "func TestPanic(t *testing.T) { panic(1) }\n", known("TestPanic"), "did not run", ""},
		{"it does not build", "func TestBad(", known("TestBad"), "does not exist", ""},
		{"the process ends", "func TestExit(t *testing.T) { os.Exit(3) }\n", nil, "failed", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var shown strings.Builder
			err := planted(t, c.body).judge(&shown, c.known)
			if (err == nil) != (c.fault == "") || err != nil && !strings.Contains(err.Error(), c.fault) {
				t.Errorf("%v, want %q", err, c.fault)
			}
			if !strings.Contains(shown.String(), c.shown) {
				t.Errorf("shown:\n%s", shown.String())
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
		flags, patterns := split(strings.Fields(c.args))
		if strings.Join(flags, " ") != c.flags || strings.Join(patterns, " ") != c.patterns {
			t.Errorf("%q: %q, %q", c.args, flags, patterns)
		}
	}
}

// What is no line of the format is shown, not dropped.
func TestReadShowsOtherLines(t *testing.T) {
	var shown strings.Builder
	if err := newResults().read(strings.NewReader("go: a message\n"), io.Writer(&shown)); err != nil || shown.String() != "go: a message\n" {
		t.Errorf("%v, %q", err, shown.String())
	}
}
