// Package worth tells what each mechanism of the module earns: it takes one out by a patch, has a simulator score the
// build, and puts the source back. It reads what the simulator prints, nothing else of it.
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

// Plan is a file of patches.
type Plan struct {
	Files   []string  `toml:"files"` // the sources that are patched, from the repository's root
	Without []Without `toml:"without"`
}

// Without takes one mechanism out.
type Without struct {
	Name string `toml:"name"`
	Edit []Edit `toml:"edit"`
}

// Edit puts one text in another's place; that has to stand in all sources exactly once.
type Edit struct {
	Find string `toml:"find"`
	Put  string `toml:"put"`
}

// ReadPlan decodes a plan strictly.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(p); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(p.Files) == 0 || len(p.Without) == 0 {
		return nil, fmt.Errorf("%s: files or without is missing", path)
	}
	return p, nil
}

// Sources are the texts of files, by their names.
type Sources map[string]string

// ReadSources reads files below a directory.
func ReadSources(dir string, files []string) (Sources, error) {
	all := Sources{}
	for _, name := range files {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, err
		}
		all[name] = string(text)
	}
	return all, nil
}

// Write puts all texts into their files below a directory.
func (s Sources) Write(dir string) (err error) {
	for name, text := range s {
		err = errors.Join(err, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644))
	}
	return err
}

// Apply gives the sources with the mechanism taken out.
func (w Without) Apply(all Sources) (Sources, error) {
	all = maps.Clone(all)
	for i, e := range w.Edit {
		n, in := 0, ""
		for name, text := range all {
			if found := strings.Count(text, e.Find); found > 0 {
				n, in = n+found, name
			}
		}
		if e.Find == "" || n != 1 {
			return nil, fmt.Errorf("%s: edit %d: its text stands in the sources %d times, not once", w.Name, i+1, n)
		}
		all[in] = strings.Replace(all[in], e.Find, e.Put, 1)
	}
	return all, nil
}

var estimate = regexp.MustCompile(`estimate on the standard days of \S+ \([^)]*\): (-?[0-9.]+)`)

// score plays one site file.
func score(bench, site, why string) (float64, error) {
	out, err := exec.Command(bench, "score", site, "--quick", "--why", why).CombinedOutput()
	found := estimate.FindSubmatch(out)
	if found == nil {
		return 0, fmt.Errorf("%s: no estimate (%v): %s", site, err, out[:min(len(out), 400)])
	}
	return strconv.ParseFloat(string(found[1]), 64)
}

// Run scores the sources as they stand and then without each mechanism, a row each. The files are put back at the end,
// and also when stop closes.
func (p *Plan) Run(out io.Writer, bench string, sites []string, stop <-chan struct{}) (err error) {
	kept, err := ReadSources("", p.Files)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, kept.Write("")) }()
	for _, w := range p.Without { // all are tried before the first is played
		if _, err := w.Apply(kept); err != nil {
			return err
		}
	}
	fmt.Fprint(out, "| without |")
	for _, s := range sites {
		fmt.Fprintf(out, " %s |", strings.TrimSuffix(filepath.Base(s), ".toml"))
	}
	fmt.Fprintf(out, "\n| --- |%s\n", strings.Repeat(" --- |", len(sites)))
	for _, w := range append([]Without{{Name: "nothing"}}, p.Without...) {
		changed, _ := w.Apply(kept)
		if err := changed.Write(""); err != nil {
			return err
		}
		fmt.Fprintf(out, "| %s |", w.Name)
		for _, s := range sites {
			select {
			case <-stop:
				return fmt.Errorf("stopped")
			default:
			}
			figure, err := score(bench, s, "Worth of each mechanism: without "+w.Name)
			if err != nil {
				return fmt.Errorf("%s: %w", w.Name, err)
			}
			fmt.Fprintf(out, " %.3f |", figure)
		}
		fmt.Fprintln(out)
	}
	return nil
}
