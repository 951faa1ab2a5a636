package decision

import "time"

// worker is what a dispatcher knows of one worker. Its Endpoint is that of the latest list, but for
// StartedAt, which is the time that it counts as started: see startTime.
type worker struct {
	Endpoint
	nameHash     uint64
	positions    [listCount]int // in each list, from 1 on; 0: it is not there
	lastSnapshot uint64         // the latest complete list that names it
	listedStart  time.Duration  // StartedAt by the list
	suspended    bool           // it gets nothing for now

	outstanding    float64       // slots of this dispatcher's outstanding attempts
	unstarted      int           // outstanding attempts that are not known to have started
	unstartedSince time.Duration // since when the oldest of them waits

	startWait    decayingValue // learned wait for a start, seconds
	runTimeRatio float64       // learned run time per hinted second; 0: unknown
	recentWork   decayingValue // work that it took lately, hinted slot-seconds

	budget          slowStartBudget // see slowstart.go
	load            workerLoad      // see load.go
	healthCheckedAt time.Duration   // when checkBacklog last asked for its load

	idleConnections []time.Duration // since when each is unused, the oldest first
	possiblyLost    *request        // late and not started: its connection may be dead

	saturatedUntil     time.Duration // it has rejected work and gets none until then
	rejections         map[*Class]*classRejections
	lastSeen           time.Duration // when it last showed that it lives
	failureScore       decayingValue // 0 to 1
	consecutiveInvalid int           // requests in a row that it called invalid
	ejected            bool
	ejectionBackoff    time.Duration
	trialAt            time.Duration // when it may have a request again, if ejected
}

// newWorker returns a worker of which only the name is known.
func newWorker(name string, now time.Duration) *worker {
	return &worker{nameHash: hashName(name), budget: slowStartBudget{savedAt: now}}
}

// restarted returns the worker as it is after a restart. What is outstanding there still counts; all that was
// learned is dropped, since it is about the previous process.
func (w *worker) restarted(now time.Duration) worker {
	return worker{
		Endpoint:       w.Endpoint,
		nameHash:       w.nameHash,
		positions:      w.positions,
		suspended:      w.suspended,
		outstanding:    w.outstanding,
		unstarted:      w.unstarted,
		unstartedSince: now,
		budget:         slowStartBudget{savedAt: now},
	}
}
