package testkit

import (
	"bytes"
	"slices"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// The stubs take the place of a worker client and of a front end.
var (
	_ dispatch.WorkerClient = EchoWorkerClient{}
	_ dispatch.WorkerClient = HoldingWorkerClient{}
	_ dispatch.FrontEnd     = Responses(nil)
	_ dispatch.FrontEnd     = RespondFunc(nil)
)

// EchoWorkerClient is a worker client for tests of a front end. Its attempts end at once, as the first word of the
// request's body says: done, failed or returned. One that says hold starts and does not end: an attempt that does not
// start either would keep other requests from the worker.
type EchoWorkerClient struct{ Dispatcher *dispatch.Dispatcher }

// Start reports the attempt's outcome, with the request's body behind "made " as the result.
func (e EchoWorkerClient) Start(attempt dispatch.Attempt) {
	word, _, _ := bytes.Cut(attempt.Request.Body, []byte(" "))
	if string(word) == "hold" {
		e.Dispatcher.AttemptStarted(attempt.Handle)
		return
	}
	outcome := map[string]decision.AttemptOutcome{
		"done": decision.Completed, "failed": decision.Failed, "returned": decision.Saturated,
	}[string(word)]
	result := append([]byte("made "), attempt.Request.Body...)
	e.Dispatcher.AttemptEnded(attempt.Handle, outcome, decision.LoadReport{}, result)
}

// Cancel says that the attempt may have run.
func (EchoWorkerClient) Cancel(uint64) (neverRan bool) { return false }

// CloseIdle does nothing: there are no connections.
func (EchoWorkerClient) CloseIdle(string) {}

// CheckHealth does nothing: no outcome is reported.
func (EchoWorkerClient) CheckHealth(string) {}

// Subscribe does nothing: the test gives the endpoint list.
func (EchoWorkerClient) Subscribe() {}

// HoldingWorkerClient is a worker client whose attempts end when the test reports it, for tests in which something
// happens while a response is pending.
type HoldingWorkerClient struct {
	EchoWorkerClient
	Started chan dispatch.Attempt // gets each attempt; it must have room for all
}

// Start passes the attempt to the test.
func (h HoldingWorkerClient) Start(attempt dispatch.Attempt) { h.Started <- attempt }

// Responses is a front end that collects its responses, for tests that call the dispatcher without HTTP. It must have
// room for all.
type Responses chan dispatch.Response

// Respond adds a response with a copy of its body.
func (r Responses) Respond(_ uint64, response dispatch.Response) {
	response.Body = slices.Clone(response.Body)
	r <- response
}

// RespondFunc is a front end that calls a function with each response, for tests that act on the event loop right then.
type RespondFunc func(dispatch.Response)

// Respond calls the function.
func (f RespondFunc) Respond(_ uint64, response dispatch.Response) { f(response) }
