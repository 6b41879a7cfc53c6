package main

import (
	"fmt"
	"strings"
)

// mostKnown is how many tests may be known to fail at once.
const mostKnown = 3

// test names one test: its package and its top-level function.
type test struct{ pkg, name string }

func (t test) String() string { return t.pkg + " " + t.name }

// knownFailure is one line of the list.
type knownFailure struct {
	test
	cause, issue string
}

// parseKnown reads the list: lines of "package test; cause; issue", empty lines, and comments that begin with #.
func parseKnown(text string) (known []knownFailure, err error) {
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", knownFile, n+1, err)
		}
		for _, other := range known {
			if other.test == k.test {
				return nil, fmt.Errorf("%s:%d: %v is listed twice", knownFile, n+1, k.test)
			}
		}
		known = append(known, k)
	}
	if len(known) > mostKnown {
		return nil, fmt.Errorf("%s lists %d tests, %d at most are allowed", knownFile, len(known), mostKnown)
	}
	return known, nil
}

func parseLine(line string) (k knownFailure, err error) {
	fields := strings.Split(line, ";")
	if len(fields) != 3 {
		return k, fmt.Errorf("want \"package test; cause; issue\", have %q", line)
	}
	names := strings.Fields(fields[0])
	if len(names) != 2 || !strings.HasPrefix(names[1], "Test") {
		return k, fmt.Errorf("want a package and a test, have %q", fields[0])
	}
	k.test = test{names[0], names[1]}
	k.cause, k.issue = strings.TrimSpace(fields[1]), strings.TrimSpace(fields[2])
	if k.cause == "" || k.issue == "" {
		return k, fmt.Errorf("%v has no cause, or no issue", k.test)
	}
	return k, nil
}
