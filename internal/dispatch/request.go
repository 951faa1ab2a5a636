package dispatch

import (
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// responseMargin is the time between the latest moment at which the final response leaves and the moment at which the
// client stops waiting. It covers the transfer to the client and a timer that fires late on a shared core.
const responseMargin = 12 * time.Millisecond

// Request is a client's request, independent of the client protocol.
type Request struct {
	ID             string // chosen by the client
	Class          int    // index in decision.Settings.Classes
	Key            string // identifies the object that the request concerns; may be empty
	Target         string // path and query as the client wrote them; empty if the client protocol has no target
	IdempotencyKey string // by which workers recognize a duplicate; may be empty
	Body           []byte // valid until Release is called
	Slots          float64
	Work           time.Duration // run time according to the client's hint; 0 if there is no hint
	TimeLeft       time.Duration // how long the client waits from ArrivedAt on; 0 means as long as the class allows
	ArrivedAt      time.Duration // clock time at which the kernel had received the request; 0 means ReceivedAt
	ReceivedAt     time.Duration // clock time at which the request was read; 0 means the time of Accept
	ClientRetry    bool          // the client has marked the request as a retry

	Release func() // called once, when Body is not needed any more; may be nil
	Leaser  Leaser // grants a lease before each attempt of a durable job; nil if the request needs no lease
}

// openRequest is a request that has no final response yet, or has attempts in flight.
type openRequest struct {
	Request
	handle   uint64
	idHash   uint64
	deadline time.Duration // clock time by which the final response must leave

	frontEnd FrontEnd
	token    uint64 // the token by which frontEnd identifies the request
	answered bool   // the request has its final response or was cancelled

	answeredAt time.Duration // clock time at which answered was set

	attempts     []attemptRecord // all attempts that were assigned, by number
	openAttempts int             // number of attempts that have not ended

	timer  eventloop.Deadline // the machine's timer whose number is the request's handle
	expiry eventloop.Deadline // set to deadline
}

// attemptRecord is the information on an attempt that is kept as long as its request is open.
type attemptRecord struct {
	handle     uint64        // 0 if the attempt was never started
	assignedAt time.Duration // clock time, which is before the attempt is sent
	neverRan   bool
	unsent     bool // the attempt ended before its last byte was sent; it does not count towards MaxAttempts
}

// attemptsMade returns the number of attempts that count towards MaxAttempts: those that were sent or may still be
// sent.
func (r *openRequest) attemptsMade() (made int) {
	for _, attempt := range r.attempts {
		if !attempt.unsent {
			made++
		}
	}
	return made
}

// mayHaveRun reports whether some attempt of the request may have run, and so may have had an effect.
func (r *openRequest) mayHaveRun() bool { return anyMayHaveRun(r.attempts) }

func anyMayHaveRun(attempts []attemptRecord) bool {
	return slices.ContainsFunc(attempts, func(a attemptRecord) bool { return !a.neverRan })
}

// Accept accepts a request. Its front end will get exactly one final response, with the token, unless it cancels the
// request before; the response may come before Accept returns. Accept returns the handle of the request, for Cancel.
func (d *Dispatcher) Accept(frontEnd FrontEnd, token uint64, request Request) (requestHandle uint64) {
	now := d.Loop.Now()
	if request.ReceivedAt == 0 {
		request.ReceivedAt = now
	}
	if request.ArrivedAt == 0 {
		request.ArrivedAt = request.ReceivedAt
	}
	open := d.addRequest(frontEnd, token, request, now)
	d.counters.unanswered++
	d.counters.total.Accepted++
	d.traceAccepted(open)
	d.handle(decision.Event{
		Kind:        decision.RequestArrived, // handle sets TimeLeft
		Request:     open.handle,
		Class:       request.Class,
		Slots:       request.Slots,
		Work:        request.Work,
		ClientRetry: request.ClientRetry,
		Key:         request.Key,
	})
	return open.handle
}

// addRequest creates the record of an accepted request, with its handle and its deadline, and adds its ID to the known
// IDs.
func (d *Dispatcher) addRequest(frontEnd FrontEnd, token uint64, request Request, now time.Duration) *openRequest {
	open := &openRequest{frontEnd: frontEnd, token: token, Request: request}
	open.deadline = d.deadlineOf(&request, now)
	open.handle = d.requests.Insert(open)
	open.idHash = d.ids.hash(request.ID)
	d.ids.add(open.idHash)
	if d.OnAccepted != nil {
		d.OnAccepted(open.idHash)
	}
	open.expiry.Fire = func() { d.expire(open) }
	open.timer.Fire = func() { d.fireTimer(open.handle) }
	d.Loop.Set(&open.expiry, open.deadline)
	return open
}

// ArrivalOf returns the arrival of a request that is read now, given the clock time at which the kernel had received it,
// or 0 if that is not known. Right after a stall, a request may have been queued since the stall began.
func (d *Dispatcher) ArrivalOf(received time.Duration) time.Duration {
	queuedSince := d.Loop.QueuedSince()
	if received == 0 {
		return queuedSince
	}
	return min(queuedSince, received)
}

// deadlineOf returns the clock time by which the final response to a request must leave, counted from the arrival of the
// request. It is not before now.
func (d *Dispatcher) deadlineOf(request *Request, now time.Duration) time.Duration {
	return max(request.ArrivedAt+d.ClientTimeout(request)-responseMargin, now)
}

// timeLeftOf is timeLeftToDecide for the request with a handle. It returns 0 if the request has ended.
func (d *Dispatcher) timeLeftOf(requestHandle uint64, now time.Duration) time.Duration {
	open := d.requests.Get(requestHandle)
	if open == nil {
		return 0
	}
	return d.timeLeftToDecide(open, now)
}

// timeLeftToDecide returns the time that the decision machine is told a request has left, or 0 if its client gives up
// now. It counts from the reading of the request: the machine compares it with what it has seen of other requests, and a
// request that waited in the kernel of a busy machine is not to be rejected for that.
func (d *Dispatcher) timeLeftToDecide(open *openRequest, now time.Duration) time.Duration {
	if open.deadline <= now {
		return 0
	}
	return max(open.ReceivedAt+d.ClientTimeout(&open.Request)-responseMargin-now, 0)
}

// ClientTimeout returns how long the client of a request waits for the response, counted from the request's arrival.
func (d *Dispatcher) ClientTimeout(request *Request) time.Duration {
	timeout := d.Settings.Classes[request.Class].Deadline
	if request.TimeLeft > 0 {
		timeout = min(timeout, request.TimeLeft)
	}
	return timeout
}

// isOpen reports whether a request has not been removed yet.
func (d *Dispatcher) isOpen(request *openRequest) bool {
	return d.requests.Get(request.handle) == request
}

// cleanUp stops the undelivered attempts of an answered request, and removes the request if it has no open attempt
// left. Until the request is removed its expiry stays set, which ends attempts that continue after the response.
func (d *Dispatcher) cleanUp(request *openRequest) {
	if !request.answered {
		return
	}
	d.stopUndelivered(request)
	if request.openAttempts > 0 || !d.isOpen(request) {
		return
	}
	d.Loop.Clear(&request.expiry)
	d.requests.Remove(request.handle)
	d.ids.end(request.idHash)
	if request.Release != nil {
		request.Release()
	}
}
