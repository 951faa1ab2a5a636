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

// The command line is what operators' units and scripts are written against, and
// its names are derived from Go's.
func TestGoldenCommandLine(t *testing.T) {
	parser, err := kong.New(&cli{})
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "commandline.golden", goldentest.Lines(goldentest.Commands(parser.Model)))
}

// Earlier versions had these options with one dash, as the lean program still has.
func TestGoldenSingleDashOptions(t *testing.T) {
	goldentest.Compare(t, "singledash.golden", goldentest.Lines(slices.Sorted(slices.Values(options))))
}

// The command line and the check read these variables of the environment; where one
// names a file, the error tells it.
func TestGoldenEnvironment(t *testing.T) {
	asked := map[string]bool{}
	config := filepath.Join("..", "..", "deploy", "faktory-config.json")
	var out bytes.Buffer
	if err := command([]string{"check", config}, func(name string) string { asked[name] = true; return "" }, &out, &out); err == nil {
		t.Error("a configuration without anything to listen on is taken")
	}
	lines := slices.Sorted(maps.Keys(asked))
	for _, name := range slices.Clone(lines) {
		env := func(asked string) string {
			if asked == name {
				return "/nowhere"
			}
			return ""
		}
		out.Reset()
		err := command([]string{"check"}, env, &out, &out)
		lines = append(lines, fmt.Sprintf("%s=/nowhere: %v", name, err))
		err = command([]string{"check", config}, env, &out, &out)
		lines = append(lines, fmt.Sprintf("%s=/nowhere and a configuration: %v", name, err))
	}
	goldentest.Compare(t, "environment.golden", goldentest.Lines(lines)+out.String())
}
