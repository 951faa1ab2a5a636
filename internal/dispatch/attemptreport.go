package dispatch

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

// A worker client calls the methods below to report on an attempt. They do nothing if the attempt is not open.

// AttemptSent reports that the last byte of an attempt was sent just now. Only the first report for an attempt has an
// effect.
func (d *Dispatcher) AttemptSent(attemptHandle uint64) {
	d.AttemptSentAt(attemptHandle, d.Loop.Now())
}

// AttemptSentAt is like AttemptSent, but for a last byte that was sent at the given clock time. A worker client may notice
// that only later, if the socket did not take all of the request at once.
func (d *Dispatcher) AttemptSentAt(attemptHandle uint64, sentAt time.Duration) {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil || attempt.sent {
		return
	}
	attempt.sent = true
	attempt.phase = delivered
	d.counters.total.Sent++
	d.checkSent(attempt, sentAt)
	d.traceAttempt(attempt, StepSent)
	d.handle(decision.Event{
		Kind:    decision.AttemptSent,
		Request: attempt.requestHandle,
		Attempt: attempt.number,
		Worker:  attempt.worker,
	})
}

// checkSent has the guard check an attempt whose last byte was sent at the given clock time, and logs the recorded claims
// about the request if the attempt breaks a rule.
func (d *Dispatcher) checkSent(attempt *openAttempt, sentAt time.Duration) {
	request := d.requests.Get(attempt.requestHandle)
	if request == nil {
		return
	}
	since, leaving := d.workers.leavingSince[attempt.worker]
	start := d.startFacts(request, attempt.number, sentAt)
	send := invariant.Send{
		Now:          start.Now,
		Deadline:     request.deadline,
		Leaving:      leaving,
		LeavingSince: since,
		Grace:        d.Settings.DrainGrace,
	}
	if !d.Guard.CheckSent(start, send, describeAttempt(request, attempt)) {
		d.logClaims(request)
	}
}

// AttemptStarted reports that a worker has begun to run an attempt.
func (d *Dispatcher) AttemptStarted(attemptHandle uint64) {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return
	}
	attempt.phase = delivered
	attempt.started = true
	d.traceAttempt(attempt, StepStarted)
	if request := d.requests.Get(attempt.requestHandle); attempt.fence != 0 && request != nil {
		request.Leaser.Started(&request.Request, attempt.fence)
	}
	d.handle(decision.Event{
		Kind:    decision.AttemptStarted,
		Request: attempt.requestHandle,
		Attempt: attempt.number,
		Worker:  attempt.worker,
	})
}

// AttemptProgressed reports the fraction of an attempt's work that is done, from 0 to 1.
func (d *Dispatcher) AttemptProgressed(attemptHandle uint64, fraction float64) {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return
	}
	d.handle(decision.Event{
		Kind:     decision.AttemptProgressed,
		Request:  attempt.requestHandle,
		Attempt:  attempt.number,
		Worker:   attempt.worker,
		Fraction: fraction,
	})
}

// AttemptEnded reports how an attempt ended. result is the response body of a completed attempt; it is valid only
// during the call.
func (d *Dispatcher) AttemptEnded(
	attemptHandle uint64, outcome decision.AttemptOutcome, load decision.LoadReport, result []byte,
) {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return
	}
	request := d.requests.Get(attempt.requestHandle)
	outcome = d.checkOutcome(request, attempt, outcome)
	d.traceEnded(request, attempt, outcome, load)
	d.attempts.Remove(attemptHandle)
	request.openAttempts--
	neverRan := outcome.NeverRan(&d.Settings)
	request.attempts[attempt.number].neverRan = neverRan
	request.attempts[attempt.number].unsent = outcome == decision.NotSent && !attempt.sent
	if attempt.fence != 0 {
		request.Leaser.Ended(&request.Request, attempt.fence, outcome, neverRan, result)
	}
	switch {
	case outcome == decision.Completed:
		d.respond(request, Response{Outcome: Served, Body: result})
	case attempt.fence != 0 && !neverRan: // the request of a leased job ends with its first attempt that may have run
		d.respond(request, Response{Outcome: Failed})
	}
	d.handle(decision.Event{
		Kind:     decision.AttemptEnded,
		Request:  attempt.requestHandle,
		Attempt:  attempt.number,
		Worker:   attempt.worker,
		Outcome:  outcome,
		Answered: request.answered,
		Load:     load,
	})
	d.cleanUp(request)
}
