package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"

	"hollyyoke.example/hollyyoke/internal/rehearsal/scale"
)

// scaleCmd runs a scale scenario by one mechanism or several, and fails if a bound of the scenario was exceeded.
type scaleCmd struct {
	Scenario    string `arg:"" help:"Scenario file, of deploy/scenarios/scale."`
	Workers     int    `help:"Workers listed; 0: as the scenario says."`
	Dispatchers int    `help:"Hollow dispatchers; 0: as the scenario says."`
	Real        int    `help:"Real daemons; below 0: as the scenario says." default:"-1"`
	Seed        uint64 `help:"0: as the scenario says."`
	Mechanism   string `enum:",discovery,relays" default:"" help:"discovery or relays alone; not given: as the scenario says."`
	JSON        string `name:"json" placeholder:"FILE" help:"Write the figures as JSON."`
	Chart       string `placeholder:"FILE" help:"Write a chart as SVG."`
	Changes     string `placeholder:"FILE" help:"Write each change, and how long it took to be in force, as CSV."`
	Daemon      string `help:"The daemon's program; not given: dispatcher-serve beside this one."`
	Relay       string `help:"The relay's program; not given: membership-relay beside this one."`
}

// Run runs the scenario.
func (c *scaleCmd) Run(e *environment) error {
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
		run, err := scale.Execute(ctx, scenario, mechanism, programs, e.log)
		if err != nil {
			return err
		}
		runs = append(runs, run)
		records = append(records, run.Record(c.commandLine()))
	}
	return c.writeResults(e, runs, records)
}

// readScenario reads the scenario; flags take precedence over it.
func (c *scaleCmd) readScenario() (scenario scale.Scenario, err error) {
	scenario, err = scale.ReadScenario(c.Scenario)
	if err != nil {
		return scenario, err
	}
	if c.Workers > 0 {
		scenario.Workers = c.Workers
	}
	if c.Dispatchers > 0 {
		scenario.Dispatchers = c.Dispatchers
	}
	if c.Real >= 0 {
		scenario.Daemons = c.Real
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

// siblingProgram returns the given program, or the one of that name beside this one.
func siblingProgram(self, given, name string) string {
	return cmp.Or(given, filepath.Join(filepath.Dir(self), name))
}

// programs returns the programs of a run.
func (c *scaleCmd) programs() (programs scale.Programs, err error) {
	self, err := os.Executable()
	if err != nil {
		return programs, err
	}
	return scale.Programs{
		Hollow: []string{self, "scale-hollow"},
		Origin: []string{self, "scale-origin"},
		Daemon: siblingProgram(self, c.Daemon, "dispatcher-serve"),
		Relay:  siblingProgram(self, c.Relay, "membership-relay"),
	}, nil
}

// commandLine returns the command that repeats this run.
func (c *scaleCmd) commandLine() string {
	args := []string{"bin/rehearse", "scale", c.Scenario}
	add := func(given bool, flag string, value any) {
		if given {
			args = append(args, "--"+flag, fmt.Sprint(value))
		}
	}
	add(c.Workers > 0, "workers", c.Workers)
	add(c.Dispatchers > 0, "dispatchers", c.Dispatchers)
	add(c.Real >= 0, "real", c.Real)
	add(c.Seed > 0, "seed", c.Seed)
	add(c.Mechanism != "", "mechanism", c.Mechanism)
	return strings.Join(args, " ")
}

// writeResults writes the table and the requested files.
func (c *scaleCmd) writeResults(e *environment, runs []*scale.Run, records []scale.Record) error {
	scale.WriteTable(e.out, runs, records)
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

func (scaleHollowCmd) Run(e *environment) error {
	raiseDescriptorLimit()
	return scale.RunHollow(e.in, e.out)
}

// scaleOriginCmd runs the origin.
type scaleOriginCmd struct{}

func (scaleOriginCmd) Run(e *environment) error {
	debug.SetMemoryLimit(math.MaxInt64)
	raiseDescriptorLimit()
	return scale.RunOrigin(e.in, e.out)
}
