// Citest runs the project's tests, and passes over those that KNOWN-RED.txt lists as failing for a known cause.
//
//	citest [flags of go test]
//
// Each listed test is run with all others and printed with its outcome. The run fails if any other test fails, if a listed test does
// not exist, or if more than three are listed.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// knownFile lists the known failures, at the root of the repository.
const knownFile = "KNOWN-RED.txt"

// alone are packages that run by themselves, one after another: they play real processes by the clock, and a busy machine voids their runs.
var alone = []string{"minttray/lab/run"}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
		os.Exit(1)
	}
}

func run(flags []string) error {
	text, err := os.ReadFile(knownFile)
	if err != nil {
		return err
	}
	known, err := parseKnown(string(text))
	if err != nil {
		return err
	}
	packages, err := list()
	if err != nil {
		return err
	}
	results := newResults()
	together := slices.DeleteFunc(slices.Clone(packages), func(name string) bool { return slices.Contains(alone, name) })
	for _, names := range append([][]string{together}, each(alone)...) {
		if err := results.test(flags, names); err != nil {
			return err
		}
	}
	return results.judge(os.Stdout, known)
}

func each(names []string) (all [][]string) {
	for _, name := range names {
		all = append(all, []string{name})
	}
	return all
}

// list names the packages of the repository.
func list() ([]string, error) {
	out, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	return strings.Fields(string(out)), nil
}
