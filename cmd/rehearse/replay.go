package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/report"
)

// Values of --front, the daemon's front ends.
const (
	frontEndHTTP    = "platform"
	frontEndFaktory = "faktory"
)

// replayCmd replays a recording, or a log that it imports, to a daemon that runs already. Requests that are not
// idempotent are withheld.
type replayCmd struct {
	Recording string  `help:"The recording to replay."`
	Target    string  `name:"to" required:"" help:"The daemon's address, as host:port on a loopback address."`
	FrontEnd  string  `name:"front" default:"platform" help:"The daemon's front end: platform or faktory."`
	Password  string  `help:"Password of the Faktory front end."`
	Seed      uint64  `default:"0" help:"Seed of the ids; with 0 they are new each time, since a daemon accepts an id only once."`
	Speed     float64 `default:"1" help:"Factor on the recording's speed."`
	Report    string  `help:"Directory for report.json and report.html."`
	JSON      bool    `name:"json" help:"Print the report as JSON."`

	Input string        `name:"in" help:"Log or HAR file to import and replay instead of a recording; needs --rules."`
	Rules string        `help:"File with the rules for --in."`
	Limit int           `default:"0" hidden:"" help:"A flag of earlier versions, without effect."`
	Span  time.Duration `default:"0" help:"How much of --in to replay, from its start; with 0 all of it."`
}

// Run replays the recording.
func (c *replayCmd) Run(env *environment) error {
	debug.SetMemoryLimit(math.MaxInt64)
	raiseDescriptorLimit()
	if err := c.check(); err != nil {
		return err
	}
	path := c.Recording
	if c.Input != "" {
		dir, err := os.MkdirTemp("", "hollyyoke-replay")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		path, err = c.importInput(env, dir)
		if err != nil {
			return err
		}
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	result, err := replayRecording(path, replay.Options{
		Target:   c.Target,
		Faktory:  c.FrontEnd == frontEndFaktory,
		Password: c.Password,
		Seed:     c.Seed,
		Speed:    c.Speed,
	})
	if err != nil {
		return err
	}
	result.FrontEnd = c.FrontEnd
	if withheld := result.Sum(func(t *replay.Tally) int { return t.Withheld }); withheld > 0 {
		result.WithheldReason = "the daemon was not started by this program, so nothing proves that its workers are stand-ins"
	}
	result.Evaluate(nil)
	return finishReport(env, result, c.JSON, c.Report)
}

// check checks the flags.
func (c *replayCmd) check() error {
	if c.FrontEnd != frontEndHTTP && c.FrontEnd != frontEndFaktory {
		return fmt.Errorf("--front: %q is neither platform nor faktory", c.FrontEnd)
	}
	if err := replay.CheckLoopback(c.Target); err != nil {
		return fmt.Errorf("--to: %w", err)
	}
	hasRecording := c.Recording != ""
	hasInput := c.Input != ""
	if hasRecording == hasInput {
		return errors.New("--recording or --in: one of them is needed")
	}
	if hasInput && c.Rules == "" {
		return errors.New("--rules: missing, --in needs it")
	}
	return nil
}

// importInput imports --in into a recording in dir, cut to --span, and returns its path.
func (c *replayCmd) importInput(env *environment, dir string) (string, error) {
	path := filepath.Join(dir, sourceName(c.Input)+".rec")
	command := importCmd{Rules: c.Rules, Seed: 1, Zone: "UTC", Inputs: []string{c.Input}}
	imported, err := command.importTo(env, path)
	if imported != nil {
		writeImportReport(env.errOut, imported)
	}
	if err != nil || c.Span <= 0 {
		return path, err
	}
	cutPath := path + ".cut"
	cut := sliceCmd{End: c.Span, Output: cutPath, File: path}
	return cutPath, cut.Run(env)
}

// replayRecording replays a recording and returns its report, which is not evaluated yet. An interrupt or SIGTERM ends
// the replay with an error.
func replayRecording(path string, options replay.Options) (*report.Report, error) {
	reader, closeAll, err := openRecording(path)
	if err != nil {
		return nil, err
	}
	defer closeAll()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := replay.Run(ctx, reader, options)
	if errors.Is(err, context.Canceled) {
		return nil, errors.New("the replay was interrupted before its end")
	}
	if err != nil {
		return nil, err
	}
	return &report.Report{
		Recording: filepath.Base(path),
		Seed:      options.Seed,
		Speed:     options.Speed,
		Start:     time.UnixMicro(reader.Header.StartUnixUs).UTC(),
		Import:    report.FromHeader(reader.Header),
		Result:    result,
	}, nil
}

// finishReport writes an evaluated report to standard output and, unless dir is empty, to files in dir. It returns a
// violationError if a rule was violated, and another error if requests could not be sent.
func finishReport(env *environment, evaluated *report.Report, asJSON bool, dir string) error {
	if dir != "" {
		if err := writeReportFiles(dir, evaluated); err != nil {
			return err
		}
	}
	if asJSON {
		if err := evaluated.WriteJSON(env.out); err != nil {
			return err
		}
	} else {
		evaluated.WriteText(env.out)
	}
	if dir != "" {
		env.log.Info("report written", "json", filepath.Join(dir, reportJSONFile), "html", filepath.Join(dir, reportHTMLFile))
	}
	if !evaluated.Passed {
		return violationError{evaluated.Conclusion}
	}
	if unsent := evaluated.Sum(func(t *replay.Tally) int { return t.Unsent }); unsent > 0 {
		return fmt.Errorf("%d entries could not be sent", unsent)
	}
	return nil
}

// Names of a report's files.
const (
	reportJSONFile = "report.json"
	reportHTMLFile = "report.html"
)

// writeReportFiles writes a report as JSON and as HTML to a directory, which it creates.
func writeReportFiles(dir string, evaluated *report.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeAtomically(filepath.Join(dir, reportJSONFile), evaluated.WriteJSON); err != nil {
		return err
	}
	return writeAtomically(filepath.Join(dir, reportHTMLFile), evaluated.WriteHTML)
}
