package decision

import (
	"cmp"
	"time"
)

// attempt is one send of a request to a worker. Its number is its index in request.attempts.
type attempt struct {
	worker       *worker
	assignedAt   time.Duration // when it was assigned
	sentAt       time.Duration // when its last byte was sent; 0 until then, as while a connection is dialed
	startedAt    time.Duration // when it was first known to run; 0 until then
	lastSeen     time.Duration // time of the worker's last report on it; before the first report, assignedAt
	ended        bool
	neverRan     bool // it has ended, and its outcome proves that the worker never ran it
	unsent       bool // it ended before its last byte was sent: it was held back, or the dial failed
	unresponsive bool // its connection looks dead: it no longer counts as waiting for its start

	// connectionIdle is how long the reused connection may have been idle before the attempt. It is set only
	// if the worker seemed able to start the attempt at once; otherwise a late start would not indicate a
	// dead connection.
	connectionIdle time.Duration
}

// outstandingAttempt returns the attempt that an event reports on and its request, or nil for both if the
// attempt has ended or is unknown.
func (m *Machine) outstandingAttempt(event *Event) (*request, *attempt) {
	request := m.requests[event.Request]
	if request == nil || event.Attempt < 0 || event.Attempt >= len(request.attempts) {
		return nil, nil
	}
	attempt := &request.attempts[event.Attempt]
	if attempt.ended {
		return nil, nil
	}
	return request, attempt
}

// startAttempt assigns a request to a worker and records the attempt.
func (m *Machine) startAttempt(request *request, worker *worker) {
	worker.recentWork.add(m.now, m.planningHorizon, request.cost)
	reservation := request.slowStartCost()
	worker.budget.balance -= reservation
	if m.capacityFraction(worker) >= 1 {
		reservation = 0
	}
	worker.outstanding += request.slots
	if worker.ejected {
		m.ceilings.inFlightAtEjected += request.slots
	}
	worker.load.freeSlots -= request.slots
	m.zones.get(worker.Zone).lastAttemptAt = m.now
	attempt := attempt{worker: worker, assignedAt: m.now, lastSeen: m.now}
	if !m.settings.SendNotices {
		attempt.sentAt = m.now
	}
	attempt.connectionIdle = m.takeIdleConnection(worker)
	if worker.unstarted == 0 {
		worker.unstartedSince = m.now
	}
	worker.unstarted++
	if request.attemptsMade() > 0 {
		m.retryBudget.countRetry(m.now, &m.settings)
	}
	request.attempts = append(request.attempts, attempt)
	request.outstanding++
	m.emit(Action{Kind: Assign, Request: request.id, Worker: worker.Name, Reservation: reservation})
}

// handleSent records that the last byte of an attempt was sent.
func (m *Machine) handleSent(event Event) {
	if _, attempt := m.outstandingAttempt(&event); attempt != nil {
		attempt.sentAt = cmp.Or(attempt.sentAt, m.now)
	}
}

// handleProgress records that an attempt has started or made progress.
func (m *Machine) handleProgress(event Event) {
	request, attempt := m.outstandingAttempt(&event)
	if attempt == nil {
		return
	}
	attempt.lastSeen = m.now
	attempt.sentAt = cmp.Or(attempt.sentAt, m.now)
	m.markSeen(attempt.worker)
	if lostRequest, lost := m.lostAttempt(request, attempt); lost != nil {
		m.recordDeadConnection(lost)
		m.rejectOrFail(lostRequest)
	}
	m.recordStart(request.class, attempt)
	m.cancelOtherAttempts(request, event.Attempt)
	hasFraction := event.Kind == AttemptProgressed && event.Fraction > 0 && event.Fraction <= 1
	if m.settings.StartNotices && hasFraction {
		m.learnRunTimeRatio(attempt.worker, (m.now-attempt.startedAt).Seconds()/event.Fraction/request.work)
	}
}

// recordStart records that an attempt runs, and how long it waited for its start. Only the first call for an
// attempt has an effect.
func (m *Machine) recordStart(class *Class, attempt *attempt) {
	if attempt.startedAt > 0 {
		return
	}
	attempt.startedAt = m.now
	attempt.recordAccepted(class)
	if m.settings.StartNotices {
		waited := (m.now - attempt.assignedAt).Seconds()
		m.estimates.learnStartWait(waited)
		expected := m.expectedStartWait(attempt.worker)
		attempt.worker.startWait = decayingValue{value: (expected + waited) / 2, at: m.now}
	}
	if !attempt.unresponsive {
		m.removeUnstarted(attempt.worker)
	}
}

// removeUnstarted subtracts an attempt from those that wait for their start at a worker.
func (m *Machine) removeUnstarted(worker *worker) {
	worker.unstarted = max(worker.unstarted-1, 0)
	worker.unstartedSince = m.now
}

// handleAttemptEnded handles the end of an attempt: it releases what the attempt used, learns from its
// outcome, and finishes or retries its request.
func (m *Machine) handleAttemptEnded(event Event) {
	m.recordLoad(event)
	request, attempt := m.outstandingAttempt(&event)
	if attempt == nil {
		return
	}
	outcome := attempt.worker.effectiveOutcome(event.Outcome)
	attempt.neverRan = outcome.NeverRan(&m.settings)
	attempt.unsent = outcome == NotSent && attempt.sentAt == 0
	m.releaseAttempt(request, attempt, outcome)
	if request.keyQueue != nil && outcome.mayStillRun() {
		m.startCooldown(request.keyQueue)
	}
	if outcome.notAccepted() || outcome == InvalidRequest || outcome == Cancelled && attempt.startedAt == 0 {
		m.refundWork(request, attempt.worker)
	}
	if outcome == InvalidRequest && !event.Answered && !request.ended && request.outstanding == 0 {
		// The request itself is at fault: another worker would reject it too, and this outcome says nothing
		// about the worker or the fleet.
		m.emit(Action{Kind: Fail, Request: request.id})
		m.finish(request)
		return
	}
	m.recordOutcome(request, attempt, outcome)
	m.adjustCeilings(request, attempt, outcome)
	if event.Answered {
		m.finish(request)
	} else if !request.ended && request.outstanding == 0 && !request.queued {
		m.retry(request)
	}
	m.dropIfOver(request)
}

// releaseAttempt records the end of an attempt and releases its slots. If the worker has answered, the
// connection becomes idle.
func (m *Machine) releaseAttempt(request *request, attempt *attempt, outcome AttemptOutcome) {
	worker := attempt.worker
	if outcome.keepsConnection() {
		worker.idleConnections = append(worker.idleConnections, m.now)
	}
	if attempt.startedAt == 0 && !attempt.unresponsive {
		m.removeUnstarted(worker)
	}
	if outcome == Completed && request.holdTime == 0 && m.settings.StartNotices {
		m.learnClassMeanWork(request, attempt)
	}
	attempt.ended = true
	request.outstanding--
	worker.outstanding -= request.slots
	worker.load.freeSlots += request.slots
	m.ceilings.inFlight = max(m.ceilings.inFlight-request.slots, 0)
	if worker.ejected {
		m.ceilings.inFlightAtEjected -= request.slots
	}
}

// refundWork returns the work of an attempt that did not run to the token bucket, and subtracts it from the
// worker's recent work: slow-start budgets are derived from the work that warm workers accept, without what
// they reject.
func (m *Machine) refundWork(request *request, worker *worker) {
	m.bucket.tokens += request.cost
	worker.recentWork.add(m.now, m.planningHorizon, -request.cost)
}

// recordOutcome updates what is known of a worker from the outcome of an attempt. Only completed attempts
// count toward the worker's speed, so that a worker that fails quickly does not look fast.
func (m *Machine) recordOutcome(request *request, attempt *attempt, outcome AttemptOutcome) {
	worker := attempt.worker
	score := worker.failureScore.get(m.now, m.planningHorizon)
	switch outcome {
	case Completed:
		worker.consecutiveInvalid = 0
		m.markSeen(worker)
		attempt.recordAccepted(request.class)
		m.learnRunTimeRatio(worker, (m.now-max(attempt.assignedAt, attempt.startedAt)).Seconds()/request.work)
		m.estimates.learnLatency((m.now - attempt.assignedAt).Seconds())
		m.setFailureScore(worker, failureScoreDecay*score, reasonRecovered)
	case Saturated:
		m.recordSaturated(worker, request.class)
	case Failed, ConnectionRefused, ConnectionLost, TimedOut:
		if outcome == ConnectionRefused {
			m.recordConnectFailure(worker)
		}
		if outcome == ConnectionLost && m.connectionWasDead(attempt) {
			m.recordDeadConnection(attempt)
			return
		}
		m.setFailureScore(worker, (1+score)/2, reasonAttemptsFail)
	}
}

// adjustCeilings raises the ceilings for a response in time and cuts them, at most once per request, for a
// bad outcome. The failure of a request's first attempt counts against its worker only; the failure of a
// later attempt counts against the fleet. An attempt that was never sent says nothing about either.
func (m *Machine) adjustCeilings(request *request, attempt *attempt, outcome AttemptOutcome) {
	if outcome == Completed && m.now <= request.objective {
		m.raiseCeilings(request)
		return
	}
	if request.countedAsBad || outcome == InvalidRequest || attempt.unsent {
		return
	}
	if outcome == Completed || outcome != Cancelled && len(request.attempts) > 1 {
		m.cutCeilings(request, attempt.assignedAt)
	}
}
