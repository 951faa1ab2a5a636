package daemon

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// The keys of the configuration file, the errors for invalid ones, and which environment
// variable overrides which key must stay the same.
func TestGoldenConfiguration(t *testing.T) {
	lines := goldentest.Keys(reflect.TypeFor[config](), "json")
	const settings = `"settings":{"classes":[{"name":"a","repeat":"retryable"}]}`
	requested := map[string]bool{} // environment variables that were read
	read := func(text string, trigger loadTrigger, environment map[string]string) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		env := func(name string) string {
			requested[name] = true
			return environment[name]
		}
		loaded, _, err := readConfig(path, env, trigger)
		values, _ := json.Marshal([]any{
			loaded.Name,
			loaded.Listen,
			loaded.Discovery,
			loaded.Admin,
			loaded.Seed,
			loaded.Limits.MemoryMB,
			loaded.Limits.Sockets,
			string(loaded.Known),
		})
		lines = append(lines, fmt.Sprintf("%s again=%v %v: %s; %v", text, trigger == atReload, environment, values, err))
	}
	for _, text := range []string{
		`{}`,
		`{` + settings + `}`,
		`{"name":"n","listen":"l","discovery":"d:1","admin_addr":"a","seed":"s","limits":{"memory_mb":1,"sockets":2},"known":{"k":1},` + settings + `}`,
		`{"name":1}`,
		`{"limits":{"sockets":"2"}}`,
		`{"limits":{"memory_mb":true}}`,
		`{"discovery":"d",` + settings + `}`,
		`{"unknown":1,` + settings + `}`,
		`{"settings":{"classes":[{"repeat":"retryable"}]}}`,
		`{"settings":{"classes":[{"repeat":"often"}]}}`,
		`{`,
	} {
		read(text, atStart, nil)
	}
	names := slices.Sorted(maps.Keys(requested))
	for _, name := range names {
		for _, trigger := range []loadTrigger{atStart, atReload} {
			environment := map[string]string{name: "e:9"}
			read(`{`+settings+`}`, trigger, environment)
			read(`{"name":"n","listen":"l","discovery":"d:1","admin_addr":"a",`+settings+`}`, trigger, environment)
		}
	}
	_, err := openListener(func(name string) string {
		names = append(names, name)
		return "none"
	}, "")
	lines = append(lines, "environment: "+strings.Join(names, " "), fmt.Sprint("listener: ", err))
	goldentest.Compare(t, "config.golden", goldentest.Lines(lines))
}

// A configured seed may be a hexadecimal number or any other text. Each must give the
// same seed in every build.
func TestGoldenSeed(t *testing.T) {
	var lines []string
	for _, seed := range []any{"0000000000000001", "ff", "any text", 12.0, nil} {
		lines = append(lines, fmt.Sprintf("%v: %d", seed, (&config{Seed: seed}).seed()))
	}
	goldentest.Compare(t, "seed.golden", goldentest.Lines(lines))
}
