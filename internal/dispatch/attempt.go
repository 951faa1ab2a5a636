package dispatch

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

// openAttempt is an attempt that has not ended.
type openAttempt struct {
	requestHandle uint64 // handle of the request
	number        int    // index in openRequest.attempts
	worker        string
	client        WorkerClient
	phase         attemptPhase
	sent          bool   // the worker client has reported that the last byte was sent
	started       bool   // the worker has reported that it began to run the attempt
	fence         uint64 // fencing token of the attempt's lease; 0 if it has no lease
}

// attemptPhase is how far the delivery of an open attempt to its worker has come.
type attemptPhase uint8

// The phases, in the order in which an attempt passes them. An attempt that needs no lease begins as handedOver.
const (
	awaitingLease attemptPhase = iota // a lease was requested; the worker client does not know the attempt yet
	handedOver                        // the worker client has the attempt
	delivered                         // the last byte was sent, or the worker has reported the start
)

// assign starts the next attempt of a request at a worker. If the guard forbids it, the worker is not listed any more
// or the request has used up its attempts, the attempt is reported to the machine as not sent.
func (d *Dispatcher) assign(requestHandle uint64, worker string, reservation float64) {
	request := d.requests.Get(requestHandle)
	if request == nil {
		d.Log("attempt assigned to a request that is not open")
		return
	}
	number := len(request.attempts)
	client := d.clientOf(worker)
	if !request.answered {
		d.cancelIfDisconnected(request) // the front end may not have handled the client's disconnect yet
	}
	_, allowed := d.Guard.MayStart(d.startFacts(request, number, d.Loop.Now()))
	if !allowed || client == nil || request.attemptsMade() >= max(d.Settings.MaxAttempts, 1) {
		d.skipAttempt(request, worker)
		return
	}
	d.startAttempt(request, worker, client, reservation)
}

// startFacts returns the facts by which the guard decides whether the attempt with this number, counted from 0, may start
// at the given clock time, which is not in the future.
func (d *Dispatcher) startFacts(request *openRequest, number int, at time.Duration) invariant.Start {
	return invariant.Start{
		Now:           at,
		Deadline:      request.deadline,
		Answered:      request.answered && at >= request.answeredAt,
		NonIdempotent: d.Settings.Classes[request.Class].Idempotency == decision.NonIdempotent,
		MayHaveRun:    anyMayHaveRun(request.attempts[:number]),
	}
}

// skipAttempt records an attempt that is not started, and reports it to the machine as not sent.
func (d *Dispatcher) skipAttempt(request *openRequest, worker string) {
	number := len(request.attempts)
	request.attempts = append(request.attempts, attemptRecord{neverRan: true, unsent: true})
	d.handle(decision.Event{
		Kind:     decision.AttemptEnded,
		Request:  request.handle,
		Attempt:  number,
		Worker:   worker,
		Outcome:  decision.NotSent,
		Answered: request.answered,
	})
}

// startAttempt opens an attempt and passes it to a worker client. If the request needs a lease, the attempt waits for
// the lease first.
func (d *Dispatcher) startAttempt(request *openRequest, worker string, client WorkerClient, reservation float64) {
	number := len(request.attempts)
	attempt := &openAttempt{requestHandle: request.handle, number: number, worker: worker, client: client, phase: handedOver}
	handle := d.attempts.Insert(attempt)
	start := Attempt{
		Handle:      handle,
		Worker:      worker,
		Request:     &request.Request,
		Deadline:    request.deadline,
		RetryBy:     d.retryBy(request),
		Number:      number,
		RetryUnsafe: d.Settings.Classes[request.Class].Idempotency != decision.Idempotent,
	}
	request.attempts = append(request.attempts, attemptRecord{handle: handle, assignedAt: d.Loop.Now()})
	request.openAttempts++
	d.counters.total.Attempts++
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

// startLeased asks for the lease of an attempt and starts the attempt when the lease is granted. If the lease is
// refused, the attempt ends as not sent.
func (d *Dispatcher) startLeased(request *openRequest, attempt *openAttempt, start Attempt) {
	attempt.phase = awaitingLease
	request.Leaser.Acquire(&request.Request, attempt.worker, func(fence uint64) (wanted bool) {
		if d.attempts.Get(start.Handle) != attempt {
			return false
		}
		attempt.phase = handedOver
		attempt.fence = fence
		if fence == 0 { // the lease was refused
			d.AttemptEnded(start.Handle, decision.NotSent, decision.LoadReport{}, nil)
			return true
		}
		start.Fence = fence
		attempt.client.Start(start)
		return true
	})
}

// RetryBy returns the clock time by which an open attempt must have been sent, or 0 if there is no bound at present.
// The bound can appear after the attempt was started: an attempt that was started later may have been sent earlier.
func (d *Dispatcher) RetryBy(attemptHandle uint64) time.Duration {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return 0
	}
	request := d.requests.Get(attempt.requestHandle)
	return d.retryByForAttempt(request, attempt.number)
}

// retryBy returns the clock time by which the next attempt of a request must have been sent, or 0 if there is no bound.
func (d *Dispatcher) retryBy(request *openRequest) time.Duration {
	return d.retryByForAttempt(request, len(request.attempts))
}

// retryByForAttempt returns the clock time by which the attempt with this number must have been sent, given the other
// attempts of the request, or 0 if there is no bound. Workers discard a duplicate that arrives within the dedup window
// of the first attempt that may have run. The window is counted from the time at which that attempt was assigned, which
// is before it was sent. The bound lies half of the connect timeout before the end of the window, to leave time for the
// transfer to the worker: the connect timeout covers a round trip.
func (d *Dispatcher) retryByForAttempt(request *openRequest, number int) time.Duration {
	class := &d.Settings.Classes[request.Class]
	if class.Idempotency != decision.Deduplicated {
		return 0
	}
	earliest := time.Duration(0)
	for other, attempt := range request.attempts {
		if other == number || attempt.neverRan {
			continue
		}
		windowEnd := attempt.assignedAt + class.DedupWindow - d.Settings.ConnectTimeout/2
		if earliest == 0 || windowEnd < earliest {
			earliest = windowEnd
		}
	}
	return earliest
}
