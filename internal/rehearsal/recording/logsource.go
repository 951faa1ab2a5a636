package recording

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// logSource is one source while it is read.
type logSource struct {
	report       *SourceReport
	files        []*inputFile
	clock        clockCorrector
	spreader     secondSpreader
	sorter       sorter
	signatures   *signatureSample // nil: there is no other source
	earliest     int64            // arrival, µs
	latest       int64            // arrival, µs
	wholeSeconds bool             // some timestamps are of whole seconds
	sequence     uint64           // of the next entry
	offset       ClockOffset
}

// sortFiles puts the files in the order of their first timestamps.
func (s *logSource) sortFiles() {
	slices.SortStableFunc(s.files, func(a, b *inputFile) int { return cmp.Compare(a.firstTimestamp, b.firstTimestamp) })
	for i, file := range s.files {
		if i > 0 && file.order < s.files[i-1].order {
			s.report.Reordered = true
		}
	}
}

// readSource reads the files of a source to sorted runs on the spool.
func (m *importer) readSource(index int) error {
	source := m.sources[index]
	source.sorter = sorter{spool: m.options.Spool, nextRun: &m.runs}
	source.spreader = secondSpreader{
		random: newRandomStream(m.options.Seed, fmt.Sprintf("seconds of source %d", index)),
		emit:   func(entry pendingEntry) { m.addArrival(source, entry) },
	}
	source.clock.emit = source.spreader.add
	if len(m.sources) > 1 {
		source.signatures = newSignatureSample()
	}
	digests := sha256.New()
	for _, file := range source.files {
		if err := m.readFile(source, file); err != nil {
			return err
		}
		digests.Write(file.digest.full.Sum(nil))
		m.report.InputBytes += file.digest.bytes
		m.reportProgress(0, true)
	}
	source.reportRead(digests)
	if err := source.sorter.close(); err != nil {
		return err
	}
	var err error
	maxRuns := max(1, maxMergedRuns/len(m.sources))
	source.sorter.runs, err = compactRuns(m.options.Spool, &m.runs, source.sorter.runs, maxRuns)
	return err
}

// reportRead completes the report of a source whose files have been read. digests has hashed the
// digests of its files; the digest of a single file is reported as it is.
func (s *logSource) reportRead(digests hash.Hash) {
	digest := digests.Sum(nil)
	if len(s.files) == 1 {
		digest = s.files[0].digest.full.Sum(nil)
	}
	s.report.SHA256 = hex.EncodeToString(digest)
	s.report.ClockSteps = s.clock.StepsBack
	s.report.SteppedUs = s.clock.SteppedMicroseconds
	s.report.OutlierTimestamps = s.clock.Outliers
	s.report.Spread = s.spreader.Spread
	s.report.CrowdedSeconds = s.spreader.CrowdedSeconds
}

// readFile reads one file. A fault of the file is reported as a truncation of its source; the
// error returned is the spool's.
func (m *importer) readFile(source *logSource, file *inputFile) error {
	report := source.report
	report.Files = append(report.Files, file.File)
	report.Format = file.format.Name
	report.Stamp = stampEnd
	if file.format.StampsArrival {
		report.Stamp = stampArrival
	}
	source.clock.unordered = file.format.HAR
	handle := func(position entryPosition, raw *RawEntry, malformed error) error {
		return m.countEntry(source, file, position, raw, malformed)
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
	_, remainderErr := io.Copy(io.Discard, file.digest) // all of the file is hashed
	if err == nil {
		err = remainderErr
	}
	if err != nil {
		report.addTruncation(fmt.Sprintf("%s: %v, after %d bytes", file.File, err, file.digest.bytes))
	}
	source.clock.acceptSuspects()
	source.spreader.flush()
	return nil
}

// countEntry counts one entry as accepted, malformed, unmapped or ignored, and passes an
// accepted one on to the clock of its source. The error returned is the spool's.
func (m *importer) countEntry(source *logSource, file *inputFile, position entryPosition, raw *RawEntry, malformed error) error {
	const typicalLineBytes = 256
	counts := &source.report.Counts
	counts.Read++
	if malformed != nil {
		counts.Malformed++
		m.reject(Reject{Source: file.File, Line: position.line, Offset: position.offset, Reason: malformed.Error()})
		return nil
	}
	if raw.Ignored != "" {
		counts.Ignored++
		m.report.IgnoredBy[raw.Ignored]++
		return nil
	}
	path, _, _ := strings.Cut(raw.Target, "?")
	rule, token := m.options.Rules.Find(raw.Method, path, raw.Client)
	if rule < 0 {
		counts.Unmapped++
		return nil
	}
	counts.Accepted++
	source.clock.add(m.newPendingEntry(source, raw, rule, token))
	m.reportProgress(typicalLineBytes, false)
	return source.sorter.err
}

func (m *importer) reject(reject Reject) {
	if m.options.OnReject != nil {
		m.options.OnReject(reject)
	}
	if len(m.report.Rejects) < m.options.MaxListedRejects {
		m.report.Rejects = append(m.report.Rejects, reject)
	} else {
		m.report.UnlistedRejects++
	}
}

// newPendingEntry reduces an accepted entry to what the recording needs: the key's token and
// the target are kept as hashes alone.
func (m *importer) newPendingEntry(source *logSource, raw *RawEntry, rule int, token string) pendingEntry {
	entry := pendingEntry{
		timestamp:     raw.Timestamp,
		sequence:      source.sequence,
		signature:     raw.signature(),
		duration:      raw.Duration,
		serviceTime:   raw.ServiceTime,
		resolution:    raw.Resolution,
		class:         int32(rule),
		status:        int32(raw.Status),
		bodyBytes:     int32(min(raw.BodyBytes, math.MaxInt32)),
		repairs:       raw.Repairs,
		stampsArrival: raw.StampsArrival,
		foldOffset:    raw.FoldOffset,
	}
	source.sequence++
	source.wholeSeconds = source.wholeSeconds || raw.Resolution >= second
	switch {
	case m.options.Rules.Classes[rule].KeySource == KeyFromNone:
		entry.noKey = true
	case m.options.Rules.Redacted.isRedacted(token):
		entry.repairs |= SyntheticKey
	default:
		entry.key = xxhash.Sum64String(token) | 1
	}
	return entry
}

// signature is equal for two sources' entries of the same request.
func (r *RawEntry) signature() uint64 {
	if r.RequestID != "" {
		return xxhash.Sum64String(r.RequestID)
	}
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 / φ spreads small numbers over all bits
	return xxhash.Sum64String(r.Target)*31 + xxhash.Sum64String(r.Method) + uint64(r.Status)*goldenRatio
}

// addArrival computes the arrival of an entry whose timestamp is final, and sorts it in.
func (m *importer) addArrival(source *logSource, entry pendingEntry) {
	if !entry.stampsArrival {
		if entry.duration >= 0 {
			entry.timestamp -= entry.duration
		} else {
			entry.repairs |= EndTakenAsArrival
		}
	}
	if source.signatures != nil {
		source.signatures.add(entry.signature, entry.timestamp)
	}
	source.earliest = min(source.earliest, entry.timestamp)
	source.latest = max(source.latest, entry.timestamp)
	if len(m.sources) == 1 {
		m.countWritten(source.report, &entry)
	}
	if base := entry.baseDuration(); base >= 0 {
		m.rules[entry.class].recorded.add(base, m.random)
	}
	source.sorter.add(entry)
}
