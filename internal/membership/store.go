package membership

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Outcome says what became of a change.
type Outcome int

// The outcomes of Store.Apply.
const (
	Applied  Outcome = iota // the state is now that of the change's version
	Stale                   // it cannot make the state newer: nothing changes
	Rejected                // malformed, or changes before it are missing: nothing changes
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case Stale:
		return "stale"
	case Rejected:
		return "rejected"
	}
	return fmt.Sprintf("Outcome(%d)", int(o))
}

// ErrGap says that a delta continues from a version that the store does not have
// yet. The caller should ask its upstream again, after Store.Version.
var ErrGap = errors.New("changes before this delta are missing")

// noVersion is the value of Store.exactBase where no exact delta can be given.
const noVersion Version = -1

// Store holds the newest state and a log of the last changes. The log is
// compacted: it has one entry for each key, and a later change of a key replaces
// the earlier one. Deleted keys are remembered as long as the log holds them.
// It is created by [NewStore].
type Store struct {
	version       Version
	resumeVersion Version // see ResumeVersion
	entries       map[string]*logEntry
	liveCount     int // entries that are not deleted

	logLimit       int
	logLength      int
	oldest, newest *logEntry // the ends of the log, by version

	// The range that the log can answer. It lacks the changes of versions up to
	// trimmed, and what changed within the last snapshot and back again. For the
	// state right before that snapshot, of version exactBase, it has all
	// differences.
	trimmed      Version
	lastSnapshot Version
	exactBase    Version // noVersion: that state was not the origin's
	snapshots    int     // applied so far
}

// NewStore returns an empty store with a log of at most logLimit entries.
// Subscribers that are further behind are sent a snapshot; with a limit of 0 all are.
func NewStore(logLimit int) *Store {
	return &Store{logLimit: max(logLimit, 0), entries: map[string]*logEntry{}, exactBase: noVersion}
}

// Version returns the version of the state; 0 where nothing has been applied yet.
func (s *Store) Version() Version { return s.version }

// ResumeVersion returns the version up to which nothing is missing. It is
// Version, unless a delta has been rejected since, here or by the sender of a
// change. What that delta carried is then missing, and is had by asking the
// upstream for the changes after ResumeVersion: now and then, beside the calls
// after Version that bring what is new.
func (s *Store) ResumeVersion() Version { return s.resumeVersion }

// complete reports whether the state is the origin's at its version.
func (s *Store) complete() bool { return s.resumeVersion == s.version }

// Len returns the number of workers and settings in the state.
func (s *Store) Len() int { return s.liveCount }

// Get returns the record of a key in the state; false where there is none.
func (s *Store) Get(key string) (Record, bool) {
	entry := s.entries[key]
	if entry == nil || entry.record.Deleted {
		return Record{}, false
	}
	return entry.record, true
}

// Apply applies a change completely or not at all. The change must be newer than
// the state; or, where something is missing after ResumeVersion, of the same
// version and bring it. The error is set where the outcome is Rejected.
func (s *Store) Apply(change Change) (Outcome, error) {
	if err := change.check(); err != nil {
		return Rejected, err
	}
	if change.Version < s.version || change.Version == s.version && !s.repairs(change) {
		return Stale, nil
	}
	if !change.Snapshot && change.Base > s.version {
		return Rejected, fmt.Errorf("%w: it continues from version %d, the state is of %d", ErrGap, change.Base, s.version)
	}
	if s.overlaps(change) && (change.Exact || change.MissingFrom > 0) {
		s.resumeBefore(change)
		return Stale, nil // for some keys its record may be older than ours
	}
	resumeVersion := s.resumeVersionAfter(change)
	switch {
	case change.Snapshot:
		s.replace(change)
	case change.Exact:
		s.markSnapshotBoundary(change.Version)
		s.setAll(change)
	default:
		s.setAll(change)
	}
	s.version = change.Version
	s.resumeVersion = resumeVersion
	s.trim()
	return Applied, nil
}

// Reject skips a delta that was rejected, here or by the subscriber that would
// have applied it: the state stays, as if that version had changed nothing, and
// later deltas apply. ResumeVersion stays too, since the origin continues from a
// state that holds the rejected delta. A rejected snapshot must not be skipped:
// the caller drops it, and its connection. A store without a state skips nothing,
// since it needs a snapshot.
func (s *Store) Reject(version Version) {
	if s.version > 0 {
		s.version = max(s.version, version)
	}
}

// overlaps reports whether a delta repeats changes that have been applied.
func (s *Store) overlaps(delta Change) bool {
	return !delta.Snapshot && delta.Base > 0 && delta.Base < s.version
}

// coversMissing reports whether the change reaches back to ResumeVersion.
func (s *Store) coversMissing(change Change) bool {
	return change.Snapshot || change.Base > 0 && change.Base <= s.resumeVersion
}

// repairs reports whether the change brings what is missing after ResumeVersion.
func (s *Store) repairs(change Change) bool {
	return !s.complete() && change.MissingFrom == 0 && s.coversMissing(change)
}

// resumeBefore lowers the resume version below the base of an exact delta that
// cannot be applied, so that the next call after ResumeVersion is answered with
// a snapshot and not with the same delta again.
func (s *Store) resumeBefore(delta Change) {
	if delta.Exact && s.repairs(delta) {
		s.resumeVersion = min(s.resumeVersion, delta.Base-1)
	}
}

// resumeVersionAfter returns the version up to which nothing is missing once the
// change has been applied.
func (s *Store) resumeVersionAfter(change Change) Version {
	sender := change.Version
	if change.MissingFrom > 0 {
		sender = change.MissingFrom - 1
	}
	switch {
	case change.Snapshot || change.Exact && s.complete():
		return sender // also where it is lower: the sender's records may be older
	case change.Exact:
		return min(s.resumeVersion, sender)
	case s.complete() || s.coversMissing(change):
		return max(s.resumeVersion, sender)
	}
	return s.resumeVersion
}

// check checks what Parse guarantees of a line, for changes that did not come from it.
func (c Change) check() error {
	if c.Version < 0 || c.Base < 0 || c.MissingFrom < 0 {
		return errors.New("a version is negative")
	}
	for i := range c.Records {
		if c.Records[i].Key == "" {
			return fmt.Errorf("records[%d].key is empty", i)
		}
	}
	return nil
}

// replace makes the state that of a snapshot. Only the differences are logged,
// so that a subscriber at the version before the snapshot is sent no more than that.
func (s *Store) replace(snapshot Change) {
	s.markSnapshotBoundary(snapshot.Version)
	s.snapshots++
	before := make([]*logEntry, 0, s.liveCount)
	for _, entry := range s.entries {
		if !entry.record.Deleted {
			before = append(before, entry)
		}
	}
	for i := range snapshot.Records {
		s.setIfDifferent(snapshot.Records[i], snapshot.Version)
	}
	removed := slices.DeleteFunc(before, func(entry *logEntry) bool { return entry.seenInSnapshot == s.snapshots })
	slices.SortFunc(removed, compareKeys) // a map's order would make logs differ
	for _, entry := range removed {
		s.set(entry.record.deletion(), snapshot.Version)
	}
}

// markSnapshotBoundary notes that of the change to version only the differences
// to the state before it are logged.
func (s *Store) markSnapshotBoundary(version Version) {
	s.lastSnapshot = version
	s.exactBase = noVersion
	if s.complete() {
		s.exactBase = s.version
	}
}

// compareKeys orders entries by their keys.
func compareKeys(a, b *logEntry) int { return cmp.Compare(a.record.Key, b.record.Key) }

// setIfDifferent puts a snapshot's record into the state where it differs.
func (s *Store) setIfDifferent(record Record, version Version) {
	if record.Deleted {
		return // as if the snapshot did not hold it
	}
	entry := s.entries[record.Key]
	if entry == nil || entry.record.Deleted != record.Deleted || !bytes.Equal(entry.record.Value, record.Value) {
		s.set(record, version)
		entry = s.entries[record.Key]
	}
	entry.seenInSnapshot = s.snapshots
}

// deletion returns the record that deletes the record's key.
func (r Record) deletion() Record {
	r.Deleted = true
	if strings.HasPrefix(r.Key, WorkerPrefix) {
		r.Urgent = true
		r.Value = withHealth(r.Value, HealthGone)
		return r
	}
	r.Value = json.RawMessage("null")
	return r
}

// setAll puts the records of a delta into the state.
func (s *Store) setAll(change Change) {
	for i := range change.Records {
		s.set(change.Records[i], change.Version)
	}
}

// set puts a record into the state and at the newer end of the log.
func (s *Store) set(record Record, version Version) {
	entry := s.entries[record.Key]
	if entry == nil {
		entry = &logEntry{record: Record{Deleted: true}}
		s.entries[record.Key] = entry
	}
	if entry.record.Deleted && !record.Deleted {
		s.liveCount++
	}
	if !entry.record.Deleted && record.Deleted {
		s.liveCount--
	}
	entry.record = record
	entry.version = version
	s.unlink(entry)
	s.link(entry)
}

// Since returns what a subscriber at version after lacks: the newest record of
// each key that has changed since, in the order of the changes; or a snapshot
// where the log does not reach back so far, or after is 0. It returns false where
// after is newer than the state, or there is no state yet: the subscriber must
// then ask another server. The cost is proportional to the records returned.
func (s *Store) Since(after Version) (Change, bool) {
	if after > s.version || s.version == 0 {
		return Change{}, false
	}
	if s.NeedsSnapshot(after) {
		return s.Snapshot(), true
	}
	delta := Change{
		Version:     s.version,
		Base:        after,
		Exact:       after == s.exactBase,
		MissingFrom: s.missingFrom(),
	}
	first, count := s.firstAfter(after)
	if count == 0 {
		return delta, true
	}
	delta.Records = make([]Record, 0, count)
	for entry := first; entry != nil; entry = entry.newer {
		delta.Records = append(delta.Records, entry.record)
	}
	return delta, true
}

// NeedsSnapshot reports whether Since answers a subscriber at version after with
// a snapshot: it has nothing, or the log does not hold all that it lacks.
func (s *Store) NeedsSnapshot(after Version) bool {
	return after <= 0 || after < s.trimmed || after < s.lastSnapshot && after != s.exactBase
}

// missingFrom returns the first version of which something may be missing; 0
// where nothing is.
func (s *Store) missingFrom() Version {
	if s.complete() {
		return 0
	}
	return s.resumeVersion + 1
}

// Snapshot returns the entire state in the order of its keys, so that equal states
// make equal snapshots. The cost is proportional to the state; callers should
// cache the encoded line by version.
func (s *Store) Snapshot() Change {
	snapshot := Change{
		Version:     s.version,
		Snapshot:    true,
		MissingFrom: s.missingFrom(),
		Records:     make([]Record, 0, s.liveCount),
	}
	for _, entry := range s.entries {
		if !entry.record.Deleted {
			snapshot.Records = append(snapshot.Records, entry.record)
		}
	}
	slices.SortFunc(snapshot.Records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return snapshot
}
