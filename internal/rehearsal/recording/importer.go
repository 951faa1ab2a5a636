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

// Input is one file of a source. Files with the same source name are parts of one log, such as its
// rotated files; they are read in the order of their first timestamps.
type Input struct {
	Source string
	File   string // base name, without a directory
	Reader io.Reader
}

// Options configure an import.
type Options struct {
	Rules            *Rules
	RulesText        []byte // text that Rules were read from; its hash is stored in the recording
	Seed             uint64
	Format           string                   // format of all sources, as for Compile; empty or "auto" to detect it for each file
	Zone             *time.Location           // zone of timestamps without one; nil means UTC
	Offsets          map[string]time.Duration // clock offsets by source; the others are estimated
	KeepDuplicates   bool                     // keep all entries of a request that several sources logged
	Secret           []byte                   // key of the pseudonyms; derived from the input if it is empty
	Spool            Spool
	OnReject         func(Reject)      // called for each malformed entry; may be nil
	OnProgress       func(bytes int64) // called at intervals with the number of compressed bytes read; may be nil
	MaxListedRejects int               // bound of Report.Rejects; 0 means 1000
}

const defaultListedRejects = 1000

// newRandomStream returns the random source for one purpose. Each purpose has its own source, so that the
// numbers drawn for one purpose do not depend on how many are drawn for another.
func newRandomStream(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// importer is the state of an import. The first pass reads the sources and writes sorted runs to the
// spool, the second pass merges the runs into the recording.
type importer struct {
	options         *Options
	report          *Report
	sources         []*logSource
	nextRun         int              // number of the next run on the spool
	reservoirRandom *rand.Rand       // random source of the reservoirs of recorded durations
	statistics      []ruleStatistics // by the rule's index

	repairCounts [32]uint64 // number of repaired entries, by the repair's bit in Repair

	bytesRead     int64 // approximate size of the accepted entries, decompressed
	bytesReported int64 // value of bytesRead at the last call of Options.OnProgress
}

// ruleStatistics counts the entries that a rule matches.
type ruleStatistics struct {
	recorded      reservoir // recorded durations
	entries       uint64
	drawn         uint64 // entries without a duration
	syntheticKeys uint64
}

// Import reads all inputs one after the other and writes the recording. The report is complete if the
// error is nil or ErrNoEntries; with ErrNoEntries no recording is written.
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
		options:         options,
		report:          report,
		reservoirRandom: newRandomStream(options.Seed, "recorded durations"),
		statistics:      make([]ruleStatistics, len(options.Rules.Classes)),
	}
}

// open opens the inputs, groups them by source and sorts the files of each source.
func (imp *importer) open(inputs []Input) error {
	byName := map[string]*logSource{}
	for i, input := range inputs {
		source := byName[input.Source]
		if source == nil {
			source = &logSource{report: &SourceReport{Name: input.Source}, earliestArrival: math.MaxInt64}
			byName[input.Source] = source
			imp.sources = append(imp.sources, source)
			imp.report.Sources = append(imp.report.Sources, source.report)
		}
		file, err := openInputFile(input, imp.options)
		if err != nil {
			return err
		}
		file.inputIndex = i
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

// reportProgress adds the approximate size of an entry to bytesRead. It calls Options.OnProgress at the
// end of a file, and when more than progressInterval bytes were read since the last call.
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
			total += file.hasher.bytesRead
		}
	}
	imp.options.OnProgress(total)
}

// alignClocks determines the clock offset of each source: the one given in the options, otherwise an
// estimate from the requests that it and an earlier source logged.
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

// estimateFrom estimates the offset of a source against the first reference with which it shares
// enough requests. It returns the zero ClockOffset if there is no such reference.
func estimateFrom(references []*logSource, source *logSource) ClockOffset {
	for _, reference := range references {
		if offset, ok := estimateOffset(reference.signatures, source.signatures); ok {
			offset.Microseconds += reference.offset.Microseconds
			return offset
		}
	}
	return ClockOffset{}
}
