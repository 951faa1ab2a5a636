package dispatch

import "hollyyoke.example/hollyyoke/decision"

// The steps of Dispatcher.Trace and their keys. The step of a final response is its Outcome.
const (
	StepAccepted       = "accepted"              // class, time_left, work, unanswered
	StepAssigned       = "attempt assigned"      // number, worker, reservation (of the worker's slow-start budget)
	StepSent           = "attempt sent"          // number, worker
	StepStarted        = "attempt started"       // number, worker
	StepNeverSent      = "attempt never sent"    // claim
	StepEnded          = "attempt ended"         // number, worker, outcome, sent, load
	StepCancelled      = "cancelled"             // attempts
	StepWorkersUpdated = "endpoint list updated" // kind, endpoints; the number of endpoints comes last
)

// TraceStep reports a step of the request with this ID, or of none if id is empty, to Trace.
func (d *Dispatcher) TraceStep(id, step string, more ...any) {
	if d.Trace != nil {
		d.Trace(id, step, more...)
	}
}

// The methods below test Trace before they collect its arguments, since that allocates.

func (d *Dispatcher) traceAccepted(request *openRequest) {
	if d.Trace == nil {
		return
	}
	class := d.Settings.Classes[request.Class].Name
	timeLeft := request.deadline - d.Loop.Now()
	d.Trace(request.ID, StepAccepted,
		"class", class, "time_left", timeLeft, "work", request.Work, "unanswered", d.counters.unanswered)
}

func (d *Dispatcher) traceCancelled(request *openRequest) {
	if d.Trace != nil {
		d.Trace(request.ID, StepCancelled, "attempts", len(request.attempts))
	}
}

func (d *Dispatcher) traceResponse(request *openRequest, response Response) {
	if d.Trace == nil {
		return
	}
	timeLeft := request.deadline - d.Loop.Now()
	d.Trace(request.ID, response.Outcome.String(),
		"attempts", len(request.attempts), "may_have_run", response.MayHaveRun,
		"time_left", timeLeft, "retry_after", response.RetryAfter)
}

func (d *Dispatcher) traceAssigned(request *openRequest, number int, worker string, reservation float64) {
	if d.Trace != nil {
		d.Trace(request.ID, StepAssigned, "number", number, "worker", worker, "reservation", reservation)
	}
}

// traceAttempt reports a step of an attempt that has no values of its own.
func (d *Dispatcher) traceAttempt(attempt *openAttempt, step string) {
	if d.Trace == nil {
		return
	}
	if request := d.requests.Get(attempt.requestHandle); request != nil {
		d.Trace(request.ID, step, "number", attempt.number, "worker", attempt.worker)
	}
}

func (d *Dispatcher) traceEnded(
	request *openRequest, attempt *openAttempt, outcome decision.AttemptOutcome, load decision.LoadReport,
) {
	if d.Trace != nil {
		d.Trace(request.ID, StepEnded,
			"number", attempt.number, "worker", attempt.worker, "outcome", outcome, "sent", attempt.sent, "load", load)
	}
}

func (d *Dispatcher) traceWorkersUpdated(kind decision.ListKind, endpoints int) {
	if d.Trace != nil {
		d.Trace("", StepWorkersUpdated, "kind", kind, "endpoints", endpoints)
	}
}
