package decision

import (
	"cmp"
	"time"
)

const (
	// meanSamples is the number of samples over which means are taken.
	meanSamples = 20
	// startWaitSamples is the number of samples for the mean wait. It is smaller since waits come in bursts.
	startWaitSamples = meanSamples / 2
	// runTimeRatioSamples is the number of samples over which a worker's own run time ratio is averaged.
	runTimeRatioSamples = 5
	// maxRunTimeRatio bounds each sample of the run time ratio, and its inverse, since hints may be wrong by
	// any factor.
	maxRunTimeRatio = 32
)

// estimates are learned run times and waits. Estimates for single workers are in worker.
type estimates struct {
	meanLatency      float64         // recent mean time of a completed attempt, seconds
	meanStartWait    float64         // recent mean wait for a start at workers, seconds
	classMeanWork    []float64       // recent mean run time by class, seconds, hinted or learned
	learnedRuns      []float64       // attempts without a hint that classMeanWork was learned from, by class
	kindRunTimeRatio map[int]float64 // mean runTimeRatio of workers, by worker kind
	maxTimeLeft      []time.Duration // the longest TimeLeft of an arrival, by class: that of a first try
}

// newEstimates returns estimates that start with the latency objective of each class as its run time.
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

// learnHint updates the mean of a class with the hinted run time of a request, in seconds.
func (e *estimates) learnHint(class int, hint float64) {
	e.classMeanWork[class] += (hint - e.classMeanWork[class]) / meanSamples
}

// learnLatency updates the mean latency with the time, in seconds, that an attempt took to complete.
func (e *estimates) learnLatency(latency float64) {
	e.meanLatency += (latency - e.meanLatency) / meanSamples
}

// learnStartWait updates the mean wait with the seconds that an attempt waited for its start.
func (e *estimates) learnStartWait(wait float64) {
	e.meanStartWait += (wait - e.meanStartWait) / startWaitSamples
}

// learnTimeLeft records the time that a client has left, and returns the longest time seen for its class.
func (e *estimates) learnTimeLeft(class int, left time.Duration) (longest time.Duration) {
	e.maxTimeLeft[class] = max(e.maxTimeLeft[class], left)
	return e.maxTimeLeft[class]
}

// latencyEstimate is the recent mean latency in seconds, at least a tick.
func (m *Machine) latencyEstimate() float64 {
	return max(m.estimates.meanLatency, m.settings.Tick.Seconds())
}

// learnRunTimeRatio updates the run time ratios of a worker and of its kind with a sample: the seconds that
// the worker took per hinted second.
func (m *Machine) learnRunTimeRatio(worker *worker, sample float64) {
	sample = min(max(sample*m.capacityFraction(worker), 1.0/maxRunTimeRatio), maxRunTimeRatio)
	own := cmp.Or(worker.runTimeRatio, sample)
	worker.runTimeRatio = own + (sample-own)/runTimeRatioSamples
	ofKinds := m.estimates.kindRunTimeRatio
	kind := cmp.Or(ofKinds[worker.Kind], sample)
	ofKinds[worker.Kind] = kind + (sample-kind)/meanSamples
}

// learnClassMeanWork updates the mean of a class, which is used in place of a hint, with the run time of a
// request without a hint. It also corrects the worker's recentWork from the estimated work to the actual
// work: slow-start budgets are derived from recentWork, and an initial estimate that is far too high would
// make them many times what warm workers carry.
func (m *Machine) learnClassMeanWork(request *request, attempt *attempt) {
	run := (m.now - max(attempt.assignedAt, attempt.startedAt)).Seconds() * m.capacityFraction(attempt.worker)
	correction := decayingValue{value: request.slots*run - request.cost, at: attempt.assignedAt}
	attempt.worker.recentWork.add(m.now, m.planningHorizon, correction.get(m.now, m.planningHorizon))
	e := &m.estimates
	for i := range m.settings.Classes {
		if &m.settings.Classes[i] == request.class {
			e.learnedRuns[i]++ // the initial estimate counts as one more sample
			e.classMeanWork[i] += (run - e.classMeanWork[i]) / min(e.learnedRuns[i]+1, meanSamples)
		}
	}
}
