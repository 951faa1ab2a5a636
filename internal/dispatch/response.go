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
	if response.Outcome == Failed && d.provesUnsent(request) {
		response = Response{Outcome: Rejected, RetryAfter: d.Settings.MaxRetryAfter}
	}
	d.respond(request, response)
	d.cleanUp(request)
}

// provesUnsent stops the attempts of a request that has failed by the machine's word and were never delivered. It
// reports whether that shows that nothing of the request ran. The machine counts each outstanding attempt as one that
// may have run; whether its last byte has left is known here alone.
func (d *Dispatcher) provesUnsent(request *openRequest) bool {
	if request.answered || !request.mayHaveRun() {
		return false
	}
	d.stopUndelivered(request)
	return !request.mayHaveRun()
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
