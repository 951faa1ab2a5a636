package dispatch

import (
	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

// ClaimNeverSent records what a worker client's claim rests on that an attempt was never sent, where the request must
// not run twice. A worker client makes it before it reports the end of the attempt, stops it or moves it.
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

// MayMove reports whether a worker client may send an attempt on another connection, after it has claimed that the
// attempt was never sent. It may not where the attempt has ended meanwhile. Where the attempt was reported as sent, the
// claim is a defect, and the attempt ends as one that may have run.
func (d *Dispatcher) MayMove(attemptHandle uint64) bool {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return false
	}
	request := d.requests.Get(attempt.requestHandle)
	if d.believesNeverSent(request, attempt, "is moved") {
		return true
	}
	d.AttemptEnded(attemptHandle, decision.ConnectionLost, decision.LoadReport{}, nil)
	return false
}

// checkOutcome returns the outcome that counts for an attempt: the reported one, unless it says that the attempt was
// never sent and an earlier report says otherwise. Of two claims the safer one counts: the attempt may have run.
func (d *Dispatcher) checkOutcome(
	request *openRequest, attempt *openAttempt, outcome decision.AttemptOutcome,
) decision.AttemptOutcome {
	neverSent := outcome == decision.NotSent || outcome == decision.ConnectionRefused
	if !neverSent || d.believesNeverSent(request, attempt, "ended as "+outcome.String()) {
		return outcome
	}
	return decision.ConnectionLost
}

// believesNeverSent reports whether nothing that was reported of an attempt contradicts a claim that it was never sent.
// The worker of a leased attempt may hand it back unstarted after it was handed out, which is no contradiction.
func (d *Dispatcher) believesNeverSent(request *openRequest, attempt *openAttempt, claim string) bool {
	reported := invariant.NothingReported
	switch {
	case attempt.sent:
		reported = invariant.SentReported
	case attempt.started && attempt.fence == 0:
		reported = invariant.StartReported
	}
	if d.Guard.CheckNeverSent(reported, subjectOf(request, attempt)+" "+claim) {
		return true
	}
	d.logClaims(request)
	return false
}

// logClaims logs the recorded claims about a request of which a rule was broken.
func (d *Dispatcher) logClaims(request *openRequest) {
	for _, claim := range d.claims.Of(request.ID) {
		d.Log("request " + request.ID + " " + claim.String())
	}
}

// subjectOf names an attempt in reports of the guard.
func subjectOf(request *openRequest, attempt *openAttempt) string {
	return "request " + request.ID + " to " + attempt.worker
}
