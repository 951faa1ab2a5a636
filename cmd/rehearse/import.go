package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// importCmd imports logs into a recording. It leaves neither a partial recording nor its temporary files behind.
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

// sourceName returns the name of the source of a file: its name without what log rotation adds.
func sourceName(path string) string {
	name := filepath.Base(path)
	if short := rotated.ReplaceAllString(name, ""); short != "" {
		return short
	}
	return name
}

// openInputs opens the inputs; done closes them.
func openInputs(paths []string, stdin io.Reader) (inputs []recording.Input, done func(), err error) {
	var files []*os.File
	done = func() {
		for _, file := range files {
			file.Close()
		}
	}
	for _, path := range paths {
		name := ""
		named := false
		if _, err := os.Stat(path); err != nil {
			if before, after, ok := strings.Cut(path, "="); ok && before != "" {
				name = before
				path = after
				named = true
			}
		}
		if path == "-" {
			if !named {
				name = "stdin"
			}
			inputs = append(inputs, recording.Input{Source: name, File: "stdin", Reader: stdin})
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
		inputs = append(inputs, recording.Input{Source: name, File: filepath.Base(path), Reader: f})
	}
	return inputs, done, nil
}

// spool stores the sorted runs of an import as files of a directory.
type spool struct {
	dir   string
	count int
}

func (s *spool) path(n int) string { return filepath.Join(s.dir, strconv.Itoa(n)) }

// Create creates the next run.
func (s *spool) Create() (io.WriteCloser, error) {
	s.count++
	return os.OpenFile(s.path(s.count-1), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Open opens a run by its number.
func (s *spool) Open(n int) (io.ReadCloser, error) { return os.Open(s.path(n)) }

// readRules reads a file of rules and also returns its text.
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

// minSecretBytes is the length below which a secret is refused.
const minSecretBytes = 16

// options returns the options of the import that the flags give.
func (c *importCmd) options() (recording.Options, error) {
	options := recording.Options{Seed: c.Seed, Format: c.Format, KeepDuplicates: c.KeepDuplicates, Offsets: map[string]time.Duration{}}
	var err error
	options.Rules, options.RulesText, err = readRules(c.Rules)
	if err != nil {
		return options, err
	}
	options.Zone, err = time.LoadLocation(c.Zone)
	if err != nil {
		return options, fmt.Errorf("--zone: %w", err)
	}
	for name, text := range c.Offset {
		options.Offsets[name], err = time.ParseDuration(text)
		if err != nil {
			return options, fmt.Errorf("--offset: %s: %w", name, err)
		}
	}
	if c.Secret == "" {
		return options, nil
	}
	options.Secret, err = os.ReadFile(c.Secret)
	if err != nil {
		return options, err
	}
	if len(options.Secret) < minSecretBytes {
		return options, fmt.Errorf("%s: fewer than %d bytes are no secret", c.Secret, minSecretBytes)
	}
	return options, nil
}

// importTo imports the inputs into a file. Where it returns both a report and an error, the report is valid.
func (c *importCmd) importTo(e *environment, path string) (report *recording.Report, err error) {
	options, err := c.options()
	if err != nil {
		return nil, err
	}
	inputs, done, err := openInputs(c.In, e.in)
	if err != nil {
		return nil, err
	}
	defer done()
	dir, err := os.MkdirTemp("", "hollyyoke-import")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	options.Spool = &spool{dir: dir}
	if c.Rejects != "" {
		rejects, err := createRejects(c.Rejects)
		if err != nil {
			return nil, err
		}
		options.OnReject = rejects.add
		defer func() {
			if closing := rejects.close(); closing != nil && err == nil {
				err = fmt.Errorf("%s: %w", c.Rejects, closing)
			}
		}()
	}
	if e.errIsTerminal {
		bar := c.progressBar(e)
		options.OnProgress = func(n int64) { bar.Set64(n) }
		defer bar.Finish()
	}
	err = writeAtomically(path, func(w io.Writer) error {
		report, err = recording.Import(inputs, options, w)
		return err
	})
	return report, err
}

// progressBar returns a bar over the bytes of the inputs.
func (c *importCmd) progressBar(e *environment) *progressbar.ProgressBar {
	total := int64(0)
	for _, path := range c.In {
		_, file, _ := strings.Cut("="+path, "=")
		if info, err := os.Stat(file); err == nil {
			total += info.Size()
		}
	}
	return progressbar.NewOptions64(total, progressbar.OptionSetWriter(e.errOut), progressbar.OptionShowBytes(true),
		progressbar.OptionSetDescription("import"), progressbar.OptionClearOnFinish())
}

// rejectsFile writes malformed entries as JSON lines.
type rejectsFile struct {
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error // the first of add
}

func createRejects(path string) (*rejectsFile, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriter(file)
	return &rejectsFile{file: file, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

func (f *rejectsFile) add(reject recording.Reject) {
	err := f.encoder.Encode(reject)
	if f.err == nil {
		f.err = err
	}
}

// close completes the file and returns all errors.
func (f *rejectsFile) close() error { return errors.Join(f.err, f.buffer.Flush(), f.file.Close()) }

// Run imports the inputs and writes the report.
func (c *importCmd) Run(e *environment) error {
	report, err := c.importTo(e, c.Output)
	if report == nil {
		return err
	}
	if c.JSON {
		if err := writeJSON(e.out, report); err != nil {
			return err
		}
	} else {
		writeImportReport(e.out, report)
	}
	if err != nil {
		return err
	}
	if c.Strict && (report.Malformed > 0 || report.Truncated()) {
		sources := "no source is cut"
		if report.Truncated() {
			sources = "and a source is cut"
		}
		return violationError{fmt.Sprintf("--strict: %d entries are malformed, %s", report.Malformed, sources)}
	}
	return nil
}
