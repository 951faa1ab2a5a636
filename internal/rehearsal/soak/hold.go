package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	holdStream   = 4 // of the seed
	minHoldTime  = 150 * time.Millisecond
	maxHoldTime  = 500 * time.Millisecond
	maxHoldPause = 600 * time.Millisecond // between two holds of a run
)

// holdRepeatedly holds up one dispatcher after the other for a moment, as a busy machine does. No rule excuses that: what
// its clients and workers did meanwhile must count before the dispatcher acts again.
func (r *run) holdRepeatedly(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.config.Seed, holdStream))
	for {
		target := r.daemons[r.config.Traced+random.IntN(len(r.daemons)-r.config.Traced)] // signals interfere with ptrace
		held := minHoldTime + time.Duration(random.Int64N(int64(maxHoldTime-minHoldTime)))
		pause := time.Duration(random.Int64N(int64(maxHoldPause)))
		if !sleep(ctx, pause) {
			return
		}
		target.hold(held)
	}
}

// hold stops a dispatcher's process for a moment, unless another fault has it.
func (d *daemon) hold(duration time.Duration) {
	if !d.tryClaim() {
		return
	}
	defer d.release()
	process := d.currentProcess()
	_ = process.Signal(syscall.SIGSTOP) // fails only if the process has crashed, which is recorded
	time.Sleep(duration)
	_ = process.Signal(syscall.SIGCONT)
}
