package dispatch

import "time"

// Outcome is the kind of a final response.
type Outcome uint8

// The outcomes of a request.
const (
	Served   Outcome = iota // a worker has completed the request
	Rejected                // the client may retry the request; if it is non-idempotent, no attempt of it has run
	Failed                  // the request was not completed; its attempts may have run or not
)

// String returns the outcome as it is written in traces.
func (o Outcome) String() string { return [...]string{"served", "rejected", "failed"}[o] }

// Response is the final response to a request.
type Response struct {
	Outcome    Outcome
	Body       []byte        // the worker's response body; valid only during the call
	RetryAfter time.Duration // how long the client should wait before it retries a rejected request; 0 if not specified
	MayHaveRun bool          // some attempt of the request may have run, and so may have had an effect
}

// conclude gives a request the final response that the machine has decided on. A failure becomes a rejection if it
// turns out that no attempt of the request ran.
func (d *Dispatcher) conclude(requestHandle uint64, response Response) {
	request := d.requests.Get(requestHandle)
	if request == nil {
		return
	}
	if response.Outcome == Failed && !request.answered {
		d.stopUndelivered(request)
		response = d.failure(request)
	}
	d.respond(request, response)
	d.cleanUp(request)
}

// failure returns the response to a request that is not served. It is a rejection if no attempt of the request ran: the
// machine counts each outstanding attempt as one that may have run, but the worker clients know whether its last byte has
// been sent.
func (d *Dispatcher) failure(request *openRequest) Response {
	if request.mayHaveRun() {
		return Response{Outcome: Failed}
	}
	return Response{Outcome: Rejected, RetryAfter: d.Settings.MaxRetryAfter}
}

// respond gives a request its final response, if it has not been answered or cancelled yet.
func (d *Dispatcher) respond(request *openRequest, response Response) {
	if request.answered {
		return
	}
	response.MayHaveRun = request.mayHaveRun()
	d.countOutcome(request.Class, response.Outcome)
	d.traceResponse(request, response)
	d.markAnswered(request)
	request.frontEnd.Respond(request.token, response)
}

// markAnswered marks a request as answered or cancelled.
func (d *Dispatcher) markAnswered(request *openRequest) {
	request.answered = true
	request.answeredAt = d.Loop.Now()
	d.counters.unanswered--
	d.Loop.Clear(&request.timer)
}
