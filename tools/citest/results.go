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

// outcome is how a test ended: pass, fail or skip, as go test calls them.
type outcome string

const (
	passed  outcome = "pass"
	failed  outcome = "fail"
	skipped outcome = "skip"
)

// results collects the results of all runs of go test.
type results struct {
	outcomes       map[testID]outcome
	testOutput     map[testID][]string // output of the tests that did not pass, and were not skipped, in their latest run
	failedPackages map[string][]string // the packages that failed, with their packageOutput
	packageOutput  map[string][]string // what each package printed outside of its tests
}

func newResults() *results {
	return &results{
		outcomes:       map[testID]outcome{},
		testOutput:     map[testID][]string{},
		failedPackages: map[string][]string{},
		packageOutput:  map[string][]string{},
	}
}

// runTests runs the tests of the packages and records their results.
func (r *results) runTests(flags, packages []string) error {
	args := append([]string{"test", "-json"}, flags...)
	cmd := exec.Command("go", append(args, packages...)...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	readErr := r.read(stdout, os.Stdout)
	err = cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return err
	}
	if err != nil && !r.anyFailed(packages) {
		return fmt.Errorf("go test failed with no failing test or package: %w", err)
	}
	return readErr
}

// read records the lines of go test -json, and prints one line for each package to progress.
func (r *results) read(in io.Reader, progress io.Writer) error {
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
			fmt.Fprint(progress, string(line)) // not JSON: a message of the go command itself
			continue
		}
		r.record(e, progress)
	}
}

// record records one event. Output of a subtest belongs to its top-level test; the outcome of a subtest is ignored, as its
// top-level test fails with it.
func (r *results) record(e event, progress io.Writer) {
	name, _, _ := strings.Cut(e.Test, "/")
	id := testID{e.Package, name}
	switch {
	case e.Action == "output" && name == "":
		if strings.HasPrefix(e.Output, "ok ") || strings.HasPrefix(e.Output, "FAIL\t") {
			fmt.Fprint(progress, e.Output)
		}
		r.packageOutput[e.Package] = append(r.packageOutput[e.Package], e.Output)
	case e.Action == "output":
		r.testOutput[id] = append(r.testOutput[id], e.Output)
	case name == "" && e.Action == string(failed):
		r.failedPackages[e.Package] = r.packageOutput[e.Package]
	case name != "" && e.Test == name && (e.Action == string(passed) || e.Action == string(failed) || e.Action == string(skipped)):
		r.outcomes[id] = combine(r.outcomes[id], outcome(e.Action))
		if e.Action != string(failed) {
			delete(r.testOutput, id)
		}
	}
}

// combine returns the outcome of a test that ran several times: failed if any run failed, else that of the last run.
func combine(earlier, latest outcome) outcome {
	if earlier == failed {
		return earlier
	}
	return latest
}

// anyFailed reports whether any of the packages failed, in this run of go test or an earlier one.
func (r *results) anyFailed(packages []string) bool {
	for _, name := range packages {
		if _, found := r.failedPackages[name]; found {
			return true
		}
	}
	return false
}

// report prints each known failure with its outcome, the output of all other failures, and the counts. It returns an
// error unless the run passes.
func (r *results) report(out io.Writer, known []knownFailure) error {
	expected := map[testID]bool{}
	var faults []error
	for _, k := range known {
		expected[k.testID] = true
		result, ran := r.outcomes[k.testID]
		if !ran {
			faults = append(faults, fmt.Errorf("%v is listed in %s but has no result", k.testID, knownFile))
			continue
		}
		fmt.Fprintf(out, "known failure: %v: %s (%s; %s)\n", k.testID, result, k.cause, k.issue)
	}
	failing, count := r.failingTests(), map[outcome]int{}
	for _, result := range r.outcomes {
		count[result]++
	}
	for _, id := range failing {
		if !expected[id] {
			fmt.Fprintf(out, "%s", strings.Join(r.testOutput[id], ""))
			faults = append(faults, fmt.Errorf("%v failed", id))
		}
	}
	for name, output := range r.failedPackages {
		if !r.hasFailingTest(name) { // it does not build, or its process exited outside of a test
			fmt.Fprint(out, strings.Join(output, ""))
			faults = append(faults, fmt.Errorf("%s failed outside of its tests", name))
		}
	}
	for _, id := range failing {
		if expected[id] && r.panicked(id) { // the panic ended the process, so the tests after it did not run
			faults = append(faults, fmt.Errorf("%v is listed, but panics: other tests of its package did not run", id))
		}
	}
	faultCount := len(faults)
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", count[passed], faultCount, count[skipped])
	return errors.Join(faults...)
}

// failingTests returns the tests that failed, sorted.
func (r *results) failingTests() (failing []testID) {
	for id, result := range r.outcomes {
		if result == failed {
			failing = append(failing, id)
		}
	}
	sort.Slice(failing, func(i, j int) bool { return failing[i].String() < failing[j].String() })
	return failing
}

// panicked reports whether a test printed a line that begins with "panic: ", as a test does that ends its process by a panic.
func (r *results) panicked(id testID) bool {
	for _, line := range r.testOutput[id] {
		if strings.HasPrefix(line, "panic: ") {
			return true
		}
	}
	return false
}

// hasFailingTest reports whether any test of a package failed.
func (r *results) hasFailingTest(pkg string) bool {
	for id, result := range r.outcomes {
		if id.pkg == pkg && result == failed {
			return true
		}
	}
	return false
}
