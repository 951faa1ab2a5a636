package recording

import (
	"cmp"
	"encoding/hex"
	"hash"
	"slices"
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
