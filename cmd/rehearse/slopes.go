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

// slopesCmd measures what one daemon costs by the size of the fleet.
type slopesCmd struct {
	Sizes          []int         `default:"200,660,2100,6600,21000" help:"Listed workers, one size after another."`
	Repetitions    int           `name:"plays" default:"3" help:"How often each size is measured."`
	IdleSpan       time.Duration `default:"6s" help:"How long nothing changes."`
	DeltaSpan      time.Duration `default:"20s" help:"How long workers change one by one."`
	DeltaRate      float64       `default:"20" help:"Changes a second in that time."`
	Daemon         string        `help:"The daemon's program; not given: dispatcher-serve beside this one."`
	ProgramVersion string        `help:"The version of that program, for the file; not given: this one's."`
	Append         bool          `help:"Add the repetitions to those in the file."`
	ModuleOnly     bool          `name:"module" help:"Only the decision module; its series replace those in the file."`
	Output         string        `short:"o" required:"" help:"The JSON file."`
}

// commandLine returns the command that repeats the run, with the flags that matter.
func (c *slopesCmd) commandLine() string {
	var sizes []string
	for _, size := range c.Sizes {
		sizes = append(sizes, strconv.Itoa(size))
	}
	return fmt.Sprintf("rehearse slopes --sizes %s --idle-span %v --delta-span %v --delta-rate %g",
		strings.Join(sizes, ","), c.IdleSpan, c.DeltaSpan, c.DeltaRate)
}

// program returns the program to measure. The one beside this program is taken only if the daemon stands there too.
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

// Run measures and writes the file.
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

// combine returns the measurements to write: those of this run, or those of the output file with this run's added or
// replaced as the flags say.
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
