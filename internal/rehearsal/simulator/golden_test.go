package simulator

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// Keys of scenario files, and what the committed ones say with their defaults.
func TestGoldenScenarios(t *testing.T) {
	lines := goldentest.Keys(reflect.TypeFor[Scenario](), "toml")
	paths, err := filepath.Glob(filepath.Join("../../../deploy/scenarios", "*.toml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, path := range paths {
		scenario, err := ReadScenario(path)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, filepath.Base(path)+": "+goldentest.Document(t, scenario))
	}
	for _, text := range []string{"unknown = 1", "length_s = 0.0", "length_s = true"} {
		path := filepath.Join(t.TempDir(), "scenario.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadScenario(path)
		lines = append(lines, fmt.Sprintf("%q: %s", text, strings.ReplaceAll(fmt.Sprint(err), path, "FILE")))
	}
	goldentest.Compare(t, "scenarios.golden", goldentest.Lines(lines))
}
