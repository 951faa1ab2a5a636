package membership

import (
	"fmt"
	"testing"
)

// storeFromSnapshot returns a store of 100 workers that started from a snapshot of version 50.
func storeFromSnapshot(t *testing.T) *Store {
	t.Helper()
	snapshot := Change{Version: 50, Snapshot: true}
	for i := range 100 {
		snapshot.Records = append(snapshot.Records, workerRecord(fmt.Sprint("h", i), HealthReady, 0))
	}
	store := NewStore(1000)
	if outcome, err := store.Apply(snapshot); outcome != Applied {
		t.Fatal(outcome, err)
	}
	return store
}

func TestBackfillLetsSubscribersResume(t *testing.T) {
	store := storeFromSnapshot(t)
	if !store.NeedsSnapshot(49) {
		t.Fatal("resumes from a version before its first snapshot")
	}
	missed := Change{
		Version: 52,
		Base:    40,
		Records: []Record{workerRecord("h1", HealthDraining, 0), workerRecord("old", HealthGone, 0)},
	}
	if !store.Backfill(missed) {
		t.Fatal("rejected")
	}
	for _, after := range []Version{40, 45, 50, 51} {
		change, ok := store.Since(after)
		if !ok || change.Snapshot || change.Version != 52 {
			t.Errorf("since %d: %v, snapshot %v, version %d; want a delta of version 52",
				after, ok, change.Snapshot, change.Version)
		}
		if len(change.Records) != 2 || change.Records[0].Key != WorkerPrefix+"h1" {
			t.Errorf("since %d: %d records, want the two that were missed", after, len(change.Records))
		}
	}
	if change, _ := store.Since(39); !change.Snapshot || len(change.Records) != 100 {
		t.Errorf("since 39: snapshot %v, %d records", change.Snapshot, len(change.Records))
	}
	later := Change{Version: 53, Base: 52, Records: []Record{workerRecord("new", HealthReady, 0)}}
	if outcome, err := store.Apply(later); outcome != Applied {
		t.Fatal(outcome, err)
	}
	if change, _ := store.Since(45); len(change.Records) != 3 {
		t.Errorf("since 45, a change later: %d records", len(change.Records))
	}
}

// A delta that does not contain everything since before the snapshot is rejected. Any delta is rejected if the store did
// not start from a snapshot or is incomplete.
func TestBackfillRejects(t *testing.T) {
	records := []Record{workerRecord("h1", HealthDraining, 0)}
	for name, change := range map[string]Change{
		"a snapshot":                   {Version: 52, Snapshot: true, Base: 40, Records: records},
		"an exact delta":               {Version: 52, Exact: true, Base: 40, Records: records},
		"an incomplete sender":         {Version: 52, MissingFrom: 51, Base: 40, Records: records},
		"older than the state":         {Version: 49, Base: 40, Records: records},
		"no base":                      {Version: 52, Records: records},
		"not from before the snapshot": {Version: 52, Base: 50, Records: records},
		"a record without a key":       {Version: 52, Base: 40, Records: []Record{{}}},
	} {
		store := storeFromSnapshot(t)
		if store.Backfill(change) || store.Version() != 50 || !store.NeedsSnapshot(45) {
			t.Errorf("%s: accepted", name)
		}
	}
	valid := Change{Version: 52, Base: 40, Records: records}
	if NewStore(10).Backfill(valid) {
		t.Error("an empty store accepted it")
	}
	store := storeFromSnapshot(t)
	store.Apply(Change{Version: 51, Base: 50, Records: records})
	store.Reject(52)
	if store.Backfill(Change{Version: 53, Base: 40, Records: records}) {
		t.Error("an incomplete store accepted it")
	}
}
