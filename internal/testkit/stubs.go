package testkit

import (
	"bytes"
	"slices"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
)

// EchoClient is a carrier whose backend does at once what a job's body says.
type EchoClient struct{ Dispatcher *dispatch.Dispatcher }

func (e EchoClient) Start(f dispatch.Attempt) {
	word, _, _ := bytes.Cut(f.Request.Body, []byte(" "))
	if string(word) == "hold" {
		return
	}
	o := map[string]decision.AttemptOutcome{
		"done": decision.Completed, "failed": decision.Failed, "returned": decision.Saturated,
	}[string(word)]
	e.Dispatcher.AttemptEnded(f.Handle, o, decision.LoadReport{}, append([]byte("made "), f.Request.Body...))
}

func (EchoClient) Cancel(uint64) bool { return false }

func (EchoClient) CloseIdle(string) {}

func (EchoClient) CheckHealth(string) {}

func (EchoClient) Subscribe() {}

// HoldingClient is a carrier whose attempts end when the test says so.
type HoldingClient struct {
	EchoClient
	Started chan dispatch.Attempt
}

func (h HoldingClient) Start(f dispatch.Attempt) { h.Started <- f }

// Responses is a front that keeps what it is told.
type Responses chan dispatch.Response

func (j Responses) Respond(_ uint64, a dispatch.Response) {
	a.Body = slices.Clone(a.Body)
	j <- a
}

// RespondFunc is a front that calls the test on each answer.
type RespondFunc func(dispatch.Response)

func (f RespondFunc) Respond(_ uint64, a dispatch.Response) { f(a) }
