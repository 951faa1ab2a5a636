// Command testgate runs the tests and decides whether they pass. It calls
// `go test -json` with its own arguments, prints what the tests print, and fails
// like go test does, with one exception: a failing test that KNOWN-RED.txt lists is
// reported and tolerated. An entry whose test passes, or that matches no test,
// fails the run, so that no entry remains after its fault is fixed. An entry of a test
// that fails only at times tolerates a pass, and of failures only the recorded one.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
)

func main() {
	if err := run(os.Args[1:], listFile, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "testgate: "+err.Error())
		os.Exit(1)
	}
}

// run runs go test with the arguments, and evaluates the results by the list of known failures.
func run(arguments []string, list string, output io.Writer) error {
	known, err := readKnownFailures(list)
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
	results := newResults(output)
	readErr := results.read(events)
	exitErr := command.Wait()
	if readErr != nil {
		return readErr
	}
	return results.evaluate(known, exitErr)
}
