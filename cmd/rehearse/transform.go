package main

import (
	"io"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// sliceCmd cuts a window out of a recording.
type sliceCmd struct {
	Start  time.Duration `name:"from" help:"Start of the window, counted from the recording's start." default:"0"`
	End    time.Duration `name:"to" help:"End of the window, counted from the recording's start; 0 is the recording's end." default:"0"`
	Output string        `short:"o" required:"" help:"The new recording."`
	File   string        `arg:"" help:"The recording."`
}

// Run writes the window as a new recording.
func (c *sliceCmd) Run(env *environment) error {
	reader, closeAll, err := openRecording(c.File)
	if err != nil {
		return err
	}
	defer closeAll()
	return writeAtomically(c.Output, func(w io.Writer) error { return recording.Slice(reader, w, c.Start, c.End) })
}

// mergeCmd merges recordings.
type mergeCmd struct {
	Align  bool     `help:"Let all recordings start at the same time, instead of when they were recorded."`
	Output string   `short:"o" required:"" help:"The new recording."`
	Files  []string `arg:"" help:"The recordings to merge."`
}

// Run writes the entries of all recordings as a new one.
func (c *mergeCmd) Run(env *environment) error {
	var readers []*recording.Reader
	for _, path := range c.Files {
		reader, closeAll, err := openRecording(path)
		if err != nil {
			return err
		}
		defer closeAll()
		readers = append(readers, reader)
	}
	return writeAtomically(c.Output, func(w io.Writer) error { return recording.Merge(readers, w, c.Align) })
}

// rescaleCmd changes a recording's rate or speed.
type rescaleCmd struct {
	Rate   float64 `help:"Factor on the number of entries: below 1 some are left out, above 1 copies are added." default:"1"`
	Speed  float64 `help:"Factor on the recording's speed." default:"1"`
	Seed   uint64  `help:"Seed of the choice of entries that are left out or copied." default:"1"`
	Output string  `short:"o" required:"" help:"The new recording."`
	File   string  `arg:"" help:"The recording."`
}

// Run writes the changed recording as a new one.
func (c *rescaleCmd) Run(env *environment) error {
	reader, closeAll, err := openRecording(c.File)
	if err != nil {
		return err
	}
	defer closeAll()
	return writeAtomically(c.Output, func(w io.Writer) error { return recording.Scale(reader, w, c.Rate, c.Speed, c.Seed) })
}
