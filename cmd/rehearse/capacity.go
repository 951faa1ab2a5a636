package main

import (
	"io"

	"hollyyoke.example/hollyyoke/internal/rehearsal/capacity"
)

// capacityCmd writes the capacity page from measured runs and assumptions.
type capacityCmd struct {
	Data   string `default:"docs/capacity" help:"Directory with the runs, the assumptions and the template."`
	Output string `short:"o" default:"docs/CAPACITY.md" help:"The page to write."`
}

// Run writes the page.
func (c *capacityCmd) Run(*environment) error {
	page, err := capacity.Write(c.Data)
	if err != nil {
		return err
	}
	return writeAtomically(c.Output, func(w io.Writer) error {
		_, err := w.Write(page)
		return err
	})
}
