package recording

import (
	"cmp"
	"encoding/hex"
	"hash"
	"slices"
)

// logSource is the state of one source during an import.
type logSource struct {
	report          *SourceReport
	files           []*inputFile
	clockCorrector  clockCorrector
	spreader        secondSpreader
	sorter          sorter
	signatures      *signatureSample // nil if there is no other source, and once the offsets are known
	earliestArrival int64            // earliest arrival, µs; math.MaxInt64 if there is no entry
	latestArrival   int64            // latest arrival, µs
	wholeSeconds    bool             // at least one accepted timestamp has a resolution of a second
	sequence        uint64           // sequence number of the next entry
	offset          ClockOffset      // set by alignClocks
}

// sortFiles sorts the files by their first timestamps. If that changes their order, it sets Reordered in
// the source's report.
func (s *logSource) sortFiles() {
	slices.SortStableFunc(s.files, func(a, b *inputFile) int { return cmp.Compare(a.firstTimestamp, b.firstTimestamp) })
	for i, file := range s.files {
		if i > 0 && file.inputIndex < s.files[i-1].inputIndex {
			s.report.Reordered = true
		}
	}
}

// reportRead completes the report of a source once its files have been read. digests is a hash of the
// digests of its files. For a single file the report has the file's own digest.
func (s *logSource) reportRead(digests hash.Hash) {
	digest := digests.Sum(nil)
	if len(s.files) == 1 {
		digest = s.files[0].hasher.full.Sum(nil)
	}
	s.report.SHA256 = hex.EncodeToString(digest)
	s.report.ClockSteps = s.clockCorrector.StepsBack
	s.report.SteppedUs = s.clockCorrector.SteppedMicroseconds
	s.report.OutlierTimestamps = s.clockCorrector.Outliers
	s.report.SpreadEntries = s.spreader.SpreadEntries
	s.report.FullGroups = s.spreader.FullGroups
}
