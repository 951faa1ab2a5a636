package main

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// generateCmd generates a synthetic log.
type generateCmd struct {
	Shape    string        `enum:"steady,rush,morning" default:"steady" help:"Shape of the rate over time: steady, rush or morning."`
	Rate     float64       `default:"100" help:"Entries per second, on average."`
	Duration time.Duration `name:"for" default:"60s" help:"Length of the log."`
	MeanMs   float64       `default:"30" help:"Mean duration of a request, in ms."`
	Members  int           `default:"100000" help:"Number of different members."`
	Seed     uint64        `default:"1"`
	Precise  bool          `help:"Write timestamps in milliseconds. The format to import the log with is logged on standard error."`
}

// Run writes the log to standard output.
func (c *generateCmd) Run(env *environment) error {
	lineCount, err := recording.GenerateLog(env.out, recording.SyntheticLog{
		Shape:                 c.Shape,
		Rate:                  c.Rate,
		Length:                c.Duration,
		MeanDurationMs:        c.MeanMs,
		Members:               c.Members,
		Seed:                  c.Seed,
		MillisecondTimestamps: c.Precise,
	})
	if err != nil {
		return err
	}
	if c.Precise {
		env.log.Info("log generated", "lines", lineCount, "format", recording.SyntheticLogFormat)
	}
	return nil
}

// formatsCmd lists the formats that import reads.
type formatsCmd struct{}

// Run lists the formats.
func (formatsCmd) Run(env *environment) error {
	for _, format := range recording.Formats {
		fmt.Fprintln(env.out, format)
	}
	return nil
}
