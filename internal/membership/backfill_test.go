package membership

import (
	"fmt"
	"testing"
)

// begun is a store of 100 hosts that began with a snapshot of version 50.
func begun(t *testing.T) *Store {
	t.Helper()
	snapshot := Change{Version: 50, Whole: true}
	for i := range 100 {
		snapshot.Records = append(snapshot.Records, hostRecord(fmt.Sprint("h", i), healthReady, 0))
	}
	s := NewStore(1000)
	if outcome, err := s.Apply(snapshot); outcome != Applied {
		t.Fatal(outcome, err)
	}
	return s
}

func TestBackfillLetsSubscribersResume(t *testing.T) {
	s := begun(t)
	if !s.NeedsSnapshot(49) {
		t.Fatal("it resumes from a version that it knows nothing of")
	}
	missed := Change{Version: 52, Base: 40, Records: []Record{hostRecord("h1", healthDraining, 0), hostRecord("old", healthGone, 0)}}
	if !s.Backfill(missed) {
		t.Fatal("refused")
	}
	for _, after := range []Version{40, 45, 50, 51} {
		c, ok := s.Since(after)
		if !ok || c.Whole || c.Version != 52 || len(c.Records) != 2 || c.Records[0].Key != HostPrefix+"h1" {
			t.Errorf("since %d: %v, whole %v, version %d, %d records", after, ok, c.Whole, c.Version, len(c.Records))
		}
	}
	if c, _ := s.Since(39); !c.Whole || len(c.Records) != 100 {
		t.Errorf("since 39: whole %v, %d records", c.Whole, len(c.Records))
	}
	if outcome, err := s.Apply(Change{Version: 53, Base: 52, Records: []Record{hostRecord("new", healthReady, 0)}}); outcome != Applied {
		t.Fatal(outcome, err)
	}
	if c, _ := s.Since(45); len(c.Records) != 3 {
		t.Errorf("since 45, a change later: %d records", len(c.Records))
	}
}

func TestBackfillIsRefused(t *testing.T) {
	record := []Record{hostRecord("h1", healthDraining, 0)}
	for name, c := range map[string]Change{
		"a snapshot":             {Version: 52, Whole: true, Base: 40, Records: record},
		"made for one state":     {Version: 52, Exact: true, Base: 40, Records: record},
		"something missing":      {Version: 52, Missing: 51, Base: 40, Records: record},
		"older than the state":   {Version: 49, Base: 40, Records: record},
		"no base":                {Version: 52, Records: record},
		"not from before":        {Version: 52, Base: 50, Records: record},
		"a record without a key": {Version: 52, Base: 40, Records: []Record{{}}},
	} {
		s := begun(t)
		if s.Backfill(c) || s.Version() != 50 || !s.NeedsSnapshot(45) {
			t.Errorf("%s: taken in", name)
		}
	}
	good := Change{Version: 52, Base: 40, Records: record}
	if NewStore(10).Backfill(good) {
		t.Error("an empty store took it in")
	}
	s := begun(t)
	s.Apply(Change{Version: 51, Base: 50, Records: record})
	s.Refuse(52)
	if s.Backfill(Change{Version: 53, Base: 40, Records: record}) {
		t.Error("a store that misses something took it in")
	}
}
