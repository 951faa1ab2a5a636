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

// replayCmd replays a recording, or a log that it imports, to a daemon that runs already. Requests that are not
// idempotent are withheld.
type replayCmd struct {
	Recording string  `help:"The recording."`
	To        string  `required:"" help:"The daemon, host:port on a loopback address."`
	Front     string  `default:"platform" help:"The front that it speaks: platform or faktory."`
	Password  string  `help:"Of the Faktory front."`
	Seed      uint64  `default:"0" help:"Of the ids; 0: new ones each time, as a daemon takes an id only once."`
	Speed     float64 `default:"1" help:"Times as fast."`
	Report    string  `help:"Directory for report.json and report.html."`
	JSON      bool    `name:"json" help:"Print the report as JSON."`

	In    string        `help:"Instead of a recording: a log or HAR file, imported on the way (with --rules)."`
	Rules string        `help:"The file of rules for --in."`
	Limit int           `default:"0" hidden:"" help:"Of earlier versions; without effect."`
	Span  time.Duration `default:"0" help:"Of --in: replay no more than this from its start on; 0: all."`
}

// Run replays the recording.
func (c *replayCmd) Run(e *environment) error {
	debug.SetMemoryLimit(math.MaxInt64)
	raiseDescriptorLimit()
	if err := c.check(); err != nil {
		return err
	}
	path := c.Recording
	if c.In != "" {
		dir, err := os.MkdirTemp("", "hollyyoke-replay")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		path, err = c.importInput(e, dir)
		if err != nil {
			return err
		}
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	rep, err := replayRecording(e, path, replay.Options{Target: c.To, Faktory: c.Front == "faktory", Password: c.Password, Seed: c.Seed, Speed: c.Speed})
	if err != nil {
		return err
	}
	rep.FrontEnd = c.Front
	if n := rep.Sum(func(t *replay.Tally) int { return t.Withheld }); n > 0 {
		rep.WithheldReason = "the daemon was not started by this program, so nothing proves that its workers are stand-ins"
	}
	rep.Evaluate(nil)
	return finishReport(e, rep, c.JSON, c.Report)
}

// check checks the flags.
func (c *replayCmd) check() error {
	if c.Front != "platform" && c.Front != "faktory" {
		return fmt.Errorf("--front: %q is neither platform nor faktory", c.Front)
	}
	if err := replay.CheckLoopback(c.To); err != nil {
		return fmt.Errorf("--to: %w", err)
	}
	if (c.Recording == "") == (c.In == "") {
		return errors.New("--recording or --in: one of them is needed")
	}
	if c.In != "" && c.Rules == "" {
		return errors.New("--rules: missing, --in needs it")
	}
	return nil
}

// importInput imports --in into a recording in dir, cut to --span, and returns its path.
func (c *replayCmd) importInput(e *environment, dir string) (string, error) {
	path := filepath.Join(dir, sourceName(c.In)+".rec")
	imported, err := (&importCmd{Rules: c.Rules, Seed: 1, Zone: "UTC", In: []string{c.In}}).importTo(e, path)
	if imported != nil {
		writeImportReport(e.errOut, imported)
	}
	if err != nil || c.Span <= 0 {
		return path, err
	}
	cut := path + ".cut"
	return cut, (&sliceCmd{To: c.Span, Output: cut, File: path}).Run(e)
}

// replayRecording replays a recording and returns its report without a conclusion.
func replayRecording(e *environment, path string, options replay.Options) (*report.Report, error) {
	reader, done, err := openRecording(path)
	if err != nil {
		return nil, err
	}
	defer done()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := replay.Run(ctx, reader, options)
	if err != nil {
		if errors.Is(err, context.Canceled) {
			err = errors.New("stopped before its end")
		}
		return nil, err
	}
	return &report.Report{Recording: filepath.Base(path), Seed: options.Seed, Speed: options.Speed, Start: time.UnixMicro(reader.Header.StartUnixUs).UTC(),
		Import: report.FromHeader(reader.Header), Result: result}, nil
}

// finishReport writes the report and returns a violationError if a rule was violated.
func finishReport(e *environment, rep *report.Report, asJSON bool, dir string) error {
	if dir != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		if err := writeAtomically(filepath.Join(dir, "report.json"), rep.WriteJSON); err != nil {
			return err
		}
		if err := writeAtomically(filepath.Join(dir, "report.html"), rep.WriteHTML); err != nil {
			return err
		}
	}
	if asJSON {
		if err := rep.WriteJSON(e.out); err != nil {
			return err
		}
	} else {
		rep.WriteText(e.out)
	}
	if dir != "" {
		e.log.Info("report written", "json", filepath.Join(dir, "report.json"), "html", filepath.Join(dir, "report.html"))
	}
	if !rep.Passed {
		return violationError{rep.Conclusion}
	}
	if n := rep.Sum(func(t *replay.Tally) int { return t.Unsent }); n > 0 {
		return fmt.Errorf("%d entries could not be sent", n)
	}
	return nil
}
