package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// This file owns the import command: files in, a recording and a report out.
// It must never leave half a recording, or the runs of its sorting, behind.

type importCmd struct {
	Rules          string            `required:"" help:"The file of rules that map entries to classes."`
	Seed           uint64            `default:"1" help:"Of everything that is drawn."`
	Format         string            `default:"auto" help:"The inputs' format; 'formats' lists them."`
	Zone           string            `default:"UTC" help:"Time zone of stamps that name none."`
	Offset         map[string]string `help:"Added to a source's stamps: NAME=7s or NAME=-1.5s; else it is estimated."`
	KeepDuplicates bool              `help:"Keep both of a request that two sources saw."`
	Secret         string            `help:"File whose content keys the pseudonyms, so that imports of several days agree."`
	Strict         bool              `help:"End with 1 if any entry is malformed or a source is cut."`
	Rejects        string            `help:"File for every malformed entry, as JSON lines."`
	JSON           bool              `name:"json" help:"Print the report as JSON."`
	Output         string            `short:"o" required:"" help:"The recording."`
	In             []string          `arg:"" name:"in" help:"Files, plain or packed by gzip or zstd; - is standard input; NAME=FILE names the source. Parts of one rotated log are one source."`
}

var rotated = regexp.MustCompile(`(\.[0-9]+|[.-][0-9]{4}-?[0-9]{2}-?[0-9]{2})?(\.(gz|zst|zstd))?$`)

// sourceName is the name of a file's source: without what rotation adds to it.
func sourceName(path string) string {
	name := filepath.Base(path)
	if short := rotated.ReplaceAllString(name, ""); short != "" {
		return short
	}
	return name
}

// open opens the inputs; done closes them.
func openInputs(paths []string, stdin io.Reader) (in []recording.Input, done func(), err error) {
	var files []*os.File
	done = func() {
		for _, f := range files {
			f.Close()
		}
	}
	for _, path := range paths {
		name, named := "", false
		if _, err := os.Stat(path); err != nil {
			if before, after, ok := strings.Cut(path, "="); ok && before != "" {
				name, path, named = before, after, true
			}
		}
		if path == "-" {
			if !named {
				name = "stdin"
			}
			in = append(in, recording.Input{Source: name, File: "stdin", Reader: stdin})
			continue
		}
		f, err := os.Open(path)
		if err != nil {
			done()
			return nil, nil, err
		}
		files = append(files, f)
		if !named {
			name = sourceName(path)
		}
		in = append(in, recording.Input{Source: name, File: filepath.Base(path), Reader: f})
	}
	return in, done, nil
}

// spool keeps runs as files of a directory of its own.
type spool struct {
	dir   string
	count int
}

func (s *spool) path(n int) string { return filepath.Join(s.dir, strconv.Itoa(n)) }

func (s *spool) Create() (io.WriteCloser, error) {
	s.count++
	return os.OpenFile(s.path(s.count-1), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

func (s *spool) Open(n int) (io.ReadCloser, error) { return os.Open(s.path(n)) }

func readRules(path string) (*recording.Rules, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	rules, err := recording.ReadRules(text)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return &rules, text, nil
}

// importTo imports with the given command's options into a file.
func (c *importCmd) importTo(e *env, path string) (report *recording.Report, err error) {
	o := recording.Options{Seed: c.Seed, Format: c.Format, KeepDuplicates: c.KeepDuplicates, Offsets: map[string]time.Duration{}}
	if o.Rules, o.RulesText, err = readRules(c.Rules); err != nil {
		return nil, err
	}
	if o.Zone, err = time.LoadLocation(c.Zone); err != nil {
		return nil, fmt.Errorf("--zone: %w", err)
	}
	for name, text := range c.Offset {
		if o.Offsets[name], err = time.ParseDuration(text); err != nil {
			return nil, fmt.Errorf("--offset: %s: %w", name, err)
		}
	}
	if c.Secret != "" {
		if o.Secret, err = os.ReadFile(c.Secret); err != nil {
			return nil, err
		}
		if len(o.Secret) < 16 {
			return nil, fmt.Errorf("%s: fewer than 16 bytes are no secret", c.Secret)
		}
	}
	in, done, err := openInputs(c.In, e.in)
	if err != nil {
		return nil, err
	}
	defer done()
	dir, err := os.MkdirTemp("", "hollyyoke-import")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	o.Spool = &spool{dir: dir}
	if c.Rejects != "" {
		f, err := os.Create(c.Rejects)
		if err != nil {
			return nil, err
		}
		out := bufio.NewWriter(f)
		enc := json.NewEncoder(out)
		var failed error
		o.OnReject = func(r recording.Reject) {
			if err := enc.Encode(r); err != nil && failed == nil {
				failed = err
			}
		}
		defer func() {
			if e := errors.Join(failed, out.Flush(), f.Close()); e != nil && err == nil {
				err = fmt.Errorf("%s: %w", c.Rejects, e)
			}
		}()
	}
	if e.terminal {
		total := int64(0)
		for _, path := range c.In {
			_, file, _ := strings.Cut("="+path, "=")
			if info, err := os.Stat(file); err == nil {
				total += info.Size()
			}
		}
		bar := progressbar.NewOptions64(total, progressbar.OptionSetWriter(e.errs), progressbar.OptionShowBytes(true),
			progressbar.OptionSetDescription("import"), progressbar.OptionClearOnFinish())
		o.OnProgress = func(n int64) { bar.Set64(n) }
		defer bar.Finish()
	}
	err = create(path, func(w io.Writer) error {
		report, err = recording.Import(in, o, w)
		return err
	})
	return report, err
}

func (c *importCmd) Run(e *env) error {
	report, err := c.importTo(e, c.Output)
	if report == nil {
		return err
	}
	if c.JSON {
		if err := writeJSON(e.out, report); err != nil {
			return err
		}
	} else {
		tell(e.out, report)
	}
	if err != nil {
		return err
	}
	if c.Strict && (report.Malformed > 0 || report.Truncated()) {
		return broken{fmt.Sprintf("--strict: %d entries are malformed, %s", report.Malformed,
			map[bool]string{true: "and a source is cut", false: "no source is cut"}[report.Truncated()])}
	}
	return nil
}

// tell writes the report for people.
func tell(w io.Writer, r *recording.Report) {
	fmt.Fprintf(w, "read %d = accepted %d + malformed %d + unmapped %d + ignored %d; repaired %d of the accepted\n", r.Read, r.Accepted, r.Malformed,
		r.Unmapped, r.Ignored, r.Repaired)
	for _, why := range slices.Sorted(maps.Keys(r.Repairs)) {
		fmt.Fprintf(w, "repaired: %d  %s\n", r.Repairs[why], why)
	}
	for _, why := range slices.Sorted(maps.Keys(r.IgnoredBy)) {
		fmt.Fprintf(w, "ignored: %d  %s\n", r.IgnoredBy[why], why)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		fmt.Fprintf(w, "class %s: %d entries; durations: %d recorded, %d drawn from those, %d drawn as the rules say; keys made up: %d\n", name,
			c.Entries, c.Recorded, c.DrawnRecorded, c.DrawnRules, c.SyntheticKeys)
	}
	if r.Repairs["key made up"] > 0 {
		fmt.Fprintf(w, "made-up keys: %s\n", r.SyntheticKeys)
	}
	for _, s := range r.Sources {
		fmt.Fprintf(w, "source %s: %s, stamps mark the %s, read %d, accepted %d", s.Name, s.Format, s.Stamp, s.Read, s.Accepted)
		switch {
		case s.Estimated:
			fmt.Fprintf(w, "; clock offset %+.3f s, estimated from %d requests, half within %.3f s", float64(s.OffsetUs)/1e6, s.Pairs, float64(s.SpreadUs)/1e6)
		case s.OffsetUs != 0:
			fmt.Fprintf(w, "; clock offset %+.3f s, given", float64(s.OffsetUs)/1e6)
		case len(r.Sources) > 1 && s != r.Sources[0]:
			fmt.Fprint(w, "; clock offset not known: too few requests that another source saw too")
		}
		if s.ClockSteps > 0 {
			fmt.Fprintf(w, "; its clock stepped back %d times, by %.3f s", s.ClockSteps, float64(s.SteppedUs)/1e6)
		}
		if s.OutlierTimestamps > 0 {
			fmt.Fprintf(w, "; %d odd stamps", s.OutlierTimestamps)
		}
		if s.Reordered {
			fmt.Fprint(w, "; its files were put in order")
		}
		fmt.Fprintln(w)
		if s.Truncation != "" {
			fmt.Fprintf(w, "  cut: %s\n", s.Truncation)
		}
	}
	for i, x := range r.Rejects {
		if i == 20 {
			fmt.Fprintf(w, "and %d more malformed\n", len(r.Rejects)-i+int(r.UnlistedRejects))
			break
		}
		fmt.Fprintf(w, "%s: line %d, byte %d: %s\n", x.Source, x.Line, x.Offset, x.Reason)
	}
	if r.Accepted > 0 {
		fmt.Fprintf(w, "from %s on, over %.1f s\n", r.Start.Format(time.RFC3339), r.SpanSeconds)
	}
}
