package dispatch

import "hollyyoke.example/hollyyoke/decision"

// Cancel withdraws a request whose client does not want a response any more. It returns whether some attempt of the
// request may have run.
func (d *Dispatcher) Cancel(requestHandle uint64) (mayHaveRun bool) {
	request := d.requests.Get(requestHandle)
	if request == nil || request.answered {
		return false
	}
	d.counters.total.Cancelled++
	d.traceCancelled(request)
	d.markAnswered(request)
	d.withdraw(request)
	return request.mayHaveRun() // evaluated after withdraw: stopping an attempt can show that it never ran
}

// withdraw tells the machine that a request is over, which was answered or cancelled without the machine, and cleans it
// up.
func (d *Dispatcher) withdraw(request *openRequest) {
	d.handle(decision.Event{Kind: decision.ClientDisconnected, Request: request.handle})
	d.cleanUp(request)
}

// ClientDisconnected reports whether the client of an attempt's request has disconnected. If so, it has cancelled the request
// and stopped the attempt. It also returns true if the attempt is not open any more. A worker client calls it right
// before it sends the bytes that let the worker begin.
func (d *Dispatcher) ClientDisconnected(attemptHandle uint64) bool {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return true
	}
	request := d.requests.Get(attempt.requestHandle)
	return !request.answered && d.cancelIfDisconnected(request)
}

// cancelIfDisconnected cancels a request whose client has disconnected, and reports whether it did so. It never cancels
// the request of a leased job, which is to run whether or not its client waits.
func (d *Dispatcher) cancelIfDisconnected(request *openRequest) bool {
	watcher, ok := request.frontEnd.(ClientWatcher)
	if !ok || request.Leaser != nil || !watcher.ClientDisconnected(request.token) {
		return false
	}
	mayHaveRun := d.Cancel(request.handle)
	watcher.RequestCancelled(request.token, mayHaveRun)
	return true
}

// ExpireAll ends all open requests now, as at their deadlines.
func (d *Dispatcher) ExpireAll() {
	d.requests.ForEach(func(_ uint64, request *openRequest) { d.expire(request) })
}

// expire ends a request at its deadline: it stops the open attempts as timed out and, if the request still has no
// response then, answers it as failed, or as rejected if no attempt of it ran. So every request is answered, whatever the
// machine does.
func (d *Dispatcher) expire(request *openRequest) {
	request.deadline = min(request.deadline, d.Loop.Now()) // ExpireAll comes early; the guard now forbids new attempts
	// The end of each stopped attempt is reported to the machine, which may assign another one or conclude the request.
	for i := 0; i < len(request.attempts) && d.isOpen(request); i++ {
		d.stopAttempt(request.attempts[i].handle, decision.TimedOut)
	}
	if request.answered {
		return
	}
	d.respond(request, d.failure(request))
	d.withdraw(request)
}

// cancelAttempt stops an attempt that the machine has cancelled.
func (d *Dispatcher) cancelAttempt(requestHandle uint64, number int) {
	request := d.requests.Get(requestHandle)
	if request != nil && number < len(request.attempts) {
		d.stopAttempt(request.attempts[number].handle, decision.Cancelled)
	}
}

// stopUndelivered stops the attempts of a request that have not been delivered to their workers, even if the settings
// disable cancellation. An attempt that has been granted its lease continues: the job is to run whether or not its
// client waits, and the front end ends it.
func (d *Dispatcher) stopUndelivered(request *openRequest) {
	for i := 0; i < len(request.attempts); i++ { // stopping an attempt may append another one
		handle := request.attempts[i].handle
		attempt := d.attempts.Get(handle)
		if attempt == nil {
			continue
		}
		unwanted := attempt.phase == awaitingLease || attempt.phase == handedOver && request.Leaser == nil
		if unwanted {
			d.stopAttempt(handle, decision.Cancelled)
		}
	}
}

// stopAttempt ends an attempt with the given outcome, or as not sent if it is certain that it never ran. It does
// nothing if the attempt is not open.
func (d *Dispatcher) stopAttempt(attemptHandle uint64, outcome decision.AttemptOutcome) {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return
	}
	if attempt.phase == awaitingLease || attempt.client.Cancel(attemptHandle) {
		outcome = decision.NotSent
	}
	d.AttemptEnded(attemptHandle, outcome, decision.LoadReport{}, nil)
}
