package dispatch

import "time"

// Outcome is the kind of a final response.
type Outcome uint8

// The outcomes of a request.
const (
	Served   Outcome = iota // a worker has completed it
	Rejected                // not admitted: no attempt of it has run, and the client may retry
	Failed                  // not completed, with no promise about its attempts
)

// String returns the outcome as it is written in traces.
func (o Outcome) String() string { return [...]string{"served", "rejected", "failed"}[o] }

// Response is the final response to a request.
type Response struct {
	Outcome    Outcome
	Body       []byte        // from the worker; valid during the call only
	RetryAfter time.Duration // of a rejection: how long the client should wait before it retries; 0: not said
	MayHaveRun bool          // some attempt of the request may have had an effect
}

// conclude gives a request the final response that the machine decided on.
func (d *Dispatcher) conclude(requestHandle uint64, response Response) {
	request := d.requests.Get(requestHandle)
	if request == nil {
		return
	}
	d.respond(request, response)
	d.cleanUp(request)
}

// respond gives a request its final response, if it has none yet.
func (d *Dispatcher) respond(request *openRequest, response Response) {
	if request.answered {
		return
	}
	response.MayHaveRun = request.mayHaveRun()
	d.countOutcome(request.Class, response.Outcome)
	d.traceResponse(request, response)
	d.resolve(request)
	request.frontEnd.Respond(request.token, response)
}

// resolve marks a request as answered or cancelled.
func (d *Dispatcher) resolve(request *openRequest) {
	request.answered = true
	d.counters.unanswered--
	d.Loop.Clear(&request.timer)
}
