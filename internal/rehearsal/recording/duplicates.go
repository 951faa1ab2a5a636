package recording

import "slices"

// duplicateFilter finds the entries of requests that another source logged too: those with the same
// signature within a time window. It remembers each entry for twice the widest window.
type duplicateFilter struct {
	windows    []int64                  // by source, µs; 0 for a source that is not compared
	unmatched  map[uint64][]sourceEntry // by signature: remembered entries that no duplicate was found of
	remembered []sourceEntry            // remembered entries in the order of their timestamps
}

// sourceEntry holds what the filter remembers of an entry.
type sourceEntry struct {
	signature uint64
	timestamp int64
	source    int
}

// isDuplicate reports whether another source has an earlier entry for the same request. It must be called
// with the entries in the order of their timestamps.
func (f *duplicateFilter) isDuplicate(source int, entry *pendingEntry) bool {
	window := f.windows[source]
	if window == 0 {
		return false
	}
	f.forgetBefore(entry.timestamp - 2*slices.Max(f.windows))
	list := f.unmatched[entry.signature]
	for i, other := range list {
		if other.source == source || entry.timestamp-other.timestamp > max(window, f.windows[other.source]) {
			continue
		}
		if len(list) == 1 {
			delete(f.unmatched, entry.signature)
		} else {
			f.unmatched[entry.signature] = slices.Delete(slices.Clone(list), i, i+1)
		}
		return true
	}
	seen := sourceEntry{signature: entry.signature, timestamp: entry.timestamp, source: source}
	f.unmatched[entry.signature] = append(list, seen)
	f.remembered = append(f.remembered, seen)
	return false
}

// forgetBefore forgets the entries that are earlier than the given time.
func (f *duplicateFilter) forgetBefore(timestamp int64) {
	for len(f.remembered) > 0 && f.remembered[0].timestamp < timestamp {
		oldest := f.remembered[0]
		f.remembered = f.remembered[1:]
		list := f.unmatched[oldest.signature]
		switch {
		case len(list) == 0 || list[0].timestamp != oldest.timestamp:
		case len(list) == 1:
			delete(f.unmatched, oldest.signature)
		default:
			f.unmatched[oldest.signature] = list[1:]
		}
	}
}
