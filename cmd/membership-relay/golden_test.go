package main

import (
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
