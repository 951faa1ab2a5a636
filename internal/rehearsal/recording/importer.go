package recording

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Input is one file of a source. Files with the same source name belong together, as a log and
// its rotated parts do; they are read in the order of their first timestamps.
type Input struct {
	Source string
	File   string // its base name
	Reader io.Reader
}

// Options configure an import.
type Options struct {
	Rules            *Rules
	RulesText        []byte // its hash goes into the recording
	Seed             uint64
	Format           string         // of all sources, as Compile takes it; empty: detected
	Zone             *time.Location // of timestamps that name none; nil: UTC
	Offsets          map[string]time.Duration
	KeepDuplicates   bool   // keep both entries of a request that two sources logged
	Secret           []byte // keys the pseudonyms, so that two imports agree; empty: derived from the input
	Spool            Spool
	OnReject         func(Reject)      // called for each malformed entry; may be nil
	OnProgress       func(bytes int64) // called from time to time with the compressed bytes read; may be nil
	MaxListedRejects int               // listed in the report; 0: 1000
}

const defaultListedRejects = 1000

// newRandomStream makes a random source for one purpose, so that an additional draw for one
// purpose changes nothing for another.
func newRandomStream(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// importer is the state of an import. The first pass reads the sources to sorted runs on the
// spool, the second one merges the runs into the recording.
type importer struct {
	options *Options
	report  *Report
	sources []*logSource
	runs    int // on the spool
	random  *rand.Rand
	rules   []ruleStatistics // by the rule's index

	repaired [32]uint64 // by the bit of the repair

	bytesRead     int64 // approximately, since the input was opened
	bytesReported int64 // of those, at the last call of Options.OnProgress
}

// ruleStatistics is what is counted of the entries that a rule matches.
type ruleStatistics struct {
	recorded      reservoir // durations
	entries       uint64
	drawn         uint64 // entries without a duration
	syntheticKeys uint64
}

// Import reads all inputs and writes the recording. The report is complete when the error is
// nil or ErrNoEntries. It starts no goroutine and reads the inputs one after the other.
func Import(inputs []Input, options Options, out io.Writer) (*Report, error) {
	if len(inputs) == 0 {
		return nil, errors.New("no input")
	}
	if options.MaxListedRejects == 0 {
		options.MaxListedRejects = defaultListedRejects
	}
	importer := newImporter(&options)
	if err := importer.open(inputs); err != nil {
		return nil, err
	}
	for index := range importer.sources {
		if err := importer.readSource(index); err != nil {
			return nil, err
		}
	}
	importer.alignClocks()
	return importer.report, importer.write(out)
}

func newImporter(options *Options) *importer {
	report := &Report{
		Rejects:       []Reject{},
		Repairs:       map[string]uint64{},
		IgnoredBy:     map[IgnoreReason]uint64{},
		Classes:       map[string]*ClassReport{},
		SyntheticKeys: options.Rules.Redacted.Distribution(),
		Pseudonyms:    "keyed by the input",
	}
	if len(options.Secret) > 0 {
		report.Pseudonyms = "keyed by a given secret"
	}
	return &importer{
		options: options,
		report:  report,
		random:  newRandomStream(options.Seed, "recorded durations"),
		rules:   make([]ruleStatistics, len(options.Rules.Classes)),
	}
}

// open finds the sources, the formats of their files and the order of these.
func (imp *importer) open(inputs []Input) error {
	byName := map[string]*logSource{}
	for i, input := range inputs {
		source := byName[input.Source]
		if source == nil {
			source = &logSource{report: &SourceReport{Name: input.Source}, earliest: math.MaxInt64}
			byName[input.Source] = source
			imp.sources = append(imp.sources, source)
			imp.report.Sources = append(imp.report.Sources, source.report)
		}
		file, err := openInputFile(input, imp.options)
		if err != nil {
			return err
		}
		file.order = i
		source.files = append(source.files, file)
	}
	for name := range imp.options.Offsets {
		if byName[name] == nil {
			return fmt.Errorf("offset: no source is called %q", name)
		}
	}
	for _, s := range imp.sources {
		s.sortFiles()
	}
	return nil
}

// reportProgress calls Options.OnProgress at the end of a file, or after some MiB of entries, of
// which one more of approximately the given size was read.
func (imp *importer) reportProgress(bytes int64, endOfFile bool) {
	const progressInterval = 8 << 20 // bytes
	if imp.options.OnProgress == nil {
		return
	}
	imp.bytesRead += bytes
	if !endOfFile && imp.bytesRead-imp.bytesReported <= progressInterval {
		return
	}
	imp.bytesReported = imp.bytesRead
	total := int64(0)
	for _, source := range imp.sources {
		for _, file := range source.files {
			total += file.digest.bytes
		}
	}
	imp.options.OnProgress(total)
}

// alignClocks finds how far the clocks of the sources are apart.
func (imp *importer) alignClocks() {
	for i, source := range imp.sources {
		if given, ok := imp.options.Offsets[source.report.Name]; ok {
			source.offset = ClockOffset{Microseconds: given.Microseconds()}
		} else {
			source.offset = estimateFrom(imp.sources[:i], source)
		}
		source.report.OffsetUs = source.offset.Microseconds
		source.report.Estimated = source.offset.Estimated
		source.report.Pairs = source.offset.Pairs
		source.report.SpreadUs = source.offset.Spread
	}
	for _, s := range imp.sources {
		s.signatures = nil
	}
}

// estimateFrom estimates the offset of a source from the first reference that allows it; zero:
// none does.
func estimateFrom(references []*logSource, source *logSource) ClockOffset {
	for _, reference := range references {
		if offset, ok := estimateOffset(reference.signatures, source.signatures); ok {
			offset.Microseconds += reference.offset.Microseconds
			return offset
		}
	}
	return ClockOffset{}
}
