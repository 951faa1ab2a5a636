// Command rehearse turns access logs and HAR files into canonical recordings and replays them to a dispatcher: to one
// that it starts together with stand-ins for everything around it, or to one that runs already. It also runs the
// simulator, and scale runs, slope runs, soak runs and connection floods of the dispatcher. Every command fails if a
// rule was violated.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitSuccess   = 0 // the command was carried out, and no rule was violated
	exitViolation = 1 // a rule or --strict was violated
	exitFailure   = 2 // the command could not be carried out
)

// violationError is an error that means exit code 1: a rule was violated.
type violationError struct{ message string }

func (v violationError) Error() string { return v.message }

// environment has the streams and the log of a command.
type environment struct {
	in            io.Reader
	out, errOut   io.Writer
	log           *slog.Logger // writes to errOut
	errIsTerminal bool         // errOut is a terminal
}

// newEnvironment returns the environment of a command. logFormat is a value of --log-format.
func newEnvironment(in io.Reader, out, errOut io.Writer, logFormat string) *environment {
	var handler slog.Handler = slog.NewTextHandler(errOut, nil)
	if logFormat == "json" {
		handler = slog.NewJSONHandler(errOut, nil)
	}
	return &environment{in: in, out: out, errOut: errOut, log: slog.New(handler), errIsTerminal: isTerminal(errOut)}
}

// isTerminal reports whether a writer is a terminal.
func isTerminal(w io.Writer) bool {
	file, isFile := w.(*os.File)
	if !isFile {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// cli has the global flags and the commands. kong derives the names of commands, flags and arguments from the names of
// fields, except where a tag gives them.
type cli struct {
	LogFormat string `enum:"text,json" default:"text" help:"Format of the log on standard error: text or json."`

	Import   importCmd   `cmd:"" help:"Make a canonical recording from access logs and HAR files."`
	Inspect  inspectCmd  `cmd:"" help:"Check a recording and print what it contains."`
	Slice    sliceCmd    `cmd:"" help:"Cut a window of time out of a recording."`
	Merge    mergeCmd    `cmd:"" help:"Merge recordings into one."`
	Rescale  rescaleCmd  `cmd:"" help:"Change a recording's rate or speed."`
	Run      runCmd      `cmd:"" help:"Start the daemon and stand-ins, replay a recording, check the ledger and write a report."`
	Replay   replayCmd   `cmd:"" help:"Replay a recording to a daemon that runs already; requests that are not idempotent are withheld."`
	Generate generateCmd `cmd:"" help:"Generate a log of a known shape, for measurements."`
	Flood    floodCmd    `cmd:"" help:"Send known clients' requests together with hostile load, with connection admission on and off."`
	Sim      simCmd      `cmd:"" help:"Simulate a fleet in virtual time; the same seed gives the same run."`
	Slopes   slopesCmd   `cmd:"" help:"Measure the cost of one daemon by the number of listed workers."`
	Capacity capacityCmd `cmd:"" help:"Write docs/CAPACITY.md from the runs and assumptions in docs/capacity."`
	Scale    scaleCmd    `cmd:"" help:"Run many dispatchers with their control machines, and measure the cost of control."`
	Soak     soakCmd     `cmd:"" help:"Run dispatchers under random overlapping faults, and check from outside whether the rules hold."`
	Formats  formatsCmd  `cmd:"" help:"List the formats that import reads."`
	Version  versionCmd  `cmd:"" help:"Print the version."`

	ScaleHollow scaleHollowCmd `cmd:"" hidden:"" help:"Run a process of hollow dispatchers for the scale command."`
	ScaleOrigin scaleOriginCmd `cmd:"" hidden:"" help:"Run the origin for the scale command."`
}

// importMemoryLimit is the limit for the Go runtime that keeps an import below 64 MB, whatever its input. Commands that
// need more memory lift the limit.
const importMemoryLimit = 48 << 20

// main runs the command line of the process.
func main() {
	debug.SetMemoryLimit(importMemoryLimit)
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run runs a command line and returns its exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	var commands cli
	exitCode := -1 // set by kong when it has printed help
	parser, err := kong.New(&commands,
		kong.Name("rehearse"),
		kong.Description("Rehearses recorded traffic against the dispatcher, with stand-ins for everything around it."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exitCode = code }),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		panic(err) // the declarations in cli are invalid
	}
	parsed, err := parser.Parse(translateEarlier(args))
	if exitCode >= 0 {
		return exitCode
	}
	if err == nil {
		err = parsed.Run(newEnvironment(in, out, errOut, commands.LogFormat))
	}
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintln(errOut, "rehearse:", err)
	if _, isViolation := errors.AsType[violationError](err); isViolation {
		return exitViolation
	}
	return exitFailure
}
