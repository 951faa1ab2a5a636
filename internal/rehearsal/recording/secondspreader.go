package recording

import (
	"math/rand/v2"
	"slices"
)

// maxSpreadGroup is the largest number of entries of one second that are held back and spread together.
const maxSpreadGroup = 1 << 16

// secondSpreader gives entries whose timestamps are whole seconds random times within their second,
// without changing their order. It buffers at most maxSpreadGroup entries. If a second has more, they are
// spread in several groups: each full group over half of the part of the second that is left.
type secondSpreader struct {
	emit           func(pendingEntry)
	random         *rand.Rand
	group          []pendingEntry // entries of the current second that are not emitted yet
	groupTimestamp int64          // timestamp of the group
	usedFraction   float64        // part of the second that earlier groups were spread over
	fractions      []float64      // times of the group's entries, as fractions of the second

	FullGroups    int // full groups; a second may have several
	SpreadEntries int // entries that were spread
}

// add takes the next entry of the source.
func (s *secondSpreader) add(entry pendingEntry) {
	if entry.resolution < second {
		s.flush()
		s.emit(entry)
		return
	}
	if len(s.group) > 0 && entry.timestamp != s.groupTimestamp {
		s.flush()
	}
	s.groupTimestamp = entry.timestamp
	s.group = append(s.group, entry)
	if len(s.group) == maxSpreadGroup {
		s.FullGroups++
		s.spreadGroup(s.usedFraction + (1-s.usedFraction)/2)
	}
}

// flush spreads the remaining entries of the current second and ends it.
func (s *secondSpreader) flush() {
	if len(s.group) > 0 {
		s.spreadGroup(1)
	}
	s.usedFraction = 0
}

// spreadGroup spreads the group over the part of the second from usedFraction to limit, and emits it.
func (s *secondSpreader) spreadGroup(limit float64) {
	const lastMicrosecond = second - 1
	s.fractions = s.fractions[:0]
	for range s.group {
		s.fractions = append(s.fractions, s.usedFraction+s.random.Float64()*(limit-s.usedFraction))
	}
	slices.Sort(s.fractions)
	s.SpreadEntries += len(s.group)
	for i, entry := range s.group {
		entry.timestamp += min(int64(s.fractions[i]*1e6), lastMicrosecond)
		s.emit(entry)
	}
	s.group = s.group[:0]
	s.usedFraction = limit
}
