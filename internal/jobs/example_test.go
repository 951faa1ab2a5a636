package jobs_test

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// A job is pushed, leased, delivered and acknowledged. The caller carries out the effects; here each write succeeds at once.
func Example() {
	machine := jobs.New(jobs.Config{})
	now := 1_700_000_000 * time.Second

	var carryOut func(effects []jobs.Effect)
	carryOut = func(effects []jobs.Effect) {
		for _, effect := range effects {
			switch effect.Kind {
			case jobs.StoreJob:
				carryOut(machine.Stored(now, effect.Job.ID, effect.Job.Version))
			case jobs.AnswerPush:
				fmt.Println("accepted", effect.Job.ID)
			case jobs.AnnounceRunnable:
				carryOut(machine.Assign(now, effect.Job.ID, "worker-1", jobs.HonorsFences))
			case jobs.DeliverJob:
				fmt.Println("delivered to", effect.Job.Worker)
				carryOut(machine.Ack(now, effect.Job.ID, effect.Job.Fence, nil))
			case jobs.AnswerReport:
				fmt.Println("finished:", effect.Job.State)
			}
		}
	}
	carryOut(machine.Push(now, jobs.Job{ID: "renewal-7", NonIdempotent: true}, 0))

	// Output:
	// accepted renewal-7
	// delivered to worker-1
	// finished: done
}
