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

// Operators' service units and scripts depend on the command line, whose names are derived from Go names.
func TestGoldenCommandLine(t *testing.T) {
	parser, err := kong.New(&cli{})
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "commandline.golden", goldentest.Lines(goldentest.Commands(parser.Model)))
}

// Command lines of earlier versions still work.
func TestGoldenEarlierCommandLines(t *testing.T) {
	var translations []string
	for _, line := range []string{
		"scale -o out in",
		"scale --output=out in",
		"scale file",
		"-in a -rules b -to c -front faktory -password p -limit 1 -span 2 -json",
		"--in a -rules=b",
		"-password p",
		"-unknown -to c",
		"replay -to c",
		"",
	} {
		args := strings.Fields(line)
		translations = append(translations, fmt.Sprintf("%q: %q", args, translateEarlier(args)))
	}
	goldentest.Compare(t, "earlier.golden", goldentest.Lines(translations))
}

// Scripts depend on the exit codes.
func TestGoldenExitCodes(t *testing.T) {
	goldentest.Compare(t, "exitcodes.golden", fmt.Sprintf("kept %d\nbroken %d\ncould not be held %d\n", exitSuccess, exitViolation, exitFailure))
}

// Other programs read the JSON that commands write.
func TestGoldenResults(t *testing.T) {
	for file, resultType := range map[string]reflect.Type{
		"inspect.golden":          reflect.TypeFor[recordingContents](),
		"flood.golden":            reflect.TypeFor[floodResult](),
		"sim.golden":              reflect.TypeFor[simulator.Result](),
		"import.golden":           reflect.TypeFor[recording.Report](),
		"rejects.golden":          reflect.TypeFor[recording.Reject](),
		"report.golden":           reflect.TypeFor[report.Report](),
		"slopes.golden":           reflect.TypeFor[capacity.Slopes](),
		"scale.golden":            reflect.TypeFor[scale.Record](),
		"recording-header.golden": reflect.TypeFor[recordingpb.Header](),
	} {
		goldentest.Compare(t, filepath.Join("json", file), goldentest.Lines(goldentest.Keys(resultType, "json")))
	}
}
