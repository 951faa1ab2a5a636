// Command membership-relay relays membership and configuration from discovery to
// the dispatchers of a zone. It has the subcommands serve (the default) and check.
// SIGHUP reloads the list of upstreams; SIGTERM and SIGINT shut the relay down.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"hollyyoke.example/hollyyoke/internal/relay"
)

func main() {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := runCommand(os.Args[1:], signals, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "membership-relay:", err)
		os.Exit(1)
	}
}

// signalBuffer is how many signals may be pending.
const signalBuffer = 4

// cli is the command line: its options and subcommands.
type cli struct {
	OptionsFile string `name:"operator" required:"" placeholder:"FILE" help:"Options file with the table [relay]; deploy/relay.toml explains it."`
	Debug       bool   `help:"Log each failed call to an upstream."`

	Serve struct{} `cmd:"" default:"1" help:"Run the relay (the default)."`
	Check struct{} `cmd:"" help:"Check the options file and print every option, without starting anything."`
}

// runCommand parses and runs a command line. The subcommand serve runs until a signal ends
// it.
func runCommand(args []string, signals <-chan os.Signal, out, errorOutput io.Writer) error {
	var options cli
	helpPrinted := false
	parser, err := kong.New(&options,
		kong.Name("membership-relay"),
		kong.Writers(out, errorOutput),
		kong.Exit(func(int) { helpPrinted = true }),
		kong.Description("Relays membership and configuration from discovery to the dispatchers of a zone."))
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	if helpPrinted || err != nil {
		return err
	}
	config, err := relay.Load(options.OptionsFile)
	if err != nil {
		return err
	}
	if parsed.Command() == "check" {
		config.Explain(out)
		return nil
	}
	level := slog.LevelInfo
	if options.Debug {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(errorOutput, &slog.HandlerOptions{Level: level}))
	return serve(options.OptionsFile, config, log, signals, out)
}

// serve runs the relay until SIGTERM or SIGINT. On SIGHUP it reloads the upstreams.
func serve(path string, config relay.Config, log *slog.Logger, signals <-chan os.Signal, out io.Writer) error {
	running, err := relay.Start(config, log)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "listening on", running.Addr())
	if running.AdminAddr() != nil {
		fmt.Fprintln(out, "admin API on", running.AdminAddr())
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			log.Info("shutting down", "signal", received)
			return running.Close()
		}
		if err := reload(path, running); err != nil {
			log.Error("options file rejected, nothing changes", "reason", err)
			continue
		}
		log.Info("upstreams reloaded")
	}
	return errors.Join(errors.New("signal channel closed"), running.Close())
}

// reload reads the options file and applies its upstreams. Changes of all other options
// need a restart.
func reload(path string, running *relay.Relay) error {
	config, err := relay.Load(path)
	if err != nil {
		return err
	}
	return running.SetUpstreams(config.Upstreams)
}
