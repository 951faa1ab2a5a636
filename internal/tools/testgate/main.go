// Command testgate runs the tests and decides whether they pass. It calls
// `go test -json` with its own arguments, prints what the tests print, and fails
// like go test does, with one exception: a failing test that KNOWN-RED.txt lists is
// reported and passed over. An entry whose test passes, or that matches no test,
// fails the run, so that the list cannot outlive its faults.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:], listFile, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "testgate: "+err.Error())
		os.Exit(1)
	}
}

// run runs go test with the arguments and judges its events by the list.
func run(arguments []string, list string, out io.Writer) error {
	known, err := readList(list)
	if err != nil {
		return err
	}
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	results := newResults(out)
	readErr := results.read(events)
	exitErr := command.Wait()
	if readErr != nil {
		return readErr
	}
	return results.judge(known, exitErr, out)
}

// event is one line of `go test -json`, as `go doc test2json` describes it.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testName names a test, or by an empty Test the package itself.
type testName struct{ Package, Test string }

func (n testName) String() string { return n.Package + " " + n.Test }

// results collects how each test and each package ended.
type results struct {
	out      io.Writer
	outcome  map[testName]string // the last of run, pass, fail and skip
	finished int                 // tests that passed, failed or were skipped
	output   map[testName][]string
	broken   []string // packages that did not build
}

func newResults(out io.Writer) *results {
	return &results{out: out, outcome: map[testName]string{}, output: map[testName][]string{}}
}

// read takes in all events. Lines that are no events are passed through.
func (r *results) read(events io.Reader) error {
	const longestLine = 16 << 20
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil || e.Action == "" {
			fmt.Fprintln(r.out, lines.Text())
			continue
		}
		r.take(e)
	}
	return lines.Err()
}

func (r *results) take(e event) {
	name := testName{e.Package, e.Test}
	switch e.Action {
	case "output":
		if e.Test == "" {
			fmt.Fprint(r.out, e.Output)
			return
		}
		r.output[name] = append(r.output[name], e.Output)
	case "build-output":
		fmt.Fprint(r.out, e.Output)
	case "build-fail":
		r.broken = append(r.broken, e.Package)
	case "run":
		r.outcome[name] = e.Action
	case "pass", "fail", "skip":
		r.outcome[name] = e.Action
		if e.Action == "fail" {
			fmt.Fprint(r.out, strings.Join(r.output[name], ""))
		}
		delete(r.output, name)
		if e.Test != "" {
			r.finished++
		}
	}
}

// judge tells whether the run passes: go test's verdict, less the listed failures.
func (r *results) judge(known []entry, exitErr error, out io.Writer) error {
	listed, errs := map[testName]bool{}, []error{}
	for _, k := range known {
		name, outcome := r.find(k)
		switch outcome {
		case "fail":
			listed[name] = true
			fmt.Fprintf(out, "known red: %s: %s (%s)\n", name, k.Cause, k.Issue)
		case "":
			errs = append(errs, fmt.Errorf("%s: %s matches no test", listFile, k.Test))
		default:
			errs = append(errs, fmt.Errorf("%s: %s is listed, but its outcome is %s: remove the entry", listFile, k.Test, outcome))
		}
	}
	for _, name := range r.broken {
		errs = append(errs, fmt.Errorf("%s does not build", name))
	}
	unlisted := r.unlisted(listed)
	errs = append(errs, unlisted...)
	if exitErr != nil && len(errs) == 0 && len(listed) == 0 {
		errs = append(errs, fmt.Errorf("go test: %w", exitErr))
	}
	if r.finished == 0 {
		errs = append(errs, errors.New("no test ran"))
	}
	return errors.Join(errs...)
}

// find returns the outcome of the test that an entry names.
func (r *results) find(k entry) (testName, string) {
	for name, outcome := range r.outcome {
		if name.Test == k.Test && strings.HasSuffix(name.Package, k.Package) {
			return name, outcome
		}
	}
	return testName{}, ""
}

// unlisted returns the failures that no entry excuses. A package fails with each
// of its tests, and a test with each of its subtests; a test that began and has no
// outcome took the process down with it.
func (r *results) unlisted(listed map[testName]bool) (errs []error) {
	for name, outcome := range r.outcome {
		switch {
		case name.Test != "" && outcome == "run":
			errs = append(errs, fmt.Errorf("%s did not end", name))
		case outcome == "fail" && !listed[name] && !r.failsBy(name, listed):
			errs = append(errs, fmt.Errorf("%s failed", name))
		}
	}
	return errs
}

// failsBy tells whether a package or test has failed by what is inside it: a
// subtest, which is judged by itself, or, for a package, any test.
func (r *results) failsBy(name testName, listed map[testName]bool) bool {
	for inner, outcome := range r.outcome {
		inside := inner.Package == name.Package && inner.Test != name.Test &&
			(name.Test == "" || strings.HasPrefix(inner.Test, name.Test+"/"))
		if inside && outcome == "fail" && (name.Test == "" || listed[inner]) {
			return true
		}
	}
	return false
}
