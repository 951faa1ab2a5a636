package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes is the maximum length of a line of go test's output.
const maxEventBytes = 16 << 20

// action says what happened in an event.
type action string

// The actions of `go test -json` that are evaluated.
const (
	actionOutput      action = "output"
	actionBuildOutput action = "build-output"
	actionBuildFail   action = "build-fail"
	actionRun         action = "run"
	actionPass        action = "pass"
	actionFail        action = "fail"
	actionSkip        action = "skip"
)

// event is one line of `go test -json`, as `go doc test2json` describes it.
type event struct {
	Action  action
	Package string
	Test    string
	Output  string
}

// testName names a test, or a package if Test is empty.
type testName struct{ Package, Test string }

func (n testName) String() string { return n.Package + " " + n.Test }

// results collects the outcome of each test and each package.
type results struct {
	out          io.Writer
	outcomes     map[testName]action   // the latest of actionRun, actionPass, actionFail and actionSkip
	finished     int                   // tests that passed, failed or were skipped
	output       map[testName][]string // of tests that have failed or have not finished
	failedBuilds []string              // packages that do not build
}

// newResults returns empty results. What the tests print is written to out.
func newResults(out io.Writer) *results {
	return &results{out: out, outcomes: map[testName]action{}, output: map[testName][]string{}}
}

// read reads all events. Lines that are not events are printed.
func (r *results) read(events io.Reader) error {
	scanner := bufio.NewScanner(events)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		var read event
		err := json.Unmarshal(scanner.Bytes(), &read)
		if err != nil || read.Action == "" {
			fmt.Fprintln(r.out, scanner.Text())
			continue
		}
		r.add(read)
	}
	return scanner.Err()
}

// add records an event. A test's output is printed if the test fails.
func (r *results) add(reported event) {
	name := testName{Package: reported.Package, Test: reported.Test}
	switch reported.Action {
	case actionOutput:
		if reported.Test == "" {
			fmt.Fprint(r.out, reported.Output)
			return
		}
		r.output[name] = append(r.output[name], reported.Output)
	case actionBuildOutput:
		fmt.Fprint(r.out, reported.Output)
	case actionBuildFail:
		r.failedBuilds = append(r.failedBuilds, reported.Package)
	case actionRun:
		r.outcomes[name] = reported.Action
	case actionPass, actionFail, actionSkip:
		r.finish(name, reported.Action)
	}
}

// finish records how a test or a package ended.
func (r *results) finish(name testName, outcome action) {
	r.outcomes[name] = outcome
	if outcome == actionFail {
		fmt.Fprint(r.out, strings.Join(r.output[name], ""))
	} else {
		delete(r.output, name)
	}
	if name.Test != "" {
		r.finished++
	}
}

// evaluate returns the reasons why the run fails, or nil. Known failures are printed
// and do not fail the run. exitErr is the error with which go test exited.
func (r *results) evaluate(known []knownFailure, exitErr error) error {
	tolerated := map[testName]bool{}
	var errs []error
	for _, failure := range known {
		if !failure.isGoTest() {
			fmt.Fprintf(r.out, "known red, not run here: %s %s: %s: %s (%s)\n",
				failure.Package, failure.Test, failure.Command, failure.Seen, failure.Issue)
			continue
		}
		name, outcome := r.find(failure)
		text, sometimes := failure.failsSometimes()
		switch {
		case outcome == actionFail && sometimes && !r.printed(name, text):
			errs = append(errs, fmt.Errorf("%s failed, but not with %q as %s says", name, text, listFile))
			tolerated[name] = true // it is reported here
		case outcome == actionFail:
			tolerated[name] = true
			fmt.Fprintf(r.out, "known red: %s: %s: %s (%s)\n", name, failure.Command, failure.Seen, failure.Issue)
		case outcome == actionPass && sometimes:
			fmt.Fprintf(r.out, "known red, passed this time: %s: %s: %s (%s)\n", name, failure.Command, failure.Seen, failure.Issue)
		case outcome == "":
			errs = append(errs, fmt.Errorf("%s: %s matches no test", listFile, failure.Test))
		default:
			errs = append(errs, fmt.Errorf(
				"%s: %s is listed, but its outcome is %s: remove the entry", listFile, failure.Test, outcome))
		}
	}
	for _, name := range r.failedBuilds {
		errs = append(errs, fmt.Errorf("%s does not build", name))
	}
	errs = append(errs, r.otherFailures(tolerated)...)
	if exitErr != nil && len(errs) == 0 && len(tolerated) == 0 {
		errs = append(errs, fmt.Errorf("go test: %w", exitErr))
	}
	if r.finished == 0 {
		errs = append(errs, errors.New("no test ran"))
	}
	return errors.Join(errs...)
}

// printed reports whether the output of a failed test, or of one of its subtests, contains a text.
func (r *results) printed(failed testName, text string) bool {
	for name, output := range r.output {
		if (name == failed || failed.contains(name)) && strings.Contains(strings.Join(output, ""), text) {
			return true
		}
	}
	return false
}

// find returns the name and the outcome of the test that an entry names. The outcome is empty if there is no such test.
func (r *results) find(failure knownFailure) (testName, action) {
	for name, outcome := range r.outcomes {
		if name.Test == failure.Test && strings.HasSuffix(name.Package, failure.Package) {
			return name, outcome
		}
	}
	return testName{}, ""
}

// otherFailures returns the failures that are not tolerated. It leaves out a package or
// test that failed only because of its tests or subtests. A test that has begun and has
// no outcome has ended the test process, for example by a panic, and counts as failed.
func (r *results) otherFailures(tolerated map[testName]bool) (errs []error) {
	for name, outcome := range r.outcomes {
		switch {
		case name.Test != "" && outcome == actionRun:
			errs = append(errs, fmt.Errorf("%s did not end", name))
		case outcome == actionFail && !tolerated[name] && !r.failsByInner(name, tolerated):
			errs = append(errs, fmt.Errorf("%s failed", name))
		}
	}
	return errs
}

// failsByInner reports whether a package or test failed because of something in it that
// is evaluated separately: a package because of any failed test, a test because of a
// tolerated subtest.
func (r *results) failsByInner(outer testName, tolerated map[testName]bool) bool {
	for inner, outcome := range r.outcomes {
		if outcome != actionFail || !outer.contains(inner) {
			continue
		}
		if outer.Test == "" || tolerated[inner] {
			return true
		}
	}
	return false
}

// contains reports whether inner is a test of the package, or a subtest of the
// test, that n names.
func (n testName) contains(inner testName) bool {
	if inner.Package != n.Package || inner.Test == n.Test {
		return false
	}
	return n.Test == "" || strings.HasPrefix(inner.Test, n.Test+"/")
}
