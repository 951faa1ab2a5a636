// Command dispatcher is the dispatcher's command line, with the subcommands serve, check,
// jobs and version.
//
// For serve, it replaces itself (execve) with dispatcher-serve if that program is in the
// same directory. dispatcher-serve does not link the command line library, which would take
// two megabytes of memory for as long as the dispatcher runs. No second process is started.
package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"hollyyoke.example/hollyyoke/internal/daemon"
)

func main() {
	if err := runCommand(os.Args[1:], os.Getenv, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "dispatcher:", err)
		os.Exit(1)
	}
}

// cli is the command line. Its options may also be written with a single dash.
type cli struct {
	Faktory   string `placeholder:"FILE" help:"Operator's file for the Faktory front end alone; default: the file that HOLLYYOKE_FAKTORY names. Not needed if the other operator's file has the table [faktory]; off without either."`
	Operator  string `placeholder:"FILE" help:"Operator's file with a table for each subsystem; default: the file that HOLLYYOKE_OPERATOR names. Without a file these subsystems are off."`
	Trace     bool   `help:"Log each step of each request on its own line, with the id that the client gave."`
	LogFormat string `enum:"text,json" default:"text" help:"Format of the log on standard error: text or json."`

	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run the dispatcher (the default)."`
	Check   checkCmd   `cmd:"" help:"Check a configuration and print a summary of it, without starting anything."`
	Jobs    jobsCmd    `cmd:"" help:"List, show, resolve, retry and discard durable jobs, in the store file of a stopped dispatcher or through the admin API of a running one."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	Config string `placeholder:"FILE" help:"Configuration file, as JSON; default: the file that BALANCER_CONFIG names."`
}

type checkCmd struct {
	File string `arg:"" optional:"" help:"Configuration file, as JSON; default: the file that BALANCER_CONFIG names."`
}

type versionCmd struct{}

// singleDashOptions are the long options that may be written with a single dash, as those
// of dispatcher-serve are.
var singleDashOptions = []string{"config", "faktory", "operator", "log-format", "trace", "help"}

// Environment variables that name the operator's files if the options do not.
const (
	envFaktory  = "HOLLYYOKE_FAKTORY"
	envOperator = "HOLLYYOKE_OPERATOR"
)

// runCommand parses and runs a command line, and returns when the command has ended. If it
// returns an error, the exit code of the process is not 0.
func runCommand(args []string, env func(string) string, out, errorOutput io.Writer) error {
	var c cli
	helpPrinted := false
	parser, err := kong.New(&c,
		kong.Name("dispatcher"),
		kong.Description("The dispatcher: takes jobs from clients and has workers run them."),
		kong.Writers(out, errorOutput),
		kong.Exit(func(int) { helpPrinted = true }),
	)
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(doubleDashes(args))
	if helpPrinted || err != nil {
		return err
	}
	files := daemon.Files{
		Faktory:  cmp.Or(c.Faktory, env(envFaktory)),
		Operator: cmp.Or(c.Operator, env(envOperator)),
		Trace:    c.Trace,
	}
	switch name := parsed.Command(); name {
	case "version":
		printVersion(out)
		return nil
	case "check", "check <file>": // without and with the argument
		files.Config = c.Check.File
		return daemon.Check(files, env, out)
	default:
		if jobsCommand, found := strings.CutPrefix(name, "jobs "); found {
			verb, _, _ := strings.Cut(jobsCommand, " ")
			return c.Jobs.run(jobsVerb(verb), out)
		}
		files.Config = c.Serve.Config
		return serve(files, c.LogFormat, env, errorOutput)
	}
}

// doubleDashes returns args with a second dash added to the long options that are written
// with a single dash.
func doubleDashes(args []string) []string {
	args = slices.Clone(args)
	for i, arg := range args {
		name, _, _ := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		oneDash := strings.HasPrefix(arg, "-") && !strings.HasPrefix(arg, "--")
		if oneDash && slices.Contains(singleDashOptions, name) {
			args[i] = "-" + arg
		}
	}
	return args
}

// printVersion prints the version of the module that this program was built from.
func printVersion(out io.Writer) {
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Fprintln(out, "hollyyoke", version)
}

// serve runs the dispatcher. It replaces this process with dispatcher-serve or, if that
// program is not installed, runs the dispatcher in this process.
func serve(files daemon.Files, logFormat string, env func(string) string, errorOutput io.Writer) error {
	path := servePath()
	if path == "" {
		return daemon.Serve(files, env, daemon.NewLogger(errorOutput, logFormat))
	}
	args := []string{
		path,
		"-config", files.Config,
		"-faktory", files.Faktory,
		"-operator", files.Operator,
		"-log-format", logFormat,
		fmt.Sprintf("-trace=%v", files.Trace),
	}
	signal.Ignore(syscall.SIGHUP) // until dispatcher-serve handles it
	if err := syscall.Exec(path, args, os.Environ()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil // not reached: Exec returns only if it fails
}

// servePath returns the path of dispatcher-serve, or an empty string if there is no such
// executable file in this program's directory.
func servePath() string {
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	path := filepath.Join(filepath.Dir(self), "dispatcher-serve")
	info, err := os.Stat(path)
	if err != nil || !info.Mode().IsRegular() || info.Mode()&0o111 == 0 {
		return ""
	}
	return path
}
