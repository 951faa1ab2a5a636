package decision

import (
	"cmp"
	"time"
)

const (
	// meanSpan is the number of samples over which means are taken.
	meanSpan = 20
	// startWaitSpan is the same for waits, which come in bursts.
	startWaitSpan = meanSpan / 2
	// runTimeRatioSpan is the number of samples over which a worker's own run time ratio is averaged.
	runTimeRatioSpan = 5
	// maxRunTimeRatio bounds a sample of the run time ratio, and its inverse: hints may be wrong by any
	// factor.
	maxRunTimeRatio = 32
)

// estimates are what is learned of run times and waits. What is known of single workers is in worker.
type estimates struct {
	meanLatency      float64         // recent mean time of a completed attempt, seconds
	meanStartWait    float64         // recent mean wait for a start at workers, seconds
	classMeanWork    []float64       // recent mean run time by class, seconds, hinted or learned
	learnedRuns      []float64       // attempts without a hint that it was learned from, by class
	kindRunTimeRatio map[int]float64 // mean runTimeRatio of workers, by machine kind
	maxTimeLeft      []time.Duration // the longest TimeLeft of an arrival, by class: that of a first try
}

// newEstimates begins with the latency objective of a class as its run time.
func newEstimates(settings *Settings) estimates {
	e := estimates{
		classMeanWork:    make([]float64, len(settings.Classes)),
		learnedRuns:      make([]float64, len(settings.Classes)),
		kindRunTimeRatio: map[int]float64{},
		maxTimeLeft:      make([]time.Duration, len(settings.Classes)),
	}
	for i := range settings.Classes {
		e.classMeanWork[i] = max(settings.Classes[i].LatencyObjective, settings.Tick).Seconds()
	}
	return e
}

// learnHint records the hinted run time of a request, in seconds, into the mean of its class.
func (e *estimates) learnHint(class int, hint float64) {
	e.classMeanWork[class] += (hint - e.classMeanWork[class]) / meanSpan
}

// learnLatency records the time, in seconds, that an attempt took to complete.
func (e *estimates) learnLatency(latency float64) {
	e.meanLatency += (latency - e.meanLatency) / meanSpan
}

// learnStartWait records for how many seconds an attempt waited for its start.
func (e *estimates) learnStartWait(wait float64) {
	e.meanStartWait += (wait - e.meanStartWait) / startWaitSpan
}

// learnTimeLeft records the time that a client has left, and returns the longest of its class.
func (e *estimates) learnTimeLeft(class int, left time.Duration) (longest time.Duration) {
	e.maxTimeLeft[class] = max(e.maxTimeLeft[class], left)
	return e.maxTimeLeft[class]
}

// latencyEstimate is the recent mean latency in seconds, at least a tick.
func (m *Machine) latencyEstimate() float64 {
	return max(m.estimates.meanLatency, m.settings.Tick.Seconds())
}

// learnRunTimeRatio records how long a worker took for a hinted second, into its own mean and that of its
// kind.
func (m *Machine) learnRunTimeRatio(worker *worker, sample float64) {
	sample = min(max(sample*m.capacityFraction(worker), 1.0/maxRunTimeRatio), maxRunTimeRatio)
	own := cmp.Or(worker.runTimeRatio, sample)
	worker.runTimeRatio = own + (sample-own)/runTimeRatioSpan
	ofKinds := m.estimates.kindRunTimeRatio
	kind := cmp.Or(ofKinds[worker.Kind], sample)
	ofKinds[worker.Kind] = kind + (sample-kind)/meanSpan
}

// learnClassMeanWork records how long a request without a hint ran, into the mean of its class, which is used
// in place of a hint. The worker's recentWork is corrected from that estimate to what the request took.
// Slow-start budgets follow from recentWork: a first estimate far too high would make them many times what
// warm workers carry.
func (m *Machine) learnClassMeanWork(request *request, attempt *attempt) {
	run := (m.now - max(attempt.sentAt, attempt.startedAt)).Seconds() * m.capacityFraction(attempt.worker)
	correction := decayingValue{value: request.slots*run - request.cost, at: attempt.sentAt}
	attempt.worker.recentWork.add(m.now, m.planningHorizon, correction.get(m.now, m.planningHorizon))
	e := &m.estimates
	for i := range m.settings.Classes {
		if &m.settings.Classes[i] == request.class {
			e.learnedRuns[i]++ // the first guess counts as one more
			e.classMeanWork[i] += (run - e.classMeanWork[i]) / min(e.learnedRuns[i]+1, meanSpan)
		}
	}
}
