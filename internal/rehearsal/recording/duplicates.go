package recording

import "slices"

// duplicateFilter finds requests that two sources logged: entries with the same signature
// within a time window. It remembers entries for twice the widest window.
type duplicateFilter struct {
	windows []int64 // of each source, µs; 0: it is not compared
	seen    map[uint64][]sourceEntry
	queue   []sourceEntry // of all that is remembered, by time
}

// sourceEntry is an entry as the filter remembers it.
type sourceEntry struct {
	signature uint64
	timestamp int64
	source    int
}

// isDuplicate reports whether another source has logged the entry's request already. Entries
// come in the order of their timestamps.
func (f *duplicateFilter) isDuplicate(source int, entry *pendingEntry) bool {
	window := f.windows[source]
	if window == 0 {
		return false
	}
	f.forgetBefore(entry.timestamp - 2*slices.Max(f.windows))
	list := f.seen[entry.signature]
	for i, other := range list {
		if other.source == source || entry.timestamp-other.timestamp > max(window, f.windows[other.source]) {
			continue
		}
		if len(list) == 1 {
			delete(f.seen, entry.signature)
		} else {
			f.seen[entry.signature] = slices.Delete(slices.Clone(list), i, i+1)
		}
		return true
	}
	seen := sourceEntry{signature: entry.signature, timestamp: entry.timestamp, source: source}
	f.seen[entry.signature] = append(list, seen)
	f.queue = append(f.queue, seen)
	return false
}

// forgetBefore drops the entries of before the given time.
func (f *duplicateFilter) forgetBefore(timestamp int64) {
	for len(f.queue) > 0 && f.queue[0].timestamp < timestamp {
		oldest := f.queue[0]
		f.queue = f.queue[1:]
		list := f.seen[oldest.signature]
		switch {
		case len(list) == 0 || list[0].timestamp != oldest.timestamp:
		case len(list) == 1:
			delete(f.seen, oldest.signature)
		default:
			f.seen[oldest.signature] = list[1:]
		}
	}
}
