package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// writeScenario writes a shortened copy of the shipped scenario "faults" in which old is replaced, and returns its
// path.
func writeScenario(t *testing.T, name, old, replacement string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/scenarios/faults.toml")
	if err != nil {
		t.Fatal(err)
	}
	short := strings.Replace(string(text), "length_s = 60", "length_s = 30", 1)
	return writeFile(t, name, strings.Replace(short, old, replacement, 1))
}

// calmScenario writes the shipped scenario with the name "a" and returns its path.
func calmScenario(t *testing.T) string {
	t.Helper()
	return writeScenario(t, "a.toml", `name = "faults"`, `name = "a"`)
}

// busyScenario writes a scenario with nearly twice the requests of calmScenario and returns its path.
func busyScenario(t *testing.T) string {
	t.Helper()
	return writeScenario(t, "b.toml", "rate_per_s = 40", "rate_per_s = 75")
}

// runSim runs a command of the simulator, checks its exit code and that its output contains a text, and returns the
// output.
func runSim(t *testing.T, wantExitCode int, wantText string, args ...string) string {
	t.Helper()
	result := runCommand(append([]string{"sim"}, args...)...)
	if result.exitCode != wantExitCode || !strings.Contains(result.out+result.errOut, wantText) {
		t.Fatalf("%v; want exit code %d and %q", result, wantExitCode, wantText)
	}
	return result.out
}

// The same scenario and seed give the same events, whether or not a log is written.
func TestSimRunFollowsSeed(t *testing.T) {
	scenario := calmScenario(t)
	logPath := filepath.Join(t.TempDir(), "log")
	first := runSim(t, exitSuccess, "a, seed 3:", "run", scenario, "--seed", "3", "--log", logPath)
	second := runSim(t, exitSuccess, "a, seed 3:", "run", scenario, "--seed", "3")
	hash := regexp.MustCompile(`hash ([0-9a-f]{16})`)
	firstHash := hash.FindString(first)
	secondHash := hash.FindString(second)
	if firstHash == "" || secondHash == "" || firstHash != secondHash {
		t.Errorf("%q, then %q: %s%s", firstHash, secondHash, first, second)
	}
	log := readFile(t, logPath)
	if bytes.Count(log, []byte(" runs ")) < 100 || !bytes.Contains(log, []byte("end of pause")) {
		t.Errorf("the log of %d bytes lacks requests that run or the end of a pause", len(log))
	}
}

func TestSimRunWritesJSON(t *testing.T) {
	runSim(t, exitSuccess, `"Hash"`, "run", calmScenario(t), "--json")
}

func TestSimHuntListsWorstRuns(t *testing.T) {
	out := runSim(t, exitSuccess, "the worst:", "hunt", calmScenario(t), busyScenario(t), "--seeds", "3", "--worst", "2")
	if listed := strings.Count(out, ", seed "); listed != 2 {
		t.Errorf("%d runs are listed, want 2: %s", listed, out)
	}
}

func TestSimCompare(t *testing.T) {
	calm := calmScenario(t)
	runSim(t, exitSuccess, "A is better", "compare", calm, busyScenario(t), "--seeds", "5")
	runSim(t, exitSuccess, "noise", "compare", calm, calm, "--seeds", "3")
}

// The reduced scenario can be run.
func TestSimShrink(t *testing.T) {
	small := filepath.Join(t.TempDir(), "small.toml")
	runSim(t, exitSuccess, "", "shrink", busyScenario(t), "--when", "refused", "-o", small)
	runSim(t, exitSuccess, "seed 1", "run", small)
}

func TestSimErrors(t *testing.T) {
	runSim(t, exitFailure, "nothing is broken", "shrink", calmScenario(t))
	runSim(t, exitFailure, "lenght_s: unknown key", "run", writeScenario(t, "c.toml", "length_s", "lenght_s"))
	runSim(t, exitFailure, "no such file", "hunt", filepath.Join(t.TempDir(), "none.toml"))
}
