package main

import (
	"io"

	"hollyyoke.example/hollyyoke/internal/rehearsal/capacity"
)

// This file owns capacity: the page that is generated from runs.

type capacityCmd struct {
	Data   string `default:"docs/capacity" help:"Directory with the runs, the assumptions and the template."`
	Output string `short:"o" default:"docs/CAPACITY.md" help:"The page."`
}

func (c *capacityCmd) Run(*env) error {
	page, err := capacity.Write(c.Data)
	if err != nil {
		return err
	}
	return create(c.Output, func(w io.Writer) error {
		_, err := w.Write(page)
		return err
	})
}
