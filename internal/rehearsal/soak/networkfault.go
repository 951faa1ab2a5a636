package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// networkFaultKind is a kind of fault that concerns connection setup or load. These faults have a schedule of their own, in
// addition to the schedule of the other faults.
type networkFaultKind int

const (
	networkConnectRefuse    networkFaultKind = iota // a worker refuses connections
	networkConnectHang                              // connects to a worker are not answered for a while
	networkSlowConnect                              // connects to a worker succeed late
	networkSlowConnectDrain                         // connects to a worker succeed late, and it is listed as draining in the meantime
	networkSurge                                    // a dispatcher receives surgeFactor times as many requests
	networkFaultKinds                               // number of kinds
)

const (
	networkFaultStream = 3 // random stream of the run's seed

	maxNetworkFaultInterval = 1500 * time.Millisecond
	maxRefuseTime           = time.Second
	maxHangTime             = 3 * time.Second

	// The kernel repeats an unanswered connect after 1 s. Therefore a connect that begins while a worker does not answer for
	// this time succeeds 1 s after its beginning.
	slowConnectTime = 600 * time.Millisecond
	drainLeadTime   = 300 * time.Millisecond // from the time when connects are no longer answered to the drain
	drainTime       = 4 * time.Second

	surgeTime   = 2 * time.Second
	surgeFactor = 8
)

// networkFault is one fault of the schedule of network faults.
type networkFault struct {
	kind     networkFaultKind
	start    time.Duration // time since the start of the run
	duration time.Duration
	target   int // index of a dispatcher or a worker
}

// scheduleNetwork draws the network faults of a run's seed.
func scheduleNetwork(config Config) (faults []networkFault) {
	random := rand.New(rand.NewPCG(config.Seed, networkFaultStream))
	start := time.Duration(0)
	for start < config.Duration {
		drawn := networkFault{kind: networkFaultKind(random.IntN(int(networkFaultKinds))), start: start}
		drawn.target = random.IntN(config.Workers * 2 / 3) // the other workers have no such faults, so that requests can be served
		longest := maxRefuseTime
		if drawn.kind == networkConnectHang {
			longest = maxHangTime
		}
		drawn.duration = time.Duration(random.Int64N(int64(longest)))
		if drawn.kind == networkSurge {
			drawn.target = random.IntN(config.Daemons)
		}
		faults = append(faults, drawn)
		start += time.Duration(random.Int64N(int64(maxNetworkFaultInterval)))
	}
	return faults
}

// injectNetworkFault waits for the time of a fault and injects it.
func (r *run) injectNetworkFault(ctx context.Context, injected networkFault) {
	if !sleep(ctx, injected.start) {
		return
	}
	r.records.recordFault()
	if injected.kind == networkSurge {
		target := r.daemons[injected.target]
		target.surges.Add(1)
		sleep(ctx, surgeTime)
		target.surges.Add(-1)
		return
	}
	target := r.workers[injected.target]
	if !target.tryClaim() {
		return
	}
	defer target.release()
	switch injected.kind {
	case networkConnectRefuse:
		if err := target.refuse(injected.duration); err != nil {
			r.records.addHarnessError(err)
		}
	case networkConnectHang:
		resume := target.suspendAccept()
		sleep(ctx, injected.duration)
		resume()
	case networkSlowConnect:
		target.reset()
		resume := target.suspendAccept()
		sleep(ctx, slowConnectTime)
		resume()
	case networkSlowConnectDrain:
		r.drainDuringSlowConnect(ctx, target)
	}
}

// drainDuringSlowConnect makes connects to a worker succeed late, and lists the worker as draining after they have begun.
func (r *run) drainDuringSlowConnect(ctx context.Context, target *worker) {
	target.reset() // so that requests need new connections
	resume := target.suspendAccept()
	sleep(ctx, drainLeadTime)
	target.setDraining(true)
	r.discovery.set(target.name, target.address, healthDraining)
	sleep(ctx, slowConnectTime-drainLeadTime)
	resume()
	sleep(ctx, drainTime)
	target.setDraining(false)
	r.discovery.set(target.name, target.address, healthReady)
}
