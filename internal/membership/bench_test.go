package membership

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkSizes are the numbers of listed workers of a zone, a region and the fleet.
var benchmarkSizes = []int{200, 2100, 21000}

// fleetSnapshot returns a snapshot of workers of about 140 bytes each.
func fleetSnapshot(version Version, size int) Change {
	snapshot := Change{Version: version, Snapshot: true}
	for i := range size {
		snapshot.Records = append(snapshot.Records, workerRecord(fmt.Sprintf("w-%06x", i), HealthReady, 0))
	}
	return snapshot
}

// benchmarkBySize runs a benchmark for each of benchmarkSizes.
func benchmarkBySize(b *testing.B, run func(b *testing.B, size int)) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			run(b, size)
		})
	}
}

func BenchmarkParseSnapshot(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		line := fleetSnapshot(1, size).Append(nil)
		b.SetBytes(int64(len(line)))
		for b.Loop() {
			if _, err := Parse(line); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkAppendSnapshot(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		change := fleetSnapshot(1, size)
		line := change.Append(nil)
		b.SetBytes(int64(len(line)))
		for b.Loop() {
			line = change.Append(line[:0])
		}
	})
}

func BenchmarkParseDelta(b *testing.B) {
	change := Change{Version: 2, Records: []Record{workerRecord("w-1", HealthDraining, 0)}}
	line := change.Append(nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(line); err != nil {
			b.Fatal(err)
		}
	}
}

// Applies a delta of one worker to a store whose log is full.
func BenchmarkApplyDelta(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		store := NewStore(size / 2)
		store.Apply(fleetSnapshot(1, size))
		records := fleetSnapshot(1, size).Records
		for i := 0; b.Loop(); i++ {
			worker := i % size
			outcome, _ := store.Apply(Change{Version: store.Version() + 1, Records: records[worker : worker+1]})
			if outcome != Applied {
				b.Fatal(outcome)
			}
		}
	})
}

func BenchmarkApplySameSnapshot(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		store := NewStore(size)
		change := fleetSnapshot(1, size)
		for b.Loop() {
			change.Version = store.Version() + 1
			if outcome, _ := store.Apply(change); outcome != Applied {
				b.Fatal(outcome)
			}
		}
	})
}

// Answers a subscriber that lacks the change of one worker.
func BenchmarkSinceOne(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		store := NewStore(size)
		store.Apply(fleetSnapshot(1, size))
		store.Apply(Change{Version: 2, Records: []Record{workerRecord("w-1", HealthDraining, 0)}})
		for b.Loop() {
			if change, ok := store.Since(1); !ok || len(change.Records) != 1 {
				b.Fatal(change, ok)
			}
		}
	})
}

// Answers a subscriber that lacks an hour's changes, at the rate of the scale objective.
func BenchmarkSinceHour(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		const changes = 1333
		store := NewStore(20000)
		store.Apply(fleetSnapshot(1, size))
		for i := range changes {
			name := fmt.Sprintf("w-%06x", i%size)
			store.Apply(Change{Version: store.Version() + 1, Records: []Record{workerRecord(name, HealthReady, i)}})
		}
		for b.Loop() {
			if change, ok := store.Since(1); !ok || len(change.Records) != min(changes, size) {
				b.Fatal(len(change.Records), ok)
			}
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		store := NewStore(size)
		store.Apply(fleetSnapshot(1, size))
		for b.Loop() {
			store.Snapshot()
		}
	})
}

func BenchmarkAckTracker(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		tracker := NewAckTracker(90 * time.Second)
		names := make([]string, size)
		for i := range names {
			names[i] = fmt.Sprintf("d-%06x", i)
		}
		b.Run("Acknowledge", func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tracker.Acknowledge(time.Duration(i)*time.Second/time.Duration(size), names[i%size], Version(i), 1)
			}
		})
		b.Run("CountAtLeast", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tracker.CountAtLeast(0, 1)
			}
		})
	})
}
