package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sort"
	"strings"
)

// event is one line of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// outcome is how a test ended: pass, fail or skip, in the words of go test.
type outcome string

const (
	passed  outcome = "pass"
	failed  outcome = "fail"
	skipped outcome = "skip"
)

// results are what all runs of go test said.
type results struct {
	outcomes map[test]outcome
	output   map[test][]string
	broken   map[string][]string // packages that failed, with what they printed outside of their tests
	loose    map[string][]string // what packages printed outside of their tests
}

func newResults() *results {
	return &results{outcomes: map[test]outcome{}, output: map[test][]string{}, broken: map[string][]string{}, loose: map[string][]string{}}
}

// test runs the tests of some packages.
func (r *results) test(flags, packages []string) error {
	args := append([]string{"test", "-json"}, flags...)
	cmd := exec.Command("go", append(args, packages...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	said := r.read(out, os.Stdout)
	err = cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return err
	}
	if err != nil && !r.anyFailed(packages) {
		return fmt.Errorf("go test failed with no failing test or package: %w", err)
	}
	return said
}

// read takes the lines of go test -json, and shows one for each package.
func (r *results) read(in io.Reader, show io.Writer) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var e event
		if json.Unmarshal(line, &e) != nil {
			fmt.Fprint(show, string(line)) // not of the format: a message of the go command itself
			continue
		}
		r.take(e, show)
	}
}

func (r *results) take(e event, show io.Writer) {
	name, _, _ := strings.Cut(e.Test, "/")
	t := test{e.Package, name}
	switch {
	case e.Action == "output" && name == "":
		if strings.HasPrefix(e.Output, "ok ") || strings.HasPrefix(e.Output, "FAIL\t") {
			fmt.Fprint(show, e.Output)
		}
		r.loose[e.Package] = append(r.loose[e.Package], e.Output)
	case e.Action == "output":
		r.output[t] = append(r.output[t], e.Output)
	case name == "" && e.Action == string(failed):
		r.broken[e.Package] = r.loose[e.Package]
	case name != "" && e.Test == name && (e.Action == string(passed) || e.Action == string(failed) || e.Action == string(skipped)):
		r.outcomes[t] = worse(r.outcomes[t], outcome(e.Action))
		if e.Action != string(failed) {
			delete(r.output, t)
		}
	}
}

// worse is the outcome of a test that ran several times.
func worse(a, b outcome) outcome {
	if a == failed {
		return a
	}
	return b
}

func (r *results) anyFailed(packages []string) bool {
	for _, name := range packages {
		if _, broken := r.broken[name]; broken {
			return true
		}
	}
	return false
}

// judge prints each known failure with its outcome and all others that failed, and tells whether the run passes.
func (r *results) judge(out io.Writer, known []knownFailure) error {
	expected := map[test]bool{}
	var faults []error
	for _, k := range known {
		expected[k.test] = true
		was, ran := r.outcomes[k.test]
		if !ran {
			faults = append(faults, fmt.Errorf("%v is listed in %s and does not exist", k.test, knownFile))
			continue
		}
		fmt.Fprintf(out, "known failure: %v: %s (%s; %s)\n", k.test, was, k.cause, k.issue)
	}
	failing, count := r.failing(), map[outcome]int{}
	for _, was := range r.outcomes {
		count[was]++
	}
	for _, t := range failing {
		if !expected[t] {
			fmt.Fprintf(out, "%s", strings.Join(r.output[t], ""))
			faults = append(faults, fmt.Errorf("%v failed", t))
		}
	}
	for name, said := range r.broken {
		if !r.explained(name) { // it does not build, or ended by itself
			fmt.Fprint(out, strings.Join(said, ""))
			faults = append(faults, fmt.Errorf("%s failed outside of its tests", name))
		}
	}
	for _, t := range failing {
		if expected[t] && r.panicked(t) { // its process has ended, and the tests behind it did not run
			faults = append(faults, fmt.Errorf("%v is listed, but panics: other tests of its package did not run", t))
		}
	}
	unexpected := len(faults)
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", count[passed], unexpected, count[skipped])
	return errors.Join(faults...)
}

// failing are the tests that failed, in order.
func (r *results) failing() (all []test) {
	for t, was := range r.outcomes {
		if was == failed {
			all = append(all, t)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].String() < all[j].String() })
	return all
}

// panicked tells whether a test ended its process.
func (r *results) panicked(t test) bool {
	for _, line := range r.output[t] {
		if strings.HasPrefix(line, "panic: ") {
			return true
		}
	}
	return false
}

// explained tells whether a package that failed did so by one of its tests.
func (r *results) explained(name string) bool {
	for t, was := range r.outcomes {
		if t.pkg == name && was == failed {
			return true
		}
	}
	return false
}
