// Command citest runs the project's tests, and tolerates the failures that KNOWN-RED.txt lists with their cause.
//
//	citest [flags of go test] [-- packages]
//
// Without packages all are tested. Listed tests run with the others, and each is printed with its outcome. The run fails
// if any other test fails, if a listed test has no result, or if more than three are listed.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// knownFile is the list of known failures, at the root of the repository.
const knownFile = "KNOWN-RED.txt"

// exclusivePackages are tested one at a time, after all others: they run real processes in real time, and load on the
// machine makes their runs void.
var exclusivePackages = []string{"minttray/lab/run", "minttray/lab/hostile"}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
		os.Exit(1)
	}
}

// allPackages is the pattern for all packages of the repository.
const allPackages = "./..."

// splitArgs separates the flags of go test from the package patterns.
func splitArgs(args []string) (flags, patterns []string) {
	if i := slices.Index(args, "--"); i >= 0 {
		return args[:i], args[i+1:]
	}
	return args, []string{allPackages}
}

func run(args []string) error {
	flags, patterns := splitArgs(args)
	text, err := os.ReadFile(knownFile)
	if err != nil {
		return err
	}
	known, err := parseKnown(string(text))
	if err != nil {
		return err
	}
	packages, err := listPackages(patterns)
	if err != nil {
		return err
	}
	known = slices.DeleteFunc(known, func(k knownFailure) bool {
		return !slices.Contains(packages, k.pkg) && !slices.Contains(patterns, allPackages)
	})
	results := newResults()
	concurrent := slices.DeleteFunc(slices.Clone(packages), func(name string) bool { return slices.Contains(exclusivePackages, name) })
	exclusive := slices.DeleteFunc(slices.Clone(exclusivePackages), func(name string) bool { return !slices.Contains(packages, name) })
	for _, group := range append([][]string{concurrent}, groupsOfOne(exclusive)...) {
		if len(group) == 0 {
			continue
		}
		if err := results.runTests(flags, group); err != nil {
			return err
		}
	}
	return results.report(os.Stdout, known)
}

// groupsOfOne returns a group for each package.
func groupsOfOne(packages []string) (groups [][]string) {
	for _, name := range packages {
		groups = append(groups, []string{name})
	}
	return groups
}

// listPackages returns the import paths of the packages that match the patterns.
func listPackages(patterns []string) ([]string, error) {
	output, err := exec.Command("go", append([]string{"list"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	return strings.Fields(string(output)), nil
}
