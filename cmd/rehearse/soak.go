package main

import (
	"context"
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/soak"
)

// soakCmd runs dispatchers under random overlapping faults, one run for each seed.
type soakCmd struct {
	Daemon   string        `help:"The daemon's program; by default dispatcher-serve in the directory of this program." type:"path"`
	Seed     uint64        `default:"1" help:"Seed of the first run."`
	Seeds    int           `default:"1" help:"Number of runs, each with the next seed."`
	Daemons  int           `default:"24" help:"Number of dispatchers."`
	Duration time.Duration `name:"for" default:"30s" help:"How long faults occur in each run."`
}

// Run runs the soaks and fails if a rule was violated; the report names the seed.
func (c *soakCmd) Run(env *environment) error {
	program, err := siblingProgram(c.Daemon, daemonServeProgram)
	if err != nil {
		return err
	}
	failed := 0
	for i := range c.Seeds {
		report, err := soak.Run(context.Background(), soak.Config{
			Program:  program,
			Seed:     c.Seed + uint64(i),
			Daemons:  c.Daemons,
			Duration: c.Duration,
		})
		if err != nil {
			return err
		}
		fmt.Fprintln(env.out, report)
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return violationError{fmt.Sprintf("%d of %d soaks violated a rule", failed, c.Seeds)}
	}
	return nil
}
