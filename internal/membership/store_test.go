package membership

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// settingRecord returns the record of a setting; null resets it.
func settingRecord(path, value string) Record {
	return Record{Key: SettingPrefix + path, Value: []byte(value), Deleted: value == "null"}
}

// snapshot returns a snapshot of settings, each given as path=value.
func snapshot(v Version, settings ...string) Change {
	return Change{Version: v, Snapshot: true, Records: settingRecords(settings)}
}

// delta returns a delta of settings, each given as path=value.
func delta(v, base Version, settings ...string) Change {
	return Change{Version: v, Base: base, Records: settingRecords(settings)}
}

// settingRecords returns the records of settings given as path=value.
func settingRecords(settings []string) []Record {
	var records []Record
	for _, setting := range settings {
		path, value, _ := strings.Cut(setting, "=")
		records = append(records, settingRecord(path, value))
	}
	return records
}

// storeWith returns a store with the log limit, to which the changes were applied.
func storeWith(t *testing.T, limit int, changes ...Change) *Store {
	t.Helper()
	store := NewStore(limit)
	for _, change := range changes {
		mustApply(t, store, change, Applied)
	}
	return store
}

// mustApply applies a change and checks its outcome.
func mustApply(t *testing.T, s *Store, c Change, want Outcome) {
	t.Helper()
	if got, err := s.Apply(c); got != want || (err != nil) != (want == Rejected) {
		t.Fatalf("Apply of version %d to %d: %v, %v; want %v", c.Version, s.Version(), got, err, want)
	}
}

// describe returns a change in short form: its kind, version, and settings.
func describe(change Change) string {
	kind := "delta"
	switch {
	case change.Snapshot:
		kind = "snapshot"
	case change.Exact:
		kind = "exact delta"
	}
	parts := []string{kind, fmt.Sprint(change.Version)}
	if change.MissingFrom > 0 {
		parts = append(parts, fmt.Sprint("missing ", change.MissingFrom))
	}
	for _, record := range change.Records {
		parts = append(parts, strings.TrimPrefix(record.Key, SettingPrefix)+"="+string(record.Value))
	}
	return strings.Join(parts, " ")
}

// expectSince checks the response of a store to a subscriber at version after. want is in
// the form of describe.
func expectSince(t *testing.T, store *Store, after Version, want string) {
	t.Helper()
	change, ok := store.Since(after)
	if got := describe(change); !ok || got != want {
		t.Errorf("Since(%d): %q, %v; want %q", after, got, ok, want)
	}
	if !change.Snapshot && change.Base != after {
		t.Errorf("Since(%d) continues from %d", after, change.Base)
	}
	if change.Snapshot != store.NeedsSnapshot(after) {
		t.Errorf("NeedsSnapshot(%d) is %v", after, !change.Snapshot)
	}
}

// expectState checks a store's version, its resume version, and its settings in the form of describe.
func expectState(t *testing.T, s *Store, version, resume Version, settings string) {
	t.Helper()
	change := s.Snapshot()
	change.MissingFrom = 0
	got := describe(change)
	want := strings.TrimSpace(fmt.Sprint("snapshot ", version, " ", settings))
	if got != want || s.ResumeVersion() != resume {
		t.Errorf("state is %q, complete up to %d; want %q, complete up to %d", got, s.ResumeVersion(), want, resume)
	}
}

func TestApplyAcceptsOnlyNewerChanges(t *testing.T) {
	store := storeWith(t, 10, snapshot(5, "a=1", "b=1"), delta(6, 5, "a=2"))
	mustApply(t, store, delta(6, 5, "a=3"), Stale)
	mustApply(t, store, delta(5, 4, "a=3"), Stale)
	mustApply(t, store, snapshot(6, "a=3"), Stale)
	mustApply(t, store, snapshot(3), Stale)
	expectState(t, store, 6, 6, "a=2 b=1")
	mustApply(t, store, delta(9, 0, "a=null"), Applied)
	mustApply(t, store, delta(9, 0, "a=null"), Stale)
	expectState(t, store, 9, 9, "b=1")
}

func TestApplyRejectsAtomically(t *testing.T) {
	store := storeWith(t, 10, snapshot(5, "a=1"))
	for name, change := range map[string]Change{
		"a gap before it":        delta(9, 7, "a=2"),
		"a record without a key": {Version: 9, Records: []Record{settingRecord("a", "2"), {}}},
		"one in a snapshot":      {Version: 9, Snapshot: true, Records: []Record{settingRecord("a", "2"), {}}},
		"a negative version":     {Version: -1},
	} {
		outcome, err := store.Apply(change)
		if outcome != Rejected || err == nil {
			t.Errorf("%s: %v, %v", name, outcome, err)
		}
		if gap := name == "a gap before it"; errors.Is(err, ErrGap) != gap {
			t.Errorf("%s: %v", name, err)
		}
	}
	expectState(t, store, 5, 5, "a=1")
}

func TestEmptyStoreAnswersNoSubscriber(t *testing.T) {
	store := NewStore(10)
	for _, after := range []Version{0, 1} {
		if change, ok := store.Since(after); ok {
			t.Errorf("Since(%d): %v", after, change)
		}
	}
	store.Reject(4)
	if store.Version() != 0 {
		t.Error("a store without a state has skipped a change")
	}
	mustApply(t, store, snapshot(3, "a=1"), Applied)
	expectSince(t, store, 0, "snapshot 3 a=1")
}

// A delta contains only the newest record of each key, in the order of the changes.
func TestSinceCoalesces(t *testing.T) {
	store := storeWith(t, 10, snapshot(1, "a=1", "b=1", "c=1"),
		delta(2, 1, "c=2"), delta(3, 2, "a=2"), delta(5, 3, "c=3", "b=null"))
	expectSince(t, store, 1, "delta 5 a=2 c=3 b=null")
	expectSince(t, store, 2, "delta 5 a=2 c=3 b=null")
	expectSince(t, store, 3, "delta 5 c=3 b=null")
	expectSince(t, store, 4, "delta 5 c=3 b=null")
	expectSince(t, store, 5, "delta 5")
	expectSince(t, store, 0, "snapshot 5 a=2 c=3")
	if _, ok := store.Since(6); ok {
		t.Error("Since answers a subscriber that is newer than the store")
	}
}

func TestSinceBeyondTheLogIsASnapshot(t *testing.T) {
	store := storeWith(t, 2, snapshot(1), delta(2, 1, "a=1"), delta(3, 2, "b=1"), delta(4, 3, "c=1"))
	expectSince(t, store, 1, "snapshot 4 a=1 b=1 c=1")
	expectSince(t, store, 2, "delta 4 b=1 c=1")
	mustApply(t, store, delta(5, 4, "c=2"), Applied) // replaces the earlier entry
	expectSince(t, store, 2, "delta 5 b=1 c=2")
	expectSince(t, storeWith(t, 0, snapshot(1, "a=1"), delta(2, 1, "a=2")), 1, "snapshot 2 a=2")
}

func TestDeletedKeysAreTrimmedWithTheLog(t *testing.T) {
	store := NewStore(3)
	for v := Version(1); v < 100; v += 2 {
		mustApply(t, store, delta(v, 0, fmt.Sprint("k", v, "=1")), Applied)
		mustApply(t, store, delta(v+1, 0, fmt.Sprint("k", v, "=null")), Applied)
	}
	if store.Len() != 0 || len(store.entries) != 3 || store.logLength != 3 {
		t.Errorf("%d live, %d entries, %d in the log", store.Len(), len(store.entries), store.logLength)
	}
}

// A subscriber that has the state before a snapshot is sent only the differences to the snapshot.
func TestSnapshotIsForwardedAsAnExactDelta(t *testing.T) {
	before := snapshot(4, "a=1", "b=1", "c=1")
	store := storeWith(t, 10, before, snapshot(9, "a=1", "b=2", "d=1"))
	expectSince(t, store, 4, "exact delta 9 b=2 d=1 c=null")
	for _, after := range []Version{1, 5, 8} { // their state is not known
		expectSince(t, store, after, "snapshot 9 a=1 b=2 d=1")
	}
	mustApply(t, store, delta(10, 9, "a=2"), Applied)
	expectSince(t, store, 4, "exact delta 10 b=2 d=1 c=null a=2")
	expectSince(t, store, 9, "delta 10 a=2")

	// The same is true for a relay below that applies the exact delta.
	relayBelow := storeWith(t, 10, before)
	change, _ := store.Since(4)
	mustApply(t, relayBelow, change, Applied)
	expectSince(t, relayBelow, 4, "exact delta 10 b=2 d=1 c=null a=2")
	expectSince(t, relayBelow, 6, "snapshot 10 a=2 b=2 d=1")
}

// A worker that a snapshot does not contain is deleted, and the deletion is urgent.
func TestWorkerMissingFromASnapshotIsDeletedUrgently(t *testing.T) {
	store := storeWith(t, 10,
		Change{Version: 1, Snapshot: true, Records: []Record{workerRecord("w1", HealthReady, 7), workerRecord("w2", HealthReady, 7)}},
		Change{Version: 2, Snapshot: true, Records: []Record{workerRecord("w2", HealthReady, 7)}})
	change, _ := store.Since(1)
	if len(change.Records) != 1 || !change.Urgent() {
		t.Fatalf("want one urgent record: %+v", change)
	}
	read, err := Parse(change.Append(nil))
	if err != nil {
		t.Fatal(err)
	}
	record := read.Records[0]
	if record.Key != "host/w1" || !record.Deleted || !record.Urgent || !strings.Contains(string(record.Value), `"born_ms":7`) {
		t.Errorf("want an urgent deletion of host/w1 that keeps born_ms: %+v", record)
	}
}

// A record in a snapshot that is marked as deleted is treated as if the snapshot did not contain it.
func TestDeletionsInASnapshotAreNotStored(t *testing.T) {
	store := storeWith(t, 10, snapshot(1, "a=1"), snapshot(2, "a=null", "b=null"))
	expectState(t, store, 2, 2, "")
	expectSince(t, store, 1, "exact delta 2 a=null")
	mustApply(t, store, snapshot(3, "a=null"), Applied)
	expectSince(t, store, 2, "exact delta 3")
}

func TestDeletedKeyComesBackInASnapshot(t *testing.T) {
	deleted := settingRecord("a", "1")
	deleted.Deleted = true
	store := storeWith(t, 10, snapshot(1, "a=1"), Change{Version: 2, Records: []Record{deleted}}, snapshot(3, "a=1"))
	expectState(t, store, 3, 3, "a=1")
	expectSince(t, store, 2, "exact delta 3 a=1")
}

// A store skips a rejected delta, reports from which version on something is missing, and is complete again once that
// has arrived.
func TestRejectedDeltaIsSkipped(t *testing.T) {
	store := storeWith(t, 10, snapshot(1, "a=1", "b=1"))
	store.Reject(2)
	expectState(t, store, 2, 1, "a=1 b=1")
	mustApply(t, store, delta(3, 2, "b=2"), Applied)
	expectState(t, store, 3, 1, "a=1 b=2")
	store.Reject(2) // late: nothing changes
	expectState(t, store, 3, 1, "a=1 b=2")
	expectSince(t, store, 2, "delta 3 missing 2 b=2")
	expectSince(t, store, 0, "snapshot 3 missing 2 a=1 b=2")

	// The upstream's answer to a request after ResumeVersion completes the state, even at the same version.
	mustApply(t, store, delta(3, 1, "a=2", "b=2"), Applied)
	expectState(t, store, 3, 3, "a=2 b=2")
	mustApply(t, store, delta(3, 1, "a=2", "b=2"), Stale)
	expectSince(t, store, 2, "delta 3 a=2 b=2")
}

// A subscriber of an incomplete store is told that its own state is incomplete.
func TestMissingFromIsForwarded(t *testing.T) {
	upper := storeWith(t, 10, snapshot(4, "a=1"))
	lower := storeWith(t, 10, snapshot(4, "a=1"))
	upper.Reject(5)
	mustApply(t, upper, delta(6, 5, "b=1"), Applied)
	change, _ := upper.Since(4)
	mustApply(t, lower, change, Applied)
	expectState(t, lower, 6, 4, "a=1 b=1")

	fresh := NewStore(10)
	mustApply(t, fresh, upper.Snapshot(), Applied)
	expectState(t, fresh, 6, 4, "a=1 b=1")
	expectSince(t, fresh, 0, "snapshot 6 missing 5 a=1 b=1")
}

// A snapshot from an incomplete sender may contain older records than the state, so the resume version goes back.
func TestSnapshotFromAnIncompleteSender(t *testing.T) {
	change := snapshot(9, "a=2")
	change.MissingFrom = 4
	expectState(t, storeWith(t, 10, snapshot(5, "a=5"), change), 9, 3, "a=2")
}

// An incomplete sender may have an older value of a key than the store. Its overlapping delta is not applied.
func TestOverlappingDeltaFromAnIncompleteSenderIsNotApplied(t *testing.T) {
	store := storeWith(t, 10, snapshot(1, "a=1"))
	store.Reject(2)
	mustApply(t, store, delta(3, 2, "a=3"), Applied)
	for _, v := range []Version{3, 4} {
		change := delta(v, 1, "a=2")
		change.MissingFrom = 3
		mustApply(t, store, change, Stale)
	}
	expectState(t, store, 3, 1, "a=3")
}

// An exact delta applies only to the state at its base.
func TestExactDeltaFitsOneState(t *testing.T) {
	exact := delta(9, 4, "b=2")
	exact.Exact = true
	store := storeWith(t, 10, snapshot(4, "a=1"), delta(6, 4, "a=2"))
	mustApply(t, store, exact, Stale)
	expectState(t, store, 6, 6, "a=2")

	// The next request for what is missing is answered with a snapshot.
	store = storeWith(t, 10, snapshot(4, "a=1"))
	store.Reject(5)
	mustApply(t, store, exact, Stale)
	if store.ResumeVersion() != 3 {
		t.Errorf("the resume version is %d, want 3, before the base of the exact delta", store.ResumeVersion())
	}
}

// An exact delta from an incomplete sender may replace records by older ones, so
// the resume version may go back to before the base.
func TestExactDeltaFromAnIncompleteSender(t *testing.T) {
	for _, test := range []struct {
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
		store := storeWith(t, 10, snapshot(5, "a=1"))
		base := Version(5)
		if test.rejectedBefore {
			store.Reject(6)
			base = 6
		}
		exact := delta(9, base, "a=2")
		exact.Exact = true
		exact.MissingFrom = test.missing
		mustApply(t, store, exact, Applied)
		if store.ResumeVersion() != test.resume {
			t.Errorf("%+v: the resume version is %d", test, store.ResumeVersion())
		}
	}
}

// An incomplete state differs from the state that others have at the same version.
// The differences between it and a snapshot are therefore not sent as an exact delta.
func TestNoExactDeltaFromAnIncompleteState(t *testing.T) {
	store := storeWith(t, 10, snapshot(1, "a=1"))
	store.Reject(2) // the origin's version 2 sets a=2
	mustApply(t, store, delta(3, 2, "b=1"), Applied)
	mustApply(t, store, snapshot(4, "a=1", "b=1"), Applied)
	expectState(t, store, 4, 4, "a=1 b=1")
	for _, after := range []Version{1, 2, 3} {
		expectSince(t, store, after, "snapshot 4 a=1 b=1")
	}
}

// A complete snapshot replaces an incomplete one of the same version.
func TestSnapshotRepairsAtTheSameVersion(t *testing.T) {
	first := snapshot(4, "a=1", "b=1")
	first.MissingFrom = 3
	store := storeWith(t, 10, first)
	expectState(t, store, 4, 2, "a=1 b=1")
	mustApply(t, store, first, Stale)
	mustApply(t, store, snapshot(4, "a=2"), Applied)
	expectState(t, store, 4, 4, "a=2")
	expectSince(t, store, 3, "snapshot 4 a=2")
}

func TestEqualStatesMakeEqualSnapshots(t *testing.T) {
	one := storeWith(t, 3, snapshot(1, "a=1", "b=1"), delta(2, 1, "c=1"), delta(3, 2, "a=2"))
	other := storeWith(t, 0, snapshot(3, "c=1", "b=1", "a=2"))
	oneLine := one.Snapshot().Append(nil)
	otherLine := other.Snapshot().Append(nil)
	if !slices.Equal(oneLine, otherLine) {
		t.Errorf("one: %s\nother: %s", oneLine, otherLine)
	}
}

// Get returns the records in the state, but not those that were deleted.
func TestGet(t *testing.T) {
	store := storeWith(t, 3, snapshot(1, "a=1", "b=1"), delta(2, 1, "b=null"))
	if r, ok := store.Get("setting/a"); !ok || string(r.Value) != "1" {
		t.Errorf("setting/a: %v, %v; want the value 1", r, ok)
	}
	for _, key := range []string{"setting/b", "setting/c", "host/a"} {
		if r, ok := store.Get(key); ok {
			t.Errorf("%s: %v, want no record", key, r)
		}
	}
}

// The number of allocations for one changed worker does not grow with the state.
func TestSinceCostIsProportionalToTheChanges(t *testing.T) {
	for _, size := range benchmarkSizes {
		store := storeWith(t, size, fleetSnapshot(1, size),
			Change{Version: 2, Base: 1, Records: []Record{workerRecord("w-1", HealthDraining, 0)}})
		if allocations := testing.AllocsPerRun(10, func() { store.Since(1) }); allocations > 1 {
			t.Errorf("%d workers: %v allocations for one changed worker", size, allocations)
		}
		records := fleetSnapshot(1, 1).Records
		version := store.Version()
		allocations := testing.AllocsPerRun(10, func() {
			version++
			store.Apply(Change{Version: version, Records: records})
		})
		if allocations > 0 {
			t.Errorf("%d workers: %v allocations to apply one changed worker", size, allocations)
		}
	}
}
