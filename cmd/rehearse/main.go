// Command rehearse turns access logs and HAR files into canonical recordings and replays them: to a dispatcher that it
// starts with stand-ins around it, or to one that runs already. It also runs the simulator, the scale, slope and soak runs
// and the connection floods of the dispatcher. Every command fails if a rule was violated.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// Exit codes: all rules held; a rule or --strict was violated; the command could not be carried out.
const (
	exitSuccess   = 0
	exitViolation = 1
	exitFailure   = 2
)

// violationError is an error that means exit code 1: a rule was violated.
type violationError struct{ message string }

func (v violationError) Error() string { return v.message }

// environment has what commands read from and write to.
type environment struct {
	out, errOut   io.Writer
	in            io.Reader
	log           *slog.Logger
	errIsTerminal bool // errOut is a terminal
}

// cli has the global flags and the commands. kong derives the names of commands, flags and arguments from the names of
// fields, except where a tag gives them.
type cli struct {
	LogFormat string `enum:"text,json" default:"text" help:"Form of the log on standard error: text or json."`

	Import   importCmd   `cmd:"" help:"Make a canonical recording of access logs and HAR files."`
	Inspect  inspectCmd  `cmd:"" help:"Check a recording and write what it contains."`
	Slice    sliceCmd    `cmd:"" help:"Cut a window of time out of a recording."`
	Merge    mergeCmd    `cmd:"" help:"Put recordings together."`
	Rescale  rescaleCmd  `cmd:"" help:"Change a recording's rate or speed."`
	Run      runCmd      `cmd:"" help:"Start the daemon and stand-ins, replay a recording, check the ledger, report."`
	Replay   replayCmd   `cmd:"" help:"Replay a recording to a daemon that runs already; requests that are not idempotent are withheld."`
	Generate generateCmd `cmd:"" help:"Generate a log of a known shape, for measurements."`
	Flood    floodCmd    `cmd:"" help:"Send known clients' requests together with hostile load, with connection admission on and off."`
	Sim      simCmd      `cmd:"" help:"Simulate a fleet in virtual time; the same seed gives the same run."`
	Slopes   slopesCmd   `cmd:"" help:"Measure what one daemon costs by the number of listed workers."`
	Capacity capacityCmd `cmd:"" help:"Write docs/CAPACITY.md from the runs and assumptions in docs/capacity."`
	Scale    scaleCmd    `cmd:"" help:"Run many dispatchers with their control machines, and measure what control costs."`
	Soak     soakCmd     `cmd:"" help:"Run dispatchers under random overlapping faults, and check from outside whether the rules hold."`
	Formats  formatsCmd  `cmd:"" help:"List the formats that import reads."`
	Version  versionCmd  `cmd:"" help:"Print the version."`

	ScaleHollow scaleHollowCmd `cmd:"" hidden:"" help:"Run a process of hollow dispatchers, for scale."`
	ScaleOrigin scaleOriginCmd `cmd:"" hidden:"" help:"Run the origin, for scale."`
}

// main runs the command line of the process.
func main() {
	debug.SetMemoryLimit(48 << 20) // an import stays below 64 MB whatever it reads; other commands lift this
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// translateEarlier translates command lines of earlier versions, which had no commands and single dashes. Their
// command scale is rescale now.
func translateEarlier(args []string) []string {
	if len(args) > 0 && args[0] == "scale" && slices.ContainsFunc(args, isOutput) {
		return append([]string{"rescale"}, args[1:]...)
	}
	if len(args) == 0 || !strings.HasPrefix(args[0], "-") {
		return args
	}
	known := []string{"in", "rules", "to", "front", "password", "limit", "span", "json"}
	translated := []string{"replay"}
	for _, arg := range args {
		name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if strings.HasPrefix(arg, "-") && !strings.HasPrefix(arg, "--") && slices.Contains(known, name) {
			arg = "-" + arg
		}
		translated = append(translated, arg)
	}
	for _, a := range translated[1:] {
		if strings.HasPrefix(a, "--in") || strings.HasPrefix(a, "--rules") || strings.HasPrefix(a, "--to") {
			return translated
		}
	}
	return args
}

// isOutput reports whether an argument names an output file, as those of commands on recordings do.
func isOutput(arg string) bool {
	return strings.HasPrefix(arg, "-o") || strings.HasPrefix(arg, "--output")
}

// run runs a command line and returns its exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) (code int) {
	var commands cli
	exit := -1
	parser, err := kong.New(&commands, kong.Name("rehearse"), kong.Writers(out, errOut), kong.Exit(func(code int) { exit = code }),
		kong.Description("Rehearses recorded traffic against the dispatcher, with stand-ins for everything around it."),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the declarations above are wrong
	}
	parsed, err := parser.Parse(translateEarlier(args))
	if exit >= 0 { // help was asked for
		return exit
	}
	if err != nil {
		fmt.Fprintln(errOut, "rehearse:", err)
		return exitFailure
	}
	environment := &environment{out: out, errOut: errOut, in: in}
	if commands.LogFormat == "json" {
		environment.log = slog.New(slog.NewJSONHandler(errOut, nil))
	} else {
		environment.log = slog.New(slog.NewTextHandler(errOut, nil))
	}
	if file, ok := errOut.(*os.File); ok {
		info, err := file.Stat()
		environment.errIsTerminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	err = parsed.Run(environment)
	var violation violationError
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &violation):
		fmt.Fprintln(errOut, "rehearse:", err)
		return exitViolation
	}
	fmt.Fprintln(errOut, "rehearse:", err)
	return exitFailure
}
