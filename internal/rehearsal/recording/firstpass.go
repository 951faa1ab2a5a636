package recording

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// readSource reads the files of a source and writes their entries to sorted runs on the spool.
func (imp *importer) readSource(index int) error {
	source := imp.sources[index]
	source.sorter = sorter{spool: imp.options.Spool, nextRun: &imp.nextRun}
	source.spreader = secondSpreader{
		random: newRandomStream(imp.options.Seed, fmt.Sprintf("seconds of source %d", index)),
		emit:   func(entry pendingEntry) { imp.addArrival(source, entry) },
	}
	source.clockCorrector.emit = source.spreader.add
	if len(imp.sources) > 1 {
		source.signatures = newSignatureSample()
	}
	digests := sha256.New()
	for _, file := range source.files {
		if err := imp.readFile(source, file); err != nil {
			return err
		}
		digests.Write(file.hasher.full.Sum(nil))
		imp.report.InputBytes += file.hasher.bytesRead
		imp.reportProgress(0, true)
	}
	source.reportRead(digests)
	if err := source.sorter.close(); err != nil {
		return err
	}
	var err error
	maxRuns := max(1, maxMergedRuns/len(imp.sources))
	source.sorter.runs, err = compactRuns(imp.options.Spool, &imp.nextRun, source.sorter.runs, maxRuns)
	return err
}

// readFile reads one file. If the file cannot be read to its end, the source's report says so as a
// truncation. The returned error comes from the spool.
func (imp *importer) readFile(source *logSource, file *inputFile) error {
	report := source.report
	report.Files = append(report.Files, file.File)
	report.Format = file.format.Name
	report.Stamp = stampEnd
	if file.format.TimestampsMarkArrival {
		report.Stamp = stampArrival
	}
	source.clockCorrector.unordered = file.format.HAR
	handle := func(position entryPosition, raw *RawEntry, malformed error) error {
		return imp.countEntry(source, file, position, raw, malformed)
	}
	err := file.openError
	switch {
	case err != nil:
	case file.format.HAR:
		err = readHAR(file.reader, handle)
	default:
		err = readLines(file.reader, file.format, handle)
	}
	if source.sorter.err != nil {
		return source.sorter.err
	}
	_, remainderErr := io.Copy(io.Discard, file.hasher) // so that the whole file is hashed
	if err == nil {
		err = remainderErr
	}
	if err != nil {
		report.addTruncation(fmt.Sprintf("%s: %v, after %d bytes", file.File, err, file.hasher.bytesRead))
	}
	source.clockCorrector.finish()
	source.spreader.flush()
	return nil
}

// countEntry counts one entry as accepted, malformed, unmapped or ignored, and passes an accepted one
// to the clock corrector of its source. The returned error comes from the spool.
func (imp *importer) countEntry(source *logSource, file *inputFile, position entryPosition, raw *RawEntry, malformed error) error {
	const typicalLineBytes = 256
	counts := &source.report.Counts
	counts.Read++
	if malformed != nil {
		counts.Malformed++
		imp.reject(Reject{Source: file.File, Line: position.line, Offset: position.offset, Reason: malformed.Error()})
		return nil
	}
	if raw.Ignored != "" {
		counts.Ignored++
		imp.report.IgnoredBy[raw.Ignored]++
		return nil
	}
	path, _, _ := strings.Cut(raw.Target, "?")
	rule, token := imp.options.Rules.Find(raw.Method, path, raw.Client)
	if rule < 0 {
		counts.Unmapped++
		return nil
	}
	counts.Accepted++
	source.clockCorrector.add(imp.newPendingEntry(source, raw, rule, token))
	imp.reportProgress(typicalLineBytes, false)
	return source.sorter.err
}

func (imp *importer) reject(reject Reject) {
	if imp.options.OnReject != nil {
		imp.options.OnReject(reject)
	}
	if len(imp.report.Rejects) < imp.options.MaxListedRejects {
		imp.report.Rejects = append(imp.report.Rejects, reject)
	} else {
		imp.report.UnlistedRejects++
	}
}

// newPendingEntry reduces an accepted entry to the values that the recording needs. It keeps only hashes
// of the key's token and of the target.
func (imp *importer) newPendingEntry(source *logSource, raw *RawEntry, rule int, token string) pendingEntry {
	entry := pendingEntry{
		timestamp:             raw.Timestamp,
		sequence:              source.sequence,
		signature:             raw.signature(),
		duration:              raw.Duration,
		serviceTime:           raw.ServiceTime,
		resolution:            raw.Resolution,
		class:                 int32(rule),
		status:                int32(raw.Status),
		bodyBytes:             int32(min(raw.BodyBytes, math.MaxInt32)),
		repairs:               raw.Repairs,
		timestampMarksArrival: raw.TimestampMarksArrival,
		foldOffset:            raw.FoldOffset,
	}
	source.sequence++
	source.wholeSeconds = source.wholeSeconds || raw.Resolution >= second
	switch {
	case imp.options.Rules.Classes[rule].KeySource == KeyFromNone:
		entry.noKey = true
	case imp.options.Rules.Redacted.isRedacted(token):
		entry.repairs |= SyntheticKey
	default:
		entry.key = xxhash.Sum64String(token) | 1
	}
	return entry
}

// addArrival computes the arrival of an entry whose timestamp has been corrected, counts the entry and
// passes it to the sorter.
func (imp *importer) addArrival(source *logSource, entry pendingEntry) {
	if !entry.timestampMarksArrival {
		if entry.duration >= 0 {
			entry.timestamp -= entry.duration
		} else {
			entry.repairs |= CompletionTakenAsArrival
		}
	}
	if source.signatures != nil {
		source.signatures.add(entry.signature, entry.timestamp)
	}
	source.earliestArrival = min(source.earliestArrival, entry.timestamp)
	source.latestArrival = max(source.latestArrival, entry.timestamp)
	if len(imp.sources) == 1 {
		imp.countWritten(source.report, &entry)
	}
	if base := entry.baseDuration(); base >= 0 {
		imp.statistics[entry.class].recorded.add(base, imp.reservoirRandom)
	}
	source.sorter.add(entry)
}
