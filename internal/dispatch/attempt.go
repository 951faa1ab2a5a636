package dispatch

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

// openAttempt is an attempt that has not ended.
type openAttempt struct {
	request     uint64 // handle of its request
	number      int    // index in the attempts of its request
	worker      string
	client      WorkerClient
	sent        bool   // its last byte was sent
	delivered   bool   // it was sent, or its worker has reported its start
	awaitsLease bool   // the worker client does not know of it yet
	fence       uint64 // fencing token of its lease; 0: it has none
}

// assign starts the next attempt of a request, unless a rule forbids it.
func (d *Dispatcher) assign(handle uint64, worker string, reservation float64) {
	request := d.requests.Get(handle)
	if request == nil {
		d.Log("attempt assigned to a request that is not open")
		return
	}
	number := len(request.attempts)
	listed, ok := d.workers[worker]
	if !request.answered {
		d.cancelIfClientLeft(request) // its front end may not have handled the disconnect yet
	}
	_, allowed := d.Guard.MayStart(d.startFacts(request, number))
	if !allowed || !ok || number >= max(d.Settings.MaxAttempts, 1) {
		d.skipAttempt(request, worker)
		return
	}
	d.startAttempt(request, worker, d.clientOf(listed), reservation)
}

// skipAttempt reports an attempt to the machine as never sent.
func (d *Dispatcher) skipAttempt(request *openRequest, worker string) {
	number := len(request.attempts)
	request.attempts = append(request.attempts, attemptRecord{neverRan: true})
	d.handle(decision.Event{
		Kind:     decision.AttemptEnded,
		Request:  request.handle,
		Attempt:  number,
		Worker:   worker,
		Outcome:  decision.NotSent,
		Answered: request.answered,
	})
}

// startAttempt hands an attempt to a worker client, once it has its lease if it needs one.
func (d *Dispatcher) startAttempt(request *openRequest, worker string, client WorkerClient, reservation float64) {
	number := len(request.attempts)
	attempt := &openAttempt{request: request.handle, number: number, worker: worker, client: client}
	handle := d.attempts.Insert(attempt)
	start := Attempt{
		Handle:      handle,
		Worker:      worker,
		Request:     &request.Request,
		Deadline:    request.deadline,
		RetryBy:     d.repeatBy(request),
		Number:      number,
		RetryUnsafe: d.Settings.Classes[request.Class].Idempotency != decision.Idempotent,
	}
	request.attempts = append(request.attempts, attemptRecord{handle: handle, assignedAt: d.Loop.Now()})
	request.openAttempts++
	d.counts.Attempts++
	if reservation > 0 && d.OnReserved != nil {
		d.OnReserved(worker, reservation)
	}
	d.traceAssigned(request, number, worker, reservation)
	if request.Leaser != nil {
		d.startLeased(request, attempt, start)
		return
	}
	client.Start(start)
}

// startLeased asks for the lease of an attempt and starts the attempt when it is granted.
func (d *Dispatcher) startLeased(request *openRequest, attempt *openAttempt, start Attempt) {
	attempt.awaitsLease = true
	request.Leaser.Acquire(&request.Request, attempt.worker, func(fence uint64) (wanted bool) {
		if d.attempts.Get(start.Handle) != attempt {
			return false
		}
		attempt.awaitsLease = false
		attempt.fence = fence
		if fence == 0 {
			d.AttemptEnded(start.Handle, decision.NotSent, decision.LoadReport{}, nil)
			return true
		}
		start.Fence = fence
		attempt.client.Start(start)
		return true
	})
}

// repeatBy returns the clock time by which the next attempt of a request must have been sent, or 0 where there is no
// bound. Workers discard a duplicate that arrives within the window of the first attempt that may have run. The window is
// counted from when that attempt was assigned, which is before it was sent, and half of the connect timeout, which covers
// a round trip, is left for the way to the worker.
func (d *Dispatcher) repeatBy(request *openRequest) time.Duration {
	class := &d.Settings.Classes[request.Class]
	if class.Idempotency != decision.Deduplicated {
		return 0
	}
	earliest := time.Duration(0)
	for _, attempt := range request.attempts {
		if attempt.neverRan {
			continue
		}
		windowEnd := attempt.assignedAt + class.DedupWindow - d.Settings.ConnectTimeout/2
		if earliest == 0 || windowEnd < earliest {
			earliest = windowEnd
		}
	}
	return earliest
}

// stopAttempt ends an attempt if it is open. It is reported as not sent if it is certain that it never ran.
func (d *Dispatcher) stopAttempt(handle uint64, outcome decision.AttemptOutcome) {
	attempt := d.attempts.Get(handle)
	if attempt == nil {
		return
	}
	if attempt.awaitsLease || attempt.client.Cancel(handle) {
		outcome = decision.NotSent
	}
	d.AttemptEnded(handle, outcome, decision.LoadReport{}, nil)
}

// AttemptEnded reports how an attempt ended. result is the response body of a completed one, valid during the call only.
// For an attempt that is not open it does nothing.
func (d *Dispatcher) AttemptEnded(
	handle uint64, outcome decision.AttemptOutcome, load decision.LoadReport, result []byte,
) {
	attempt := d.attempts.Get(handle)
	if attempt == nil {
		return
	}
	request := d.requests.Get(attempt.request)
	d.traceEnded(request, attempt, outcome, load)
	d.attempts.Remove(handle)
	request.openAttempts--
	neverRan := outcome.NeverRan(&d.Settings)
	request.attempts[attempt.number].neverRan = neverRan
	if attempt.fence != 0 {
		request.Leaser.Ended(&request.Request, attempt.fence, outcome, neverRan, result)
	}
	switch {
	case outcome == decision.Completed:
		d.respond(request, Response{Outcome: Served, Body: result})
	case attempt.fence != 0 && !neverRan:
		d.respond(request, Response{Outcome: Failed})
	}
	d.handle(decision.Event{
		Kind:     decision.AttemptEnded,
		Request:  attempt.request,
		Attempt:  attempt.number,
		Worker:   attempt.worker,
		Outcome:  outcome,
		Answered: request.answered,
		Load:     load,
	})
	d.cleanUp(request)
}

// AttemptSent reports that the last byte of an attempt was sent. Further calls for the attempt do nothing.
func (d *Dispatcher) AttemptSent(handle uint64) {
	attempt := d.attempts.Get(handle)
	if attempt == nil || attempt.sent {
		return
	}
	attempt.sent = true
	attempt.delivered = true
	d.counts.Sent++
	d.checkSent(attempt)
	d.traceAttempt(attempt, StepSent)
}

// AttemptStarted reports that a worker has begun to run an attempt.
func (d *Dispatcher) AttemptStarted(handle uint64) {
	attempt := d.attempts.Get(handle)
	if attempt == nil {
		return
	}
	attempt.delivered = true
	d.traceAttempt(attempt, StepStarted)
	d.handle(decision.Event{Kind: decision.AttemptStarted, Request: attempt.request, Attempt: attempt.number, Worker: attempt.worker})
}

// AttemptProgressed reports which fraction of an attempt is done, from 0 to 1.
func (d *Dispatcher) AttemptProgressed(handle uint64, fraction float64) {
	attempt := d.attempts.Get(handle)
	if attempt == nil {
		return
	}
	d.handle(decision.Event{
		Kind:     decision.AttemptProgressed,
		Request:  attempt.request,
		Attempt:  attempt.number,
		Worker:   attempt.worker,
		Fraction: fraction,
	})
}

// ClientGone reports whether the client of an attempt's request has disconnected. If so, the request was cancelled and
// the attempt stopped. A worker client asks right before it sends the bytes that let the worker begin.
func (d *Dispatcher) ClientGone(handle uint64) bool {
	attempt := d.attempts.Get(handle)
	if attempt == nil {
		return true
	}
	request := d.requests.Get(attempt.request)
	return !request.answered && d.cancelIfClientLeft(request)
}

// startFacts returns what the guard must know before attempt number of a request, counted from 0.
func (d *Dispatcher) startFacts(request *openRequest, number int) invariant.Start {
	return invariant.Start{
		Now:           d.Loop.Now(),
		Deadline:      request.deadline,
		Answered:      request.answered,
		NonIdempotent: d.Settings.Classes[request.Class].Idempotency == decision.NonIdempotent,
		MayHaveRun:    anyMayHaveRun(request.attempts[:number]),
	}
}

// checkSent has the guard check an attempt after its last byte was sent.
func (d *Dispatcher) checkSent(attempt *openAttempt) {
	request := d.requests.Get(attempt.request)
	if request == nil {
		return
	}
	since, leaving := d.leavingSince[attempt.worker]
	start := d.startFacts(request, attempt.number)
	send := invariant.Send{
		Now:          start.Now,
		Deadline:     request.deadline,
		Leaving:      leaving,
		LeavingSince: since,
		Grace:        d.Settings.DrainGrace,
	}
	d.Guard.CheckSent(start, send, "request "+request.ID+" to "+attempt.worker)
}
