package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// importSample imports the sample log into a new recording and returns its path.
func importSample(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "a.rec")
	result := runCommand("import", "--rules", rulesFile, "--seed", "5", "-o", path, sampleLog)
	if result.exitCode != exitSuccess {
		t.Fatal(result)
	}
	return path
}

// readFile returns the content of a file.
func readFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// The sample has one malformed line. The report and the file of rejects have the same description of it.
func TestImportReport(t *testing.T) {
	rejectsPath := filepath.Join(t.TempDir(), "rejects")
	path := filepath.Join(t.TempDir(), "a.rec")
	result := runCommand("import", "--rules", rulesFile, "--seed", "5", "--rejects", rejectsPath, "--json", "-o", path, sampleLog)
	var got recording.Report
	if err := json.Unmarshal([]byte(result.out), &got); err != nil || result.exitCode != exitSuccess {
		t.Fatalf("%v: %v", err, result)
	}
	if got.Read != 1620 || got.Malformed != 1 || !got.Balanced() {
		t.Fatalf("%d read and %d malformed, want 1620 and 1; the counts add up: %v", got.Read, got.Malformed, got.Balanced())
	}
	var reject recording.Reject
	if err := json.Unmarshal(readFile(t, rejectsPath), &reject); err != nil {
		t.Fatal(err)
	}
	if reject.Line != 401 || reject.Source != "access.log" || reject != got.Rejects[0] {
		t.Errorf("rejects file: %+v, want line 401 of access.log, as in the report: %+v", reject, got.Rejects[0])
	}
}

// The same input, rules and seed give the same recording, whether or not the import also writes rejects and JSON.
func TestImportFollowsSeed(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.rec")
	result := runCommand("import", "--rules", rulesFile, "--seed", "5", "--rejects", filepath.Join(dir, "rejects"), "--json", "-o", path, sampleLog)
	if result.exitCode != exitSuccess {
		t.Fatal(result)
	}
	first := readFile(t, path)
	second := readFile(t, importSample(t))
	if !bytes.Equal(first, second) || len(first) == 0 {
		t.Error("the same input, rules and seed give different bytes or an empty file")
	}
}

func TestImportStrictFailsOnMalformedEntry(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.rec")
	result := runCommand("import", "--rules", rulesFile, "--strict", "-o", path, sampleLog)
	if result.exitCode != exitViolation || !strings.Contains(result.errOut, "--strict") {
		t.Errorf("%v, want a violation of --strict", result)
	}
}

func TestInspectShowsContents(t *testing.T) {
	path := importSample(t)
	text := runCommand("inspect", path)
	if text.exitCode != exitSuccess || !strings.Contains(text.out, "1519 entries") || !strings.Contains(text.out, "sha256") {
		t.Errorf("%v, want 1519 entries and a hash", text)
	}
	asJSON := runCommand("inspect", "--json", path)
	if asJSON.exitCode != exitSuccess || !json.Valid([]byte(asJSON.out)) {
		t.Errorf("%v, want JSON", asJSON)
	}
}

// Errors say what is wrong, and commands that fail leave no output file.
func TestCommandErrors(t *testing.T) {
	sample := importSample(t)
	content := readFile(t, sample)
	truncated := writeFile(t, "cut.rec", string(content[:len(content)/2]))
	outputDir := t.TempDir()
	output := filepath.Join(outputDir, "x")
	missingLog := filepath.Join(t.TempDir(), "none.log")
	for wantError, args := range map[string][]string{
		"cut.rec: ":             {"inspect", truncated},
		"--rules":               {"import", "-o", output, sampleLog},
		"no such file":          {"import", "--rules", rulesFile, "-o", output, missingLog},
		"no entry that a rule":  {"import", "--rules", rulesFile, "-o", output, writeFile(t, "b.log", "bad\n")},
		"class: missing":        {"import", "--rules", writeFile(t, "r.toml", ""), "-o", output, sampleLog},
		"format: \"xml\"":       {"import", "--rules", rulesFile, "--format", "xml", "-o", output, sampleLog},
		"no source is called":   {"import", "--rules", rulesFile, "--offset", "z=1s", "-o", output, sampleLog},
		"is not a loopback":     {"replay", "--recording", sample, "--to", "192.0.2.7:80"},
		"neither platform nor":  {"replay", "--recording", sample, "--to", "127.0.0.1:1", "--front", "x"},
		"one of them is needed": {"replay", "--to", "127.0.0.1:1"},
		"entries could not be":  {"replay", "--recording", importedRecording(t, 2, 100), "--to", "127.0.0.1:1"},
		"no daemon beside":      {"run", "--recording", sample},
		"the window is empty":   {"slice", "--from", "5s", "--to", "4s", "-o", output, sample},
		"unexpected argument":   {"nonsense"},
	} {
		result := runCommand(args...)
		if result.exitCode != exitFailure || !strings.Contains(result.errOut, wantError) {
			t.Errorf("%v, want a failure with %q", result, wantError)
		}
	}
	left, err := os.ReadDir(outputDir)
	if err != nil {
		t.Fatal(err)
	}
	if len(left) != 0 {
		t.Errorf("failed commands left output files: %v", left)
	}
}

// The commands on recordings accept each other's output. They include the command scale of earlier versions.
func TestRecordingCommands(t *testing.T) {
	sample := importSample(t)
	dir := t.TempDir()
	sliced := filepath.Join(dir, "s.rec")
	merged := filepath.Join(dir, "m.rec")
	rescaled := filepath.Join(dir, "t.rec")
	for _, args := range [][]string{
		{"slice", "--to", "5s", "-o", sliced, sample},
		{"merge", "-o", merged, sample, sliced},
		{"scale", "--rate", "2", "-o", rescaled, merged},
		{"inspect", rescaled},
		{"formats"},
		{"version"},
		{"--help"},
	} {
		if result := runCommand(args...); result.exitCode != exitSuccess {
			t.Errorf("%v, want success", result)
		}
	}
}
