package membership

// logEntry is the newest record of one key, and its position in the store's log.
type logEntry struct {
	record         Record
	version        Version   // of the last change to the key
	seenInSnapshot int       // the number of the last snapshot that contained the key
	inLog          bool      // the entry is in the log, and older and newer are valid
	older          *logEntry // the neighbouring entries in the log
	newer          *logEntry
}

// link appends an entry at the newest end of the log.
func (s *Store) link(entry *logEntry) {
	entry.inLog = true
	entry.older = s.newest
	entry.newer = nil
	if s.newest != nil {
		s.newest.newer = entry
	} else {
		s.oldest = entry
	}
	s.newest = entry
	s.logLength++
}

// unlink removes an entry from the log, if it is there.
func (s *Store) unlink(entry *logEntry) {
	if !entry.inLog {
		return
	}
	if entry.older != nil {
		entry.older.newer = entry.newer
	} else {
		s.oldest = entry.newer
	}
	if entry.newer != nil {
		entry.newer.older = entry.older
	} else {
		s.newest = entry.older
	}
	entry.inLog = false
	entry.older = nil
	entry.newer = nil
	s.logLength--
}

// trim drops the oldest entries beyond the log's limit. A deleted key is removed
// with its entry.
func (s *Store) trim() {
	for s.logLength > s.logLimit {
		entry := s.oldest
		s.trimmed = max(s.trimmed, entry.version)
		s.unlink(entry)
		if entry.record.Deleted {
			delete(s.entries, entry.record.Key)
		}
	}
}

// firstAfter returns the oldest entry whose version is newer than after, and the
// number of entries from there to the newest.
func (s *Store) firstAfter(after Version) (first *logEntry, count int) {
	for entry := s.newest; entry != nil && entry.version > after; entry = entry.older {
		first = entry
		count++
	}
	return first, count
}
