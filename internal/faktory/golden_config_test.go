package faktory

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// Checks the keys of the operator's file, the values in deploy/faktory.toml, and the
// errors of invalid files.
func TestGoldenConfigurationFile(t *testing.T) {
	lines := goldentest.Keys(reflect.TypeFor[Config](), "toml")
	settings := decision.Settings{Classes: []decision.Class{{Name: "status-check", Idempotency: decision.Idempotent}, {Name: "renewal"}}}
	committed, err := os.ReadFile(filepath.Join("..", "..", "deploy", "faktory.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		string(committed),
		"",
		"unknown = 1",
		"listen = \"a\"",
		"[source]\naddress = \"a\"",
		"listen = \":1\"\n[source]\nlanes = 65",
		"listen = \":1\"\n[source]\nqueues = [\"a b\"]",
		"listen = 3",
		"listen = \":1\"\n[durable]\nunknown = 1",
		"listen = \":1\"\n[durable]\npath = \"p\"",
		"listen = \":1\"\n[durable]\npath = \"p\"\nqueues = [\"none\"]",
		"listen = \":1\"\n[durable]\npath = \"p\"\nqueues = [\"renewal\"]",
		"listen = \":1\"\n[durable]\npath = \"p\"\nqueues = [\"renewal\"]\nlease_s = -1.0",
		"listen = \":1\"\n[durable]\npath = \"p\"\nqueues = [\"renewal\"]\nattempts = -1",
		"[source]\naddress = \":1\"\n[durable]\npath = \"p\"\nqueues = [\"renewal\"]",
	} {
		config, err := readConfigText(t, text, &settings)
		name := text
		if text == string(committed) {
			name = "deploy/faktory.toml"
		}
		lines = append(lines, fmt.Sprintf("%q: %s; %v", name, goldentest.Document(t, config), err))
	}
	goldentest.Compare(t, "config.golden", goldentest.Lines(lines))
}
