package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// injectFault injects one fault of the schedule, at its time. number is its place in the schedule.
func (r *run) injectFault(ctx context.Context, number int, injected fault) {
	if !sleep(ctx, injected.start) {
		return
	}
	r.records.strike()
	switch injected.kind {
	case faultKill:
		killDaemon(ctx, r.daemons[injected.target], injected.duration)
	case faultRestart:
		r.restart(ctx, injected)
	case faultReload:
		r.reload(injected)
	case faultPause:
		pauseDaemon(ctx, r.daemons[injected.target], injected.duration)
	case faultCrowd:
		r.crowd(ctx, number, injected)
	case faultDrain, faultRetire:
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
	case faultBlindDrain:
		r.blindDrain(ctx, injected)
	}
}

// blindDrain lets watches and answers of discovery fall silent, and drains some workers meanwhile.
func (r *run) blindDrain(ctx context.Context, injected fault) {
	const (
		leadTime  = 200 * time.Millisecond // from the silence to the drain
		drainedBy = 3                      // one in so many workers drains
	)
	kinds := []faultKind{faultDiscoverySilent, faultDiscoveryTruncates}
	for _, kind := range kinds {
		r.discovery.beginFault(kind)
	}
	sleep(ctx, leadTime)
	var drains sync.WaitGroup
	for i := injected.target; i < len(r.workers); i += drainedBy {
		drains.Go(func() { r.drainWorker(ctx, r.workers[i], injected.duration) })
	}
	drains.Wait()
	for _, kind := range kinds {
		r.discovery.endFault(kind)
	}
}

// killDaemon kills a dispatcher and starts it again after a time, unless another fault has it.
func killDaemon(ctx context.Context, target *daemon, downTime time.Duration) {
	if !target.tryClaim() {
		return
	}
	defer target.release()
	target.killed()
	target.end(syscall.SIGKILL)
	sleep(ctx, downTime)
	target.launchAndAwait()
}

// pauseDaemon stops a dispatcher's process for a time, unless another fault has it.
func pauseDaemon(ctx context.Context, target *daemon, duration time.Duration) {
	if !target.tryClaim() {
		return
	}
	defer target.release()
	defer target.begin(&target.stops)()
	process := target.currentProcess()
	_ = process.Signal(syscall.SIGSTOP) // fails only if the process has crashed, which is recorded
	sleep(ctx, duration)
	_ = process.Signal(syscall.SIGCONT)
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
