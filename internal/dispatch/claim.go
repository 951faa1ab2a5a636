package dispatch

import (
	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

// ClaimNeverSent records a worker client's claim that an attempt was never sent, with the evidence for it. Claims about
// idempotent requests are not recorded. A worker client makes the claim before it reports the end of the attempt, stops
// the attempt or resends it on another connection.
func (d *Dispatcher) ClaimNeverSent(attemptHandle uint64, kind invariant.ClaimKind, evidence invariant.Evidence) {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return
	}
	request := d.requests.Get(attempt.requestHandle)
	if d.Settings.Classes[request.Class].Idempotency == decision.Idempotent {
		return
	}
	claim := invariant.Claim{
		At:       d.Loop.Now(),
		Kind:     kind,
		Request:  request.ID,
		Attempt:  attempt.number,
		Worker:   attempt.worker,
		Evidence: evidence,
	}
	d.claims.Add(claim)
	if d.Trace != nil {
		d.Trace(request.ID, StepNeverSent, "claim", claim)
	}
}

// MayResend reports whether a worker client may send an attempt on another connection, after it has claimed that the
// attempt was never sent. It returns false if the attempt has ended meanwhile. If an earlier report contradicts the
// claim, the claim is wrong: MayResend then ends the attempt as one that may have run, and returns false.
func (d *Dispatcher) MayResend(attemptHandle uint64) bool {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return false
	}
	request := d.requests.Get(attempt.requestHandle)
	if d.acceptNeverSentClaim(request, attempt, "is moved") {
		return true
	}
	d.AttemptEnded(attemptHandle, decision.ConnectionLost, decision.LoadReport{}, nil)
	return false
}

// checkOutcome returns the outcome to be used for an attempt: the reported one, unless that says that the attempt was
// never sent and an earlier report contradicts it. Of two contradictory reports the safer one is used, by which the
// attempt may have run.
func (d *Dispatcher) checkOutcome(
	request *openRequest, attempt *openAttempt, outcome decision.AttemptOutcome,
) decision.AttemptOutcome {
	neverSent := outcome == decision.NotSent || outcome == decision.ConnectionRefused
	if !neverSent || d.acceptNeverSentClaim(request, attempt, "ended as "+outcome.String()) {
		return outcome
	}
	return decision.ConnectionLost
}

// acceptNeverSentClaim reports whether a claim that an attempt was never sent is consistent with the earlier reports on
// the attempt. A contradiction is a violated invariant, and the recorded claims about the request are logged. A
// reported start does not contradict the claim if the attempt is leased, since its worker may return the job without
// having run it.
func (d *Dispatcher) acceptNeverSentClaim(request *openRequest, attempt *openAttempt, claim string) bool {
	reported := invariant.NothingReported
	switch {
	case attempt.sent:
		reported = invariant.SentReported
	case attempt.started && attempt.fence == 0:
		reported = invariant.StartReported
	}
	if d.Guard.CheckNeverSentClaim(reported, describeAttempt(request, attempt)+" "+claim) {
		return true
	}
	d.logClaims(request)
	return false
}

// logClaims logs the recorded claims about a request for which an invariant was violated.
func (d *Dispatcher) logClaims(request *openRequest) {
	for _, claim := range d.claims.ForRequest(request.ID) {
		d.Log("request " + request.ID + " " + claim.String())
	}
}

// describeAttempt returns the name of an attempt for the reports of the guard.
func describeAttempt(request *openRequest, attempt *openAttempt) string {
	return "request " + request.ID + " to " + attempt.worker
}
