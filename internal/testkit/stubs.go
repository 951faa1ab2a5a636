package testkit

import (
	"bytes"
	"slices"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// The stubs replace a worker client or a front end.
var (
	_ dispatch.WorkerClient = EchoWorkerClient{}
	_ dispatch.WorkerClient = HoldingWorkerClient{}
	_ dispatch.FrontEnd     = Responses(nil)
	_ dispatch.FrontEnd     = RespondFunc(nil)
)

// EchoWorkerClient is a worker client for tests of a front end. Its attempts end at once, with the outcome that the
// first word of the request's body names: done, failed or returned. With the word hold, an attempt starts and does not
// end. It is reported as started because an attempt that has not started would keep other requests from the worker.
type EchoWorkerClient struct{ Dispatcher *dispatch.Dispatcher }

// Start reports the attempt's outcome. The result is "made " followed by the request's body.
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

// Cancel reports that the attempt may have run.
func (EchoWorkerClient) Cancel(uint64) (neverRan bool) { return false }

// CloseIdle does nothing: there are no connections.
func (EchoWorkerClient) CloseIdle(string) {}

// CheckHealth does nothing: no outcome is reported.
func (EchoWorkerClient) CheckHealth(string) {}

// Subscribe does nothing: the test passes the endpoint list to the dispatcher.
func (EchoWorkerClient) Subscribe() {}

// HoldingWorkerClient is a worker client whose attempts end only when the test reports their outcome, for tests in
// which something happens while a response is pending.
type HoldingWorkerClient struct {
	EchoWorkerClient
	Started chan dispatch.Attempt // receives each attempt; its buffer must have room for all of them
}

// Start passes the attempt to the test.
func (h HoldingWorkerClient) Start(attempt dispatch.Attempt) { h.Started <- attempt }

// Responses is a front end that collects its responses, for tests that call the dispatcher without HTTP. Its buffer
// must have room for all of them.
type Responses chan dispatch.Response

// Respond adds a response with a copy of its body.
func (r Responses) Respond(_ uint64, response dispatch.Response) {
	response.Body = slices.Clone(response.Body)
	r <- response
}

// RespondFunc is a front end that calls a function with each response, on the event loop, for tests that act at that
// moment.
type RespondFunc func(dispatch.Response)

// Respond calls the function.
func (f RespondFunc) Respond(_ uint64, response dispatch.Response) { f(response) }
