package main

import (
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
