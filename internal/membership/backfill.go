package membership

// Backfill extends the log of a store that started from a snapshot back to the
// version delta.Base, using a delta of everything that changed since. Subscribers
// can then resume from versions back to delta.Base, as if the store had received
// those changes itself, so that the restart of a relay does not cost its zone one
// snapshot for each subscriber. The state becomes that of delta.Version.
//
// It returns false and changes nothing if the delta does not contain everything
// that changed or is older than the state, or if the store did not start from a
// snapshot.
func (s *Store) Backfill(delta Change) bool {
	if !s.canBackfill(delta) {
		return false
	}
	for s.oldest != nil && s.oldest.version <= s.lastSnapshot {
		s.unlink(s.oldest) // it is not known when the snapshot's entries changed
	}
	s.setAll(delta)
	s.version = delta.Version
	s.resumeVersion = delta.Version
	s.trimmed = delta.Base
	s.lastSnapshot = delta.Base
	s.exactBase = noVersion
	s.trim()
	return true
}

// canBackfill reports whether the store is still in the state of the snapshot that
// it started from, or of deltas after it, with nothing missing; and whether the
// delta is complete and reaches from before that snapshot at least to the state.
func (s *Store) canBackfill(delta Change) bool {
	startedFromSnapshot := s.snapshots == 1 && s.exactBase == 0 && s.complete()
	isComplete := !delta.Snapshot && !delta.Exact && delta.MissingFrom == 0 && delta.check() == nil
	return startedFromSnapshot && isComplete &&
		delta.Base > 0 && delta.Base < s.lastSnapshot && delta.Version >= s.version
}
