package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// recoveryTime is how long after a dispatcher is back its clients may still be affected.
const recoveryTime = 500 * time.Millisecond

// injectFault injects one fault of the schedule, at its time.
func (r *run) injectFault(ctx context.Context, f fault) {
	if !sleep(ctx, f.start) {
		return
	}
	switch f.kind {
	case faultKill:
		r.restartDaemon(ctx, r.daemons[f.target], syscall.SIGKILL, f.duration)
	case faultRestart:
		r.restartDaemon(ctx, r.daemons[f.target], syscall.SIGTERM, f.duration)
	case faultPause:
		r.pauseDaemon(ctx, r.daemons[f.target], f.duration)
	case faultDrain, faultRemove:
		r.unlistWorker(ctx, r.workers[f.target], f)
	case faultHang:
		r.workers[f.target].hang(f.duration)
	case faultReset:
		r.workers[f.target].reset()
	default:
		r.discovery.setFault(f.kind, true)
		sleep(ctx, f.duration)
		r.discovery.setFault(f.kind, false)
	}
}

// restartDaemon ends a dispatcher and starts it again after a time, unless another fault has it.
func (r *run) restartDaemon(ctx context.Context, d *daemon, signal syscall.Signal, down time.Duration) {
	if !d.tryClaim() {
		return
	}
	defer d.release()
	available := d.markUnavailable()
	defer available()
	d.end(signal)
	sleep(ctx, down)
	if err := d.launch(); err != nil {
		d.addCrash(err.Error())
		return
	}
	if !d.awaitReady(startTimeout) {
		d.addCrash(fmt.Sprintf("%s is not ready %v after its start", d.name, startTimeout))
	}
	time.Sleep(recoveryTime)
}

// pauseDaemon stops a dispatcher's process for a time, unless another fault has it.
func (r *run) pauseDaemon(ctx context.Context, d *daemon, duration time.Duration) {
	if !d.tryClaim() {
		return
	}
	defer d.release()
	available := d.markUnavailable()
	defer available()
	pid := d.currentProcess().pid
	_ = syscall.Kill(pid, syscall.SIGSTOP)
	sleep(ctx, duration)
	_ = syscall.Kill(pid, syscall.SIGCONT)
	time.Sleep(recoveryTime)
}

// unlistWorker drains or removes a worker and lists it again later, unless another fault has it.
// Its process runs all the time.
func (r *run) unlistWorker(ctx context.Context, w *worker, f fault) {
	if !w.tryClaim() {
		return
	}
	defer w.release()
	if f.kind == faultDrain {
		w.drain(true)
		r.discovery.set(w.name, w.addr, draining)
		sleep(ctx, f.duration/2)
	}
	r.discovery.set(w.name, w.addr, gone)
	sleep(ctx, f.duration/2)
	w.drain(false)
	r.discovery.set(w.name, w.addr, ready)
}
