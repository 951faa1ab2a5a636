package dispatch

import (
	"slices"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// responseMargin is how long before the client gives up the final response leaves at the latest. It covers the way to the
// client and a late timer on a shared core.
const responseMargin = 12 * time.Millisecond

// Request is what a client asks for, independent of the protocol that it uses.
type Request struct {
	ID             string // chosen by the client
	Class          int    // index in decision.Settings.Classes
	Key            string // what the request concerns; may be empty
	Target         string // path and query as the client wrote them; empty where its protocol has none
	IdempotencyKey string // by which workers recognize a duplicate; may be empty
	Body           []byte // valid until Release
	Slots          float64
	Work           time.Duration // hinted run time; 0: no hint
	TimeLeft       time.Duration // how long the client waits from ReceivedAt on; 0: as long as the class allows
	ReceivedAt     time.Duration // clock time; 0: now
	ClientRetry    bool          // the client has marked it as a retry

	Release func() // called once, when Body is not needed any more; may be nil
	Leaser  Leaser // asked for a lease before each attempt of a durable job; nil: the request needs none
}

// openRequest is a request that has no final response yet, or has attempts in flight.
type openRequest struct {
	Request
	handle   uint64
	idHash   uint64
	deadline time.Duration // clock time by which the final response leaves

	frontEnd FrontEnd
	token    uint64 // by which frontEnd knows the request
	answered bool   // it has its final response, or was cancelled

	attempts     []attemptRecord // all that were assigned, by number
	openAttempts int             // of them, those that have not ended

	timer  eventloop.Deadline // of the machine, under the request's handle
	expiry eventloop.Deadline // at deadline
}

// attemptRecord is what remains known of an attempt for as long as its request is open.
type attemptRecord struct {
	handle     uint64        // 0: the attempt was never started
	assignedAt time.Duration // clock time; the attempt is sent later
	neverRan   bool
	unsent     bool // it ended before its last byte had left, and does not count among MaxAttempts
}

// attemptsMade returns how many attempts have left, or still may.
func (r *openRequest) attemptsMade() (made int) {
	for _, attempt := range r.attempts {
		if !attempt.unsent {
			made++
		}
	}
	return made
}

// mayHaveRun reports whether some attempt may have had an effect.
func (r *openRequest) mayHaveRun() bool { return anyMayHaveRun(r.attempts) }

func anyMayHaveRun(attempts []attemptRecord) bool {
	return slices.ContainsFunc(attempts, func(a attemptRecord) bool { return !a.neverRan })
}

// Accept takes a request on: from now on its front end is owed one final response under the token, which may come before
// Accept returns. It returns the handle of the request, for Cancel.
func (d *Dispatcher) Accept(frontEnd FrontEnd, token uint64, request Request) (requestHandle uint64) {
	now := d.Loop.Now()
	open := d.openRequest(frontEnd, token, request, now)
	d.counters.unanswered++
	d.counters.total.Accepted++
	d.traceAccepted(open)
	d.handle(decision.Event{
		Kind:        decision.RequestArrived,
		Request:     open.handle,
		Class:       request.Class,
		Slots:       request.Slots,
		Work:        request.Work,
		TimeLeft:    max(open.deadline-now, 0),
		ClientRetry: request.ClientRetry,
		Key:         request.Key,
	})
	return open.handle
}

// openRequest gives a request its handle and its deadline, and makes its ID known.
func (d *Dispatcher) openRequest(frontEnd FrontEnd, token uint64, request Request, now time.Duration) *openRequest {
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

// deadlineOf returns the clock time by which the final response to a request must leave.
func (d *Dispatcher) deadlineOf(request *Request, now time.Duration) time.Duration {
	timeLeft := d.Settings.Classes[request.Class].Deadline
	if request.TimeLeft > 0 {
		timeLeft = min(timeLeft, request.TimeLeft)
	}
	receivedAt := request.ReceivedAt
	if receivedAt == 0 {
		receivedAt = now
	}
	return max(receivedAt+timeLeft-responseMargin, now)
}

// isOpen reports whether a request still has its handle.
func (d *Dispatcher) isOpen(request *openRequest) bool {
	return d.requests.Get(request.handle) == request
}

// cleanUp stops what an answered request does not need any more, and removes the request once it has no open attempt.
// Until then its expiry stays set, which ends an attempt that continues after the response.
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
