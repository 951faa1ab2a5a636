package relay

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// The keys, defaults and error texts of the options file.
func TestGoldenOptionsFile(t *testing.T) {
	lines := goldentest.Keys(reflect.TypeFor[Config](), "toml")
	explain := func(c Config) {
		var out strings.Builder
		c.Explain(&out)
		var explained []string
		for line := range strings.Lines(out.String()) {
			line, _, _ = strings.Cut(line, "#") // the description is prose
			explained = append(explained, strings.TrimSpace(line))
		}
		slices.Sort(explained)
		lines = append(lines, explained...)
	}
	explain(Defaults())
	committed, err := Load(filepath.Join("..", "..", "deploy", "relay.toml"))
	if err != nil {
		t.Fatal(err)
	}
	explain(committed)
	for _, text := range []string{
		"[relay]\nunknown = 1", "[other]", "[relay]\nname = 3", "[relay]\nname = \"a,b\"", "[relay]\nname = \"a\"\nlisten = \"b\"",
		"[relay]\nname = \"a\"\nlisten = \":1\"\nadmin_addr = \"c\"", "[relay]\nname = \"a\"\nlisten = \":1\"",
		"[relay]\nname = \"a\"\nlisten = \":1\"\nupstreams = [\"u\"]", "[relay]\nname = \"a\"\nlisten = \":1\"\nupstreams = [\"u:1\"]\nbatch_ms = -1",
	} {
		path := filepath.Join(t.TempDir(), "relay.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		lines = append(lines, fmt.Sprintf("%q: %v", text, err))
	}
	goldentest.Compare(t, "options.golden", goldentest.Lines(lines))
}
