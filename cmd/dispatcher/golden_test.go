package main

import (
	"bytes"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"testing"

	"github.com/alecthomas/kong"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// The command line must not change, since operators' units and scripts use it. The library
// kong derives its names from those of Go fields.
func TestGoldenCommandLine(t *testing.T) {
	parser, err := kong.New(&cli{})
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "commandline.golden", goldentest.Lines(goldentest.Commands(parser.Model)))
}

// The options that may be written with a single dash, as those of dispatcher-serve are, must
// not change.
func TestGoldenSingleDashOptions(t *testing.T) {
	goldentest.Compare(t, "singledash.golden", goldentest.Lines(slices.Sorted(slices.Values(singleDashOptions))))
}

// The environment variables that the subcommand check reads must not change. If one of them
// names a file that does not exist, the error has its path.
func TestGoldenEnvironment(t *testing.T) {
	configuration := filepath.Join("..", "..", "deploy", "faktory-config.json")
	requested := map[string]bool{}
	recordRequested := func(name string) string {
		requested[name] = true
		return ""
	}
	var output bytes.Buffer
	if err := runCommand([]string{"check", configuration}, recordRequested, &output, &output); err == nil {
		t.Error("a configuration without an address to listen on is accepted")
	}
	names := slices.Sorted(maps.Keys(requested))
	lines := slices.Clone(names)
	for _, name := range names {
		env := func(variable string) string {
			if variable == name {
				return "/nowhere"
			}
			return ""
		}
		output.Reset()
		err := runCommand([]string{"check"}, env, &output, &output)
		lines = append(lines, fmt.Sprintf("%s=/nowhere: %v", name, err))
		err = runCommand([]string{"check", configuration}, env, &output, &output)
		lines = append(lines, fmt.Sprintf("%s=/nowhere and a configuration: %v", name, err))
	}
	goldentest.Compare(t, "environment.golden", goldentest.Lines(lines)+output.String())
}
