package decision

import "time"

// The failure score of a worker lies between 0 and 1. It fades over the planning horizon, so that a worker
// comes back into use also where no idempotent request is there to try it.
const (
	ejectionThreshold  = 0.4 // failure score from which a worker is ejected
	failureScoreFactor = 0.7 // for a completed attempt; a failed one brings the score half the way to 1
	// maxConsecutiveInvalid is how many requests in a row a worker may call invalid and be believed.
	maxConsecutiveInvalid = 4
)

// healthReason says, in logs, why a worker was ejected or taken back.
type healthReason string

const (
	answersAgain  healthReason = "answers again"
	attemptsFail  healthReason = "fails"
	reportsNoMore healthReason = "is silent"
)

// Ejected returns the names of the running workers that are ejected: they get no requests but a trial now
// and then, since they failed lately. In panic all workers are used and none is named.
func (m *Machine) Ejected() (names []string) {
	if m.counts.ejected == 0 || m.inPanic() {
		return nil
	}
	for _, worker := range m.fleet {
		if worker.ejected && worker.State == Running {
			names = append(names, worker.Name)
		}
	}
	return names
}

// inPanic reports whether at least half of the fleet cannot be used (the panic threshold of outlier
// detection). Then the fault is unlikely to be the workers', and ejected ones are used as well.
func (m *Machine) inPanic() bool { return 2*(m.counts.running-m.counts.ejected) <= len(m.fleet) }

// usable reports whether a worker may get the request as far as its health and that of its zone go. An
// ejected worker gets a request as a trial now and then; a NonIdempotent one only once its failure score is
// below half of the threshold.
func (m *Machine) usable(request *request, worker *worker) bool {
	if m.zoneUnreachable(worker) {
		return false
	}
	if !worker.ejected || m.inPanic() {
		return true
	}
	if m.now < worker.trialAt {
		return false
	}
	return request.class.Idempotency != NonIdempotent ||
		worker.failureScore.get(m.now, m.planningHorizon) < ejectionThreshold/2
}

// setFailureScore records a worker's new failure score, and ejects it or takes it back.
func (m *Machine) setFailureScore(worker *worker, score float64, reason healthReason) {
	worker.failureScore = decayingValue{value: score, at: m.now}
	eject := score >= ejectionThreshold
	if eject == worker.ejected {
		return
	}
	m.setEjected(worker, eject)
	m.scheduleTrial(worker)
	m.logf("worker %s %s, failure score %.2f", worker.Name, reason, score)
}

// setEjected ejects a worker or takes it back, and moves what is in flight there between the two counts.
func (m *Machine) setEjected(worker *worker, ejected bool) {
	if ejected == worker.ejected {
		return
	}
	sign := 1
	if !ejected {
		sign = -1
	}
	m.ceilings.inFlightAtEjected += float64(sign) * worker.outstanding
	if worker.State == Running {
		m.counts.ejected += sign
	}
	worker.ejected = ejected
	worker.ejectionBackoff = 0
}

// scheduleTrial sets when an ejected worker may get a request again.
func (m *Machine) scheduleTrial(worker *worker) {
	worker.ejectionBackoff = m.nextBackoff(worker.ejectionBackoff)
	worker.trialAt = m.now + worker.ejectionBackoff
}

// nextBackoff doubles a backoff, from an eighth of the planning horizon up to twice the horizon.
func (m *Machine) nextBackoff(previous time.Duration) time.Duration {
	return min(max(2*previous, m.planningHorizon/8), 2*m.planningHorizon)
}

// believeOutcome returns the outcome that counts for an attempt with the reported one. InvalidRequest puts
// the blame on the request, but a worker that reports it too many times in a row has failed itself.
func (w *worker) believeOutcome(outcome AttemptOutcome) AttemptOutcome {
	if outcome != InvalidRequest {
		return outcome
	}
	w.consecutiveInvalid++
	if w.consecutiveInvalid > maxConsecutiveInvalid {
		return Failed
	}
	return outcome
}
