package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// mostEntries bounds the list: more known faults than these stop the work.
const mostEntries = 3

// entry is one line of the list: a test that fails for a real fault.
type entry struct {
	Package string // the end of its import path
	Test    string
	Cause   string
	Issue   string
}

// readList reads the list, one entry a line: package, test, cause and issue,
// parted by " | ". Empty lines and lines that begin with # are passed over. No
// file is an empty list.
func readList(path string) (list []entry, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		list = append(list, e)
	}
	if len(list) > mostEntries {
		return nil, fmt.Errorf("%s: %d entries, %d at most", path, len(list), mostEntries)
	}
	return list, nil
}

func parseEntry(line string) (entry, error) {
	fields := strings.Split(line, " | ")
	if len(fields) != 4 {
		return entry{}, errors.New("not of the form package | test | cause | issue")
	}
	for i := range fields {
		if fields[i] = strings.TrimSpace(fields[i]); fields[i] == "" {
			return entry{}, errors.New("not of the form package | test | cause | issue: a part is empty")
		}
	}
	return entry{Package: fields[0], Test: fields[1], Cause: fields[2], Issue: fields[3]}, nil
}
