package decision

import "time"

// worker is what a dispatcher knows about one worker. Its Endpoint is that of the latest list, except for
// StartedAt, which is when the worker counts as started: see effectiveStartTime.
type worker struct {
	Endpoint
	nameHash     uint64
	positions    [listCount]int // position in each list, counted from 1; 0 if it is not in the list
	lastSnapshot uint64         // number of the latest complete list that names it
	listedStart  time.Duration  // StartedAt as given by the list
	suspended    bool           // it gets no requests until it is resumed

	outstanding    float64       // slots of this dispatcher's outstanding attempts
	unstarted      int           // outstanding attempts that are not known to have started
	unstartedSince time.Duration // since when the oldest of these attempts waits

	startWait    decayingValue // learned wait for a start, seconds
	runTimeRatio float64       // learned run time per hinted second; 0: unknown
	recentWork   decayingValue // work that it took lately, hinted slot-seconds

	budget          slowStartBudget // see slowstart.go
	load            workerLoad      // see load.go
	healthCheckedAt time.Duration   // when checkBacklog last requested its load

	idleConnections []time.Duration // since when each is idle, the oldest first
	possiblyLost    *request        // a request that is late and not started, whose connection may be dead

	saturatedUntil     time.Duration // it has rejected a request and gets none until then
	rejections         map[*Class]*classRejections
	lastSeen           time.Duration // when it last gave a sign of life
	failureScore       decayingValue // 0 to 1
	consecutiveInvalid int           // requests in a row that it reported as invalid
	ejected            bool
	ejectionBackoff    time.Duration
	trialAt            time.Duration // if ejected, when it may get the next trial request
}

// newWorker returns a worker about which only the name is known.
func newWorker(name string, now time.Duration) *worker {
	return &worker{nameHash: hashName(name), budget: slowStartBudget{updatedAt: now}}
}

// restarted returns the state of the worker after a restart. Outstanding attempts still count; everything
// that was learned is dropped, since it is about the previous process.
func (w *worker) restarted(now time.Duration) worker {
	return worker{
		Endpoint:       w.Endpoint,
		nameHash:       w.nameHash,
		positions:      w.positions,
		suspended:      w.suspended,
		outstanding:    w.outstanding,
		unstarted:      w.unstarted,
		unstartedSince: now,
		budget:         slowStartBudget{updatedAt: now},
	}
}
