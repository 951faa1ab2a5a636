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

// Operators' units and scripts depend on the command line, whose names kong derives
// from those of Go fields.
func TestGoldenCommandLine(t *testing.T) {
	parser, err := kong.New(&cli{})
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "commandline.golden", goldentest.Lines(goldentest.Commands(parser.Model)))
}

// These options may be written with one dash, as dispatcher-serve has them.
func TestGoldenSingleDashOptions(t *testing.T) {
	goldentest.Compare(t, "singledash.golden", goldentest.Lines(slices.Sorted(slices.Values(singleDashOptions))))
}

// The command line and the check read these environment variables; where one names a
// file that does not exist, the error has its path.
func TestGoldenEnvironment(t *testing.T) {
	configuration := filepath.Join("..", "..", "deploy", "faktory-config.json")
	requested := map[string]bool{}
	recordRequested := func(name string) string {
		requested[name] = true
		return ""
	}
	var output bytes.Buffer
	if err := command([]string{"check", configuration}, recordRequested, &output, &output); err == nil {
		t.Error("a configuration without anything to listen on is accepted")
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
		err := command([]string{"check"}, env, &output, &output)
		lines = append(lines, fmt.Sprintf("%s=/nowhere: %v", name, err))
		err = command([]string{"check", configuration}, env, &output, &output)
		lines = append(lines, fmt.Sprintf("%s=/nowhere and a configuration: %v", name, err))
	}
	goldentest.Compare(t, "environment.golden", goldentest.Lines(lines)+output.String())
}
