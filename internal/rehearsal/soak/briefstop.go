package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	briefStopStream   = 4 // random stream of the run's seed
	minBriefStop      = 150 * time.Millisecond
	maxBriefStop      = 500 * time.Millisecond
	maxBriefStopPause = 600 * time.Millisecond // longest time between two brief stops in a run
)

// stopBrieflyRepeatedly stops the process of one random dispatcher after another for a short time, as a busy machine might.
// Unlike faultPause, this excuses no violation: when the dispatcher continues, it must take into account what its clients
// and workers did in the meantime before it acts.
func (r *run) stopBrieflyRepeatedly(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.config.Seed, briefStopStream))
	for {
		// The first dispatchers are traced and left out, because signals interfere with ptrace.
		target := r.daemons[r.config.TracedDaemons+random.IntN(len(r.daemons)-r.config.TracedDaemons)]
		duration := minBriefStop + time.Duration(random.Int64N(int64(maxBriefStop-minBriefStop)))
		pause := time.Duration(random.Int64N(int64(maxBriefStopPause)))
		if !sleep(ctx, pause) {
			return
		}
		target.stopBriefly(duration)
	}
}

// stopBriefly stops the dispatcher's process by SIGSTOP for the given time, unless another fault has claimed the dispatcher.
func (d *daemon) stopBriefly(duration time.Duration) {
	if !d.tryClaim() {
		return
	}
	defer d.release()
	process := d.currentProcess()
	_ = process.Signal(syscall.SIGSTOP) // fails only if the process has crashed, which is recorded
	time.Sleep(duration)
	_ = process.Signal(syscall.SIGCONT)
}
