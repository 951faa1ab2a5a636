package main

import (
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"hollyyoke.example/hollyyoke/internal/goldentest"
	"hollyyoke.example/hollyyoke/internal/rehearsal/capacity"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
	"hollyyoke.example/hollyyoke/internal/rehearsal/report"
	"hollyyoke.example/hollyyoke/internal/rehearsal/scale"
	"hollyyoke.example/hollyyoke/internal/rehearsal/simulator"
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

// Command lines of earlier versions are still understood.
func TestGoldenEarlierCommandLines(t *testing.T) {
	var lines []string
	for _, line := range []string{
		"scale -o out in", "scale --output=out in", "scale file", "-in a -rules b -to c -front faktory -password p -limit 1 -span 2 -json",
		"--in a -rules=b", "-password p", "-unknown -to c", "replay -to c", "",
	} {
		lines = append(lines, fmt.Sprintf("%q: %q", strings.Fields(line), earlier(strings.Fields(line))))
	}
	goldentest.Compare(t, "earlier.golden", goldentest.Lines(lines))
}

// Exit codes are what scripts go by.
func TestGoldenExitCodes(t *testing.T) {
	goldentest.Compare(t, "exitcodes.golden", fmt.Sprintf("kept %d\nbroken %d\ncould not be held %d\n", exitKept, exitBroken, exitNot))
}

// What commands write as JSON is read by other programs.
func TestGoldenResults(t *testing.T) {
	for file, of := range map[string]reflect.Type{
		"inspect.golden": reflect.TypeFor[contents](), "flood.golden": reflect.TypeFor[part](),
		"sim.golden": reflect.TypeFor[simulator.Result](), "import.golden": reflect.TypeFor[recording.Report](),
		"rejects.golden": reflect.TypeFor[recording.Reject](), "report.golden": reflect.TypeFor[report.Report](),
		"slopes.golden": reflect.TypeFor[capacity.Slopes](), "scale.golden": reflect.TypeFor[scale.Record](),
		"recording-header.golden": reflect.TypeFor[recordingpb.Header](),
	} {
		goldentest.Compare(t, filepath.Join("json", file), goldentest.Lines(goldentest.Keys(of, "json")))
	}
}
