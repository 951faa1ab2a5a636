package decision

import "time"

// The failure score of a worker lies between 0 and 1. It decays over the planning horizon, so that an
// ejected worker gets requests again even if there are no idempotent requests that could be used as trials.
const (
	ejectionThreshold = 0.4 // failure score from which a worker is ejected
	failureScoreDecay = 0.7 // factor for a completed attempt; a failed one moves the score halfway to 1
	// maxConsecutiveInvalid is how many requests in a row a worker may report as invalid before such a
	// report counts as its own failure.
	maxConsecutiveInvalid = 4
)

// healthReason says, in logs, why a worker was ejected or returned to service.
type healthReason string

const (
	reasonRecovered    healthReason = "answers again"
	reasonAttemptsFail healthReason = "fails"
	reasonSilent       healthReason = "is silent"
)

// Ejected returns the names of the running workers that are ejected: because of recent failures they get no
// requests except occasional trials. In panic all workers are used, and Ejected returns none.
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
// detection). Then the workers are unlikely to be the cause, and ejected ones are used as well.
func (m *Machine) inPanic() bool { return 2*(m.counts.running-m.counts.ejected) <= len(m.fleet) }

// usable reports whether the health of a worker and of its zone allows the request. An ejected worker gets a
// request as a trial at intervals; the trial may be a NonIdempotent request only once the worker's failure
// score is below half of the threshold.
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

// setFailureScore records a worker's new failure score, and ejects the worker or returns it to service.
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

// setEjected ejects a worker or returns it to service, and adjusts the counts of ejected workers and of the
// slots in flight at them.
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

// scheduleTrial sets when an ejected worker may get the next trial request.
func (m *Machine) scheduleTrial(worker *worker) {
	worker.ejectionBackoff = m.nextBackoff(worker.ejectionBackoff)
	worker.trialAt = m.now + worker.ejectionBackoff
}

// nextBackoff doubles a backoff, which lies between an eighth of the planning horizon and twice the horizon.
func (m *Machine) nextBackoff(previous time.Duration) time.Duration {
	return min(max(2*previous, m.planningHorizon/8), 2*m.planningHorizon)
}

// effectiveOutcome returns the outcome to use for an attempt with the reported outcome. InvalidRequest
// attributes the failure to the request, but a worker that reports it too many times in a row counts as
// failing itself.
func (w *worker) effectiveOutcome(outcome AttemptOutcome) AttemptOutcome {
	if outcome != InvalidRequest {
		return outcome
	}
	w.consecutiveInvalid++
	if w.consecutiveInvalid > maxConsecutiveInvalid {
		return Failed
	}
	return outcome
}
