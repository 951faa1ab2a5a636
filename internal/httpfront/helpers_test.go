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
	// ampleMemory is the memory limit of tests that are not about it.
	ampleMemory = 64 << 20

	// healthRequest asks for /healthz.
	healthRequest = "GET /healthz HTTP/1.1\r\n\r\n"
)

// alwaysReady tells a front end that workers are known.
func alwaysReady() bool { return true }

// newFrontEnd starts a front end on a rig, whose dispatcher gives attempts to a worker client.
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

// newEchoFrontEnd starts a front end with an echo client on a rig.
func newEchoFrontEnd(
	t testing.TB, rig *testkit.Rig, memoryLimit, maxConnections int, ready func() bool,
) (frontEnd *FrontEnd, addr string) {
	t.Helper()
	worker := testkit.EchoWorkerClient{Dispatcher: rig.Dispatcher}
	return newFrontEnd(t, rig, worker, memoryLimit, maxConnections, ready)
}

// startEchoFrontEnd starts a rig and a front end with an echo client, and returns its address.
func startEchoFrontEnd(t *testing.T, memoryLimit, maxConnections int) string {
	t.Helper()
	_, addr := newEchoFrontEnd(t, testkit.NewRig(t), memoryLimit, maxConnections, alwaysReady)
	return addr
}

// acceptNamedRequests accepts the requests whose IDs testkit.Exchanges use: one that is completed, and one that stays
// open.
func acceptNamedRequests(rig *testkit.Rig) {
	responses := make(testkit.Responses, 2)
	rig.Do(func() { // in one turn of the loop
		rig.Dispatcher.Accept(responses, 0, dispatch.Request{ID: "former", Body: []byte("done")})
		rig.Dispatcher.Accept(responses, 0, dispatch.Request{ID: "open", Body: []byte("hold")})
	})
}

// holdingFrontEnd is a front end whose attempts end when the test says so.
type holdingFrontEnd struct {
	*testkit.Rig
	*FrontEnd
	t      *testing.T
	addr   string
	worker testkit.HoldingWorkerClient
}

// startHoldingFrontEnd starts a rig and a front end whose attempts end when the test says so.
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

// awaitAttempt waits until a request has been forwarded.
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

// waitForHandled waits until the event loop has handled what is in its queue now.
func (h *holdingFrontEnd) waitForHandled() { h.Do(func() {}) }

// checkStatus reads a client's next response and checks its status code. what names the request.
func checkStatus(t *testing.T, what string, reader *bufio.Reader, want int) {
	t.Helper()
	got := testkit.ReadStatus(reader)
	if got != want {
		t.Errorf("%s: status %d, want %d", what, got, want)
	}
}

// requireStatus is checkStatus for a response without which the test can't go on.
func requireStatus(t *testing.T, what string, reader *bufio.Reader, want int) {
	t.Helper()
	got := testkit.ReadStatus(reader)
	if got != want {
		t.Fatalf("%s: status %d, want %d", what, got, want)
	}
}

// endsInOrder reports whether a connection ends by an orderly close, not by a reset.
func endsInOrder(reader *bufio.Reader) bool {
	_, err := reader.ReadByte()
	return err == io.EOF
}
