package recording

import (
	"math/rand/v2"
	"slices"
)

// maxSpreadGroup is the number of entries of one second that are spread at once.
const maxSpreadGroup = 1 << 16

// secondSpreader spreads the entries whose timestamps are whole seconds over their second, in
// their order. A second with too many entries is spread in parts: each full group takes half of
// what is left of the second.
type secondSpreader struct {
	emit         func(pendingEntry)
	random       *rand.Rand
	group        []pendingEntry
	second       int64     // timestamp of the group
	usedFraction float64   // of the second, by its earlier groups
	fractions    []float64 // of the second, for the group's entries

	CrowdedSeconds int // groups that were too large for one part
	Spread         int // entries
}

// add takes the next entry of the source.
func (s *secondSpreader) add(entry pendingEntry) {
	if entry.resolution < second {
		s.flush()
		s.emit(entry)
		return
	}
	if len(s.group) > 0 && entry.timestamp != s.second {
		s.flush()
	}
	s.second = entry.timestamp
	s.group = append(s.group, entry)
	if len(s.group) == maxSpreadGroup {
		s.CrowdedSeconds++
		s.spreadGroup(s.usedFraction + (1-s.usedFraction)/2)
	}
}

// flush ends a second.
func (s *secondSpreader) flush() {
	if len(s.group) > 0 {
		s.spreadGroup(1)
	}
	s.usedFraction = 0
}

// spreadGroup emits the group, spread up to the given fraction of the second.
func (s *secondSpreader) spreadGroup(limit float64) {
	const lastMicrosecond = second - 1
	s.fractions = s.fractions[:0]
	for range s.group {
		s.fractions = append(s.fractions, s.usedFraction+s.random.Float64()*(limit-s.usedFraction))
	}
	slices.Sort(s.fractions)
	s.Spread += len(s.group)
	for i, entry := range s.group {
		entry.timestamp += min(int64(s.fractions[i]*1e6), lastMicrosecond)
		s.emit(entry)
	}
	s.group = s.group[:0]
	s.usedFraction = limit
}
