// Command membership-relay is a relay of membership and configuration between
// discovery and the dispatchers of a zone: serve (the default), check. This file
// owns its command line and signals; package relay does the work.
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
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := command(os.Args[1:], signals, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "membership-relay:", err)
		os.Exit(1)
	}
}

// cli is the command line.
type cli struct {
	Operator string `required:"" placeholder:"FILE" help:"Options file with the table [relay]; deploy/relay.toml explains it."`
	Debug    bool   `help:"Log each failed call to an upstream."`

	Serve struct{} `cmd:"" default:"1" help:"Run the relay (the default)."`
	Check struct{} `cmd:"" help:"Check the options file and print every option, without starting anything."`
}

// command carries out a command line, until a signal ends it.
func command(args []string, signals <-chan os.Signal, out, errs io.Writer) error {
	var c cli
	helped := false
	parser, err := kong.New(&c, kong.Name("membership-relay"), kong.Writers(out, errs), kong.Exit(func(int) { helped = true }),
		kong.Description("Relays membership and configuration from discovery to the dispatchers of a zone."))
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	if helped || err != nil {
		return err
	}
	config, err := relay.Load(c.Operator)
	if err != nil {
		return err
	}
	if parsed.Command() == "check" {
		config.Explain(out)
		return nil
	}
	level := slog.LevelInfo
	if c.Debug {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: level}))
	return serve(c.Operator, config, log, signals, out)
}

// serve runs the relay until SIGTERM or SIGINT.
func serve(path string, config relay.Config, log *slog.Logger, signals <-chan os.Signal, out io.Writer) error {
	r, err := relay.Start(config, log)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "listening on", r.Addr())
	if r.AdminAddr() != nil {
		fmt.Fprintln(out, "admin API on", r.AdminAddr())
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			log.Info("ending", "signal", received)
			return r.Close()
		}
		if err := reload(path, r); err != nil {
			log.Error("options file not taken over, nothing changes", "reason", err)
			continue
		}
		log.Info("upstreams read again")
	}
	return errors.Join(errors.New("no more signals"), r.Close())
}

// reload takes the upstreams over from the options file. All else needs a restart.
func reload(path string, r *relay.Relay) error {
	config, err := relay.Load(path)
	if err != nil {
		return err
	}
	return r.SetUpstreams(config.Upstreams)
}
