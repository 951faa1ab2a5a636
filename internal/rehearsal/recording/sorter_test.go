package recording

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// The sorter and the merging of runs give the order of a sort in memory.
func FuzzSorter(f *testing.F) {
	f.Add(uint64(1), uint16(1000), uint32(5))
	f.Add(uint64(2), uint16(60000), uint32(1<<31))
	f.Fuzz(func(t *testing.T, seed uint64, n uint16, disorder uint32) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m, number := &memorySpool{}, 0
		s := sorter{spool: m, nextRun: &number}
		var want []pendingEntry
		for i := range int(n) {
			p := pendingEntry{timestamp: int64(i)*10 + int64(rng.Uint32N(disorder|1)), sequence: uint64(i), key: rng.Uint64(), duration: int64(rng.IntN(9)) - 1, serviceTime: -1, resolution: 1000}
			want = append(want, p)
			s.add(p)
		}
		if err := s.close(); err != nil {
			t.Fatal(err)
		}
		runs, err := compactRuns(m, &number, s.runs, 2)
		if err != nil || len(runs) > 2 {
			t.Fatal(len(runs), err)
		}
		var open []*runReader
		for _, n := range runs {
			r, _ := openRun(m, n, 0, 0)
			open = append(open, r)
		}
		slices.SortFunc(want, func(a, b pendingEntry) int {
			if a.timestamp != b.timestamp {
				return int(a.timestamp - b.timestamp)
			}
			return int(a.sequence) - int(b.sequence)
		})
		i := 0
		if err := mergeRuns(open, func(r *runReader) error {
			if r.entry != want[i] {
				t.Fatalf("%d: %+v, want %+v", i, r.entry, want[i])
			}
			i++
			return nil
		}); err != nil || i != len(want) {
			t.Fatal(i, len(want), err)
		}
	})
}
