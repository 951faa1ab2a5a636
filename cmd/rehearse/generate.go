package main

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// generateCmd generates a log.
type generateCmd struct {
	Shape    string        `enum:"steady,rush,morning" default:"steady" help:"steady, rush or morning."`
	Rate     float64       `default:"100" help:"Entries per second, on average."`
	Duration time.Duration `name:"for" default:"60s" help:"How long."`
	MeanMs   float64       `default:"30" help:"Mean duration, ms."`
	Members  int           `default:"100000" help:"Different members."`
	Seed     uint64        `default:"1"`
	Precise  bool          `help:"Stamps of milliseconds, to be imported with the format that is logged on standard error."`
}

func (c *generateCmd) Run(e *environment) error {
	lines, err := recording.GenerateLog(e.out, recording.SyntheticLog{Shape: c.Shape, Rate: c.Rate, Length: c.Duration, MeanDurationMs: c.MeanMs, Members: c.Members,
		Seed: c.Seed, MillisecondStamps: c.Precise})
	if err == nil && c.Precise {
		e.log.Info("log generated", "lines", lines, "format", recording.SyntheticLogFormat)
	}
	return err
}

// formatsCmd lists the formats of inputs.
type formatsCmd struct{}

func (formatsCmd) Run(e *environment) error {
	for _, line := range recording.Formats {
		fmt.Fprintln(e.out, line)
	}
	return nil
}
