package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Paths from this directory.
const (
	rulesFile = "../../deploy/rehearsal.toml"
	sampleLog = "../../deploy/sample/access.log"
)

// daemon is the path of the daemon's program, which TestMain builds. The same directory has dispatcher-serve.
var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, daemonProgram)
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", dir, "../dispatcher", "../dispatcher-serve")
	output, err := build.CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// commandResult is the exit code and the output of a command line.
type commandResult struct {
	args     []string
	exitCode int
	out      string
	errOut   string
}

// runCommand runs a command line with empty standard input.
func runCommand(args ...string) commandResult {
	var out, errOut bytes.Buffer
	exitCode := run(args, strings.NewReader(""), &out, &errOut)
	return commandResult{args: args, exitCode: exitCode, out: out.String(), errOut: errOut.String()}
}

// String describes the result in messages of tests.
func (r commandResult) String() string {
	return fmt.Sprintf("%q: exit code %d\n%s%s", r.args, r.exitCode, r.out, r.errOut)
}

// writeFile writes a file to a new temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// importedRecording imports a log of the given number of entries, every third a renewal, and returns the recording's
// path.
func importedRecording(t *testing.T, entries, entriesPerSecond int) string {
	t.Helper()
	const format = "nginx:$msec|$request_method|$request_uri|$request_time"
	var log strings.Builder
	start := time.Date(2026, 11, 29, 6, 0, 0, 0, time.UTC)
	for i := range entries {
		request := fmt.Sprintf("GET|/members/%d/status", i%50)
		if i%3 == 0 {
			request = fmt.Sprintf("POST|/members/%d/renew", i%50)
		}
		arrivalMs := start.UnixMilli() + int64(i)*1000/int64(entriesPerSecond)
		fmt.Fprintf(&log, "%.3f|%s|0.015\n", float64(arrivalMs)/1000, request)
	}
	path := filepath.Join(t.TempDir(), "a.rec")
	result := runCommand("import", "--rules", rulesFile, "--format", format, "-o", path, writeFile(t, "a.log", log.String()))
	if result.exitCode != exitSuccess {
		t.Fatal(result)
	}
	return path
}
