// Command dispatcher is the dispatcher's command line: serve, check, version. This
// file owns it. Serving is dispatcher-serve's, which this process becomes where it
// lies beside it: the command line's library would take two megabytes for as
// long as the dispatcher runs. It must never start a second process.
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

// cli is the command line. Each option may be spelled with one dash, as earlier
// versions had them.
type cli struct {
	Faktory   string `placeholder:"FILE" help:"Operator's file of the Faktory front; HOLLYYOKE_FAKTORY where not given; off without."`
	Operator  string `placeholder:"FILE" help:"Operator's file, a table for each subsystem; HOLLYYOKE_OPERATOR where not given; off without."`
	Trace     bool   `help:"Log each step of each req, by the client's name for it: one line a step."`
	LogFormat string `enum:"text,json" default:"text" help:"Form of the log on standard error: text or json."`

	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run the dispatcher (the default)."`
	Check   checkCmd   `cmd:"" help:"Check a configuration and tell what it says, without starting anything."`
	Jobs    jobsCmd    `cmd:"" help:"Look at durable jobs and decide on them, in the file of a stopped dispatcher or through a running one's door."`
	Version versionCmd `cmd:"" help:"Tell the version."`
}

type serveCmd struct {
	Config string `placeholder:"FILE" help:"Configuration, as JSON; BALANCER_CONFIG where not given."`
}

type checkCmd struct {
	File string `arg:"" optional:"" help:"Configuration, as JSON; BALANCER_CONFIG where not given."`
}

type versionCmd struct{}

// options in their spellings with one dash.
var options = []string{"config", "faktory", "operator", "log-format", "trace", "help"}

// command carries out a command line. The process's exit code is 0 unless an error is returned.
func command(args []string, env func(string) string, out, errs io.Writer) error {
	args = slices.Clone(args)
	for i, a := range args {
		name, _, _ := strings.Cut(strings.TrimLeft(a, "-"), "=")
		if strings.HasPrefix(a, "-") && !strings.HasPrefix(a, "--") && slices.Contains(options, name) {
			args[i] = "-" + a
		}
	}
	var c cli
	helped := false
	parser, err := kong.New(&c, kong.Name("dispatcher"), kong.Writers(out, errs), kong.Exit(func(int) { helped = true }),
		kong.Description("The dispatcher: takes jobs from clients and has workers run them."))
	if err != nil {
		return err
	}
	k, err := parser.Parse(args)
	if helped || err != nil {
		return err
	}
	files := daemon.Files{Faktory: cmp.Or(c.Faktory, env("HOLLYYOKE_FAKTORY")), Operator: cmp.Or(c.Operator, env("HOLLYYOKE_OPERATOR")), Trace: c.Trace}
	switch k.Command() {
	case "version":
		version := "(devel)"
		if info, ok := debug.ReadBuildInfo(); ok {
			version = info.Main.Version
		}
		fmt.Fprintln(out, "hollyyoke", version)
		return nil
	case "check", "check <file>":
		files.Config = c.Check.File
		return daemon.Check(files, env, out)
	}
	if verb, is := strings.CutPrefix(k.Command(), "jobs "); is {
		verb, _, _ = strings.Cut(verb, " ")
		return c.Jobs.run(verb, out)
	}
	files.Config = c.Serve.Config
	if path := beside(); path != "" {
		args := []string{path, "-config", files.Config, "-faktory", files.Faktory, "-operator", files.Operator, "-log-format", c.LogFormat, fmt.Sprintf("-trace=%v", c.Trace)}
		signal.Ignore(syscall.SIGHUP) // until the other image listens for it
		if err := syscall.Exec(path, args, os.Environ()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return daemon.Serve(files, env, daemon.NewLogger(errs, c.LogFormat))
}

// beside is the lean image of the daemon, if it lies beside this program.
func beside() string {
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	path := filepath.Join(filepath.Dir(self), "dispatcher-serve")
	if info, err := os.Stat(path); err != nil || !info.Mode().IsRegular() || info.Mode()&0o111 == 0 {
		return ""
	}
	return path
}
