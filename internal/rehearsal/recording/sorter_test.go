package recording

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
)

// Sorting with the sorter and merging its runs gives the same order as sorting in memory.
func FuzzSorter(f *testing.F) {
	f.Add(uint64(1), uint16(1000), uint32(5))
	f.Add(uint64(2), uint16(60000), uint32(1<<31))
	f.Fuzz(func(t *testing.T, seed uint64, count uint16, disorder uint32) {
		entries := disorderedEntries(seed, int(count), disorder)
		spool := &memorySpool{}
		runs := sortToRuns(t, spool, entries)
		slices.SortFunc(entries, func(a, b pendingEntry) int {
			return cmp.Or(cmp.Compare(a.timestamp, b.timestamp), cmp.Compare(a.sequence, b.sequence))
		})
		merged := 0
		err := mergeRuns(runs, func(run *runReader) error {
			if run.entry != entries[merged] {
				t.Fatalf("entry %d: %+v, want %+v", merged, run.entry, entries[merged])
			}
			merged++
			return nil
		})
		if err != nil || merged != len(entries) {
			t.Fatalf("%d of %d entries: %v", merged, len(entries), err)
		}
	})
}

// disorderedEntries returns entries whose timestamps may go back by up to the given disorder.
func disorderedEntries(seed uint64, count int, disorder uint32) (entries []pendingEntry) {
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range count {
		entries = append(entries, pendingEntry{
			timestamp:   int64(i)*10 + int64(random.Uint32N(disorder|1)),
			sequence:    uint64(i),
			key:         random.Uint64(),
			duration:    int64(random.IntN(9)) - 1,
			serviceTime: notRecorded,
			resolution:  millisecond,
		})
	}
	return entries
}

// sortToRuns sorts entries into at most two runs and opens these.
func sortToRuns(t *testing.T, spool *memorySpool, entries []pendingEntry) (opened []*runReader) {
	t.Helper()
	const maxRuns = 2
	nextRun := 0
	sorter := sorter{spool: spool, nextRun: &nextRun}
	for _, entry := range entries {
		sorter.add(entry)
	}
	if err := sorter.close(); err != nil {
		t.Fatal(err)
	}
	runs, err := compactRuns(spool, &nextRun, sorter.runs, maxRuns)
	if err != nil {
		t.Fatal(err)
	}
	if len(runs) > maxRuns {
		t.Fatalf("%d runs are left, want at most %d", len(runs), maxRuns)
	}
	for _, number := range runs {
		run, err := openRun(spool, number, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		opened = append(opened, run)
	}
	return opened
}
