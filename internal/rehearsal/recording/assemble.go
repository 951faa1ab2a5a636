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
func (m *importer) write(out io.Writer) error {
	first := m.firstArrival()
	last, err := m.countMerged()
	if err != nil {
		return err
	}
	entries := m.reportClasses()
	m.reportRepairs()
	for _, source := range m.report.Sources {
		m.report.Counts.add(&source.Counts)
	}
	if !m.report.Balanced() {
		return fmt.Errorf("the counts do not add up: %+v", m.report.Counts)
	}
	if entries == 0 {
		return ErrNoEntries
	}
	m.report.Start = time.UnixMicro(first).UTC()
	m.report.SpanSeconds = float64(last-first) / 1e6
	header := m.newHeader(first, entries)
	classOfRule := m.addClasses(header)
	writer, err := NewWriter(out, header)
	if err != nil {
		return err
	}
	if err := m.writeEntries(writer, first, classOfRule); err != nil {
		return err
	}
	return writer.Close()
}

// firstArrival is the time of the recording's start, in microseconds.
func (m *importer) firstArrival() int64 {
	first := int64(math.MaxInt64)
	for _, source := range m.sources {
		if source.earliest != math.MaxInt64 {
			first = min(first, source.earliest+source.offset.Microseconds)
		}
	}
	return first
}

// mergeSources calls handle with the entries of all sources in order. duplicate: another source
// has logged the request already.
func (m *importer) mergeSources(handle func(source int, entry *pendingEntry, duplicate bool) error) error {
	var runs []*runReader
	for i, source := range m.sources {
		for _, number := range source.sorter.runs {
			run, err := openRun(m.options.Spool, number, i, source.offset.Microseconds)
			if err != nil {
				return err
			}
			runs = append(runs, run)
		}
	}
	duplicates := duplicateFilter{windows: m.duplicateWindows(), seen: map[uint64][]sourceEntry{}}
	return mergeRuns(runs, func(run *runReader) error {
		return handle(run.source, &run.entry, duplicates.isDuplicate(run.source, &run.entry))
	})
}

// duplicateWindows says how far apart each source's entry of a request may be from another's, in
// microseconds; 0: the source is not compared, as its clock's offset is not known.
func (m *importer) duplicateWindows() []int64 {
	const minWindow = 250 * millisecond
	windows := make([]int64, len(m.sources))
	if len(m.sources) == 1 || m.options.KeepDuplicates {
		return windows
	}
	for i, source := range m.sources {
		_, given := m.options.Offsets[source.report.Name]
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

// countMerged counts the entries that will be written and returns the last arrival. Of several
// sources it must merge the runs, since only then the duplicates are known.
func (m *importer) countMerged() (last int64, err error) {
	if len(m.sources) == 1 {
		return m.sources[0].latest, nil
	}
	err = m.mergeSources(func(source int, entry *pendingEntry, duplicate bool) error {
		report := m.sources[source].report
		if duplicate {
			report.Accepted--
			report.Ignored++
			report.Duplicates++
			m.report.IgnoredBy[IgnoredSeenElsewhere]++
			return nil
		}
		m.countWritten(report, entry)
		last = max(last, entry.timestamp)
		return nil
	})
	return last, err
}

// countWritten counts an entry that will be written.
func (m *importer) countWritten(report *SourceReport, entry *pendingEntry) {
	statistics := &m.rules[entry.class]
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
			m.repaired[bit]++
		}
	}
}

// reportClasses adds the rules' counts to the reports of their classes and returns the number of
// all entries.
func (m *importer) reportClasses() (entries uint64) {
	for rule := range m.rules {
		statistics := &m.rules[rule]
		if statistics.entries == 0 {
			continue
		}
		report := m.classReport(rule)
		if statistics.recorded.seen > 0 {
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

func (m *importer) classReport(rule int) *ClassReport {
	name := m.options.Rules.Classes[rule].Name
	report := m.report.Classes[name]
	if report == nil {
		report = &ClassReport{}
		m.report.Classes[name] = report
	}
	return report
}

func (m *importer) reportRepairs() {
	for bit, name := range RepairNames {
		if m.repaired[bit] > 0 {
			m.report.Repairs[name] = m.repaired[bit]
		}
	}
}

// newHeader makes the recording's header but for its classes. first is in microseconds.
func (m *importer) newHeader(first int64, entries uint64) *recordingpb.Header {
	rulesDigest := sha256.Sum256(m.options.RulesText)
	header := &recordingpb.Header{
		Version:     Version,
		Seed:        m.options.Seed,
		RulesSha256: rulesDigest[:],
		StartUnixUs: first,
		Counts:      m.report.Counts.proto(),
		Repairs:     m.report.Repairs,
		Entries:     entries,
	}
	if m.report.Repairs[SyntheticKey.name()] > 0 {
		header.MadeUpKeys = m.report.SyntheticKeys
	}
	for _, source := range m.report.Sources {
		header.Sources = append(header.Sources, source.proto())
	}
	return header
}

// addClasses adds the rules' classes to the header and returns the index of each rule's class.
func (m *importer) addClasses(header *recordingpb.Header) (classOfRule []int) {
	indexByName := map[string]int{}
	for _, rule := range m.options.Rules.Classes {
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

// writeEntries merges the sources' entries, without duplicates, to the writer.
func (m *importer) writeEntries(writer *Writer, first int64, classOfRule []int) error {
	pseudonyms := newPseudonymizer(m)
	durations := newRandomStream(m.options.Seed, "missing durations")
	return m.mergeSources(func(source int, pending *pendingEntry, duplicate bool) error {
		if duplicate {
			return nil
		}
		rule := &m.options.Rules.Classes[pending.class]
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
		m.setDurations(&entry, pending, durations)
		entry.Repairs = pending.repairs
		return writer.Add(&entry)
	})
}

// setDurations sets the duration and the effort of an entry; a missing duration is drawn.
func (m *importer) setDurations(entry *Entry, pending *pendingEntry, random *rand.Rand) {
	rule := &m.options.Rules.Classes[pending.class]
	base := pending.baseDuration()
	if base < 0 {
		pending.repairs |= DrawnDuration
		base = rule.drawDuration(&m.rules[pending.class].recorded, random)
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
