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

// Run writes the log to standard output.
func (c *generateCmd) Run(env *environment) error {
	lineCount, err := recording.GenerateLog(env.out, recording.SyntheticLog{
		Shape:             c.Shape,
		Rate:              c.Rate,
		Length:            c.Duration,
		MeanDurationMs:    c.MeanMs,
		Members:           c.Members,
		Seed:              c.Seed,
		MillisecondStamps: c.Precise,
	})
	if err != nil {
		return err
	}
	if c.Precise {
		env.log.Info("log generated", "lines", lineCount, "format", recording.SyntheticLogFormat)
	}
	return nil
}

// formatsCmd lists the formats of inputs.
type formatsCmd struct{}

// Run lists the formats.
func (formatsCmd) Run(env *environment) error {
	for _, format := range recording.Formats {
		fmt.Fprintln(env.out, format)
	}
	return nil
}
