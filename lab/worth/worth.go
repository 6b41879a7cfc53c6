// Package worth measures what each mechanism of the routing module contributes: an ablation study. It takes one mechanism
// out by patching the source, has a simulator build and score the result, and restores the source. It depends on the
// simulator's printed estimate only.
package worth

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Plan is a file of ablations.
type Plan struct {
	Files     []string   `toml:"files"` // the source files that are patched, relative to the repository's root
	Ablations []Ablation `toml:"without"`
}

// Ablation takes one mechanism out.
type Ablation struct {
	Name  string `toml:"name"`
	Edits []Edit `toml:"edit"`
}

// Edit replaces one text by another. The text has to occur exactly once in all source files.
type Edit struct {
	Find    string `toml:"find"`
	Replace string `toml:"put"`
}

// ReadPlan reads a plan. Unknown fields are errors.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(p); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(p.Files) == 0 || len(p.Ablations) == 0 {
		return nil, fmt.Errorf("%s: files (%d given) and without (%d given) must not be empty", path, len(p.Files), len(p.Ablations))
	}
	return p, nil
}

// Sources holds the texts of files, by file name.
type Sources map[string]string

// ReadSources reads files below a directory.
func ReadSources(dir string, files []string) (Sources, error) {
	sources := Sources{}
	for _, name := range files {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, err
		}
		sources[name] = string(text)
	}
	return sources, nil
}

// Write writes all texts into their files below a directory.
func (s Sources) Write(dir string) (err error) {
	for name, text := range s {
		err = errors.Join(err, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644))
	}
	return err
}

// Apply returns a copy of the sources with the mechanism taken out.
func (a Ablation) Apply(sources Sources) (Sources, error) {
	sources = maps.Clone(sources)
	for i, edit := range a.Edits {
		occurrences, file := 0, ""
		for name, text := range sources {
			if found := strings.Count(text, edit.Find); found > 0 {
				occurrences, file = occurrences+found, name
			}
		}
		if edit.Find == "" || occurrences != 1 {
			return nil, fmt.Errorf("%s: edit %d: the sources contain its text %d times, expected once", a.Name, i+1, occurrences)
		}
		sources[file] = strings.Replace(sources[file], edit.Find, edit.Replace, 1)
	}
	return sources, nil
}

var estimatePattern = regexp.MustCompile(`estimate on the standard days of \S+ \([^)]*\): (-?[0-9.]+)`)

// maxErrorOutput is the number of bytes of the simulator's output that an error quotes.
const maxErrorOutput = 400

// score runs the simulator on a site file and returns its estimate. reason is passed on to the simulator.
func score(simulator, site, reason string) (float64, error) {
	out, err := exec.Command(simulator, "score", site, "--quick", "--why", reason).CombinedOutput()
	found := estimatePattern.FindSubmatch(out)
	if found == nil {
		return 0, fmt.Errorf("%s: simulator printed no estimate (%v): %s", site, err, out[:min(len(out), maxErrorOutput)])
	}
	return strconv.ParseFloat(string(found[1]), 64)
}

// Run scores the sources unchanged, and then without each mechanism, and prints a row of a Markdown table for each. The
// source files are restored at the end, also if stop is closed or an error occurs.
func (p *Plan) Run(out io.Writer, simulator string, sites []string, stop <-chan struct{}) (err error) {
	original, err := ReadSources("", p.Files)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, original.Write("")) }()
	for _, a := range p.Ablations { // find errors in the plan before the first of many long runs
		if _, err := a.Apply(original); err != nil {
			return err
		}
	}
	fmt.Fprint(out, "| without |")
	for _, site := range sites {
		fmt.Fprintf(out, " %s |", strings.TrimSuffix(filepath.Base(site), ".toml"))
	}
	fmt.Fprintf(out, "\n| --- |%s\n", strings.Repeat(" --- |", len(sites)))
	for _, a := range append([]Ablation{{Name: "nothing"}}, p.Ablations...) {
		changed, _ := a.Apply(original)
		if err := changed.Write(""); err != nil {
			return err
		}
		fmt.Fprintf(out, "| %s |", a.Name)
		for _, site := range sites {
			select {
			case <-stop:
				return fmt.Errorf("stopped")
			default:
			}
			estimate, err := score(simulator, site, "Worth of each mechanism: without "+a.Name)
			if err != nil {
				return fmt.Errorf("%s: %w", a.Name, err)
			}
			fmt.Fprintf(out, " %.3f |", estimate)
		}
		fmt.Fprintln(out)
	}
	return nil
}
