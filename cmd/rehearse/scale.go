package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"hollyyoke.example/hollyyoke/internal/rehearsal/scale"
)

// scaleCmd runs a scale scenario with one or more mechanisms, and fails if a bound of the scenario was exceeded.
type scaleCmd struct {
	Scenario    string `arg:"" help:"Scenario file, such as those in deploy/scenarios/scale."`
	Workers     int    `help:"Number of listed workers; with 0 that of the scenario."`
	Dispatchers int    `help:"Number of hollow dispatchers; with 0 that of the scenario."`
	Daemons     int    `name:"real" help:"Number of real daemons; below 0 that of the scenario." default:"-1"`
	Seed        uint64 `help:"Seed; with 0 that of the scenario."`
	Mechanism   string `enum:",discovery,relays" default:"" help:"Run only one mechanism, discovery or relays; by default those of the scenario."`
	JSON        string `name:"json" placeholder:"FILE" help:"File to write the figures to, as JSON."`
	Chart       string `placeholder:"FILE" help:"File to write a chart to, as SVG."`
	Changes     string `placeholder:"FILE" help:"File to write each change and the time until it was in force to, as CSV."`
	Daemon      string `help:"The daemon's program; by default dispatcher-serve in the directory of this program."`
	Relay       string `help:"The relay's program; by default membership-relay in the directory of this program."`
}

// Run runs the scenario.
func (c *scaleCmd) Run(env *environment) error {
	debug.SetMemoryLimit(math.MaxInt64)
	raiseDescriptorLimit()
	scenario, err := c.readScenario()
	if err != nil {
		return err
	}
	programs, err := c.programs()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var runs []*scale.Run
	var records []scale.Record
	for _, mechanism := range scenario.Mechanism {
		run, err := scale.Execute(ctx, scenario, mechanism, programs, env.log)
		if err != nil {
			return err
		}
		runs = append(runs, run)
		records = append(records, run.Record(c.commandLine()))
	}
	return c.writeResults(env, runs, records)
}

// readScenario reads the scenario; flags take precedence over it.
func (c *scaleCmd) readScenario() (scale.Scenario, error) {
	scenario, err := scale.ReadScenario(c.Scenario)
	if err != nil {
		return scenario, err
	}
	if c.Workers > 0 {
		scenario.Workers = c.Workers
	}
	if c.Dispatchers > 0 {
		scenario.Dispatchers = c.Dispatchers
	}
	if c.Daemons >= 0 {
		scenario.Daemons = c.Daemons
	}
	if c.Seed > 0 {
		scenario.Seed = c.Seed
	}
	if c.Mechanism != "" {
		scenario.Mechanism = scale.Mechanisms{scale.Mechanism(c.Mechanism)}
	}
	if err := scenario.Check(); err != nil {
		return scenario, fmt.Errorf("%s: %w", c.Scenario, err)
	}
	return scenario, nil
}

// programs returns the programs of a run. Hollow dispatchers and the origin are hidden commands of this program.
func (c *scaleCmd) programs() (scale.Programs, error) {
	self, err := os.Executable()
	if err != nil {
		return scale.Programs{}, err
	}
	daemon, err := siblingProgram(c.Daemon, daemonServeProgram)
	if err != nil {
		return scale.Programs{}, err
	}
	relay, err := siblingProgram(c.Relay, relayProgram)
	if err != nil {
		return scale.Programs{}, err
	}
	return scale.Programs{
		Hollow: []string{self, "scale-hollow"},
		Origin: []string{self, "scale-origin"},
		Daemon: daemon,
		Relay:  relay,
	}, nil
}

// commandLine returns the command that repeats this run.
func (c *scaleCmd) commandLine() string {
	args := []string{"bin/rehearse", "scale", c.Scenario}
	add := func(isGiven bool, flag string, value any) {
		if isGiven {
			args = append(args, "--"+flag, fmt.Sprint(value))
		}
	}
	add(c.Workers > 0, "workers", c.Workers)
	add(c.Dispatchers > 0, "dispatchers", c.Dispatchers)
	add(c.Daemons >= 0, "real", c.Daemons)
	add(c.Seed > 0, "seed", c.Seed)
	add(c.Mechanism != "", "mechanism", c.Mechanism)
	return strings.Join(args, " ")
}

// writeResults writes the table and the requested files. It returns a violationError if a bound was exceeded.
func (c *scaleCmd) writeResults(env *environment, runs []*scale.Run, records []scale.Record) error {
	scale.WriteTable(env.out, runs, records)
	for _, file := range []struct {
		path  string
		write func(io.Writer) error
	}{
		{c.JSON, func(w io.Writer) error { return scale.WriteJSON(w, records) }},
		{c.Chart, func(w io.Writer) error { return scale.WriteChart(w, runs) }},
		{c.Changes, func(w io.Writer) error { return scale.WriteChanges(w, runs) }},
	} {
		if file.path == "" {
			continue
		}
		if err := writeAtomically(file.path, file.write); err != nil {
			return err
		}
	}
	for _, record := range records {
		if len(record.Violations) > 0 {
			return violationError{strings.Join(record.Violations, "; ")}
		}
	}
	return nil
}

// scaleHollowCmd runs a process of hollow dispatchers.
type scaleHollowCmd struct{}

// Run runs the process until its input ends.
func (scaleHollowCmd) Run(env *environment) error {
	raiseDescriptorLimit()
	return scale.RunHollow(env.in, env.out)
}

// scaleOriginCmd runs the process of the origin.
type scaleOriginCmd struct{}

// Run runs the process until its input ends.
func (scaleOriginCmd) Run(env *environment) error {
	debug.SetMemoryLimit(math.MaxInt64)
	raiseDescriptorLimit()
	return scale.RunOrigin(env.in, env.out)
}
