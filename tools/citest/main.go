// Citest runs the project's tests, and passes over those that KNOWN-RED.txt lists as failing for a known cause.
//
//	citest [flags of go test] [-- packages]
//
// Without packages all are tested. Each listed test of them is run with all others and printed with its outcome. The run fails if any other test fails, if a listed test does
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

// allPackages is the pattern for those of the repository.
const allPackages = "./..."

// split takes flags and package patterns apart.
func split(args []string) (flags, patterns []string) {
	if at := slices.Index(args, "--"); at >= 0 {
		return args[:at], args[at+1:]
	}
	return args, []string{allPackages}
}

func run(args []string) error {
	flags, patterns := split(args)
	text, err := os.ReadFile(knownFile)
	if err != nil {
		return err
	}
	known, err := parseKnown(string(text))
	if err != nil {
		return err
	}
	packages, err := list(patterns)
	if err != nil {
		return err
	}
	known = slices.DeleteFunc(known, func(k knownFailure) bool {
		return !slices.Contains(packages, k.pkg) && !slices.Contains(patterns, allPackages)
	})
	results := newResults()
	together := slices.DeleteFunc(slices.Clone(packages), func(name string) bool { return slices.Contains(alone, name) })
	byThemselves := slices.DeleteFunc(slices.Clone(alone), func(name string) bool { return !slices.Contains(packages, name) })
	for _, names := range append([][]string{together}, each(byThemselves)...) {
		if len(names) == 0 {
			continue
		}
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

// list names the packages that patterns stand for.
func list(patterns []string) ([]string, error) {
	out, err := exec.Command("go", append([]string{"list"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	return strings.Fields(string(out)), nil
}
