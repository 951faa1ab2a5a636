package membership

// This file owns how a store that has begun with a snapshot learns what had
// changed before it. It must never let a subscriber resume from a version of
// which the log does not hold all that changed since.

// Backfill takes in what changed between an earlier version, c.Base, and the
// snapshot that the store began with, or later. From then on subscribers resume
// from versions back to c.Base by a delta, as if the store had been there: the
// relay that comes back costs its zone no snapshots. The state becomes that of
// c.Version. It is false, and nothing changes, where the delta does not tell all
// that changed, is older than the state, or the store did not begin with a snapshot.
func (s *Store) Backfill(c Change) bool {
	if !s.backfills(c) {
		return false
	}
	for s.oldest != nil && s.oldest.version <= s.lastSnapshot {
		s.unlink(s.oldest) // the snapshot's entries do not tell when they changed
	}
	s.setAll(c)
	s.version, s.resume = c.Version, c.Version
	s.trimmed, s.lastSnapshot, s.exactBase = c.Base, c.Base, noVersion
	s.trim()
	return true
}

func (s *Store) backfills(c Change) bool {
	begunWithSnapshot := s.snapshots == 1 && s.exactBase == 0 && s.complete()
	tellsAll := !c.Whole && !c.Exact && c.Missing == 0 && c.check() == nil
	return begunWithSnapshot && tellsAll && c.Base > 0 && c.Base < s.lastSnapshot && c.Version >= s.version
}
