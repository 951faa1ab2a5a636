package goldentest

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// CompareScenarios compares a kind of scenario file with testdata/scenarios.golden: its keys, the content of the files
// that match pattern, with defaults, and the errors for invalid texts. A test of the format of such a file needs
// nothing else.
func CompareScenarios[T any](t *testing.T, pattern string, read func(path string) (T, error), invalid ...string) {
	t.Helper()
	lines := Keys(reflect.TypeFor[T](), "toml")
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, path := range paths {
		scenario, err := read(path)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, filepath.Base(path)+": "+Document(t, scenario))
	}
	for _, text := range invalid {
		path := filepath.Join(t.TempDir(), "scenario.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := read(path)
		lines = append(lines, fmt.Sprintf("%q: %s", text, strings.ReplaceAll(fmt.Sprint(err), path, "FILE")))
	}
	Compare(t, "scenarios.golden", Lines(lines))
}
