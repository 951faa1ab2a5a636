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

// Outcome is the result of applying a change.
type Outcome int

// The outcomes of Store.Apply.
const (
	Applied  Outcome = iota // the state now has the change's version
	Stale                   // the change cannot make the state newer, and was not applied
	Rejected                // the change is malformed, or changes before it are missing; it was not applied
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

// ErrGap means that a delta continues from a version that the store does not have
// yet. The caller should request the changes after Store.Version from its
// upstream.
var ErrGap = errors.New("changes before this delta are missing")

// noVersion is the value of Store.exactBase if no exact delta can be sent.
const noVersion Version = -1

// Store holds the newest state and a log of the last changes. The log is
// compacted: it has one entry for each key, and a later change of a key replaces
// the earlier one. Deleted keys are kept as long as they are in the log.
// It is created by [NewStore].
type Store struct {
	version       Version
	resumeVersion Version // see ResumeVersion
	entries       map[string]*logEntry
	liveCount     int // entries that are not deleted

	logLimit       int
	logLength      int
	oldest, newest *logEntry // the ends of the log, by version

	// These fields determine from which versions the log can answer with a delta.
	// The log lacks the changes of versions up to trimmed. Of the last snapshot or
	// exact delta, it has only the differences from the state right before, whose
	// version is exactBase. A key that changed in between and changed back is not
	// among them. Before lastSnapshot, the log can therefore answer only from
	// exactBase.
	trimmed      Version
	lastSnapshot Version // version of the last snapshot or exact delta
	exactBase    Version // noVersion if the state before was not exactly the origin's
	snapshots    int     // number of snapshots applied so far
}

// NewStore returns an empty store with a log of at most logLimit entries.
// Subscribers that are further behind are sent a snapshot; with a limit of 0, that
// is every subscriber that lacks a change.
func NewStore(logLimit int) *Store {
	return &Store{logLimit: max(logLimit, 0), entries: map[string]*logEntry{}, exactBase: noVersion}
}

// Version returns the version of the state, or 0 if nothing has been applied yet.
func (s *Store) Version() Version { return s.version }

// ResumeVersion returns the version up to which nothing is missing. It equals
// Version unless a delta after it has been rejected, here or by the sender of a
// change. The content of that delta is then missing. To get it, the caller
// requests the changes after ResumeVersion from its upstream from time to time,
// in addition to following the changes after Version.
func (s *Store) ResumeVersion() Version { return s.resumeVersion }

// complete reports whether the state equals the origin's at the same version.
func (s *Store) complete() bool { return s.resumeVersion == s.version }

// Len returns the number of workers and settings in the state.
func (s *Store) Len() int { return s.liveCount }

// Get returns the record of a key in the state, and whether there is one.
func (s *Store) Get(key string) (Record, bool) {
	entry := s.entries[key]
	if entry == nil || entry.record.Deleted {
		return Record{}, false
	}
	return entry.record, true
}

// Apply applies a change completely or not at all. The change must be newer than
// the state. If something is missing after ResumeVersion, the change may also have
// the same version and contain what is missing. The error is set if the outcome is
// Rejected.
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
		return Stale, nil // its records of some keys may be older than the state's
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
// have applied it. The state stays the same, as if that version had changed
// nothing, and later deltas can be applied. ResumeVersion stays the same as well,
// since the origin continues from a state that includes the rejected delta. A
// rejected snapshot must not be skipped: the caller drops it and closes its
// connection. A store without a state skips nothing, since it needs a snapshot.
func (s *Store) Reject(version Version) {
	if s.version > 0 {
		s.version = max(s.version, version)
	}
}

// overlaps reports whether a delta continues from a version before the state's, so
// that it may repeat changes that have been applied.
func (s *Store) overlaps(delta Change) bool {
	return !delta.Snapshot && delta.Base > 0 && delta.Base < s.version
}

// coversMissing reports whether the change reaches back to ResumeVersion.
func (s *Store) coversMissing(change Change) bool {
	return change.Snapshot || change.Base > 0 && change.Base <= s.resumeVersion
}

// repairs reports whether the change contains what is missing after ResumeVersion.
func (s *Store) repairs(change Change) bool {
	return !s.complete() && change.MissingFrom == 0 && s.coversMissing(change)
}

// resumeBefore lowers the resume version below the base of an exact delta that
// cannot be applied, so that the next request for changes after ResumeVersion is
// answered with a snapshot and not with the same delta again.
func (s *Store) resumeBefore(delta Change) {
	if delta.Exact && s.repairs(delta) {
		s.resumeVersion = min(s.resumeVersion, delta.Base-1)
	}
}

// resumeVersionAfter returns the version up to which nothing is missing once the
// change has been applied.
func (s *Store) resumeVersionAfter(change Change) Version {
	senderComplete := change.Version // the version up to which the sender lacks nothing
	if change.MissingFrom > 0 {
		senderComplete = change.MissingFrom - 1
	}
	switch {
	case change.Snapshot || change.Exact && s.complete():
		return senderComplete // even if it is lower, since the sender's records may be older
	case change.Exact:
		return min(s.resumeVersion, senderComplete)
	case s.complete() || s.coversMissing(change):
		return max(s.resumeVersion, senderComplete)
	}
	return s.resumeVersion
}

// check checks the conditions that Parse guarantees, for changes that were not
// returned by Parse.
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

// replace replaces the state by that of a snapshot. Only the differences are
// logged, so that a subscriber at the version before the snapshot is sent only
// those.
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
	slices.SortFunc(removed, compareKeys) // map order would make logs differ
	for _, entry := range removed {
		s.set(entry.record.deletion(), snapshot.Version)
	}
}

// markSnapshotBoundary records that the log has the change to version only as
// differences from the state before it.
func (s *Store) markSnapshotBoundary(version Version) {
	s.lastSnapshot = version
	s.exactBase = noVersion
	if s.complete() {
		s.exactBase = s.version
	}
}

// compareKeys orders entries by their keys.
func compareKeys(a, b *logEntry) int { return cmp.Compare(a.record.Key, b.record.Key) }

// setIfDifferent puts a record of a snapshot into the state if it differs from the
// state's record.
func (s *Store) setIfDifferent(record Record, version Version) {
	if record.Deleted {
		return // as if the snapshot did not contain it
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

// set puts a record into the state and at the newest end of the log.
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

// Since returns what a subscriber at version after lacks: a delta with the newest
// record of each key that has changed since, in the order of the changes; or a
// snapshot if the log does not reach back so far, or after is 0. It returns false
// if after is newer than the state, or there is no state yet; the subscriber must
// then use another server. The cost is proportional to the records returned.
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
// a snapshot, because the subscriber has no state, or because the log does not
// contain everything that it lacks.
func (s *Store) NeedsSnapshot(after Version) bool {
	return after <= 0 || after < s.trimmed || after < s.lastSnapshot && after != s.exactBase
}

// missingFrom returns the first version of which something may be missing, or 0 if
// nothing is.
func (s *Store) missingFrom() Version {
	if s.complete() {
		return 0
	}
	return s.resumeVersion + 1
}

// Snapshot returns the entire state, sorted by key, so that equal states make equal
// snapshots. The cost is proportional to the state; callers should cache the
// encoded line by version.
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
