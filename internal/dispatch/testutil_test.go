package dispatch

import (
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// newTestDispatcher returns a Dispatcher on the loop, with a fixed seed.
func newTestDispatcher(t *testing.T, loop *eventloop.Loop, s decision.Settings) *Dispatcher {
	t.Helper()
	d, err := New(loop, s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// respondFunc is a FrontEnd that calls a function with each response.
type respondFunc func(Response)

func (f respondFunc) Respond(_ uint64, response Response) { f(response) }

// discardResponses is a FrontEnd that ignores all responses.
var discardResponses = respondFunc(func(Response) {})

// recordingClient is a WorkerClient that records the attempts started and never ends one. It panics if an attempt is
// cancelled, since none of its tests allows that.
type recordingClient struct{ started []Attempt }

func (c *recordingClient) Start(attempt Attempt) { c.started = append(c.started, attempt) }
func (c *recordingClient) Cancel(uint64) bool    { panic("unexpected Cancel") }
func (c *recordingClient) CloseIdle(string)      {}
func (c *recordingClient) CheckHealth(string)    {}
func (c *recordingClient) Subscribe()            {}
