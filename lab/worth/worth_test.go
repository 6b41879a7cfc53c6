package worth

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A stand-in simulator prints a figure that hangs on the source that it finds.
func TestEachIsTakenOutAndPutBack(t *testing.T) {
	dir := t.TempDir()
	source, bench := filepath.Join(dir, "m.go"), filepath.Join(dir, "bench")
	os.WriteFile(source, []byte("a := 1\nb := 1\n"), 0o644)
	os.WriteFile(bench, []byte("#!/bin/sh\nn=$(grep -c ':= 1' "+source+")\necho \"quick estimate on the standard days of x (set 1): 0.${n}00, +0.1 against\"\n"), 0o755)
	p := &Plan{Files: []string{source}, Without: []Without{{"a", []Edit{{"a := 1", "a := 0"}}}, {"both", []Edit{{"a := 1", "a := 0"}, {"b := 1", "b := 0"}}}}}
	var out strings.Builder
	if err := p.Run(&out, bench, []string{"x.toml"}, nil); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| nothing | 0.200 |", "| a | 0.100 |", "| both | 0.000 |"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("want %s in\n%s", want, out.String())
		}
	}
	p.Without = append(p.Without, Without{"twice", []Edit{{":= 1", ""}}})
	if err := p.Run(&out, bench, []string{"x.toml"}, nil); err == nil || !strings.Contains(err.Error(), "2 times") {
		t.Errorf("a patch that fits twice: %v", err)
	}
	if text, _ := os.ReadFile(source); string(text) != "a := 1\nb := 1\n" {
		t.Errorf("left behind: %s", text)
	}
}

func TestThePlanFitsTheModule(t *testing.T) {
	p, err := ReadPlan("plan.toml")
	if err != nil {
		t.Fatal(err)
	}
	all, err := ReadSources("../..", p.Files)
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range p.Without {
		if _, err := w.Apply(all); err != nil {
			t.Error(err)
		}
	}
}
