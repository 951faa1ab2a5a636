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
func (r *run) injectFault(ctx context.Context, injected fault) {
	if !sleep(ctx, injected.start) {
		return
	}
	switch injected.kind {
	case faultKill:
		restartDaemon(ctx, r.daemons[injected.target], syscall.SIGKILL, injected.duration)
	case faultRestart:
		restartDaemon(ctx, r.daemons[injected.target], syscall.SIGTERM, injected.duration)
	case faultPause:
		pauseDaemon(ctx, r.daemons[injected.target], injected.duration)
	case faultDrain:
		r.drainWorker(ctx, r.workers[injected.target], injected.duration)
	case faultRemove:
		r.removeWorker(ctx, r.workers[injected.target], injected.duration)
	case faultHang:
		r.workers[injected.target].hang(injected.duration)
	case faultReset:
		r.workers[injected.target].reset()
	case faultDiscoveryDown, faultDiscoverySilent, faultDiscoveryTruncates:
		r.discovery.beginFault(injected.kind)
		sleep(ctx, injected.duration)
		r.discovery.endFault(injected.kind)
	}
}

// restartDaemon ends a dispatcher by a signal and starts it again after a time, unless another fault has it.
func restartDaemon(ctx context.Context, target *daemon, signal syscall.Signal, downTime time.Duration) {
	if !target.tryClaim() {
		return
	}
	defer target.release()
	markAvailable := target.markUnavailable()
	defer markAvailable()
	target.end(signal)
	sleep(ctx, downTime)
	if err := target.launch(); err != nil {
		target.addCrash(err.Error())
		return
	}
	if !target.awaitReady(startTimeout) {
		target.addCrash(fmt.Sprintf("%s is not ready %v after its start", target.name, startTimeout))
	}
	time.Sleep(recoveryTime)
}

// pauseDaemon stops a dispatcher's process for a time, unless another fault has it.
func pauseDaemon(ctx context.Context, target *daemon, duration time.Duration) {
	if !target.tryClaim() {
		return
	}
	defer target.release()
	markAvailable := target.markUnavailable()
	defer markAvailable()
	process := target.currentProcess()
	_ = process.Signal(syscall.SIGSTOP) // fails only if the process has crashed, which is recorded
	sleep(ctx, duration)
	_ = process.Signal(syscall.SIGCONT)
	time.Sleep(recoveryTime)
}

// drainWorker lists a worker as draining, removes it and lists it again as ready, unless another
// fault has it. Its process runs all the time.
func (r *run) drainWorker(ctx context.Context, target *worker, duration time.Duration) {
	if !target.tryClaim() {
		return
	}
	defer target.release()
	target.setDraining(true)
	r.discovery.set(target.name, target.address, healthDraining)
	sleep(ctx, duration/2)
	r.discovery.set(target.name, target.address, healthGone)
	sleep(ctx, duration/2)
	target.setDraining(false)
	r.discovery.set(target.name, target.address, healthReady)
}

// removeWorker removes a worker from the list and lists it again after half of duration, unless
// another fault has it. Its process runs all the time.
func (r *run) removeWorker(ctx context.Context, target *worker, duration time.Duration) {
	if !target.tryClaim() {
		return
	}
	defer target.release()
	r.discovery.set(target.name, target.address, healthGone)
	sleep(ctx, duration/2)
	r.discovery.set(target.name, target.address, healthReady)
}
