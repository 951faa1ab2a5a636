package recording

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// write merges the runs of all sources into the recording and completes the report.
func (imp *importer) write(out io.Writer) error {
	first := imp.firstArrival()
	last, err := imp.countMerged()
	if err != nil {
		return err
	}
	entries := imp.reportClasses()
	imp.reportRepairs()
	for _, source := range imp.report.Sources {
		imp.report.Counts.add(&source.Counts)
	}
	if !imp.report.Balanced() {
		return fmt.Errorf("the counts do not add up: %+v", imp.report.Counts)
	}
	if entries == 0 {
		return ErrNoEntries
	}
	imp.report.Start = time.UnixMicro(first).UTC()
	imp.report.SpanSeconds = float64(last-first) / 1e6
	header := imp.newHeader(first, entries)
	classOfRule := imp.addClasses(header)
	writer, err := NewWriter(out, header)
	if err != nil {
		return err
	}
	if err := imp.writeEntries(writer, first, classOfRule); err != nil {
		return err
	}
	return writer.Close()
}

// firstArrival returns the earliest arrival of all sources, at which the recording starts, in
// microseconds of Unix time.
func (imp *importer) firstArrival() int64 {
	first := int64(math.MaxInt64)
	for _, source := range imp.sources {
		if source.earliestArrival != math.MaxInt64 {
			first = min(first, source.earliestArrival+source.offset.Microseconds)
		}
	}
	return first
}

// mergeSources calls handle for the entries of all sources, in the order of their corrected arrivals.
// duplicate is set if another source has an earlier entry for the same request.
func (imp *importer) mergeSources(handle func(source int, entry *pendingEntry, duplicate bool) error) error {
	var runs []*runReader
	for i, source := range imp.sources {
		for _, number := range source.sorter.runs {
			run, err := openRun(imp.options.Spool, number, i, source.offset.Microseconds)
			if err != nil {
				return err
			}
			runs = append(runs, run)
		}
	}
	duplicates := duplicateFilter{windows: imp.duplicateWindows(), unmatched: map[uint64][]sourceEntry{}}
	return mergeRuns(runs, func(run *runReader) error {
		return handle(run.source, &run.entry, duplicates.isDuplicate(run.source, &run.entry))
	})
}

// duplicateWindows returns for each source, in microseconds, by how much the corrected arrivals of its
// entry and of another source's entry for the same request may differ. The window is 0 for a source that
// is not compared with the others, because its clock offset is not known, because it is the only source
// or because duplicates are kept.
func (imp *importer) duplicateWindows() []int64 {
	const minWindow = 250 * millisecond
	windows := make([]int64, len(imp.sources))
	if len(imp.sources) == 1 || imp.options.KeepDuplicates {
		return windows
	}
	for i, source := range imp.sources {
		_, given := imp.options.Offsets[source.report.Name]
		if i > 0 && !source.offset.Estimated && !given {
			continue
		}
		windows[i] = max(2*source.offset.Spread, minWindow)
		if source.wholeSeconds {
			windows[i] += second
		}
	}
	return windows
}

// countMerged counts the entries that will be written and returns the last arrival. With several
// sources it merges the runs to find the duplicates. With one source there are none, and addArrival
// has already counted the entries.
func (imp *importer) countMerged() (last int64, err error) {
	if len(imp.sources) == 1 {
		return imp.sources[0].latestArrival, nil
	}
	err = imp.mergeSources(func(source int, entry *pendingEntry, duplicate bool) error {
		report := imp.sources[source].report
		if duplicate {
			report.Accepted--
			report.Ignored++
			report.Duplicates++
			imp.report.IgnoredBy[IgnoredDuplicate]++
			return nil
		}
		imp.countWritten(report, entry)
		last = max(last, entry.timestamp)
		return nil
	})
	return last, err
}

// countWritten counts an entry that will be written.
func (imp *importer) countWritten(report *SourceReport, entry *pendingEntry) {
	statistics := &imp.statistics[entry.class]
	repairs := entry.repairs
	statistics.entries++
	if entry.baseDuration() < 0 {
		statistics.drawn++
		repairs |= DrawnDuration
	}
	if repairs == 0 {
		return
	}
	report.Repaired++
	if repairs&SyntheticKey != 0 {
		statistics.syntheticKeys++
	}
	for bit := range RepairNames {
		if repairs&(1<<bit) != 0 {
			imp.repairCounts[bit]++
		}
	}
}

// reportClasses adds the counts of each rule to the report of its class and returns the total number of
// entries.
func (imp *importer) reportClasses() (entries uint64) {
	for rule := range imp.statistics {
		statistics := &imp.statistics[rule]
		if statistics.entries == 0 {
			continue
		}
		report := imp.classReport(rule)
		if statistics.recorded.added > 0 {
			report.DrawnRecorded += statistics.drawn
		} else {
			report.DrawnRules += statistics.drawn
		}
		report.SyntheticKeys += statistics.syntheticKeys
		report.Entries += statistics.entries
		report.Recorded += statistics.entries - statistics.drawn
		entries += statistics.entries
	}
	return entries
}

func (imp *importer) classReport(rule int) *ClassReport {
	name := imp.options.Rules.Classes[rule].Name
	report := imp.report.Classes[name]
	if report == nil {
		report = &ClassReport{}
		imp.report.Classes[name] = report
	}
	return report
}

func (imp *importer) reportRepairs() {
	for bit, name := range RepairNames {
		if imp.repairCounts[bit] > 0 {
			imp.report.Repairs[name] = imp.repairCounts[bit]
		}
	}
}

// newHeader creates the recording's header without the classes, which addClasses adds. first is the
// recording's start in microseconds of Unix time.
func (imp *importer) newHeader(first int64, entries uint64) *recordingpb.Header {
	rulesDigest := sha256.Sum256(imp.options.RulesText)
	header := &recordingpb.Header{
		Version:     Version,
		Seed:        imp.options.Seed,
		RulesSha256: rulesDigest[:],
		StartUnixUs: first,
		Counts:      imp.report.Counts.proto(),
		Repairs:     imp.report.Repairs,
		Entries:     entries,
	}
	if imp.report.Repairs[SyntheticKey.name()] > 0 {
		header.MadeUpKeys = imp.report.SyntheticKeys
	}
	for _, source := range imp.report.Sources {
		header.Sources = append(header.Sources, source.proto())
	}
	return header
}

// addClasses adds the classes of the rules to the header. It returns, by the index of the rule, the
// index of its class in the header.
func (imp *importer) addClasses(header *recordingpb.Header) (classOfRule []int) {
	indexByName := map[string]int{}
	for _, rule := range imp.options.Rules.Classes {
		index, ok := indexByName[rule.Name]
		if !ok {
			index = len(header.Classes)
			indexByName[rule.Name] = index
			header.Classes = append(header.Classes, &recordingpb.Class{Name: rule.Name, Retryable: rule.RetryPolicy == Retryable})
		}
		classOfRule = append(classOfRule, index)
	}
	return classOfRule
}

// writeEntries merges the entries of all sources and writes those that are not duplicates.
func (imp *importer) writeEntries(writer *Writer, first int64, classOfRule []int) error {
	pseudonyms := newPseudonymizer(imp)
	durations := newRandomStream(imp.options.Seed, "missing durations")
	return imp.mergeSources(func(source int, pending *pendingEntry, duplicate bool) error {
		if duplicate {
			return nil
		}
		rule := &imp.options.Rules.Classes[pending.class]
		entry := Entry{
			Arrival:   time.Duration(pending.timestamp-first) * time.Microsecond,
			Class:     classOfRule[pending.class],
			Key:       pseudonyms.keyOf(pending),
			Timeout:   rule.timeout(),
			Slots:     rule.Slots,
			BodyBytes: int(pending.bodyBytes),
			Status:    int(pending.status),
			Source:    source,
		}
		imp.setDurations(&entry, pending, durations)
		entry.Repairs = pending.repairs
		return writer.Add(&entry)
	})
}

// setDurations sets the duration and the effort of an entry. A missing duration is drawn at random.
func (imp *importer) setDurations(entry *Entry, pending *pendingEntry, random *rand.Rand) {
	rule := &imp.options.Rules.Classes[pending.class]
	base := pending.baseDuration()
	if base < 0 {
		pending.repairs |= DrawnDuration
		base = rule.drawDuration(&imp.statistics[pending.class].recorded, random)
	}
	base = max(base, 1)
	entry.Duration = time.Duration(base) * time.Microsecond
	if pending.duration > 0 && pending.serviceTime < 0 {
		entry.Duration = time.Duration(pending.duration) * time.Microsecond
	}
	entry.Effort = time.Duration(float64(base)*rule.EffortFactor) * time.Microsecond
	if rule.EffortMs > 0 {
		entry.Effort = time.Duration(rule.EffortMs * float64(time.Millisecond))
	}
	entry.Effort = max(entry.Effort, time.Microsecond)
}
