package membership

// logEntry is the newest record of one key, and its place in the store's log.
type logEntry struct {
	record         Record
	version        Version   // of the last change
	seenInSnapshot int       // the number of the last snapshot that held the key
	inLog          bool      // older and newer are valid
	older          *logEntry // neighbours in the log
	newer          *logEntry
}

// link puts an entry at the newer end of the log.
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

// unlink takes an entry out of the log, if it is there.
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

// trim drops the oldest entries beyond the log's limit, and with them the keys
// that have been deleted.
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

// firstAfter returns the oldest entry of the versions after that one, and the
// number of entries from there on.
func (s *Store) firstAfter(after Version) (first *logEntry, count int) {
	for entry := s.newest; entry != nil && entry.version > after; entry = entry.older {
		first = entry
		count++
	}
	return first, count
}
