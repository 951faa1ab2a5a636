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

// fill writes a store of n jobs as a long service leaves it: most are over, some wait, some are leased.
func fill(tb testing.TB, path string, n int) {
	st, err := store.Open(path, store.Options{MaxBatch: 20_000})
	if err != nil {
		tb.Fatal(err)
	}
	payload := []byte(`{"jid":"paid-0000000","queue":"renewal","jobtype":"renewal","args":["member 1234567","plan gold"],"custom":{"effort_us":200000}}`)
	now := time.Duration(time.Now().UnixNano())
	var records []store.Record
	for i := range n {
		j := jobs.Job{ID: fmt.Sprintf("paid-%07d", i), Class: "renewal", NonIdempotent: true, Sequence: uint64(i + 1), Version: 3, Fence: uint64(i + 1), DueAt: now + time.Hour}
		switch i % 10 {
		case 0:
			j.State, j.Payload = jobs.Accepted, payload
			j.DueAt = 0
		case 1:
			j.State, j.Payload = jobs.Waiting, payload
		case 2:
			j.State, j.Payload, j.Worker = jobs.Leased, payload, fmt.Sprint("faktory:w", i%50)
		default:
			j.State = jobs.Done
		}
		if records = append(records, store.Record{ID: j.ID, Value: j}); len(records) == 10_000 || i == n-1 {
			stored := make(chan error, 1)
			st.Put(records, func(err error) { stored <- err })
			if err := <-stored; err != nil {
				tb.Fatal(err)
			}
			records = nil
		}
	}
	if err := st.Close(); err != nil {
		tb.Fatal(err)
	}
}

// The time until all jobs are recovered and the runnable ones announced.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), "jobs.db")
			fill(b, path, n)
			info, _ := os.Stat(path)
			b.ResetTimer()
			for range b.N {
				loop := eventloop.New()
				s, err := Open(loop, Config{Path: path}, slog.New(slog.DiscardHandler))
				if err != nil {
					b.Fatal(err)
				}
				ready := 0
				s.OnRunnable = func(jobs.Job) { ready++ }
				s.Start()
				if ready != n/10 || s.machine.Len() != n {
					b.Fatalf("%d of %d may run", ready, s.machine.Len())
				}
				b.StopTimer()
				s.Close()
				b.StartTimer()
			}
			b.ReportMetric(float64(info.Size())/(1<<20), "MB")
		})
	}
}

// How long other work of the loop waits while producers push: how late ticks are that are a millisecond apart.
func BenchmarkLoopStall(b *testing.B) {
	for _, producers := range []int{0, 16, 256} {
		b.Run(fmt.Sprint(producers), func(b *testing.B) {
			loop := eventloop.New()
			s, err := Open(loop, Config{Path: filepath.Join(b.TempDir(), "jobs.db")}, slog.New(slog.DiscardHandler))
			if err != nil {
				b.Fatal(err)
			}
			s.OnRunnable = func(jobs.Job) {}
			go loop.Run()
			var stop atomic.Bool
			var pushed atomic.Int64
			for p := range producers {
				go func() {
					for i := 0; !stop.Load(); i++ {
						done := make(chan struct{})
						loop.Post(func() {
							s.Push(jobs.Job{ID: fmt.Sprint(p, "-", i), Class: "renewal", NonIdempotent: true, Payload: make([]byte, 200)}, 0, func(error) { close(done) })
						})
						<-done
						pushed.Add(1)
					}
				}()
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
