package relay

import (
	"fmt"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// explainedOptions returns the keys and values of options, sorted.
func explainedOptions(config Config) []string {
	var out strings.Builder
	config.Explain(&out)
	var explained []string
	for line := range strings.Lines(out.String()) {
		option, _, _ := strings.Cut(line, "#") // the golden file does not contain the descriptions
		explained = append(explained, strings.TrimSpace(option))
	}
	slices.Sort(explained)
	return explained
}

// The keys, defaults and error texts of the options file.
func TestGoldenOptionsFile(t *testing.T) {
	lines := goldentest.Keys(reflect.TypeFor[Config](), "toml")
	lines = append(lines, explainedOptions(Defaults())...)
	committed, err := Load(filepath.Join("..", "..", "deploy", "relay.toml"))
	if err != nil {
		t.Fatal(err)
	}
	lines = append(lines, explainedOptions(committed)...)
	for _, text := range []string{
		"[relay]\nunknown = 1",
		"[other]",
		"[relay]\nname = 3",
		"[relay]\nname = \"a,b\"",
		"[relay]\nname = \"a\"\nlisten = \"b\"",
		"[relay]\nname = \"a\"\nlisten = \":1\"\nadmin_addr = \"c\"",
		"[relay]\nname = \"a\"\nlisten = \":1\"",
		"[relay]\nname = \"a\"\nlisten = \":1\"\nupstreams = [\"u\"]",
		"[relay]\nname = \"a\"\nlisten = \":1\"\nupstreams = [\"u:1\"]\nbatch_ms = -1",
	} {
		_, err := Load(writeOptions(t, text))
		lines = append(lines, fmt.Sprintf("%q: %v", text, err))
	}
	goldentest.Compare(t, "options.golden", goldentest.Lines(lines))
}
