package capacity

import (
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// Guards the keys of the assumptions file, and the values of the committed assumptions.
func TestGoldenAssumptions(t *testing.T) {
	lines := goldentest.Keys(reflect.TypeFor[Assumptions](), "toml")
	committed, err := ReadAssumptions(filepath.Join("..", "..", "..", "docs", "capacity", "assumptions.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, assumption := range committed.Assumed.namedAssumptions() {
		lines = append(lines, fmt.Sprintf("%s = %g %s, %s", assumption.Name, assumption.Value, assumption.Unit, assumption.Mark))
	}
	goldentest.Compare(t, "assumptions.golden", goldentest.Lines(lines))
}

// Guards the JSON keys of the results that are read and written, and of the daemon's configuration.
func TestGoldenResults(t *testing.T) {
	for file, message := range map[string]reflect.Type{
		"slopes":              reflect.TypeFor[Slopes](),
		"scale-run":           reflect.TypeFor[ScaleRun](),
		"daemon-config":       reflect.TypeFor[daemonConfig](),
		"dispatcher-settings": reflect.TypeFor[dispatcherSettings](),
	} {
		goldentest.Compare(t, filepath.Join("json", file+".golden"), goldentest.Lines(goldentest.Keys(message, "json")))
	}
}
