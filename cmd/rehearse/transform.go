package main

import (
	"io"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// sliceCmd cuts a window out of a recording.
type sliceCmd struct {
	From   time.Duration `help:"Start of the window, from the recording's start on." default:"0"`
	To     time.Duration `help:"End of the window; 0: the recording's end." default:"0"`
	Output string        `short:"o" required:"" help:"The new recording."`
	File   string        `arg:"" help:"The recording."`
}

func (c *sliceCmd) Run(e *environment) error {
	reader, done, err := openRecording(c.File)
	if err != nil {
		return err
	}
	defer done()
	return writeAtomically(c.Output, func(w io.Writer) error { return recording.Slice(reader, w, c.From, c.To) })
}

// mergeCmd merges recordings.
type mergeCmd struct {
	Align  bool     `help:"Let all start at once, not by their clocks."`
	Output string   `short:"o" required:"" help:"The new recording."`
	Files  []string `arg:"" help:"The recordings."`
}

func (c *mergeCmd) Run(e *environment) error {
	var readers []*recording.Reader
	for _, path := range c.Files {
		r, done, err := openRecording(path)
		if err != nil {
			return err
		}
		defer done()
		readers = append(readers, r)
	}
	return writeAtomically(c.Output, func(w io.Writer) error { return recording.Merge(readers, w, c.Align) })
}

// rescaleCmd changes a recording's rate or speed.
type rescaleCmd struct {
	Rate   float64 `help:"Times as many entries: below 1 some are left out, above 1 copies are added." default:"1"`
	Speed  float64 `help:"Times as fast." default:"1"`
	Seed   uint64  `help:"Of what is left out or added." default:"1"`
	Output string  `short:"o" required:"" help:"The new recording."`
	File   string  `arg:"" help:"The recording."`
}

func (c *rescaleCmd) Run(e *environment) error {
	reader, done, err := openRecording(c.File)
	if err != nil {
		return err
	}
	defer done()
	return writeAtomically(c.Output, func(w io.Writer) error { return recording.Scale(reader, w, c.Rate, c.Speed, c.Seed) })
}
