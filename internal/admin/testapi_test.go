package admin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const testTimeout = 20 * time.Second // reached only if a test fails

// scriptedWorkers is a source of workers. The first four letters of a request's id say how
// an attempt ends; attempts for other ids stay open.
type scriptedWorkers struct{ dispatcher *dispatch.Dispatcher }

func (w scriptedWorkers) Start(attempt dispatch.Attempt) {
	w.dispatcher.AttemptSent(attempt.Handle)
	w.dispatcher.AttemptSent(attempt.Handle) // reported twice, but must count once
	switch attempt.Request.ID[:4] {
	case "done":
		w.dispatcher.AttemptEnded(attempt.Handle, decision.Completed, decision.LoadReport{}, nil)
	case "fail":
		w.dispatcher.AttemptEnded(attempt.Handle, decision.Failed, decision.LoadReport{}, nil)
	case "full":
		w.dispatcher.AttemptEnded(attempt.Handle, decision.Saturated, decision.LoadReport{}, nil)
	}
}

func (scriptedWorkers) Cancel(uint64) bool { return false }

func (scriptedWorkers) CloseIdle(string) {}

func (scriptedWorkers) CheckHealth(string) {}

func (scriptedWorkers) Subscribe() {}

// otherWorkers is another source of workers than the one the API reports on.
type otherWorkers struct{ scriptedWorkers }

// discardResponses is a front end that drops its responses.
type discardResponses struct{}

func (discardResponses) Respond(uint64, dispatch.Response) {}

// testAPI is an API with its own loop and no optional components.
type testAPI struct {
	dispatcher           *dispatch.Dispatcher
	addr                 string
	ready                bool
	outOfService         []bool // arguments of the calls to SetOutOfService
	setOutOfServiceError error  // returned by SetOutOfService
}

func newTestAPI(t testing.TB) *testAPI {
	t.Helper()
	dispatcher, err := dispatch.New(eventloop.New(), decision.Settings{
		Classes: []decision.Class{
			{
				Name:             "status-check",
				PriorityWeight:   3,
				LatencyObjective: time.Second,
				Deadline:         5 * time.Second,
			},
			{
				Name:             "renewal",
				PriorityWeight:   5,
				LatencyObjective: time.Second,
				Deadline:         8 * time.Second,
				Idempotency:      decision.NonIdempotent,
			},
		},
		Tick:        time.Millisecond,
		MaxAttempts: 1,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	engine, err := transport.NewEngine(dispatcher.Loop, 200)
	if err != nil {
		t.Fatal(err)
	}
	api := &testAPI{dispatcher: dispatcher, ready: true}
	dispatcher.AddSource(scriptedWorkers{dispatcher})
	tested := New(dispatcher, engine, scriptedWorkers{dispatcher}, Operations{
		Ready:           func() bool { return api.ready },
		SetOutOfService: api.setOutOfService,
	})
	api.addr, err = tested.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		dispatcher.Loop.Run()
		close(stopped)
	}()
	t.Cleanup(func() {
		dispatcher.Loop.Stop()
		<-stopped
		engine.StopListening()
	})
	return api
}

// setOutOfService records a call, and returns setOutOfServiceError.
func (a *testAPI) setOutOfService(out bool) error {
	a.outOfService = append(a.outOfService, out)
	return a.setOutOfServiceError
}

// addScriptedWorkers adds two workers and one that is draining. It must run on the loop.
func (a *testAPI) addScriptedWorkers() {
	a.dispatcher.UpdateWorkers(scriptedWorkers{a.dispatcher}, decision.ListSnapshot, []decision.Endpoint{
		{Name: "a"},
		{Name: "b"},
		{Name: "d", State: decision.Draining},
	})
}

// acceptScripted accepts requests that end as their ids say. It must run on the loop.
func (a *testAPI) acceptScripted() {
	for i, id := range []string{"done-1", "done-2", "full-1", "hold-1", "hold-2"} {
		a.dispatcher.Accept(discardResponses{}, uint64(i), dispatch.Request{ID: id, Class: i % 2})
	}
	a.dispatcher.Accept(discardResponses{}, 9, dispatch.Request{ID: "fail-1", Class: 1})
}

// runOnLoop runs f on the loop, and waits for its end.
func (a *testAPI) runOnLoop(f func()) {
	done := make(chan struct{})
	a.dispatcher.Loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

func (a *testAPI) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return conn
}

// call sends the bytes of a call, split at the cuts, and returns the response. The test
// fails if anything follows the response before the connection ends.
func (a *testAPI) call(t testing.TB, text string, cuts ...int) (status int, body string) {
	t.Helper()
	conn := a.dial(t)
	sent := 0
	for _, cut := range cuts {
		end := min(max(cut, sent), len(text))
		conn.Write([]byte(text[sent:end]))
		sent = end
	}
	conn.Write([]byte(text[sent:]))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil || !response.Close {
		t.Errorf("%q: %v, closes: %v", text, err, response.Close)
	}
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("%q: bytes after the response: %q", text, rest)
	}
	return response.StatusCode, string(answer)
}
