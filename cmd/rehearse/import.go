package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// importCmd imports logs into a recording. It leaves no temporary files behind, and no partial recording if it fails.
type importCmd struct {
	Rules          string            `required:"" help:"File with the rules that map entries to classes."`
	Seed           uint64            `default:"1" help:"Seed of all random values."`
	Format         string            `default:"auto" help:"The inputs' format; 'formats' lists them."`
	Zone           string            `default:"UTC" help:"Time zone of timestamps that have none."`
	Offset         map[string]string `help:"Offset to add to a source's timestamps, as NAME=7s or NAME=-1.5s; by default it is estimated."`
	KeepDuplicates bool              `help:"Keep both entries of a request that two sources have logged."`
	Secret         string            `help:"File with the secret key of the pseudonyms, so that imports of several days use the same ones."`
	Strict         bool              `help:"End with 1 if any entry is malformed or a source is cut."`
	Rejects        string            `help:"File to write all malformed entries to, as JSON lines."`
	JSON           bool              `name:"json" help:"Print the report as JSON."`
	Output         string            `short:"o" required:"" help:"The recording to write."`
	Inputs         []string          `arg:"" name:"in" help:"Files, plain or packed by gzip or zstd; - is standard input; NAME=FILE names the source. Parts of one rotated log are one source."`
}

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

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16

// options returns the options of the import, as set by the flags.
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
		return options, fmt.Errorf("%s: the secret has fewer than %d bytes", c.Secret, minSecretBytes)
	}
	return options, nil
}

// importTo imports the inputs into a file. It may return both a report and an error; the report is then valid.
func (c *importCmd) importTo(env *environment, path string) (report *recording.Report, err error) {
	options, err := c.options()
	if err != nil {
		return nil, err
	}
	inputs, closeInputs, err := openInputs(c.Inputs, env.in)
	if err != nil {
		return nil, err
	}
	defer closeInputs()
	dir, err := os.MkdirTemp("", "hollyyoke-import")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	options.Spool = &spool{dir: dir}
	if c.Rejects != "" {
		rejects, createErr := createRejects(c.Rejects) // not named err, so that the deferred function sets the result
		if createErr != nil {
			return nil, createErr
		}
		options.OnReject = rejects.add
		defer func() {
			closeErr := rejects.close()
			if err == nil && closeErr != nil {
				err = fmt.Errorf("%s: %w", c.Rejects, closeErr)
			}
		}()
	}
	if env.errIsTerminal {
		bar := importProgressBar(env, c.Inputs)
		options.OnProgress = func(readBytes int64) { bar.Set64(readBytes) }
		defer bar.Finish()
	}
	err = writeAtomically(path, func(w io.Writer) error {
		report, err = recording.Import(inputs, options, w)
		return err
	})
	return report, err
}

// Run imports the inputs and writes the report.
func (c *importCmd) Run(env *environment) error {
	report, err := c.importTo(env, c.Output)
	if report == nil {
		return err
	}
	if c.JSON {
		if err := writeJSON(env.out, report); err != nil {
			return err
		}
	} else {
		writeImportReport(env.out, report)
	}
	if err != nil {
		return err
	}
	if c.Strict {
		return checkStrict(report)
	}
	return nil
}

// checkStrict returns a violationError if an entry is malformed or a source is truncated.
func checkStrict(report *recording.Report) error {
	switch {
	case report.Truncated():
		return violationError{fmt.Sprintf("--strict: %d entries are malformed, and a source is cut", report.Malformed)}
	case report.Malformed > 0:
		return violationError{fmt.Sprintf("--strict: %d entries are malformed, no source is cut", report.Malformed)}
	}
	return nil
}
