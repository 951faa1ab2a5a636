package durable

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// fillBatch is how many jobs fillStore writes in one Put.
const fillBatch = 10_000

// fillStore writes a store like that of a long-running service: most jobs are done, some wait, some are leased.
func fillStore(b *testing.B, path string, jobCount int) {
	file, err := store.Open(path, store.Options{MaxBatch: 20_000})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Duration(time.Now().UnixNano())
	var records []store.Record
	for i := range jobCount {
		job := oldJob(i, now)
		records = append(records, store.Record{ID: job.ID, Value: job})
		if len(records) == fillBatch || i == jobCount-1 {
			stored := make(chan error, 1)
			file.Put(records, func(err error) { stored <- err })
			if err := <-stored; err != nil {
				b.Fatal(err)
			}
			records = nil
		}
	}
	if err := file.Close(); err != nil {
		b.Fatal(err)
	}
}

// oldJob returns the i-th job of such a store: of ten jobs, one waits to run, one waits for its next attempt, one is
// leased, and the others are done.
func oldJob(i int, now time.Duration) jobs.Job {
	payload := []byte(`{"jid":"paid-0000000","queue":"renewal","jobtype":"renewal","args":["member 1234567","plan gold"],"custom":{"effort_us":200000}}`)
	job := jobs.Job{
		ID:            fmt.Sprintf("paid-%07d", i),
		Class:         "renewal",
		NonIdempotent: true,
		Sequence:      uint64(i + 1),
		Version:       3,
		Fence:         uint64(i + 1),
		DueAt:         now + time.Hour,
	}
	switch i % 10 {
	case 0:
		job.State = jobs.Accepted
		job.Payload = payload
		job.DueAt = 0
	case 1:
		job.State = jobs.Waiting
		job.Payload = payload
	case 2:
		job.State = jobs.Leased
		job.Payload = payload
		job.Worker = fmt.Sprint("faktory:w", i%50)
	default:
		job.State = jobs.Done
	}
	return job
}

// BenchmarkRecover measures the time until all jobs are recovered and the runnable ones are announced.
func BenchmarkRecover(b *testing.B) {
	for _, jobCount := range []int{100_000, 1_000_000} {
		b.Run(fmt.Sprint(jobCount), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), "jobs.db")
			fillStore(b, path, jobCount)
			info, _ := os.Stat(path)
			b.ResetTimer()
			for range b.N {
				loop := eventloop.New()
				service, err := Open(loop, Config{Path: path}, slog.New(slog.DiscardHandler))
				if err != nil {
					b.Fatal(err)
				}
				ready := 0
				service.OnRunnable = func(jobs.Job) { ready++ }
				service.Start()
				if ready != jobCount/10 || service.machine.Len() != jobCount {
					b.Fatalf("%d of %d may run", ready, service.machine.Len())
				}
				b.StopTimer()
				service.CloseNow()
				b.StartTimer()
			}
			b.ReportMetric(float64(info.Size())/(1<<20), "MB")
		})
	}
}

// pushUntilStopped pushes jobs one after the other until stop is set, and counts them.
func pushUntilStopped(service *Service, producer int, stop *atomic.Bool, pushed *atomic.Int64) {
	for i := 0; !stop.Load(); i++ {
		done := make(chan struct{})
		service.loop.Post(func() {
			job := jobs.Job{ID: fmt.Sprint(producer, "-", i), Class: "renewal", NonIdempotent: true, Payload: make([]byte, 200)}
			service.Push(job, 0, func(error) { close(done) })
		})
		<-done
		pushed.Add(1)
	}
}

// BenchmarkLoopStall measures how long other work of the loop waits while producers push: it posts a function to the loop
// every millisecond and measures the time until the function runs.
func BenchmarkLoopStall(b *testing.B) {
	for _, producers := range []int{0, 16, 256} {
		b.Run(fmt.Sprint(producers), func(b *testing.B) {
			loop := eventloop.New()
			service, err := Open(loop, Config{Path: filepath.Join(b.TempDir(), "jobs.db")}, slog.New(slog.DiscardHandler))
			if err != nil {
				b.Fatal(err)
			}
			service.OnRunnable = func(jobs.Job) {}
			go loop.Run()
			var stop atomic.Bool
			var pushed atomic.Int64
			for producer := range producers {
				go pushUntilStopped(service, producer, &stop, &pushed)
			}
			var late []time.Duration
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Millisecond)
				asked := time.Now()
				done := make(chan time.Duration)
				loop.Post(func() { done <- time.Since(asked) })
				late = append(late, <-done)
			}
			b.StopTimer()
			stop.Store(true)
			slices.Sort(late)
			b.ReportMetric(float64(late[len(late)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(late[len(late)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(pushed.Load())/b.Elapsed().Seconds(), "pushes/s")
		})
	}
}
