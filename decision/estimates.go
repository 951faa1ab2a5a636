package decision

import "cmp"

const (
	// meanSpan is the number of samples over which means are taken.
	meanSpan = 20
	// startWaitSpan is the same for waits, of which many come at once.
	startWaitSpan = meanSpan / 2
	// runTimeRatioSpan is the number of samples over which a worker's own run time ratio is averaged.
	runTimeRatioSpan = 5
	// maxRunTimeRatio bounds a sample of it, and its inverse: hints may be wrong by any factor.
	maxRunTimeRatio = 32
)

// latencyEstimate is the recent mean latency in seconds, at least a tick.
func (m *Machine) latencyEstimate() float64 { return max(m.meanLatency, m.settings.Tick.Seconds()) }

// learnRunTimeRatio records how long a worker took for a hinted second, into its own mean and that of its
// kind.
func (m *Machine) learnRunTimeRatio(worker *worker, sample float64) {
	sample = min(max(sample*m.capacityFraction(worker), 1.0/maxRunTimeRatio), maxRunTimeRatio)
	own := cmp.Or(worker.runTimeRatio, sample)
	worker.runTimeRatio = own + (sample-own)/runTimeRatioSpan
	kind := cmp.Or(m.kindRunTimeRatio[worker.Kind], sample)
	m.kindRunTimeRatio[worker.Kind] = kind + (sample-kind)/meanSpan
}

// learnClassMeanWork records how long a request without a hint ran: the mean of its class stands for the
// hints that do not come. The worker's recentWork is corrected from the guess to what the request took,
// since slow-start budgets come from it: a first guess far above the mean would grant them many times what
// warm workers take.
func (m *Machine) learnClassMeanWork(request *request, attempt *attempt) {
	run := (m.now - max(attempt.sentAt, attempt.startedAt)).Seconds() * m.capacityFraction(attempt.worker)
	correction := decayingValue{value: request.slots*run - request.cost, at: attempt.sentAt}
	attempt.worker.recentWork.add(m.now, m.planningHorizon, correction.get(m.now, m.planningHorizon))
	for i := range m.settings.Classes {
		if &m.settings.Classes[i] == request.class {
			m.learnedRuns[i]++ // the first guess counts as one more
			m.classMeanWork[i] += (run - m.classMeanWork[i]) / min(m.learnedRuns[i]+1, meanSpan)
		}
	}
}
