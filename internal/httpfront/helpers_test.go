package httpfront

import (
	"bufio"
	"io"
	"testing"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

const (
	// ampleMemory is the memory limit of tests in which no request may be rejected for lack of memory.
	ampleMemory = 64 << 20

	// healthRequest asks the front end whether it is ready.
	healthRequest = "GET /healthz HTTP/1.1\r\n\r\n"
)

// alwaysReady is the ready function of front ends that count as ready from the start.
func alwaysReady() bool { return true }

// newFrontEnd starts a front end on a rig whose dispatcher passes its attempts to the worker client.
func newFrontEnd(
	t testing.TB, rig *testkit.Rig, worker dispatch.WorkerClient, memoryLimit, maxConnections int, ready func() bool,
) (frontEnd *FrontEnd, addr string) {
	t.Helper()
	rig.Do(func() {
		rig.Dispatcher.AddSource(worker)
		rig.Dispatcher.UpdateWorkers(worker, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		frontEnd = New(rig.Dispatcher, rig.Engine, memoryLimit, ready)
		var err error
		addr, err = frontEnd.Listen("127.0.0.1:0", maxConnections)
		if err != nil {
			t.Error(err)
		}
	})
	return frontEnd, addr
}

// newEchoFrontEnd starts a front end on a rig whose dispatcher passes its attempts to a testkit.EchoWorkerClient.
func newEchoFrontEnd(
	t testing.TB, rig *testkit.Rig, memoryLimit, maxConnections int, ready func() bool,
) (frontEnd *FrontEnd, addr string) {
	t.Helper()
	worker := testkit.EchoWorkerClient{Dispatcher: rig.Dispatcher}
	return newFrontEnd(t, rig, worker, memoryLimit, maxConnections, ready)
}

// startEchoFrontEnd starts a rig and a front end with a testkit.EchoWorkerClient. It returns the front end's address.
func startEchoFrontEnd(t *testing.T, memoryLimit, maxConnections int) string {
	t.Helper()
	_, addr := newEchoFrontEnd(t, testkit.NewRig(t), memoryLimit, maxConnections, alwaysReady)
	return addr
}

// acceptFormerAndOpen gives the dispatcher the two requests that testkit.Exchanges refers to by ID: "former", which is
// completed, and "open", which stays open.
func acceptFormerAndOpen(rig *testkit.Rig) {
	responses := make(testkit.Responses, 2)
	rig.Do(func() { // both in one turn of the event loop
		rig.Dispatcher.Accept(responses, 0, dispatch.Request{ID: "former", Body: []byte("done")})
		rig.Dispatcher.Accept(responses, 0, dispatch.Request{ID: "open", Body: []byte("hold")})
	})
}

// holdingFrontEnd is a front end whose attempts end only when the test completes them.
type holdingFrontEnd struct {
	*testkit.Rig
	*FrontEnd
	t      *testing.T
	addr   string
	worker testkit.HoldingWorkerClient
}

// startHoldingFrontEnd starts a rig and a front end whose attempts end only when the test completes them.
func startHoldingFrontEnd(t *testing.T) *holdingFrontEnd {
	t.Helper()
	rig := testkit.NewRig(t)
	worker := testkit.HoldingWorkerClient{
		EchoWorkerClient: testkit.EchoWorkerClient{Dispatcher: rig.Dispatcher},
		Started:          make(chan dispatch.Attempt, 100),
	}
	frontEnd, addr := newFrontEnd(t, rig, worker, ampleMemory, 50, alwaysReady)
	return &holdingFrontEnd{Rig: rig, FrontEnd: frontEnd, t: t, addr: addr, worker: worker}
}

// awaitAttempt waits until a request has been forwarded, and returns its attempt.
func (h *holdingFrontEnd) awaitAttempt() dispatch.Attempt {
	h.t.Helper()
	return testkit.Receive(h.t, h.worker.Started)
}

// complete completes an attempt.
func (h *holdingFrontEnd) complete(attempt dispatch.Attempt) {
	h.Do(func() {
		h.Dispatcher.AttemptEnded(attempt.Handle, decision.Completed, decision.LoadReport{}, []byte("made"))
	})
}

// completeNext waits until a request has been forwarded, and completes it.
func (h *holdingFrontEnd) completeNext() {
	h.t.Helper()
	h.complete(h.awaitAttempt())
}

// waitForLoop waits until the event loop has handled the events that are in its queue now.
func (h *holdingFrontEnd) waitForLoop() { h.Do(func() {}) }

// checkStatus reads a client's next response and checks its status code. what names the request.
func checkStatus(t *testing.T, what string, reader *bufio.Reader, want int) {
	t.Helper()
	got := testkit.ReadStatus(reader)
	if got != want {
		t.Errorf("%s: status %d, want %d", what, got, want)
	}
}

// requireStatus is like checkStatus, but ends the test if the status code is wrong.
func requireStatus(t *testing.T, what string, reader *bufio.Reader, want int) {
	t.Helper()
	got := testkit.ReadStatus(reader)
	if got != want {
		t.Fatalf("%s: status %d, want %d", what, got, want)
	}
}

// closesGracefully reports whether a connection ends with a graceful close rather than with a reset.
func closesGracefully(reader *bufio.Reader) bool {
	_, err := reader.ReadByte()
	return err == io.EOF
}
