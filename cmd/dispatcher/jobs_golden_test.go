package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// leaseEnd matches the time at which the lease of a leased or started job ends. Opening the
// store sets it to the current time plus a grace time, so it differs between runs.
var leaseEnd = regexp.MustCompile(`("state": ?"(?:leased|started)".*?"due": ?)"[^"]*"`)

// For a store file that an earlier build has written, the output of each jobs command equals
// its golden file. A snapshot of the store passes verify.
func TestGoldenJobsCommands(t *testing.T) {
	store := goldentest.Unpack(t, filepath.Join("../../internal/durable/testdata", "jobs-schema-1.db.gz"))
	for name, args := range map[string][]string{
		"jobs-list.txt":      {"list"},
		"jobs-in-doubt.txt":  {"list", "--state", "in doubt", "--class", "renewal", "--limit", "1"},
		"jobs-export.jsonl":  {"export"},
		"jobs-audit.jsonl":   {"audit"},
		"jobs-show-json.txt": {"show", "doubt-1"},
		"jobs-show-text.txt": {"show", "discarded-1"},
		"jobs-show-done.txt": {"show", "done-1"},
		"jobs-show-idem.txt": {"show", "idem:key-1"},
	} {
		t.Run(name, func(t *testing.T) {
			output := runJobs(t, store, args...)
			goldentest.Compare(t, name, leaseEnd.ReplaceAllString(output, `$1"(a grace time from now)"`))
		})
	}
	snapshot := filepath.Join(filepath.Dir(store), "copy.db")
	output := runJobs(t, store, "snapshot", "copy.db") + runJobs(t, snapshot, "verify")
	if want := snapshot + ": 34 records, all whole\n"; output != want {
		t.Errorf("snapshot and verify: %q, want %q", output, want)
	}
}

// runJobs runs a subcommand of jobs on a store file, and returns its output.
func runJobs(t *testing.T, store string, args ...string) string {
	t.Helper()
	commandLine := append([]string{"jobs", "--store", store}, args...)
	var output bytes.Buffer
	if err := runCommand(commandLine, os.Getenv, &output, &output); err != nil {
		t.Fatal(err)
	}
	return output.String()
}
