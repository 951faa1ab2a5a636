package decision

import "time"

// attempt is one send of a request to a worker. Its number is its index in request.attempts.
type attempt struct {
	worker       *worker
	sentAt       time.Duration
	startedAt    time.Duration // when it was first known to run; 0: not yet
	lastSeen     time.Duration // when the worker last told of it, at first when it was sent
	ended        bool
	neverRan     bool // it has ended and proved to have had no effect
	unresponsive bool // its connection looks dead: its start is no longer awaited

	// connectionIdle is for how long its connection may have been unused before, where the worker seemed to have room
	// to start it at once; else 0, and a late start proves nothing.
	connectionIdle time.Duration
}

// outstandingAttempt returns the attempt that an event is about, or nils if it has ended or is unknown.
func (m *Machine) outstandingAttempt(ev *Event) (*request, *attempt) {
	r := m.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].ended {
		return nil, nil
	}
	return r, &r.attempts[ev.Attempt]
}

// startAttempt emits an attempt at a worker and records it.
func (m *Machine) startAttempt(r *request, w *worker) {
	w.recentWork.add(m.now, m.planningHorizon, r.cost)
	reservation := r.slowStartCost()
	w.slowStartBudget -= reservation
	if m.capacityFraction(w) >= 1 {
		reservation = 0
	}
	w.outstanding += r.slots
	if w.ejected {
		m.inFlightAtEjected += r.slots
	}
	w.freeSlots -= r.slots
	m.zone(w.Zone).lastAttemptAt = m.now
	a := attempt{worker: w, sentAt: m.now, lastSeen: m.now}
	a.connectionIdle = m.takeIdleConnection(w)
	if w.unstarted == 0 {
		w.unstartedSince = m.now
	}
	w.unstarted++
	if len(r.attempts) > 0 && m.settings.RetryBudgetWindow > 0 {
		m.retries = append(m.retries, m.now)
	}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	m.emit(Action{Kind: Assign, Request: r.id, Worker: w.Name, Reservation: reservation})
}

// handleProgress takes in that an attempt has started, or how far it is.
func (m *Machine) handleProgress(ev Event) {
	r, a := m.outstandingAttempt(&ev)
	if a == nil {
		return
	}
	a.lastSeen = m.now
	m.markSeen(a.worker)
	if lostRequest, lost := m.overtakenAttempt(r, a); lost != nil {
		m.recordDeadConnection(lost)
		m.rejectOrFail(lostRequest)
	}
	m.recordStart(r.class, a)
	m.cancelOtherAttempts(r, ev.Attempt)
	if m.settings.StartNotices && ev.Kind == AttemptProgressed && ev.Fraction > 0 && ev.Fraction <= 1 {
		m.learnRunTimeRatio(a.worker, (m.now-a.startedAt).Seconds()/ev.Fraction/r.work)
	}
}

// recordStart records, once, that an attempt runs, and how long it waited for that.
func (m *Machine) recordStart(class *Class, a *attempt) {
	if a.startedAt > 0 {
		return
	}
	a.startedAt = m.now
	a.recordAccepted(class)
	if m.settings.StartNotices {
		waited := (m.now - a.sentAt).Seconds()
		m.meanStartWait += (waited - m.meanStartWait) / startWaitSpan
		expected := m.expectedStartWait(a.worker)
		a.worker.startWait = decayingValue{value: (expected + waited) / 2, at: m.now}
	}
	if !a.unresponsive {
		m.removeUnstarted(a.worker)
	}
}

// removeUnstarted records that one attempt fewer waits for its start.
func (m *Machine) removeUnstarted(w *worker) {
	w.unstarted = max(w.unstarted-1, 0)
	w.unstartedSince = m.now
}

// handleAttemptEnded takes in the end of an attempt: what it used is released, what it tells is learned, and its request
// is finished or retried.
func (m *Machine) handleAttemptEnded(ev Event) {
	m.recordLoad(ev)
	r, a := m.outstandingAttempt(&ev)
	if a == nil {
		return
	}
	outcome := a.worker.believedOutcome(ev.Outcome)
	a.neverRan = outcome.neverRan(&m.settings)
	m.releaseAttempt(r, a, outcome)
	if r.keyQueue != nil && outcome.mayStillRun() {
		m.startCooldown(r.keyQueue, m.settings.KeyCooldown+m.settings.Tick)
	}
	if outcome.turnedAway() || outcome == InvalidRequest || outcome == Cancelled && a.startedAt == 0 {
		m.refundWork(r, a.worker)
	}
	if outcome == InvalidRequest && !ev.Answered && !r.ended && r.outstanding == 0 {
		// The request is at fault: it is not tried at other workers, and neither they nor the fleet are blamed.
		m.emit(Action{Kind: Fail, Request: r.id})
		m.finish(r)
		return
	}
	m.recordOutcome(r, a, outcome)
	m.adjustCeilings(r, a, outcome)
	if ev.Answered {
		m.finish(r)
	} else if !r.ended && r.outstanding == 0 && !r.queued {
		m.retry(r)
	}
	m.forgetIfOver(r)
}

// releaseAttempt records the end of an attempt, and gives back its slots and, after an answer, its connection.
func (m *Machine) releaseAttempt(r *request, a *attempt, outcome AttemptOutcome) {
	w := a.worker
	if outcome.keepsConnection() {
		w.idleConnections = append(w.idleConnections, m.now)
	}
	if a.startedAt == 0 && !a.unresponsive {
		m.removeUnstarted(w)
	}
	if outcome == Completed && r.holdTime == 0 && m.settings.StartNotices {
		m.learnClassMeanWork(r, a)
	}
	a.ended = true
	r.outstanding--
	w.outstanding -= r.slots
	w.freeSlots += r.slots
	m.inFlight = max(m.inFlight-r.slots, 0)
	if w.ejected {
		m.inFlightAtEjected -= r.slots
	}
}

// refundWork gives back the work of an attempt that did not run: to the token bucket, and off the worker's recent work,
// since what warm workers turn away tells nothing of what one in slow start can do.
func (m *Machine) refundWork(r *request, w *worker) {
	m.bucketTokens += r.cost
	w.recentWork.add(m.now, m.planningHorizon, -r.cost)
}

// recordOutcome learns what the end of an attempt tells of its worker. Only completed ones teach speed: a fast error
// must not look like a fast worker.
func (m *Machine) recordOutcome(r *request, a *attempt, outcome AttemptOutcome) {
	w := a.worker
	score := w.failureScore.get(m.now, m.planningHorizon)
	switch outcome {
	case Completed:
		w.consecutiveInvalid = 0
		m.markSeen(w)
		a.recordAccepted(r.class)
		m.learnRunTimeRatio(w, (m.now-max(a.sentAt, a.startedAt)).Seconds()/r.work)
		m.meanLatency += ((m.now - a.sentAt).Seconds() - m.meanLatency) / meanSpan
		m.setFailureScore(w, failureScoreFactor*score, answersAgain)
	case Saturated:
		m.recordSaturated(w, r.class)
	case Failed, ConnectionRefused, ConnectionLost, TimedOut:
		if outcome == ConnectionRefused {
			m.recordConnectFailure(w)
		}
		if outcome == ConnectionLost && m.connectionWasDead(a) {
			m.recordDeadConnection(a)
			return
		}
		m.setFailureScore(w, (1+score)/2, attemptsFail)
	}
}

// adjustCeilings raises the ceilings for an answer in time and cuts them for a bad outcome, once for each request. A
// first attempt that fails is about its worker; a request that fails at a second one is about the fleet.
func (m *Machine) adjustCeilings(r *request, a *attempt, outcome AttemptOutcome) {
	if outcome == Completed && m.now <= r.objective {
		m.raiseCeilings(r)
		return
	}
	if r.countedAsBad || outcome == InvalidRequest {
		return
	}
	if outcome == Completed || outcome != Cancelled && len(r.attempts) > 1 {
		m.cutCeilings(r, a.sentAt)
	}
}
