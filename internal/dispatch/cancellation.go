package dispatch

import "hollyyoke.example/hollyyoke/decision"

// Cancel withdraws a request: its client wants no response any more. It returns whether the request may have run by then.
func (d *Dispatcher) Cancel(requestHandle uint64) (mayHaveRun bool) {
	request := d.requests.Get(requestHandle)
	if request == nil || request.answered {
		return false
	}
	d.counters.total.Cancelled++
	d.traceCancelled(request)
	d.resolve(request)
	d.withdraw(request)
	return request.mayHaveRun() // only now: to stop an attempt may show that it never ran
}

// withdraw ends a request that has been resolved without the machine.
func (d *Dispatcher) withdraw(request *openRequest) {
	d.handle(decision.Event{Kind: decision.ClientDisconnected, Request: request.handle})
	d.cleanUp(request)
}

// ClientGone reports whether the client of an attempt's request has disconnected. If so, the request was cancelled and
// the attempt stopped. A worker client asks right before it sends the bytes that let the worker begin.
func (d *Dispatcher) ClientGone(attemptHandle uint64) bool {
	attempt := d.attempts.Get(attemptHandle)
	if attempt == nil {
		return true
	}
	request := d.requests.Get(attempt.requestHandle)
	return !request.answered && d.cancelIfClientLeft(request)
}

// cancelIfClientLeft cancels a request whose client has disconnected, and reports whether it did. A leased job is wanted
// whether its client waits or not.
func (d *Dispatcher) cancelIfClientLeft(request *openRequest) bool {
	watcher, ok := request.frontEnd.(ClientWatcher)
	if !ok || request.Leaser != nil || !watcher.ClientLeft(request.token) {
		return false
	}
	mayHaveRun := d.Cancel(request.handle)
	watcher.RequestCancelled(request.token, mayHaveRun)
	return true
}

// ExpireAll makes all open requests expire now.
func (d *Dispatcher) ExpireAll() {
	d.requests.ForEach(func(_ uint64, request *openRequest) { d.expire(request) })
}

// expire ends a request at its deadline: its open attempts have timed out, and if that leaves it without a response, it
// has failed. No request goes unanswered, whatever the machine does.
func (d *Dispatcher) expire(request *openRequest) {
	request.deadline = min(request.deadline, d.Loop.Now()) // it may be before its time; nothing is started any more
	// A stopped attempt is reported to the machine, which may assign another or conclude the request.
	for i := 0; i < len(request.attempts) && d.isOpen(request); i++ {
		d.stopAttempt(request.attempts[i].handle, decision.TimedOut)
	}
	if request.answered {
		return
	}
	d.respond(request, Response{Outcome: Failed})
	d.withdraw(request)
}

// cancelAttempt stops an attempt that the machine does not need any more.
func (d *Dispatcher) cancelAttempt(requestHandle uint64, number int) {
	request := d.requests.Get(requestHandle)
	if request != nil && number < len(request.attempts) {
		d.stopAttempt(request.attempts[number].handle, decision.Cancelled)
	}
}

// stopUndelivered stops the attempts that have not been delivered to their workers, also where the settings allow no
// cancellation. An attempt that has its lease continues: the job is wanted whether its client waits or not, and it is
// the front end that ends it.
func (d *Dispatcher) stopUndelivered(request *openRequest) {
	for i := 0; i < len(request.attempts); i++ { // stopping one may add another
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

// stopAttempt ends an attempt if it is open. It is reported as not sent if it is certain that it never ran.
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
