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

const testTimeout = 20 * time.Second // no test waits that long unless something is broken

// scriptedWorkers end an attempt at once as the first four letters of the request's id
// say; other ids stay open.
type scriptedWorkers struct{ dispatcher *dispatch.Dispatcher }

func (w scriptedWorkers) Start(attempt dispatch.Attempt) {
	w.dispatcher.AttemptSent(attempt.Handle)
	w.dispatcher.AttemptSent(attempt.Handle) // reported twice, it counts once
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

// otherWorkers are of another source than the client workers.
type otherWorkers struct{ scriptedWorkers }

// discardResponses is a front end that drops its responses.
type discardResponses struct{}

func (discardResponses) Respond(uint64, dispatch.Response) {}

// testAPI is an API on a loop of its own.
type testAPI struct {
	dispatcher   *dispatch.Dispatcher
	addr         string
	ready        bool
	outOfService []bool // the calls of SetOutOfService
	refusal      error  // what SetOutOfService returns
}

func newTestAPI(t testing.TB) *testAPI {
	t.Helper()
	d, err := dispatch.New(eventloop.New(), decision.Settings{
		Classes: []decision.Class{
			{Name: "status-check", PriorityWeight: 3, LatencyObjective: time.Second, Deadline: 5 * time.Second},
			{Name: "renewal", PriorityWeight: 5, LatencyObjective: time.Second, Deadline: 8 * time.Second, Idempotency: decision.NonIdempotent},
		},
		Tick: time.Millisecond, MaxAttempts: 1,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	e, err := transport.NewEngine(d.Loop, 200)
	if err != nil {
		t.Fatal(err)
	}
	r := &testAPI{dispatcher: d, ready: true}
	d.AddSource(scriptedWorkers{d})
	api := New(d, e, scriptedWorkers{d}, Operations{
		Ready:           func() bool { return r.ready },
		SetOutOfService: func(out bool) error { r.outOfService = append(r.outOfService, out); return r.refusal },
	})
	if r.addr, err = api.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { d.Loop.Run(); close(done) }()
	t.Cleanup(func() { d.Loop.Stop(); <-done; e.StopListening() })
	return r
}

// do runs f on the loop.
func (r *testAPI) do(f func()) {
	done := make(chan struct{})
	r.dispatcher.Loop.Post(func() { f(); close(done) })
	<-done
}

func (r *testAPI) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return conn
}

// call sends a call's bytes and returns what comes until the connection ends.
func (r *testAPI) call(t testing.TB, text string, cuts ...int) (int, string) {
	t.Helper()
	conn := r.dial(t)
	at := 0
	for _, cut := range cuts {
		cut = min(max(cut, at), len(text))
		conn.Write([]byte(text[at:cut]))
		at = cut
	}
	conn.Write([]byte(text[at:]))
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || !resp.Close {
		t.Errorf("%q: %v, closes: %v", text, err, resp.Close)
	}
	if rest, _ := io.ReadAll(in); len(rest) > 0 {
		t.Errorf("%q: behind the answer: %q", text, rest)
	}
	return resp.StatusCode, string(body)
}
