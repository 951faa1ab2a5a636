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
		snapshot.Records = append(snapshot.Records, workerRecord(fmt.Sprintf("w-%06x", i), healthReady, 0))
	}
	return snapshot
}

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
		c := fleetSnapshot(1, size)
		line := c.Append(nil)
		b.SetBytes(int64(len(line)))
		for b.Loop() {
			line = c.Append(line[:0])
		}
	})
}

func BenchmarkParseDelta(b *testing.B) {
	c := Change{Version: 2, Records: []Record{workerRecord("w-1", healthDraining, 0)}}
	line := c.Append(nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(line); err != nil {
			b.Fatal(err)
		}
	}
}

// A delta of one worker, with a full log.
func BenchmarkApplyDelta(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		s := NewStore(size / 2)
		s.Apply(fleetSnapshot(1, size))
		records := fleetSnapshot(1, size).Records
		for i := 0; b.Loop(); i++ {
			at := i % size
			if outcome, _ := s.Apply(Change{Version: s.Version() + 1, Records: records[at : at+1]}); outcome != Applied {
				b.Fatal(outcome)
			}
		}
	})
}

func BenchmarkApplySameSnapshot(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		s := NewStore(size)
		c := fleetSnapshot(1, size)
		for b.Loop() {
			c.Version = s.Version() + 1
			if outcome, _ := s.Apply(c); outcome != Applied {
				b.Fatal(outcome)
			}
		}
	})
}

// The subscriber lacks the change of one worker.
func BenchmarkSinceOne(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		s := NewStore(size)
		s.Apply(fleetSnapshot(1, size))
		s.Apply(Change{Version: 2, Records: []Record{workerRecord("w-1", healthDraining, 0)}})
		for b.Loop() {
			if c, ok := s.Since(1); !ok || len(c.Records) != 1 {
				b.Fatal(c, ok)
			}
		}
	})
}

// The subscriber lacks an hour's changes at the rate of the scale objective.
func BenchmarkSinceHour(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		const changes = 1333
		s := NewStore(20000)
		s.Apply(fleetSnapshot(1, size))
		for i := range changes {
			name := fmt.Sprintf("w-%06x", i%size)
			s.Apply(Change{Version: s.Version() + 1, Records: []Record{workerRecord(name, healthReady, i)}})
		}
		for b.Loop() {
			if c, ok := s.Since(1); !ok || len(c.Records) != min(changes, size) {
				b.Fatal(len(c.Records), ok)
			}
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		s := NewStore(size)
		s.Apply(fleetSnapshot(1, size))
		for b.Loop() {
			s.Snapshot()
		}
	})
}

func BenchmarkAckTracker(b *testing.B) {
	benchmarkBySize(b, func(b *testing.B, size int) {
		a := NewAckTracker(90 * time.Second)
		names := make([]string, size)
		for i := range names {
			names[i] = fmt.Sprintf("d-%06x", i)
		}
		b.Run("Heard", func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a.Acknowledge(time.Duration(i)*time.Second/time.Duration(size), names[i%size], Version(i), 1)
			}
		})
		b.Run("InForce", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				a.CountAtLeast(0, 1)
			}
		})
	})
}
