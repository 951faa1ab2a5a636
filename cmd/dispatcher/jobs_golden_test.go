package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// leaseEnd is the due time of a job that is held: by the clock, a grace time from now.
var leaseEnd = regexp.MustCompile(`("state": ?"(?:leased|started)".*?"due": ?)"[^"]*"`)

// The commands on the store file of an earlier build print what they always have.
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
			var out bytes.Buffer
			if err := command(append([]string{"jobs", "--store", store}, args...), os.Getenv, &out, &out); err != nil {
				t.Fatal(err)
			}
			goldentest.Compare(t, name, leaseEnd.ReplaceAllString(out.String(), `$1"(a grace time from now)"`))
		})
	}
	snapshot := filepath.Join(filepath.Dir(store), "copy.db")
	var out bytes.Buffer
	for _, args := range [][]string{{"--store", store, "snapshot", "copy.db"}, {"--store", snapshot, "verify"}} {
		if err := command(append([]string{"jobs"}, args...), os.Getenv, &out, &out); err != nil {
			t.Fatal(err)
		}
	}
	if want := snapshot + ": 34 records, all whole\n"; out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}
