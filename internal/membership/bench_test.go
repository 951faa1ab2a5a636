package membership

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkSizes are a zone's, a region's and the whole fleet's listed workers.
var benchmarkSizes = []int{200, 2100, 21000}

// fleet is a snapshot of hosts, of about 140 bytes each.
func fleet(v Version, size int) Change {
	c := Change{Version: v, Whole: true}
	for i := range size {
		c.Records = append(c.Records, hostRecord(fmt.Sprintf("w-%06x", i), healthReady, 0))
	}
	return c
}

func bySize(b *testing.B, run func(b *testing.B, size int)) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			run(b, size)
		})
	}
}

func BenchmarkParseSnapshot(b *testing.B) {
	bySize(b, func(b *testing.B, size int) {
		line := fleet(1, size).Append(nil)
		b.SetBytes(int64(len(line)))
		for b.Loop() {
			if _, err := Parse(line); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkAppendSnapshot(b *testing.B) {
	bySize(b, func(b *testing.B, size int) {
		c := fleet(1, size)
		line := c.Append(nil)
		b.SetBytes(int64(len(line)))
		for b.Loop() {
			line = c.Append(line[:0])
		}
	})
}

func BenchmarkParseDelta(b *testing.B) {
	c := Change{Version: 2, Records: []Record{hostRecord("w-1", healthDraining, 0)}}
	line := c.Append(nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(line); err != nil {
			b.Fatal(err)
		}
	}
}

// A delta of one host, with a log that is full.
func BenchmarkApplyDelta(b *testing.B) {
	bySize(b, func(b *testing.B, size int) {
		s := NewStore(size / 2)
		s.Apply(fleet(1, size))
		records := fleet(1, size).Records
		for i := 0; b.Loop(); i++ {
			at := i % size
			if outcome, _ := s.Apply(Change{Version: s.Version() + 1, Records: records[at : at+1]}); outcome != Applied {
				b.Fatal(outcome)
			}
		}
	})
}

func BenchmarkApplySameSnapshot(b *testing.B) {
	bySize(b, func(b *testing.B, size int) {
		s := NewStore(size)
		c := fleet(1, size)
		for b.Loop() {
			c.Version = s.Version() + 1
			if outcome, _ := s.Apply(c); outcome != Applied {
				b.Fatal(outcome)
			}
		}
	})
}

// What the subscriber lacks is one host's change.
func BenchmarkSinceOne(b *testing.B) {
	bySize(b, func(b *testing.B, size int) {
		s := NewStore(size)
		s.Apply(fleet(1, size))
		s.Apply(Change{Version: 2, Records: []Record{hostRecord("w-1", healthDraining, 0)}})
		for b.Loop() {
			if c, ok := s.Since(1); !ok || len(c.Records) != 1 {
				b.Fatal(c, ok)
			}
		}
	})
}

// What the subscriber lacks is an hour's changes at the target's rate.
func BenchmarkSinceHour(b *testing.B) {
	bySize(b, func(b *testing.B, size int) {
		const changes = 1333
		s := NewStore(20000)
		s.Apply(fleet(1, size))
		for i := range changes {
			name := fmt.Sprintf("w-%06x", i%size)
			s.Apply(Change{Version: s.Version() + 1, Records: []Record{hostRecord(name, healthReady, i)}})
		}
		for b.Loop() {
			if c, ok := s.Since(1); !ok || len(c.Records) != min(changes, size) {
				b.Fatal(len(c.Records), ok)
			}
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	bySize(b, func(b *testing.B, size int) {
		s := NewStore(size)
		s.Apply(fleet(1, size))
		for b.Loop() {
			s.Snapshot()
		}
	})
}

func BenchmarkAcks(b *testing.B) {
	bySize(b, func(b *testing.B, size int) {
		a := NewAcks(90 * time.Second)
		names := make([]string, size)
		for i := range names {
			names[i] = fmt.Sprintf("d-%06x", i)
		}
		b.Run("Heard", func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a.Heard(time.Duration(i)*time.Second/time.Duration(size), names[i%size], Version(i), 1)
			}
		})
		b.Run("InForce", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				a.InForce(0, 1)
			}
		})
	})
}
