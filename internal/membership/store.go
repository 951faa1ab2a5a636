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

// This file owns the newest state and the log of what changed when. It must
// never go back to an older version nor take in a change in part.

// Outcome says what became of a change.
type Outcome int

const (
	Applied Outcome = iota // the state is now that of the change's version
	Stale                  // it cannot make the state newer: nothing changes
	Refused                // malformed, or changes before it are missing: nothing changes
)

func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case Stale:
		return "stale"
	case Refused:
		return "refused"
	}
	return fmt.Sprintf("Outcome(%d)", int(o))
}

// ErrGap says that a delta continues from a version that the store does not have
// yet. The caller asks upstream again, after Version.
var ErrGap = errors.New("changes before this delta are missing")

// entry is the newest record of one key, and its place in the log.
type entry struct {
	record  Record
	version Version // that changed it last
	logged  bool
	older   *entry // neighbours in the log
	newer   *entry
	seenIn  int // the last snapshot that held it, by count
}

// Store holds the newest state and a log of the last changes, one entry a key:
// a later change of a key takes the place of the earlier one. Deleted keys are
// remembered as long as the log holds them.
type Store struct {
	limit   int // entries of the log
	version Version
	resume  Version // up to it nothing is missing; below version after a refused delta
	entries map[string]*entry
	live    int // entries that are not deleted

	oldest, newest *entry // the ends of the log, by version
	logged         int

	// What the log can answer. It lacks changes of versions up to trimmed, and
	// what changed and changed back within the last snapshot. For the state
	// right before that snapshot it has all that differs.
	trimmed      Version
	lastSnapshot Version
	exactBase    Version // that state's version; noVersion: it was not the origin's
	snapshots    int     // applied so far
}

const noVersion Version = -1

// NewStore gives an empty store, with a log of limit entries. It answers who is
// further behind with a snapshot; with limit 0 it always does.
func NewStore(limit int) *Store {
	return &Store{limit: max(limit, 0), entries: map[string]*entry{}, exactBase: noVersion}
}

// Version is that of the state. 0: nothing has been applied yet.
func (s *Store) Version() Version { return s.version }

// Resume is the version up to which nothing is missing. It is Version, unless a
// delta was refused since, here or by who sent a change. Then what that delta
// carried is missing, and is had by asking after Resume. Once in a while will
// do, beside the calls after Version that bring what is new.
func (s *Store) Resume() Version { return s.resume }

// complete tells whether the state is the origin's at its version.
func (s *Store) complete() bool { return s.resume == s.version }

// Len is the number of hosts and settings in the state.
func (s *Store) Len() int { return s.live }

// Get is the record of a key in the state.
func (s *Store) Get(key string) (Record, bool) {
	e := s.entries[key]
	if e == nil || e.record.Deleted {
		return Record{}, false
	}
	return e.record, true
}

// Apply takes in a change, whole or not at all. It must be newer than the state;
// or, where something is missing since Resume, of the same version and bring
// it. The error says why a change was refused.
func (s *Store) Apply(c Change) (Outcome, error) {
	if err := c.check(); err != nil {
		return Refused, err
	}
	if c.Version < s.version || c.Version == s.version && !s.repairs(c) {
		return Stale, nil
	}
	if !c.Whole && c.Base > s.version {
		return Refused, fmt.Errorf("%w: it continues from version %d, the state is of %d", ErrGap, c.Base, s.version)
	}
	if s.overlaps(c) && (c.Exact || c.Missing > 0) {
		s.passOver(c)
		return Stale, nil // for some keys its record may be older than ours
	}
	resume := s.resumeWith(c)
	switch {
	case c.Whole:
		s.replace(c)
	case c.Exact:
		s.skip(c.Version)
		s.setAll(c)
	default:
		s.setAll(c)
	}
	s.version, s.resume = c.Version, resume
	s.trim()
	return Applied, nil
}

// overlaps tells whether a delta repeats changes that the state has taken in.
func (s *Store) overlaps(c Change) bool { return !c.Whole && c.Base > 0 && c.Base < s.version }

// covers tells whether the change goes back to Resume.
func (s *Store) covers(c Change) bool { return c.Whole || c.Base > 0 && c.Base <= s.resume }

// repairs tells whether the change brings what is missing since Resume.
func (s *Store) repairs(c Change) bool { return !s.complete() && c.Missing == 0 && s.covers(c) }

// passOver sees to it that the next call after Resume brings no exact delta
// again, which does not fit, but a snapshot.
func (s *Store) passOver(c Change) {
	if c.Exact && s.repairs(c) {
		s.resume = min(s.resume, c.Base-1)
	}
}

// resumeWith is the version up to which nothing is missing with the change.
func (s *Store) resumeWith(c Change) Version {
	sender := c.Version
	if c.Missing > 0 {
		sender = c.Missing - 1
	}
	switch {
	case c.Whole || c.Exact && s.complete():
		return sender // also where it is lower: the sender's records may be older
	case c.Exact:
		return min(s.resume, sender)
	case s.complete() || s.covers(c):
		return max(s.resume, sender)
	}
	return s.resume
}

func (c Change) check() error {
	if c.Version < 0 || c.Base < 0 || c.Missing < 0 {
		return errors.New("a version is negative")
	}
	for i := range c.Records {
		if c.Records[i].Key == "" {
			return fmt.Errorf("records[%d].key is empty", i)
		}
	}
	return nil
}

// Refuse passes over a delta that was refused whole, here or by who would have
// put it in force: the state stays, as if that version had changed nothing, and
// later deltas apply. Resume stays too, since the origin goes on from a state
// that holds the refused delta. A refused snapshot is not passed over: its
// caller drops it, and the connection with it. Nor does a store without a state
// pass anything over: it needs a snapshot.
func (s *Store) Refuse(v Version) {
	if s.version > 0 {
		s.version = max(s.version, v)
	}
}

// replace makes the state that of a snapshot. Only what differs is logged, so
// that a subscriber at the version before it is sent no more than that.
func (s *Store) replace(c Change) {
	s.skip(c.Version)
	s.snapshots++
	before := make([]*entry, 0, s.live)
	for _, e := range s.entries {
		if !e.record.Deleted {
			before = append(before, e)
		}
	}
	for i := range c.Records {
		s.setIfDifferent(c.Records[i], c.Version)
	}
	missing := slices.DeleteFunc(before, func(e *entry) bool { return e.seenIn == s.snapshots })
	slices.SortFunc(missing, byKey) // a map's order would make logs differ
	for _, e := range missing {
		s.set(e.record.deletion(), c.Version)
	}
}

// skip notes that the change to version v is logged only in what differs.
func (s *Store) skip(v Version) {
	s.lastSnapshot, s.exactBase = v, noVersion
	if s.complete() {
		s.exactBase = s.version
	}
}

func byKey(a, b *entry) int { return cmp.Compare(a.record.Key, b.record.Key) }

func (s *Store) setIfDifferent(r Record, v Version) {
	if r.Deleted {
		return // as if the snapshot did not hold it
	}
	e := s.entries[r.Key]
	if e == nil || e.record.Deleted != r.Deleted || !bytes.Equal(e.record.Value, r.Value) {
		s.set(r, v)
		e = s.entries[r.Key]
	}
	e.seenIn = s.snapshots
}

// deletion is the record that tells that a key has gone.
func (r Record) deletion() Record {
	r.Deleted = true
	if strings.HasPrefix(r.Key, HostPrefix) {
		r.Urgent = true
		r.Value = withHealth(r.Value, healthGone)
		return r
	}
	r.Value = json.RawMessage("null")
	return r
}

func (s *Store) setAll(c Change) {
	for i := range c.Records {
		s.set(c.Records[i], c.Version)
	}
}

// set puts a record into the state and at the end of the log.
func (s *Store) set(r Record, v Version) {
	e := s.entries[r.Key]
	if e == nil {
		e = &entry{record: Record{Deleted: true}}
		s.entries[r.Key] = e
	}
	if e.record.Deleted != r.Deleted {
		if r.Deleted {
			s.live--
		} else {
			s.live++
		}
	}
	e.record, e.version = r, v
	s.unlink(e)
	s.link(e)
}

// link puts an entry at the newer end of the log.
func (s *Store) link(e *entry) {
	e.logged, e.older, e.newer = true, s.newest, nil
	if s.newest != nil {
		s.newest.newer = e
	} else {
		s.oldest = e
	}
	s.newest = e
	s.logged++
}

func (s *Store) unlink(e *entry) {
	if !e.logged {
		return
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		s.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		s.newest = e.older
	}
	e.logged, e.older, e.newer = false, nil, nil
	s.logged--
}

// trim drops the oldest entries beyond the log's bound.
func (s *Store) trim() {
	for s.logged > s.limit {
		e := s.oldest
		s.trimmed = max(s.trimmed, e.version)
		s.unlink(e)
		if e.record.Deleted {
			delete(s.entries, e.record.Key)
		}
	}
}

// Since gives what a subscriber at version after lacks: of each key that changed
// since, the newest record, in the order of the changes; a snapshot where the
// log does not reach back so far, or after is 0. It is false where after is newer
// than the state, or there is no state yet: then another server must be asked.
// Its cost goes with the records that it gives.
func (s *Store) Since(after Version) (Change, bool) {
	if after > s.version || s.version == 0 {
		return Change{}, false
	}
	if s.NeedsSnapshot(after) {
		return s.Snapshot(), true
	}
	count := 0
	first := s.newest
	for e := s.newest; e != nil && e.version > after; e = e.older {
		first = e
		count++
	}
	c := Change{Version: s.version, Base: after, Exact: after == s.exactBase, Missing: s.missing()}
	if count == 0 {
		return c, true
	}
	c.Records = make([]Record, 0, count)
	for e := first; e != nil; e = e.newer {
		c.Records = append(c.Records, e.record)
	}
	return c, true
}

// NeedsSnapshot tells whether Since answers a subscriber at version after with a
// snapshot: it has nothing, or the log does not tell what it lacks.
func (s *Store) NeedsSnapshot(after Version) bool {
	return after <= 0 || after < s.trimmed || after < s.lastSnapshot && after != s.exactBase
}

// missing is what changes say of Resume.
func (s *Store) missing() Version {
	if s.complete() {
		return 0
	}
	return s.resume + 1
}

// Snapshot gives the whole state, in the order of its keys: equal states make
// equal snapshots. Its cost goes with the state; callers keep its line by version.
func (s *Store) Snapshot() Change {
	c := Change{
		Version: s.version,
		Whole:   true,
		Missing: s.missing(),
		Records: make([]Record, 0, s.live),
	}
	for _, e := range s.entries {
		if !e.record.Deleted {
			c.Records = append(c.Records, e.record)
		}
	}
	slices.SortFunc(c.Records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return c
}
