package recording

import "slices"

// signatureSample stores the timestamps of a sample of a source's requests. The sample consists of the
// requests with the lowest signatures, so that the samples of two sources overlap even if one source has
// far more requests than the other.
type signatureSample struct {
	seen         map[uint64]sighting
	maxSignature uint64 // entries with higher signatures are not stored
}

// sighting describes the entries of a source that have the same signature.
type sighting struct {
	timestamp int64 // timestamp of the latest of these entries, µs
	count     int32 // number of these entries
}

// maxSightings bounds the size of a sample.
const maxSightings = 1 << 15

func newSignatureSample() *signatureSample {
	return &signatureSample{seen: map[uint64]sighting{}, maxSignature: ^uint64(0)}
}

func (s *signatureSample) add(signature uint64, timestamp int64) {
	if signature > s.maxSignature {
		return
	}
	previous := s.seen[signature]
	s.seen[signature] = sighting{timestamp, previous.count + 1}
	for len(s.seen) > maxSightings {
		s.maxSignature /= 2
		for remembered := range s.seen {
			if remembered > s.maxSignature {
				delete(s.seen, remembered)
			}
		}
	}
}

// ClockOffset says how far the clock of a source is behind that of the first source.
type ClockOffset struct {
	Microseconds int64 // to be added to the source's timestamps
	Estimated    bool  // from requests that both sources logged
	Pairs        int   // number of requests that the estimate is based on
	Spread       int64 // half of the interquartile range of the pairs' differences, µs
}

const (
	minOffsetPairs = 5
	// offsetPairWindow is the largest distance, in microseconds, between two timestamp differences
	// that agree. Each of them is the difference of two timestamps, either of which is off by up to
	// one second if its resolution is a second.
	offsetPairWindow = 2 * second
)

// estimateOffset estimates the clock offset of a source against a reference from the requests that
// each of the two logged exactly once. ok is false if the timestamp differences of too few of them
// agree.
func estimateOffset(reference, other *signatureSample) (offset ClockOffset, ok bool) {
	differences := timestampDifferences(reference, other)
	agreeing := largestCluster(differences, offsetPairWindow)
	if len(agreeing) < minOffsetPairs || mayAgreeByChance(differences, len(agreeing)) {
		return ClockOffset{}, false
	}
	pairs := len(agreeing)
	return ClockOffset{
		Microseconds: agreeing[pairs/2],
		Estimated:    true,
		Pairs:        pairs,
		Spread:       (agreeing[pairs*3/4] - agreeing[pairs/4] + 1) / 2,
	}, true
}

// timestampDifferences returns by how much the reference's timestamp is later than the other's, for
// each request that each of the two logged exactly once. The differences are sorted.
func timestampDifferences(reference, other *signatureSample) []int64 {
	var differences []int64
	for signature, a := range reference.seen {
		b, found := other.seen[signature]
		if found && a.count == 1 && b.count == 1 {
			differences = append(differences, a.timestamp-b.timestamp)
		}
	}
	slices.Sort(differences)
	return differences
}

// largestCluster returns the longest run of sorted values that differ by at most window.
func largestCluster(sorted []int64, window int64) []int64 {
	var largest []int64
	start := 0
	for end := range sorted {
		for sorted[end]-sorted[start] > window {
			start++
		}
		if end-start+1 > len(largest) {
			largest = sorted[start : end+1]
		}
	}
	return largest
}

// mayAgreeByChance reports whether a cluster of the given size could also be found if each pair consisted
// of two different requests, so that the timestamp differences were uniformly distributed.
func mayAgreeByChance(differences []int64, cluster int) bool {
	width := differences[len(differences)-1] - differences[0]
	if width <= offsetPairWindow {
		return false
	}
	expected := float64(len(differences)) * float64(offsetPairWindow) / float64(width)
	return float64(cluster) < 4*expected+2 && cluster*2 < len(differences)
}
