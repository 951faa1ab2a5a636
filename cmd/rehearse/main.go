// Command rehearse turns access logs and HAR files into canonical
// recordings and replays them: to a dispatcher with stand-ins around it, all of
// which it starts itself, or to one that runs already. This file owns the
// command line. It must never end with 0 if a rule broke.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// Exit codes: kept; a rule or --strict broken; it could not be held.
const (
	exitKept   = 0
	exitBroken = 1
	exitNot    = 2
)

// broken is an error that means exit code 1.
type broken struct{ why string }

func (b broken) Error() string { return b.why }

// env is what commands work with.
type env struct {
	out, errs io.Writer
	in        io.Reader
	log       *slog.Logger
	terminal  bool // someone watches errs
}

type cli struct {
	LogFormat string `enum:"text,json" default:"text" help:"Form of the log on standard error: text or json."`

	Import   importCmd   `cmd:"" help:"Make a canonical recording of access logs and HAR files."`
	Inspect  inspectCmd  `cmd:"" help:"Check a recording to its end and tell what is in it."`
	Slice    sliceCmd    `cmd:"" help:"Cut a window of time out of a recording."`
	Merge    mergeCmd    `cmd:"" help:"Put recordings together."`
	Rescale  rescaleCmd  `cmd:"" help:"Change a recording's rate or speed."`
	Run      runCmd      `cmd:"" help:"Start the daemon and stand-ins, replay a recording, check the books, report."`
	Replay   replayCmd   `cmd:"" help:"Replay a recording to a daemon that runs already; what must not run twice is withheld."`
	Generate generateCmd `cmd:"" help:"Write a made-up log of a known shape, for measurements."`
	Flood    floodCmd    `cmd:"" help:"Hold known clients' requests beside hostile ones, with admission on and off."`
	Sim      simCmd      `cmd:"" help:"The fleet in virtual time: a day in moments, the same from the same seed."`
	Slopes   slopesCmd   `cmd:"" help:"Measure what one daemon costs by the number of listed workers."`
	Capacity capacityCmd `cmd:"" help:"Write docs/CAPACITY.md from the runs and assumptions in docs/capacity."`
	Scale    scaleCmd    `cmd:"" help:"Run many dispatchers beside their control machines, and measure what control costs."`
	Soak     soakCmd     `cmd:"" help:"Run dispatchers under random faults that overlap, and judge from outside whether the rules held."`
	Formats  formatsCmd  `cmd:"" help:"List the formats that import reads."`
	Version  versionCmd  `cmd:"" help:"Tell the version."`

	ScaleHollow scaleHollowCmd `cmd:"" hidden:"" help:"Hold hollow dispatchers, for scale."`
	ScaleOrigin scaleOriginCmd `cmd:"" hidden:"" help:"Be the origin, for scale."`
}

func main() {
	debug.SetMemoryLimit(48 << 20) // an import keeps below 64 MB whatever it reads; a run lifts this
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// earlier turns the command line of earlier versions, which had no commands and
// single dashes, into today's. What changed a recording was called scale.
func earlier(args []string) []string {
	if len(args) > 0 && args[0] == "scale" && slices.ContainsFunc(args, isOutput) {
		return append([]string{"rescale"}, args[1:]...)
	}
	if len(args) == 0 || !strings.HasPrefix(args[0], "-") {
		return args
	}
	known := []string{"in", "rules", "to", "front", "password", "limit", "span", "json"}
	out := []string{"replay"}
	for _, a := range args {
		name, _, _ := strings.Cut(strings.TrimLeft(a, "-"), "=")
		if strings.HasPrefix(a, "-") && !strings.HasPrefix(a, "--") && slices.Contains(known, name) {
			a = "-" + a
		}
		out = append(out, a)
	}
	for _, a := range out[1:] {
		if strings.HasPrefix(a, "--in") || strings.HasPrefix(a, "--rules") || strings.HasPrefix(a, "--to") {
			return out
		}
	}
	return args
}

// isOutput tells whether an argument names the file to write, as commands on
// recordings do.
func isOutput(arg string) bool {
	return strings.HasPrefix(arg, "-o") || strings.HasPrefix(arg, "--output")
}

func run(args []string, in io.Reader, out, errs io.Writer) (code int) {
	var c cli
	exit := -1
	parser, err := kong.New(&c, kong.Name("rehearse"), kong.Writers(out, errs), kong.Exit(func(code int) { exit = code }),
		kong.Description("Rehearses recorded traffic against the dispatcher, with stand-ins for everything around it."),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the declarations above are wrong
	}
	k, err := parser.Parse(earlier(args))
	if exit >= 0 { // help was asked for
		return exit
	}
	if err != nil {
		fmt.Fprintln(errs, "rehearse:", err)
		return exitNot
	}
	e := &env{out: out, errs: errs, in: in}
	if c.LogFormat == "json" {
		e.log = slog.New(slog.NewJSONHandler(errs, nil))
	} else {
		e.log = slog.New(slog.NewTextHandler(errs, nil))
	}
	if f, ok := errs.(*os.File); ok {
		info, err := f.Stat()
		e.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	err = k.Run(e)
	var b broken
	switch {
	case err == nil:
		return exitKept
	case errors.As(err, &b):
		fmt.Fprintln(errs, "rehearse:", err)
		return exitBroken
	}
	fmt.Fprintln(errs, "rehearse:", err)
	return exitNot
}

type versionCmd struct{}

func (versionCmd) Run(e *env) error {
	fmt.Fprintf(e.out, "rehearse %s, recordings of version %d\n", buildVersion(), recording.Version)
	return nil
}

type generateCmd struct {
	Shape   string        `enum:"steady,rush,morning" default:"steady" help:"steady, rush or morning."`
	Rate    float64       `default:"100" help:"Entries a second, on average."`
	For     time.Duration `default:"60s" help:"How long."`
	MeanMs  float64       `default:"30" help:"Mean duration, ms."`
	Members int           `default:"100000" help:"Different members."`
	Seed    uint64        `default:"1"`
	Precise bool          `help:"Stamps of milliseconds, to be imported with the format told on standard error."`
}

func (c *generateCmd) Run(e *env) error {
	n, err := recording.GenerateLog(e.out, recording.SyntheticLog{Shape: c.Shape, Rate: c.Rate, Length: c.For, MeanDurationMs: c.MeanMs, Members: c.Members,
		Seed: c.Seed, MillisecondStamps: c.Precise})
	if err == nil && c.Precise {
		e.log.Info("a log was made up", "lines", n, "format", recording.SyntheticLogFormat)
	}
	return err
}

type formatsCmd struct{}

func (formatsCmd) Run(e *env) error {
	for _, line := range recording.Formats {
		fmt.Fprintln(e.out, line)
	}
	return nil
}

// create writes a file beside its place and puts it there only when it is
// whole, so that nobody finds half a recording.
func create(path string, write func(io.Writer) error) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Close()
			os.Remove(f.Name())
		}
	}()
	if err = write(f); err != nil {
		return err
	}
	if err = errors.Join(f.Chmod(0o644), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// openRecording opens a recording; close gives back what it holds.
func openRecording(path string) (r *recording.Reader, closeAll func(), err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	if r, err = recording.NewReader(f); err != nil {
		f.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, func() { r.Close(); f.Close() }, nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type inspectCmd struct {
	JSON bool   `name:"json" help:"As JSON."`
	File string `arg:"" help:"The recording."`
}

// contents is what inspect tells.
type contents struct {
	Version  uint32                    `json:"version"`
	Entries  uint64                    `json:"entries"`
	Start    time.Time                 `json:"start"`
	SpanS    float64                   `json:"span_s"`
	PeakRate int                       `json:"peak_per_s"`
	Classes  map[string]*classContents `json:"classes"`
	Keys     int                       `json:"keys"` // different ones, of the first million
	Header   any                       `json:"header"`
}

type classContents struct {
	Entries   int     `json:"entries"`
	Retryable bool    `json:"retryable"`
	WorkS     float64 `json:"work_s"` // slots times durations
	Drawn     int     `json:"durations_drawn"`
	MadeUp    int     `json:"keys_made_up"`
}

func (c *inspectCmd) Run(e *env) error {
	r, done, err := openRecording(c.File)
	if err != nil {
		return err
	}
	defer done()
	got := contents{Version: r.Header.Version, Start: time.UnixMicro(r.Header.StartUnixUs).UTC(), Classes: map[string]*classContents{}}
	keys := map[uint64]struct{}{}
	second, count := time.Duration(-1), 0
	err = r.ForEach(func(x *recording.Entry) error {
		got.Entries++
		got.SpanS = x.Arrival.Seconds()
		class := r.Header.Classes[x.Class]
		cc := got.Classes[class.Name]
		if cc == nil {
			cc = &classContents{Retryable: class.Retryable}
			got.Classes[class.Name] = cc
		}
		cc.Entries++
		cc.WorkS += x.Slots * x.Duration.Seconds()
		if x.Repairs&recording.DrawnDuration != 0 {
			cc.Drawn++
		}
		if x.Repairs&recording.SyntheticKey != 0 {
			cc.MadeUp++
		}
		if len(keys) < 1_000_000 {
			keys[x.Key] = struct{}{}
		}
		if s := x.Arrival.Truncate(time.Second); s != second {
			second, count = s, 0
		}
		count++
		got.PeakRate = max(got.PeakRate, count)
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	got.Keys = len(keys)
	if c.JSON {
		got.Header = r.Header
		return writeJSON(e.out, got)
	}
	fmt.Fprintf(e.out, "%d entries from %s on, over %.1f s, at most %d in a second, %d keys\n", got.Entries,
		got.Start.Format(time.RFC3339), got.SpanS, got.PeakRate, got.Keys)
	for _, class := range r.Header.Classes {
		if cc := got.Classes[class.Name]; cc != nil {
			repeat := "replayed to proven stand-ins alone"
			if cc.Retryable {
				repeat = "retryable"
			}
			fmt.Fprintf(e.out, "class %s: %d entries, %.1f s of work, %s; %d durations drawn, %d keys made up\n", class.Name, cc.Entries,
				cc.WorkS, repeat, cc.Drawn, cc.MadeUp)
		}
	}
	h := r.Header
	fmt.Fprintf(e.out, "imported: read %d, accepted %d, malformed %d, unmapped %d, ignored %d, repaired %d; seed %d\n", h.Counts.GetRead(),
		h.Counts.GetAccepted(), h.Counts.GetMalformed(), h.Counts.GetUnmapped(), h.Counts.GetIgnored(), h.Counts.GetRepaired(), h.Seed)
	for _, s := range h.Sources {
		fmt.Fprintf(e.out, "source %s (%s, stamps mark the %s): sha256 %x\n", s.Name, s.Format, s.Stamp, s.Sha256)
		switch {
		case s.Estimated:
			fmt.Fprintf(e.out, "  clock offset %+.3f s, estimated from %d requests, half of them within %.3f s\n", float64(s.OffsetUs)/1e6, s.Pairs,
				float64(s.SpreadUs)/1e6)
		case s.OffsetUs != 0:
			fmt.Fprintf(e.out, "  clock offset %+.3f s, given\n", float64(s.OffsetUs)/1e6)
		}
		if s.Cut != "" {
			fmt.Fprintf(e.out, "  cut: %s\n", s.Cut)
		}
	}
	for _, line := range h.History {
		fmt.Fprintf(e.out, "then: %s\n", line)
	}
	return nil
}

type sliceCmd struct {
	From   time.Duration `help:"Start of the window, from the recording's start on." default:"0"`
	To     time.Duration `help:"End of the window; 0: the recording's end." default:"0"`
	Output string        `short:"o" required:"" help:"The new recording."`
	File   string        `arg:"" help:"The recording."`
}

func (c *sliceCmd) Run(e *env) error {
	r, done, err := openRecording(c.File)
	if err != nil {
		return err
	}
	defer done()
	return create(c.Output, func(w io.Writer) error { return recording.Slice(r, w, c.From, c.To) })
}

type mergeCmd struct {
	Align  bool     `help:"Let all start at once, not by their clocks."`
	Output string   `short:"o" required:"" help:"The new recording."`
	Files  []string `arg:"" help:"The recordings."`
}

func (c *mergeCmd) Run(e *env) error {
	var in []*recording.Reader
	for _, path := range c.Files {
		r, done, err := openRecording(path)
		if err != nil {
			return err
		}
		defer done()
		in = append(in, r)
	}
	return create(c.Output, func(w io.Writer) error { return recording.Merge(in, w, c.Align) })
}

type rescaleCmd struct {
	Rate   float64 `help:"Times as many entries: below 1 some are left out, above 1 copies are added." default:"1"`
	Speed  float64 `help:"Times as fast." default:"1"`
	Seed   uint64  `help:"Of what is left out or added." default:"1"`
	Output string  `short:"o" required:"" help:"The new recording."`
	File   string  `arg:"" help:"The recording."`
}

func (c *rescaleCmd) Run(e *env) error {
	r, done, err := openRecording(c.File)
	if err != nil {
		return err
	}
	defer done()
	return create(c.Output, func(w io.Writer) error { return recording.Scale(r, w, c.Rate, c.Speed, c.Seed) })
}
