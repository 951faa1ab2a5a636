package dispatch

import (
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/invariant"
)

// openAttempt is an attempt that has not ended.
type openAttempt struct {
	requestHandle uint64 // handle of its request
	number        int    // index in the attempts of its request
	worker        string
	client        WorkerClient
	phase         attemptPhase
	sent          bool   // its last byte was sent; a reported start makes it delivered, too
	started       bool   // its worker has reported its start
	fence         uint64 // fencing token of its lease; 0: it has none
}

// attemptPhase is how far an open attempt has come on its way to its worker.
type attemptPhase uint8

// The phases, in their order. An attempt without a lease begins as handedOver.
const (
	awaitingLease attemptPhase = iota // its worker client does not know of it yet
	handedOver                        // its worker client has it
	delivered                         // its last byte was sent, or its worker has reported its start
)

// assign starts the next attempt of a request, unless a rule forbids it.
func (d *Dispatcher) assign(requestHandle uint64, worker string, reservation float64) {
	request := d.requests.Get(requestHandle)
	if request == nil {
		d.Log("attempt assigned to a request that is not open")
		return
	}
	number := len(request.attempts)
	client := d.clientOf(worker)
	if !request.answered {
		d.cancelIfClientLeft(request) // its front end may not have handled the disconnect yet
	}
	_, allowed := d.Guard.MayStart(d.startFacts(request, number))
	if !allowed || client == nil || request.attemptsMade() >= max(d.Settings.MaxAttempts, 1) {
		d.skipAttempt(request, worker)
		return
	}
	d.startAttempt(request, worker, client, reservation)
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

// skipAttempt reports an attempt to the machine as never sent.
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

// startAttempt hands an attempt to a worker client, once it has its lease if it needs one.
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

// startLeased asks for the lease of an attempt and starts the attempt when it is granted.
func (d *Dispatcher) startLeased(request *openRequest, attempt *openAttempt, start Attempt) {
	attempt.phase = awaitingLease
	request.Leaser.Acquire(&request.Request, attempt.worker, func(fence uint64) (wanted bool) {
		if d.attempts.Get(start.Handle) != attempt {
			return false
		}
		attempt.phase = handedOver
		attempt.fence = fence
		if fence == 0 { // refused
			d.AttemptEnded(start.Handle, decision.NotSent, decision.LoadReport{}, nil)
			return true
		}
		start.Fence = fence
		attempt.client.Start(start)
		return true
	})
}

// RetryBy returns the clock time by which an open attempt must have been sent, or 0 where there is no bound now. It may
// have got one since its start: an attempt that was started after it may have been sent before it.
func (d *Dispatcher) RetryBy(attemptHandle uint64) time.Duration {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return 0
	}
	request := d.requests.Get(attempt.requestHandle)
	return d.retryByBeside(request, attempt.number)
}

// retryBy returns the clock time by which the next attempt of a request must have been sent, or 0 where there is no bound.
func (d *Dispatcher) retryBy(request *openRequest) time.Duration {
	return d.retryByBeside(request, len(request.attempts))
}

// retryByBeside returns the clock time by which the attempt with a number must have been sent, beside the others.
// Workers discard a duplicate that arrives within the window of the first attempt that may have run. The window is
// counted from when that attempt was assigned, which is before it was sent, and half of the connect timeout, which covers
// a round trip, is left for the way to the worker.
func (d *Dispatcher) retryByBeside(request *openRequest, number int) time.Duration {
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
