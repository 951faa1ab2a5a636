package durable_test

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

// A job is pushed, leased and acknowledged. Each callback runs on the loop's goroutine once its change is on disk.
func ExampleService() {
	directory, err := os.MkdirTemp("", "durable")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(directory)
	loop := eventloop.New()
	config := durable.Config{Path: filepath.Join(directory, "jobs.db")}
	service, err := durable.Open(loop, config, slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Println(err)
		return
	}

	service.OnRunnable = func(job jobs.Job) {
		service.Assign(job.ID, "worker-1", jobs.NoGuarantee, func(leased jobs.Job, err error) {
			fmt.Println("leased to", leased.Worker, err)
			service.Ack(leased.ID, leased.Fence, nil, func(err error) {
				fmt.Println("acknowledged:", err)
				service.Close(loop.Now()+time.Second, func(error) { loop.Stop() })
			})
		})
	}
	loop.Post(func() {
		service.Start()
		service.Push(jobs.Job{ID: "renewal-7", NonIdempotent: true}, 0, func(err error) { fmt.Println("accepted:", err) })
	})
	loop.Run()

	// Output:
	// accepted: <nil>
	// leased to worker-1 <nil>
	// acknowledged: <nil>
}
