package main

import (
	"fmt"
	"strings"
)

// maxKnownFailures is how many tests the list may hold.
const maxKnownFailures = 3

// testID identifies a test by its package and its top-level function.
type testID struct{ pkg, name string }

func (t testID) String() string { return t.pkg + " " + t.name }

// knownFailure is one line of the list.
type knownFailure struct {
	testID
	cause string
	issue string
}

// parseKnown parses the list. Its lines are "package test; cause; issue", empty, or comments that begin with #.
func parseKnown(text string) (known []knownFailure, err error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		failure, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", knownFile, i+1, err)
		}
		for _, other := range known {
			if other.testID == failure.testID {
				return nil, fmt.Errorf("%s:%d: %v is listed twice", knownFile, i+1, failure.testID)
			}
		}
		known = append(known, failure)
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("%s lists %d tests, %d at most are allowed", knownFile, len(known), maxKnownFailures)
	}
	return known, nil
}

func parseLine(line string) (failure knownFailure, err error) {
	fields := strings.Split(line, ";")
	if len(fields) != 3 {
		return failure, fmt.Errorf("want \"package test; cause; issue\", have %q", line)
	}
	names := strings.Fields(fields[0])
	if len(names) != 2 || !strings.HasPrefix(names[1], "Test") {
		return failure, fmt.Errorf("want a package and a test, have %q", fields[0])
	}
	failure.testID = testID{names[0], names[1]}
	failure.cause = strings.TrimSpace(fields[1])
	failure.issue = strings.TrimSpace(fields[2])
	if failure.cause == "" || failure.issue == "" {
		return failure, fmt.Errorf("%v has no cause, or no issue", failure.testID)
	}
	return failure, nil
}
