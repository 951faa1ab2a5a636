package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/capacity"
)

// slopesCmd measures what one daemon costs by the size of the fleet.
type slopesCmd struct {
	Sizes     []int         `default:"200,660,2100,6600,21000" help:"Listed workers, one size after another."`
	Plays     int           `default:"3" help:"How often each size is measured."`
	IdleSpan  time.Duration `default:"6s" help:"How long nothing changes."`
	DeltaSpan time.Duration `default:"20s" help:"How long workers change one by one."`
	DeltaRate float64       `default:"20" help:"Changes a second in that time."`
	Daemon    string        `help:"The daemon's program; not given: dispatcher-serve beside this one."`
	Label     string        `name:"program-version" help:"The version of that program, for the file; not given: this one's."`
	Append    bool          `help:"Add the repetitions to those in the file."`
	Module    bool          `help:"Only the decision module; its series replace those in the file."`
	Output    string        `short:"o" required:"" help:"The JSON file."`
}

// command returns the command that repeats the run, with the flags that matter.
func (c *slopesCmd) command() string {
	return fmt.Sprintf("rehearse slopes --sizes %s --idle-span %v --delta-span %v --delta-rate %g",
		strings.Trim(strings.Join(strings.Fields(fmt.Sprint(c.Sizes)), ","), "[]"), c.IdleSpan, c.DeltaSpan, c.DeltaRate)
}

// Run measures and writes the file.
func (c *slopesCmd) Run(e *environment) error {
	debug.SetMemoryLimit(math.MaxInt64) // the stand-in's lists are large
	program := c.Daemon
	if program == "" {
		beside, err := daemonPath("")
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(beside), "dispatcher-serve")
	}
	got, err := capacity.Measure(capacity.Config{Program: program, Sizes: c.Sizes, Repetitions: c.Plays, IdleTime: c.IdleSpan, DeltaTime: c.DeltaSpan,
		DeltaRate: c.DeltaRate, ModuleOnly: c.Module, OnProgress: func(size, repetition int) {
			e.log.Info("measuring", "workers", size, "repetition", repetition+1)
		}})
	if err != nil {
		return err
	}
	got.Command = c.command()
	got.Version = c.Label
	if got.Version == "" {
		got.Version = buildVersion()
	}
	if c.Append || c.Module {
		existing, err := capacity.ReadSlopes(c.Output)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		if err == nil {
			join := existing.Merge
			if c.Module {
				join = existing.Replace
			}
			if err := join(got); err != nil {
				return err
			}
			got = existing
		}
	}
	return writeAtomically(c.Output, func(w io.Writer) error { return writeJSON(w, got) })
}
