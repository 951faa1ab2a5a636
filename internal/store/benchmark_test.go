package store

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// measureFsyncs measures how often per second a page of a file in the directory can be written and synced.
func measureFsyncs(b *testing.B, directory string) float64 {
	file, err := os.Create(filepath.Join(directory, "raw"))
	if err != nil {
		b.Fatal(err)
	}
	defer file.Close()
	begin := time.Now()
	count := 0
	for time.Since(begin) < 300*time.Millisecond {
		file.WriteAt(make([]byte, 4096), int64(count%64)*4096)
		syscall.Fdatasync(int(file.Fd()))
		count++
	}
	return float64(count) / time.Since(begin).Seconds()
}

// BenchmarkPut measures the changes per second, and for comparison the fsyncs per second of the disk in the same run.
func BenchmarkPut(b *testing.B) {
	directory := b.TempDir()
	for _, producers := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(producers), func(b *testing.B) {
			store := mustOpen(b, filepath.Join(directory, fmt.Sprint(producers)))
			defer store.Close()
			fsyncsPerSecond := measureFsyncs(b, directory)
			var running sync.WaitGroup
			b.ResetTimer()
			for producer := range producers {
				running.Go(func() {
					for i := producer; i < b.N; i += producers {
						put(store, Record{fmt.Sprint(i), testJob{"accepted", "0123456789"}})
					}
				})
			}
			running.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
			b.ReportMetric(fsyncsPerSecond, "fsyncs/s")
		})
	}
}
