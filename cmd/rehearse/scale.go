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

// This file owns scale: many dispatchers beside their control machines, by one
// mechanism or several, set side by side. It must never end with 0 if a bound of
// the scenario was broken.

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

func (c *scaleCmd) Run(e *env) error {
	debug.SetMemoryLimit(math.MaxInt64)
	descriptors()
	s, err := c.read()
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
	for _, mechanism := range s.Mechanism {
		run, err := scale.Execute(ctx, s, mechanism, programs, e.log)
		if err != nil {
			return err
		}
		runs = append(runs, run)
		records = append(records, run.Record(c.commandLine()))
	}
	return c.tell(e, runs, records)
}

// read reads the scenario, with what the command line says before it.
func (c *scaleCmd) read() (s scale.Scenario, err error) {
	if s, err = scale.ReadScenario(c.Scenario); err != nil {
		return s, err
	}
	if c.Workers > 0 {
		s.Workers = c.Workers
	}
	if c.Dispatchers > 0 {
		s.Dispatchers = c.Dispatchers
	}
	if c.Real >= 0 {
		s.Daemons = c.Real
	}
	if c.Seed > 0 {
		s.Seed = c.Seed
	}
	if c.Mechanism != "" {
		s.Mechanism = scale.Mechanisms{scale.Mechanism(c.Mechanism)}
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("%s: %w", c.Scenario, err)
	}
	return s, nil
}

// beside is the program given, or else the one of that name beside this one.
func beside(self, given, name string) string {
	return cmp.Or(given, filepath.Join(filepath.Dir(self), name))
}

func (c *scaleCmd) programs() (p scale.Programs, err error) {
	self, err := os.Executable()
	if err != nil {
		return p, err
	}
	return scale.Programs{
		Hollow: []string{self, "scale-hollow"},
		Origin: []string{self, "scale-origin"},
		Daemon: beside(self, c.Daemon, "dispatcher-serve"),
		Relay:  beside(self, c.Relay, "membership-relay"),
	}, nil
}

// commandLine is the command that gives this run again.
func (c *scaleCmd) commandLine() string {
	words := []string{"bin/rehearse", "scale", c.Scenario}
	add := func(given bool, flag string, value any) {
		if given {
			words = append(words, "--"+flag, fmt.Sprint(value))
		}
	}
	add(c.Workers > 0, "workers", c.Workers)
	add(c.Dispatchers > 0, "dispatchers", c.Dispatchers)
	add(c.Real >= 0, "real", c.Real)
	add(c.Seed > 0, "seed", c.Seed)
	add(c.Mechanism != "", "mechanism", c.Mechanism)
	return strings.Join(words, " ")
}

func (c *scaleCmd) tell(e *env, runs []*scale.Run, records []scale.Record) error {
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
		if err := create(file.path, file.write); err != nil {
			return err
		}
	}
	for _, record := range records {
		if len(record.Violations) > 0 {
			return broken{strings.Join(record.Violations, "; ")}
		}
	}
	return nil
}

type scaleHollowCmd struct{}

func (scaleHollowCmd) Run(e *env) error {
	descriptors()
	return scale.RunHollow(e.in, e.out)
}

type scaleOriginCmd struct{}

func (scaleOriginCmd) Run(e *env) error {
	debug.SetMemoryLimit(math.MaxInt64)
	descriptors()
	return scale.RunOrigin(e.in, e.out)
}
