package scale

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	scenarioDir = "../../../deploy/scenarios/scale"

	// minimalScenario has only the keys that a scenario must have.
	minimalScenario = "name = \"x\"\nworkers = 10\nzones = 2\nregions = 1\ndispatchers = 2\nlength_s = 1\ndeadline_s = 9\n"
)

// readScenario reads a committed scenario.
func readScenario(t *testing.T, name string) Scenario {
	t.Helper()
	scenario, err := ReadScenario(filepath.Join(scenarioDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

// readScenarioText writes text to a file and reads it as a scenario.
func readScenarioText(t *testing.T, text string) (Scenario, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scenario.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadScenario(path)
}

// All committed scenarios are valid.
func TestScenarioFiles(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*.toml"))
	if err != nil || len(files) < 6 {
		t.Fatalf("found %v, %v, want at least 6 files", files, err)
	}
	for _, path := range files {
		if _, err := ReadScenario(path); err != nil {
			t.Error(err)
		}
	}
}

// The error of an invalid scenario names the invalid key.
func TestInvalidScenarios(t *testing.T) {
	for want, text := range map[string]string{
		"colour: unknown key":      minimalScenario + "colour = 1\n",
		"workers: 0 is not":        strings.Replace(minimalScenario, "= 10", "= 0", 1),
		"regions: 3 is not":        strings.Replace(minimalScenario, "regions = 1", "regions = 3", 1),
		"mechanism: rumour is":     minimalScenario + "mechanism = [\"rumour\"]\n",
		"event[0].kind: \"flood\"": minimalScenario + "[[event]]\nkind = \"flood\"\n",
		"event[0].at_s: 2 is not":  minimalScenario + "[[event]]\nkind = \"relay_up\"\nat_s = 2\n",
		"event[0].zone: there is":  minimalScenario + "[[event]]\nkind = \"relay_up\"\nzone = 2\n",
		"event[0].count: missing":  minimalScenario + "[[event]]\nkind = \"rack\"\n",
	} {
		if _, err := readScenarioText(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// A scenario gives one mechanism or a list. Without the key, the mechanism is discovery.
func TestMechanismIsNameOrList(t *testing.T) {
	for text, want := range map[string]Mechanisms{
		`mechanism = "relays"`:                {MechanismRelays},
		`mechanism = ["discovery", "relays"]`: {MechanismDiscovery, MechanismRelays},
		"":                                    {MechanismDiscovery},
	} {
		scenario, err := readScenarioText(t, text+"\n"+minimalScenario)
		if err != nil || !slices.Equal(scenario.Mechanism, want) {
			t.Errorf("%q: %v, %v, want %v", text, scenario.Mechanism, err, want)
		}
	}
}

// Violations names the figures that exceed a bound. It returns nothing for a mechanism to which the bounds do not apply.
func TestBoundsReportViolations(t *testing.T) {
	figures := Figures{
		{Name: "in_force.calm.p99", Value: 3},
		{Name: "in_force.zone_loss.max", Value: 12},
		{Name: "dispatcher.real.memory_peak", Value: 130},
		{Name: "dispatcher.hollow.core_share", Value: 0.01},
	}
	bounds := Bounds{Mechanisms: Mechanisms{MechanismRelays}, InForceP99S: 5, InForceMaxS: 10, MemoryMB: 128, CoreShare: 0.014}
	if violations := bounds.Violations(MechanismDiscovery, figures); len(violations) != 0 {
		t.Errorf("bounds of another mechanism: %q, want none", violations)
	}
	violations := bounds.Violations(MechanismRelays, figures)
	if len(violations) != 2 {
		t.Fatalf("%q, want 2 violations", violations)
	}
	if !strings.Contains(violations[0], "in_force.zone_loss.max") || !strings.Contains(violations[1], "memory_peak") {
		t.Errorf("%q, want those of in_force.zone_loss.max and memory_peak", violations)
	}
}
