package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

const (
	listFile       = "KNOWN-RED.txt"
	maxEntries     = 3 // with more known failures the run fails
	entryFields    = 4
	fieldSeparator = " | "
)

// errEntryForm is returned for a line of the list that is no entry.
var errEntryForm = errors.New("not of the form package | test | cause | issue")

// knownFailure is one entry of the list: a test that fails for a real fault.
type knownFailure struct {
	Package string // the end of its import path
	Test    string
	Cause   string
	Issue   string
}

// readKnownFailures reads the list, which has one entry a line: package, test,
// cause and issue, separated by " | ". Empty lines and lines that begin with # are
// ignored. A missing file is an empty list.
func readKnownFailures(path string) ([]knownFailure, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var known []knownFailure
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		failure, err := parseKnownFailure(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		known = append(known, failure)
	}
	if len(known) > maxEntries {
		return nil, fmt.Errorf("%s: %d entries, %d at most", path, len(known), maxEntries)
	}
	return known, nil
}

// parseKnownFailure parses one entry.
func parseKnownFailure(line string) (knownFailure, error) {
	fields := strings.Split(line, fieldSeparator)
	if len(fields) != entryFields {
		return knownFailure{}, errEntryForm
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
		if fields[i] == "" {
			return knownFailure{}, fmt.Errorf("%w: a part is empty", errEntryForm)
		}
	}
	return knownFailure{Package: fields[0], Test: fields[1], Cause: fields[2], Issue: fields[3]}, nil
}
