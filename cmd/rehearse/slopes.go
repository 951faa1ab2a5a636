package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/capacity"
)

// slopesCmd measures the cost of one daemon by the number of listed workers.
type slopesCmd struct {
	Sizes          []int         `default:"200,660,2100,6600,21000" help:"Numbers of listed workers to measure, one after another."`
	Repetitions    int           `name:"plays" default:"3" help:"How many times each size is measured."`
	IdleSpan       time.Duration `default:"6s" help:"How long to measure while nothing changes."`
	DeltaSpan      time.Duration `default:"20s" help:"How long to measure while workers change one by one."`
	DeltaRate      float64       `default:"20" help:"Changes per second while workers change."`
	Daemon         string        `help:"The daemon's program; by default dispatcher-serve in the directory of this program."`
	ProgramVersion string        `help:"Version of the daemon's program to write to the file; by default that of this program."`
	Append         bool          `help:"Add the repetitions to those in the file."`
	ModuleOnly     bool          `name:"module" help:"Measure only the decision module; its series replace those in the file."`
	Output         string        `short:"o" required:"" help:"The JSON file to write."`
}

// commandLine returns the command that repeats the run, with the flags that affect the results.
func (c *slopesCmd) commandLine() string {
	var sizes []string
	for _, size := range c.Sizes {
		sizes = append(sizes, strconv.Itoa(size))
	}
	return fmt.Sprintf("rehearse slopes --sizes %s --idle-span %v --delta-span %v --delta-rate %g",
		strings.Join(sizes, ","), c.IdleSpan, c.DeltaSpan, c.DeltaRate)
}

// program returns the program to measure. The default is in the directory of this program, which must also have the
// daemon.
func (c *slopesCmd) program() (string, error) {
	if c.Daemon != "" {
		return c.Daemon, nil
	}
	daemon, err := daemonPath("")
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(daemon), daemonServeProgram), nil
}

// Run measures the daemon and writes the file.
func (c *slopesCmd) Run(env *environment) error {
	debug.SetMemoryLimit(math.MaxInt64) // the stand-in's lists are large
	program, err := c.program()
	if err != nil {
		return err
	}
	measured, err := capacity.Measure(capacity.Config{
		Program:     program,
		Sizes:       c.Sizes,
		Repetitions: c.Repetitions,
		IdleTime:    c.IdleSpan,
		DeltaTime:   c.DeltaSpan,
		DeltaRate:   c.DeltaRate,
		ModuleOnly:  c.ModuleOnly,
		OnProgress: func(size, repetition int) {
			env.log.Info("measuring", "workers", size, "repetition", repetition+1)
		},
	})
	if err != nil {
		return err
	}
	measured.Command = c.commandLine()
	measured.Version = c.ProgramVersion
	if measured.Version == "" {
		measured.Version = buildVersion()
	}
	combined, err := c.combine(measured)
	if err != nil {
		return err
	}
	return writeAtomically(c.Output, func(w io.Writer) error { return writeJSON(w, combined) })
}

// combine returns the measurements to write. With --append it adds those of this run to the ones in the output file, and
// with --module it replaces series in that file. Otherwise, or if there is no file, it returns those of this run.
func (c *slopesCmd) combine(measured capacity.Slopes) (capacity.Slopes, error) {
	if !c.Append && !c.ModuleOnly {
		return measured, nil
	}
	existing, err := capacity.ReadSlopes(c.Output)
	if errors.Is(err, fs.ErrNotExist) {
		return measured, nil
	}
	if err != nil {
		return capacity.Slopes{}, err
	}
	if c.ModuleOnly {
		err = existing.Replace(measured)
	} else {
		err = existing.Merge(measured)
	}
	return existing, err
}
