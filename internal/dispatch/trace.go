package dispatch

import "hollyyoke.example/hollyyoke/decision"

// The steps that are passed to Dispatcher.Trace. The comments list the keys of each step. The step of a final response
// is the text of its Outcome.
const (
	StepAccepted       = "accepted"              // class, time_left, work, unanswered
	StepAssigned       = "attempt assigned"      // number, worker, reservation (from the worker's slow-start budget)
	StepSent           = "attempt sent"          // number, worker
	StepStarted        = "attempt started"       // number, worker
	StepNeverSent      = "attempt never sent"    // claim
	StepEnded          = "attempt ended"         // number, worker, outcome, sent, load
	StepCancelled      = "cancelled"             // attempts
	StepWorkersUpdated = "endpoint list updated" // kind, endpoints (the number of endpoints in the update)
)

// TraceStep reports a step to Trace, if tracing is on. id is the ID of the request that the step concerns, or empty if
// it concerns none.
func (d *Dispatcher) TraceStep(id, step string, more ...any) {
	if d.Trace != nil {
		d.Trace(id, step, more...)
	}
}

// The methods below check whether Trace is set before they collect its arguments, since collecting them allocates.

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

// traceAttempt reports a step of an attempt that has only the keys number and worker.
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
