package worth

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestAblationsAreAppliedAndReverted runs a plan with a stand-in simulator, whose estimate depends on the source that it finds.
func TestAblationsAreAppliedAndReverted(t *testing.T) {
	dir := t.TempDir()
	source, simulator := filepath.Join(dir, "m.go"), filepath.Join(dir, "bench")
	os.WriteFile(source, []byte("a := 1\nb := 1\n"), 0o644)
	os.WriteFile(simulator, []byte("#!/bin/sh\nn=$(grep -c ':= 1' "+source+")\necho \"quick estimate on the standard days of x (set 1): 0.${n}00, +0.1 against\"\n"), 0o755)
	p := &Plan{
		Files: []string{source},
		Ablations: []Ablation{
			{"a", []Edit{{"a := 1", "a := 0"}}},
			{"both", []Edit{{"a := 1", "a := 0"}, {"b := 1", "b := 0"}}},
		},
	}
	var out strings.Builder
	if err := p.Run(&out, simulator, []string{"x.toml"}, nil); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| nothing | 0.200 |", "| a | 0.100 |", "| both | 0.000 |"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("want %s in\n%s", want, out.String())
		}
	}
	p.Ablations = append(p.Ablations, Ablation{"twice", []Edit{{":= 1", ""}}})
	if err := p.Run(&out, simulator, []string{"x.toml"}, nil); err == nil || !strings.Contains(err.Error(), "2 times") {
		t.Errorf("an edit whose text occurs twice: error %v, want one with the count", err)
	}
	if text, _ := os.ReadFile(source); string(text) != "a := 1\nb := 1\n" {
		t.Errorf("source after the runs: %s", text)
	}
}

// TestPlanMatchesTheSources checks that the edits of plan.toml still match the sources of the routing module.
func TestPlanMatchesTheSources(t *testing.T) {
	p, err := ReadPlan("plan.toml")
	if err != nil {
		t.Fatal(err)
	}
	sources, err := ReadSources("../..", p.Files)
	if err != nil {
		t.Fatal(err)
	}
	for _, ablation := range p.Ablations {
		if _, err := ablation.Apply(sources); err != nil {
			t.Error(err)
		}
	}
}
