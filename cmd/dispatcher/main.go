// Command dispatcher is the dispatcher's command line: serve, check, jobs and version.
//
// To serve, it replaces itself (execve) with dispatcher-serve where that program lies
// in the same directory: dispatcher-serve does without the command line's library,
// which would take two megabytes for as long as the dispatcher runs. No second process
// is started.
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
	if err := command(os.Args[1:], os.Getenv, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "dispatcher:", err)
		os.Exit(1)
	}
}

// cli is the command line. The options may be written with one dash too.
type cli struct {
	Faktory   string `placeholder:"FILE" help:"Operator's file of the Faktory front end; HOLLYYOKE_FAKTORY where not given; off without."`
	Operator  string `placeholder:"FILE" help:"Operator's file, a table for each subsystem; HOLLYYOKE_OPERATOR where not given; off without."`
	Trace     bool   `help:"Log each step of each request, under the id that the client gave: one line a step."`
	LogFormat string `enum:"text,json" default:"text" help:"Form of the log on standard error: text or json."`

	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run the dispatcher (the default)."`
	Check   checkCmd   `cmd:"" help:"Check a configuration and print what it says, without starting anything."`
	Jobs    jobsCmd    `cmd:"" help:"Look at durable jobs and decide on them, in the file of a stopped dispatcher or through the admin API of a running one."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	Config string `placeholder:"FILE" help:"Configuration, as JSON; BALANCER_CONFIG where not given."`
}

type checkCmd struct {
	File string `arg:"" optional:"" help:"Configuration, as JSON; BALANCER_CONFIG where not given."`
}

type versionCmd struct{}

// singleDashOptions are the long options that may be written with one dash, as
// dispatcher-serve has them.
var singleDashOptions = []string{"config", "faktory", "operator", "log-format", "trace", "help"}

// Environment variables that name files where no option does.
const (
	envFaktory  = "HOLLYYOKE_FAKTORY"
	envOperator = "HOLLYYOKE_OPERATOR"
)

// command runs a command line and returns once the command has ended. The process's
// exit code is 0 unless an error is returned.
func command(args []string, env func(string) string, out, errs io.Writer) error {
	var c cli
	helpPrinted := false
	parser, err := kong.New(&c,
		kong.Name("dispatcher"),
		kong.Description("The dispatcher: takes jobs from clients and has workers run them."),
		kong.Writers(out, errs),
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
	case "check", "check <file>":
		files.Config = c.Check.File
		return daemon.Check(files, env, out)
	default:
		if jobsCommand, found := strings.CutPrefix(name, "jobs "); found {
			verb, _, _ := strings.Cut(jobsCommand, " ")
			return c.Jobs.run(jobsVerb(verb), out)
		}
		files.Config = c.Serve.Config
		return serve(files, c.LogFormat, env, errs)
	}
}

// doubleDashes returns args with two dashes before the long options that have one.
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

// printVersion prints the version of the module.
func printVersion(out io.Writer) {
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Fprintln(out, "hollyyoke", version)
}

// serve runs the dispatcher: as dispatcher-serve, which this process becomes, or in
// this program where there is none.
func serve(files daemon.Files, logFormat string, env func(string) string, errs io.Writer) error {
	path := servePath()
	if path == "" {
		return daemon.Serve(files, env, daemon.NewLogger(errs, logFormat))
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
	return nil // not reached: Exec returns errors only
}

// servePath returns the path of dispatcher-serve, if it is an executable file in this
// program's directory; empty: it is not.
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
