package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A command fails if an output file cannot be written completely. Such an error was once lost, and the command
// succeeded, because the deferred close assigned it to a variable that shadowed the result of the same name.
func TestFullDiskIsReported(t *testing.T) {
	const fullDisk = "/dev/full"
	if _, err := os.Stat(fullDisk); err != nil {
		t.Fatal(err)
	}
	sample, err := os.ReadFile(sampleLog)
	if err != nil {
		t.Fatal(err)
	}
	input := writeFile(t, "access.log", "nonsense\n"+string(sample))
	for name, args := range map[string][]string{
		"rejects of import": {"import", "--rules", rulesFile, "--rejects", fullDisk, "-o", filepath.Join(t.TempDir(), "x.rec"), input},
		"log of sim run":    {"sim", "run", calmScenario(t), "--log", fullDisk},
	} {
		result := runCommand(args...)
		if result.exitCode == exitSuccess || !strings.Contains(result.errOut, "no space left") {
			t.Errorf("%s: %v; want a failure that names the full disk", name, result)
		}
	}
}

// Reasons are printed in the same order in all runs, sorted.
func TestFloodReasonsHaveOneOrder(t *testing.T) {
	counts := map[string]int{"c": 1, "a": 1, "b": 7, "e": 1, "d": 1}
	for range 20 {
		var out strings.Builder
		writeReasons(&out, "rejected", counts)
		want := "  rejected: 1  a\n  rejected: 7  b\n  rejected: 1  c\n  rejected: 1  d\n  rejected: 1  e\n"
		if out.String() != want {
			t.Fatalf("%q, want %q", out.String(), want)
		}
	}
}
