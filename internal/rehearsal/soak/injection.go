package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// injectFault waits until the start of a fault and injects it. number is the index of the fault in the schedule.
func (r *run) injectFault(ctx context.Context, number int, injected fault) {
	if !sleep(ctx, injected.start) {
		return
	}
	r.records.recordFault()
	switch injected.kind {
	case faultKill:
		killDaemon(ctx, r.daemons[injected.target], injected.duration)
	case faultRestart:
		r.restart(ctx, injected)
	case faultReload:
		r.reload(injected)
	case faultPause:
		pauseDaemon(ctx, r.daemons[injected.target], injected.duration)
	case faultConnectionFlood:
		r.floodConnections(ctx, number, injected)
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
	case faultUnnotifiedDrain:
		r.drainUnnotified(ctx, injected)
	}
}

// drainUnnotified makes the watches and answers of the discovery service stop in the middle of a line. Meanwhile it
// drains some workers, of which the dispatchers are therefore not notified.
func (r *run) drainUnnotified(ctx context.Context, injected fault) {
	const (
		leadTime     = 200 * time.Millisecond // time between the beginning of the discovery faults and the drains
		drainedShare = 3                      // one worker in this many drains
	)
	kinds := []faultKind{faultDiscoverySilent, faultDiscoveryTruncates}
	for _, kind := range kinds {
		r.discovery.beginFault(kind)
	}
	sleep(ctx, leadTime)
	var drains sync.WaitGroup
	for i := injected.target; i < len(r.workers); i += drainedShare {
		drains.Go(func() { r.drainWorker(ctx, r.workers[i], injected.duration) })
	}
	drains.Wait()
	for _, kind := range kinds {
		r.discovery.endFault(kind)
	}
}

// killDaemon kills a dispatcher's process and starts a new one after downTime, unless another fault has claimed the
// dispatcher.
func killDaemon(ctx context.Context, target *daemon, downTime time.Duration) {
	if !target.tryClaim() {
		return
	}
	defer target.release()
	target.recordKill()
	target.end(syscall.SIGKILL)
	sleep(ctx, downTime)
	target.launchAndAwait()
}

// pauseDaemon stops a dispatcher's process by SIGSTOP for the given time, unless another fault has claimed the
// dispatcher.
func pauseDaemon(ctx context.Context, target *daemon, duration time.Duration) {
	if !target.tryClaim() {
		return
	}
	defer target.release()
	defer target.beginInterval(&target.stops)()
	process := target.currentProcess()
	_ = process.Signal(syscall.SIGSTOP) // fails only if the process has crashed, which is recorded
	sleep(ctx, duration)
	_ = process.Signal(syscall.SIGCONT)
}

// drainWorker lists a worker as draining, removes it from the list after half of duration, and lists it as ready again
// at the end of duration, unless another fault has claimed the worker. The stand-in continues to run.
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
// another fault has claimed the worker. The stand-in continues to run.
func (r *run) removeWorker(ctx context.Context, target *worker, duration time.Duration) {
	if !target.tryClaim() {
		return
	}
	defer target.release()
	r.discovery.set(target.name, target.address, healthGone)
	sleep(ctx, duration/2)
	r.discovery.set(target.name, target.address, healthReady)
}
