package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// networkFaultKind is a kind of fault of connects and of load. These have a schedule of their own beside that of faults.
type networkFaultKind int

const (
	networkRefuse     networkFaultKind = iota // a worker refuses connections
	networkHang                               // connects to a worker hang
	networkLate                               // connects to a worker come up late
	networkLateDrain                          // likewise, and the worker is listed as draining meanwhile
	networkSurge                              // a dispatcher gets many times its requests
	networkFaultKinds                         // the number of kinds
)

const (
	networkScheduleStream = 3 // of the seed

	maxNetworkFaultInterval = 1500 * time.Millisecond
	maxRefuseTime           = time.Second
	maxHangTime             = 3 * time.Second

	// A connect whose first try is not answered is tried again by the kernel after a second.
	lateAcceptTime = 600 * time.Millisecond
	drainLeadTime  = 300 * time.Millisecond // from the hang to the drain
	drainTime      = 4 * time.Second

	surgeTime   = 2 * time.Second
	surgeFactor = 8
)

// networkFault is one fault of the schedule.
type networkFault struct {
	kind     networkFaultKind
	start    time.Duration // since the start of the run
	duration time.Duration
	target   int // index of a dispatcher or a worker
}

// scheduleNetwork draws the faults of connects and load of a seed.
func scheduleNetwork(config Config) (faults []networkFault) {
	random := rand.New(rand.NewPCG(config.Seed, networkScheduleStream))
	start := time.Duration(0)
	for start < config.Duration {
		drawn := networkFault{kind: networkFaultKind(random.IntN(int(networkFaultKinds))), start: start}
		drawn.target = random.IntN(config.Workers * 2 / 3) // the others stay, so that requests can be served
		longest := maxRefuseTime
		if drawn.kind == networkHang {
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

// injectNetworkFault injects one fault at its time.
func (r *run) injectNetworkFault(ctx context.Context, injected networkFault) {
	if !sleep(ctx, injected.start) {
		return
	}
	r.records.strike()
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
	case networkRefuse:
		if err := target.refuse(injected.duration); err != nil {
			r.records.addHarnessError(err)
		}
	case networkHang:
		resume := target.suspendAccept()
		sleep(ctx, injected.duration)
		resume()
	case networkLate:
		target.reset()
		resume := target.suspendAccept()
		sleep(ctx, lateAcceptTime)
		resume()
	case networkLateDrain:
		r.lateDrain(ctx, target)
	}
}

// lateDrain lets connects to a worker come up late, and lists it as draining after they have begun.
func (r *run) lateDrain(ctx context.Context, target *worker) {
	target.reset() // so that requests need new connections
	resume := target.suspendAccept()
	sleep(ctx, drainLeadTime)
	target.setDraining(true)
	r.discovery.set(target.name, target.address, healthDraining)
	sleep(ctx, lateAcceptTime-drainLeadTime)
	resume()
	sleep(ctx, drainTime)
	target.setDraining(false)
	r.discovery.set(target.name, target.address, healthReady)
}
