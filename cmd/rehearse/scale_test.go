package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/scale"
)

const scaleScenario = `name = "tiny"
seed = 3
workers = 20
zones = 2
regions = 1
dispatchers = 2
length_s = 0.5
deadline_s = 60

[[event]]
kind = "rack"
at_s = 0.1
count = 3
`

// The output of the command as a program, and its exit code where a bound is exceeded.
func TestScaleProgram(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "rehearse")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	runScale := func(scenario string, args ...string) (code int, text string) {
		t.Helper()
		path := write(t, "tiny.toml", scenario)
		out, err := exec.Command(program, append([]string{"scale", path}, args...)...).CombinedOutput()
		var ended *exec.ExitError
		if err != nil && !errors.As(err, &ended) {
			t.Fatal(err)
		}
		if ended != nil {
			code = ended.ExitCode()
		}
		return code, string(out)
	}
	figures := filepath.Join(dir, "f.json")
	chart := filepath.Join(dir, "c.svg")
	if code, text := runScale(scaleScenario, "--json", figures, "--chart", chart, "--workers", "30"); code != exitSuccess || !strings.Contains(text, "30 workers") {
		t.Errorf("code %d: %s", code, text)
	}
	var records []scale.Record
	raw, err := os.ReadFile(figures)
	if err == nil {
		err = json.Unmarshal(raw, &records)
	}
	if err != nil || len(records) != 1 || records[0].Workers != 30 || !strings.HasSuffix(records[0].Command, "--workers 30") {
		t.Errorf("%v: %+v", err, records)
	}
	if svg, err := os.ReadFile(chart); err != nil || !strings.Contains(string(svg), "<svg") {
		t.Errorf("chart: %v", err)
	}
	code, text := runScale(scaleScenario + "[bounds]\nmemory_mb = 0\nin_force_max_s = 1e-9\n")
	if code != exitViolation || !strings.Contains(text, "in_force_max_s") {
		t.Errorf("an exceeded bound: code %d: %s", code, text)
	}
	if code, text := runScale(scaleScenario + "colour = 1\n"); code != exitFailure || !strings.Contains(text, "colour: unknown key") {
		t.Errorf("an invalid scenario: code %d: %s", code, text)
	}
}
