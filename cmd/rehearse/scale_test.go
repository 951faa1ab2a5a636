package main

import (
	"encoding/json"
	"errors"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/rehearsal/scale"
)

// scaleScenario is a scenario that takes about a second.
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

// buildProgram builds this program and returns its path. The scale command starts further processes of it.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "rehearse")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return program
}

// runScale runs the scale command of a program with a scenario, and returns its exit code and output.
func runScale(t *testing.T, program, scenario string, args ...string) (exitCode int, text string) {
	t.Helper()
	path := writeFile(t, "tiny.toml", scenario)
	command := exec.Command(program, append([]string{"scale", path}, args...)...)
	output, err := command.CombinedOutput()
	var exitError *exec.ExitError
	if err != nil && !errors.As(err, &exitError) {
		t.Fatal(err)
	}
	return command.ProcessState.ExitCode(), string(output)
}

// The scale command writes its results, and fails if a bound is exceeded or the scenario is invalid.
func TestScaleProgram(t *testing.T) {
	program := buildProgram(t)
	t.Run("results", func(t *testing.T) {
		figures := filepath.Join(t.TempDir(), "f.json")
		chart := filepath.Join(t.TempDir(), "c.svg")
		exitCode, text := runScale(t, program, scaleScenario, "--json", figures, "--chart", chart, "--workers", "30")
		if exitCode != exitSuccess || !strings.Contains(text, "30 workers") {
			t.Errorf("exit code %d, want success with 30 workers: %s", exitCode, text)
		}
		var records []scale.Record
		if err := json.Unmarshal(readFile(t, figures), &records); err != nil {
			t.Fatal(err)
		}
		if len(records) != 1 || records[0].Workers != 30 || !strings.HasSuffix(records[0].Command, "--workers 30") {
			t.Errorf("%+v, want one record of 30 workers with its command", records)
		}
		if svg := readFile(t, chart); !strings.Contains(string(svg), "<svg") {
			t.Errorf("the chart is not an SVG file: %.40s", svg)
		}
	})
	t.Run("exceeded bound", func(t *testing.T) {
		exitCode, text := runScale(t, program, scaleScenario+"[bounds]\nmemory_mb = 0\nin_force_max_s = 1e-9\n")
		if exitCode != exitViolation || !strings.Contains(text, "in_force_max_s") {
			t.Errorf("exit code %d, want a violation of in_force_max_s: %s", exitCode, text)
		}
	})
	t.Run("invalid scenario", func(t *testing.T) {
		exitCode, text := runScale(t, program, scaleScenario+"colour = 1\n")
		if exitCode != exitFailure || !strings.Contains(text, "colour: unknown key") {
			t.Errorf("exit code %d, want a failure that names the key colour: %s", exitCode, text)
		}
	})
}
