package membership

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func settingRecord(path, value string) Record {
	return Record{Key: SettingPrefix + path, Value: []byte(value), Deleted: value == "null"}
}

// snapshot and delta are changes of settings, each "path=value".
func snapshot(v Version, settings ...string) Change {
	return Change{Version: v, Snapshot: true, Records: settingRecords(settings)}
}

func delta(v, base Version, settings ...string) Change {
	return Change{Version: v, Base: base, Records: settingRecords(settings)}
}

func settingRecords(settings []string) []Record {
	var records []Record
	for _, setting := range settings {
		path, value, _ := strings.Cut(setting, "=")
		records = append(records, settingRecord(path, value))
	}
	return records
}

func storeWith(t *testing.T, limit int, changes ...Change) *Store {
	t.Helper()
	s := NewStore(limit)
	for _, c := range changes {
		mustApply(t, s, c, Applied)
	}
	return s
}

func mustApply(t *testing.T, s *Store, c Change, want Outcome) {
	t.Helper()
	if got, err := s.Apply(c); got != want || (err != nil) != (want == Rejected) {
		t.Fatalf("Apply of version %d to %d: %v, %v; want %v", c.Version, s.Version(), got, err, want)
	}
}

// describe returns a change in short form: its kind, version, and settings.
func describe(c Change) string {
	kind := "delta"
	switch {
	case c.Snapshot:
		kind = "snapshot"
	case c.Exact:
		kind = "exact delta"
	}
	parts := []string{kind, fmt.Sprint(c.Version)}
	if c.MissingFrom > 0 {
		parts = append(parts, fmt.Sprint("missing ", c.MissingFrom))
	}
	for _, r := range c.Records {
		parts = append(parts, strings.TrimPrefix(r.Key, SettingPrefix)+"="+string(r.Value))
	}
	return strings.Join(parts, " ")
}

func expectSince(t *testing.T, s *Store, after Version, want string) {
	t.Helper()
	c, ok := s.Since(after)
	if got := describe(c); !ok || got != want {
		t.Errorf("Since(%d): %q, %v; want %q", after, got, ok, want)
	}
	if !c.Snapshot && c.Base != after {
		t.Errorf("Since(%d) continues from %d", after, c.Base)
	}
	if c.Snapshot != s.NeedsSnapshot(after) {
		t.Errorf("NeedsSnapshot(%d) is %v", after, !c.Snapshot)
	}
}

func expectState(t *testing.T, s *Store, version, resume Version, want string) {
	t.Helper()
	c := s.Snapshot()
	c.MissingFrom = 0
	if got := describe(c); got != strings.TrimSpace(fmt.Sprint("snapshot ", version, " ", want)) || s.ResumeVersion() != resume {
		t.Errorf("state is %q up to %d, want %d %s up to %d", got, s.ResumeVersion(), version, want, resume)
	}
}

func TestApplyAcceptsOnlyNewerChanges(t *testing.T) {
	s := storeWith(t, 10, snapshot(5, "a=1", "b=1"), delta(6, 5, "a=2"))
	mustApply(t, s, delta(6, 5, "a=3"), Stale)
	mustApply(t, s, delta(5, 4, "a=3"), Stale)
	mustApply(t, s, snapshot(6, "a=3"), Stale)
	mustApply(t, s, snapshot(3), Stale)
	expectState(t, s, 6, 6, "a=2 b=1")
	mustApply(t, s, delta(9, 0, "a=null"), Applied)
	mustApply(t, s, delta(9, 0, "a=null"), Stale)
	expectState(t, s, 9, 9, "b=1")
}

func TestApplyRejectsAtomically(t *testing.T) {
	s := storeWith(t, 10, snapshot(5, "a=1"))
	for name, c := range map[string]Change{
		"a gap before it":        delta(9, 7, "a=2"),
		"a record without a key": {Version: 9, Records: []Record{settingRecord("a", "2"), {}}},
		"one in a snapshot":      {Version: 9, Snapshot: true, Records: []Record{settingRecord("a", "2"), {}}},
		"a negative version":     {Version: -1},
	} {
		outcome, err := s.Apply(c)
		if outcome != Rejected || err == nil {
			t.Errorf("%s: %v, %v", name, outcome, err)
		}
		if gap := name == "a gap before it"; errors.Is(err, ErrGap) != gap {
			t.Errorf("%s: %v", name, err)
		}
	}
	expectState(t, s, 5, 5, "a=1")
}

func TestEmptyStoreAnswersNoSubscriber(t *testing.T) {
	s := NewStore(10)
	for _, after := range []Version{0, 1} {
		if c, ok := s.Since(after); ok {
			t.Errorf("Since(%d): %v", after, c)
		}
	}
	s.Reject(4)
	if s.Version() != 0 {
		t.Error("a store without a state has skipped a change")
	}
	mustApply(t, s, snapshot(3, "a=1"), Applied)
	expectSince(t, s, 0, "snapshot 3 a=1")
}

func TestSinceCoalesces(t *testing.T) {
	s := storeWith(t, 10, snapshot(1, "a=1", "b=1", "c=1"),
		delta(2, 1, "c=2"), delta(3, 2, "a=2"), delta(5, 3, "c=3", "b=null"))
	expectSince(t, s, 1, "delta 5 a=2 c=3 b=null")
	expectSince(t, s, 2, "delta 5 a=2 c=3 b=null")
	expectSince(t, s, 3, "delta 5 c=3 b=null")
	expectSince(t, s, 4, "delta 5 c=3 b=null")
	expectSince(t, s, 5, "delta 5")
	expectSince(t, s, 0, "snapshot 5 a=2 c=3")
	if _, ok := s.Since(6); ok {
		t.Error("Since answers a version that it does not have")
	}
}

func TestSinceBeyondTheLogIsASnapshot(t *testing.T) {
	s := storeWith(t, 2, snapshot(1), delta(2, 1, "a=1"), delta(3, 2, "b=1"), delta(4, 3, "c=1"))
	expectSince(t, s, 1, "snapshot 4 a=1 b=1 c=1")
	expectSince(t, s, 2, "delta 4 b=1 c=1")
	mustApply(t, s, delta(5, 4, "c=2"), Applied) // replaces the earlier entry
	expectSince(t, s, 2, "delta 5 b=1 c=2")
	expectSince(t, storeWith(t, 0, snapshot(1, "a=1"), delta(2, 1, "a=2")), 1, "snapshot 2 a=2")
}

func TestDeletedKeysAreTrimmedWithTheLog(t *testing.T) {
	s := NewStore(3)
	for v := Version(1); v < 100; v += 2 {
		mustApply(t, s, delta(v, 0, fmt.Sprint("k", v, "=1")), Applied)
		mustApply(t, s, delta(v+1, 0, fmt.Sprint("k", v, "=null")), Applied)
	}
	if s.Len() != 0 || len(s.entries) != 3 || s.logLength != 3 {
		t.Errorf("%d live, %d entries, %d in the log", s.Len(), len(s.entries), s.logLength)
	}
}

// A subscriber that has the state before a snapshot is sent only the differences.
func TestSnapshotIsForwardedAsAnExactDelta(t *testing.T) {
	before := snapshot(4, "a=1", "b=1", "c=1")
	s := storeWith(t, 10, before, snapshot(9, "a=1", "b=2", "d=1"))
	expectSince(t, s, 4, "exact delta 9 b=2 d=1 c=null")
	for _, after := range []Version{1, 5, 8} { // their state is not known
		expectSince(t, s, after, "snapshot 9 a=1 b=2 d=1")
	}
	mustApply(t, s, delta(10, 9, "a=2"), Applied)
	expectSince(t, s, 4, "exact delta 10 b=2 d=1 c=null a=2")
	expectSince(t, s, 9, "delta 10 a=2")

	// The same holds for the next relay.
	below := storeWith(t, 10, before)
	c, _ := s.Since(4)
	mustApply(t, below, c, Applied)
	expectSince(t, below, 4, "exact delta 10 b=2 d=1 c=null a=2")
	expectSince(t, below, 6, "snapshot 10 a=2 b=2 d=1")
}

// A worker that a snapshot lacks is deleted, which is urgent.
func TestWorkerMissingFromASnapshotIsDeletedUrgently(t *testing.T) {
	s := storeWith(t, 10,
		Change{Version: 1, Snapshot: true, Records: []Record{workerRecord("w1", healthReady, 7), workerRecord("w2", healthReady, 7)}},
		Change{Version: 2, Snapshot: true, Records: []Record{workerRecord("w2", healthReady, 7)}})
	c, _ := s.Since(1)
	if len(c.Records) != 1 || !c.Urgent() {
		t.Fatalf("%+v", c)
	}
	read, err := Parse(c.Append(nil))
	if err != nil {
		t.Fatal(err)
	}
	r := read.Records[0]
	if r.Key != "host/w1" || !r.Deleted || !r.Urgent || !strings.Contains(string(r.Value), `"born_ms":7`) {
		t.Errorf("%+v", r)
	}
}

func TestDeletionsInASnapshotAreNotStored(t *testing.T) {
	s := storeWith(t, 10, snapshot(1, "a=1"), snapshot(2, "a=null", "b=null"))
	expectState(t, s, 2, 2, "")
	expectSince(t, s, 1, "exact delta 2 a=null")
	mustApply(t, s, snapshot(3, "a=null"), Applied)
	expectSince(t, s, 2, "exact delta 3")
}

func TestDeletedKeyComesBackInASnapshot(t *testing.T) {
	deleted := settingRecord("a", "1")
	deleted.Deleted = true
	s := storeWith(t, 10, snapshot(1, "a=1"), Change{Version: 2, Records: []Record{deleted}}, snapshot(3, "a=1"))
	expectState(t, s, 3, 3, "a=1")
	expectSince(t, s, 2, "exact delta 3 a=1")
}

func TestRejectedDeltaIsSkipped(t *testing.T) {
	s := storeWith(t, 10, snapshot(1, "a=1", "b=1"))
	s.Reject(2)
	expectState(t, s, 2, 1, "a=1 b=1")
	mustApply(t, s, delta(3, 2, "b=2"), Applied)
	expectState(t, s, 3, 1, "a=1 b=2")
	s.Reject(2) // late: nothing changes
	expectState(t, s, 3, 1, "a=1 b=2")
	expectSince(t, s, 2, "delta 3 missing 2 b=2")
	expectSince(t, s, 0, "snapshot 3 missing 2 a=1 b=2")

	// Asked after ResumeVersion, the upstream brings the rest: also at the same version.
	mustApply(t, s, delta(3, 1, "a=2", "b=2"), Applied)
	expectState(t, s, 3, 3, "a=2 b=2")
	mustApply(t, s, delta(3, 1, "a=2", "b=2"), Stale)
	expectSince(t, s, 2, "delta 3 a=2 b=2")
}

// The subscriber of an incomplete store learns that it is incomplete.
func TestMissingFromIsForwarded(t *testing.T) {
	upper := storeWith(t, 10, snapshot(4, "a=1"))
	lower := storeWith(t, 10, snapshot(4, "a=1"))
	upper.Reject(5)
	mustApply(t, upper, delta(6, 5, "b=1"), Applied)
	c, _ := upper.Since(4)
	mustApply(t, lower, c, Applied)
	expectState(t, lower, 6, 4, "a=1 b=1")

	fresh := NewStore(10)
	mustApply(t, fresh, upper.Snapshot(), Applied)
	expectState(t, fresh, 6, 4, "a=1 b=1")
	expectSince(t, fresh, 0, "snapshot 6 missing 5 a=1 b=1")
}

// A snapshot from an incomplete sender may hold older records than the state.
func TestSnapshotFromAnIncompleteSender(t *testing.T) {
	c := snapshot(9, "a=2")
	c.MissingFrom = 4
	expectState(t, storeWith(t, 10, snapshot(5, "a=5"), c), 9, 3, "a=2")
}

// An incomplete sender may have an older value of a key than the store.
func TestNoKeyGoesBackByAnIncompleteSender(t *testing.T) {
	s := storeWith(t, 10, snapshot(1, "a=1"))
	s.Reject(2)
	mustApply(t, s, delta(3, 2, "a=3"), Applied)
	for _, v := range []Version{3, 4} {
		c := delta(v, 1, "a=2")
		c.MissingFrom = 3
		mustApply(t, s, c, Stale)
	}
	expectState(t, s, 3, 1, "a=3")
}

// An exact delta applies to the state at its base only.
func TestExactDeltaFitsOneState(t *testing.T) {
	exact := delta(9, 4, "b=2")
	exact.Exact = true
	s := storeWith(t, 10, snapshot(4, "a=1"), delta(6, 4, "a=2"))
	mustApply(t, s, exact, Stale)
	expectState(t, s, 6, 6, "a=2")

	// The next call for what is missing is answered with a snapshot.
	s = storeWith(t, 10, snapshot(4, "a=1"))
	s.Reject(5)
	mustApply(t, s, exact, Stale)
	if s.ResumeVersion() != 3 {
		t.Errorf("would ask after %d again", s.ResumeVersion())
	}
}

// With an exact delta from an incomplete sender, records may have gone back to
// before the base.
func TestExactDeltaFromAnIncompleteSender(t *testing.T) {
	for _, c := range []struct {
		rejectedBefore bool
		missing        Version
		resume         Version
	}{
		{false, 3, 2},
		{false, 8, 7},
		{true, 3, 2},
		{true, 8, 5},
		{true, 0, 5},
	} {
		s := storeWith(t, 10, snapshot(5, "a=1"))
		base := Version(5)
		if c.rejectedBefore {
			s.Reject(6)
			base = 6
		}
		exact := delta(9, base, "a=2")
		exact.Exact, exact.MissingFrom = true, c.missing
		mustApply(t, s, exact, Applied)
		if s.ResumeVersion() != c.resume {
			t.Errorf("%+v: resumes after %d", c, s.ResumeVersion())
		}
	}
}

// An incomplete state differs from the one that others have at its version, and
// so do its differences to a snapshot.
func TestNoExactDeltaFromAnIncompleteState(t *testing.T) {
	s := storeWith(t, 10, snapshot(1, "a=1"))
	s.Reject(2) // a=2
	mustApply(t, s, delta(3, 2, "b=1"), Applied)
	mustApply(t, s, snapshot(4, "a=1", "b=1"), Applied)
	expectState(t, s, 4, 4, "a=1 b=1")
	for _, after := range []Version{1, 2, 3} {
		expectSince(t, s, after, "snapshot 4 a=1 b=1")
	}
}

// Of two snapshots of one version, the first one is incomplete.
func TestSnapshotRepairsAtTheSameVersion(t *testing.T) {
	first := snapshot(4, "a=1", "b=1")
	first.MissingFrom = 3
	s := storeWith(t, 10, first)
	expectState(t, s, 4, 2, "a=1 b=1")
	mustApply(t, s, first, Stale)
	mustApply(t, s, snapshot(4, "a=2"), Applied)
	expectState(t, s, 4, 4, "a=2")
	expectSince(t, s, 3, "snapshot 4 a=2")
}

func TestEqualStatesMakeEqualSnapshots(t *testing.T) {
	one := storeWith(t, 3, snapshot(1, "a=1", "b=1"), delta(2, 1, "c=1"), delta(3, 2, "a=2"))
	other := storeWith(t, 0, snapshot(3, "c=1", "b=1", "a=2"))
	if a, b := one.Snapshot().Append(nil), other.Snapshot().Append(nil); !slices.Equal(a, b) {
		t.Errorf("%s\n%s", a, b)
	}
}

func TestGet(t *testing.T) {
	s := storeWith(t, 3, snapshot(1, "a=1", "b=1"), delta(2, 1, "b=null"))
	if r, ok := s.Get("setting/a"); !ok || string(r.Value) != "1" {
		t.Errorf("%v, %v", r, ok)
	}
	for _, key := range []string{"setting/b", "setting/c", "host/a"} {
		if r, ok := s.Get(key); ok {
			t.Errorf("%s: %v", key, r)
		}
	}
}

func TestSinceCostIsProportionalToTheChanges(t *testing.T) {
	for _, size := range benchmarkSizes {
		s := storeWith(t, size, fleetSnapshot(1, size),
			Change{Version: 2, Base: 1, Records: []Record{workerRecord("w-1", healthDraining, 0)}})
		if allocations := testing.AllocsPerRun(10, func() { s.Since(1) }); allocations > 1 {
			t.Errorf("%d workers: %v allocations for one changed worker", size, allocations)
		}
		record := fleetSnapshot(1, 1).Records
		v := s.Version()
		allocations := testing.AllocsPerRun(10, func() {
			v++
			s.Apply(Change{Version: v, Records: record})
		})
		if allocations > 0 {
			t.Errorf("%d workers: %v allocations to apply one changed worker", size, allocations)
		}
	}
}
