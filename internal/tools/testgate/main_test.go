package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Events of `go test -json`.
const (
	passes = `{"Action":"run","Package":"m/a","Test":"TestPasses"}
{"Action":"pass","Package":"m/a","Test":"TestPasses"}
`
	fails = `{"Action":"run","Package":"m/a","Test":"TestFails"}
{"Action":"fail","Package":"m/a","Test":"TestFails"}
{"Action":"fail","Package":"m/a"}
`
	subtestFails = `{"Action":"run","Package":"m/a","Test":"TestFails"}
{"Action":"run","Package":"m/a","Test":"TestFails/part"}
{"Action":"fail","Package":"m/a","Test":"TestFails/part"}
{"Action":"fail","Package":"m/a","Test":"TestFails"}
{"Action":"fail","Package":"m/a"}
`
	panics = `{"Action":"run","Package":"m/a","Test":"TestPanics"}
{"Action":"fail","Package":"m/a"}
`
	noBuild     = `{"Action":"build-fail","Package":"m/b"}` + "\n"
	packageOnly = `{"Action":"fail","Package":"m/c"}` + "\n"
)

// A run passes if all listed tests fail and no other test does.
func TestEvaluate(t *testing.T) {
	failing := knownFailure{Package: "a", Test: "TestFails", Seen: "a cause", Issue: "issue 1"}
	part := knownFailure{Package: "a", Test: "TestFails/part", Seen: "a cause", Issue: "issue 1"}
	for _, test := range []struct {
		name   string
		events string
		known  []knownFailure
		want   string // part of the error; empty if the run passes
	}{
		{"all pass", passes, nil, ""},
		{"no test", "", nil, "no test ran"},
		{"a failure", passes + fails, nil, "m/a TestFails failed"},
		{"a listed failure", passes + fails, []knownFailure{failing}, ""},
		{"a listed subtest", passes + subtestFails, []knownFailure{part}, ""},
		{"a listed test whose subtest fails", passes + subtestFails, []knownFailure{failing}, "m/a TestFails/part failed"},
		{"a listed test that passes", passes, []knownFailure{{Package: "a", Test: "TestPasses"}}, "remove the entry"},
		{"an entry without a test", passes, []knownFailure{failing}, "matches no test"},
		{"an entry of another package", passes + fails, []knownFailure{{Package: "b", Test: "TestFails"}}, "matches no test"},
		{"a panic beside a listed failure", passes + fails + panics, []knownFailure{failing}, "TestPanics did not end"},
		{"no build beside a listed failure", passes + fails + noBuild, []knownFailure{failing}, "m/b does not build"},
		{"a package that fails by itself", passes + fails + packageOnly, []knownFailure{failing}, "m/c"},
	} {
		t.Run(test.name, func(t *testing.T) {
			results := newResults(io.Discard)
			if err := results.read(strings.NewReader(test.events)); err != nil {
				t.Fatal(err)
			}
			err := results.evaluate(test.known, nil)
			switch {
			case test.want == "" && err != nil:
				t.Errorf("fails: %v", err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("%v, want %q", err, test.want)
			}
		})
	}
}

// An entry of a case that fails only at times tolerates the recorded failure and a pass, and says which it was. A failure
// with another text, and a missing test, fail the run.
func TestEntryThatFailsAtTimes(t *testing.T) {
	const (
		recorded = `{"Action":"output","Package":"m/a","Test":"TestFails","Output":"x_test.go:1: late by 3 s\n"}` + "\n"
		other    = `{"Action":"output","Package":"m/a","Test":"TestFails","Output":"x_test.go:2: lost\n"}` + "\n"
	)
	run, end, _ := strings.Cut(fails, "\n")
	passesNow := strings.ReplaceAll(passes, "TestPasses", "TestFails")
	entry := []knownFailure{{Package: "a", Test: "TestFails", Seen: `at times "late by": a cause`}}
	for _, test := range []struct{ name, events, wantPrinted, wantError string }{
		{"fails as recorded", run + "\n" + recorded + end, "known red: m/a TestFails", ""},
		{"passes", passesNow, "known red, passed this time: m/a TestFails", ""},
		{"fails otherwise", run + "\n" + other + end, "lost", "failed, but not with"},
		{"fails without output", passes + fails, "", "failed, but not with"},
		{"no such test", passes, "", "matches no test"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var printed strings.Builder
			results := newResults(&printed)
			if err := results.read(strings.NewReader(test.events)); err != nil {
				t.Fatal(err)
			}
			err := results.evaluate(entry, nil)
			asWanted := err == nil && test.wantError == "" || err != nil && test.wantError != "" && strings.Contains(err.Error(), test.wantError)
			if !asWanted || !strings.Contains(printed.String(), test.wantPrinted) {
				t.Errorf("%v and %q, want %q and %q", err, printed.String(), test.wantError, test.wantPrinted)
			}
		})
	}
}

// Each entry is printed completely. A seed of the soak is printed as not run, and needs no matching test.
func TestEntriesArePrinted(t *testing.T) {
	var printed strings.Builder
	results := newResults(&printed)
	if err := results.read(strings.NewReader(passes + fails)); err != nil {
		t.Fatal(err)
	}
	err := results.evaluate([]knownFailure{
		{Package: "a", Test: "TestFails", Command: "go test ./a", Seen: "a cause", Issue: "issue 1"},
		{Package: soakPackage, Test: "seed 12", Command: "make soak SEED=12", Seen: "one request lost", Issue: "issue 2"},
	}, nil)
	if err != nil {
		t.Errorf("fails: %v", err)
	}
	for _, want := range []string{
		"known red: m/a TestFails: go test ./a: a cause (issue 1)\n",
		"known red, not run here: soak seed 12: make soak SEED=12: one request lost (issue 2)\n",
	} {
		if !strings.Contains(printed.String(), want) {
			t.Errorf("%q lacks %q", printed.String(), want)
		}
	}
}

// A list with an invalid line is rejected as a whole, with an error that names the line.
func TestReadKnownFailures(t *testing.T) {
	line := "internal/core | TestX | go test ./internal/core | a cause | issue 27\n"
	seed := "soak | seed 12 | make soak SEED=12 SEEDS=1 | one request lost | issue 37\n"
	for _, test := range []struct {
		name    string
		text    string
		want    string // part of the error; empty if there must be none
		entries int
	}{
		{"comments and one entry", "# a comment\n\n" + line, "", 1},
		{"three", strings.Repeat(line, 3), "", 3},
		{"many, one of them a seed of the soak", strings.Repeat(line, 40) + seed, "", 41},
		{"a field missing", "internal/core | TestX | a cause | issue 27\n", ":1: not of the form", 0},
		{"a field too many", "internal/core | TestX | x | a cause | issue 27 | x\n", ":1: not of the form", 0},
		{"an empty field", "# x\ninternal/core |  | x | a cause | issue 27\n", ":2: not of the form", 0},
		{"fails at times", "a | TestX | go test ./a | at times \"late\": a cause | issue 27\n", "", 1},
		{"fails at times without a text", "a | TestX | go test ./a | at times late | issue 27\n", "without the text", 0},
		{"a seed without a command", "soak | seed 12 | one request lost | issue 37\n", ":1: not of the form", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			known, err := readKnownFailures(path)
			asWanted := err == nil && test.want == "" || err != nil && test.want != "" && strings.Contains(err.Error(), test.want)
			if len(known) != test.entries || !asWanted {
				t.Errorf("%d entries, %v; want %d, %q", len(known), err, test.entries, test.want)
			}
		})
	}
	known, err := readKnownFailures(filepath.Join(t.TempDir(), "none"))
	if err != nil || len(known) != 0 {
		t.Errorf("no file: %v, %v", known, err)
	}
}
