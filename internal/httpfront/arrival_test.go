package httpfront

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// timedRequest returns a request whose client waits for the given time.
func timedRequest(id string, timeLeft time.Duration) string {
	return fmt.Sprintf("POST /renewal/k HTTP/1.1\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		id, timeLeft.Milliseconds())
}

// queueRequest opens a connection to a listener that nothing accepts from yet, and sends a request on it.
func queueRequest(t *testing.T, ln net.Listener, request string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// serveListener starts a front end on a listener, whose attempts end only when the test completes them.
func serveListener(rig *testkit.Rig, ln net.Listener) testkit.HoldingWorkerClient {
	worker := testkit.HoldingWorkerClient{
		EchoWorkerClient: testkit.EchoWorkerClient{Dispatcher: rig.Dispatcher},
		Started:          make(chan dispatch.Attempt, 100),
	}
	rig.Do(func() {
		rig.Dispatcher.AddSource(worker)
		rig.Dispatcher.UpdateWorkers(worker, decision.ListSnapshot, []decision.Endpoint{{Name: "w"}})
		New(rig.Dispatcher, rig.Engine, ampleMemory, alwaysReady).Serve(ln, 50)
	})
	return worker
}

// Guards against a worker that is told too much time: a request that had waited in the kernel to be accepted was dated
// when it was read, although the event loop was on time. A request whose time is over by then goes to no worker.
func TestTimeInKernelIsNotLeft(t *testing.T) {
	const (
		timeLeft = 3 * time.Second
		waited   = 400 * time.Millisecond
		slack    = 150 * time.Millisecond // that the protocol allows
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	overdue := queueRequest(t, ln, timedRequest("id000001", waited/2))
	queueRequest(t, ln, timedRequest("id000002", timeLeft))
	sentAt := time.Now()
	time.Sleep(waited)
	rig := testkit.NewRig(t)
	worker := serveListener(rig, ln)

	attempt := testkit.Receive(t, worker.Started)
	var told time.Duration
	rig.Do(func() { told = attempt.Deadline - rig.Dispatcher.Loop.Now() })
	if left := timeLeft - time.Since(sentAt); attempt.Request.ID != "id000002" || told > left+slack {
		t.Errorf("%s may take %v, want id000002 and at most %v", attempt.Request.ID, told, left+slack)
	}
	overdue.SetReadDeadline(time.Now().Add(testkit.WaitTimeout))
	status := testkit.ReadStatus(bufio.NewReader(overdue))
	if status != 503 {
		t.Errorf("the request whose time was over: status %d, want 503", status)
	}
	if len(worker.Started) > 0 {
		t.Error("the request whose time was over went to a worker")
	}
}

// Guards against a worker that is told too much time: a pipelined request was dated when the response before it was
// written.
func TestTimeBehindPipelinedRequestIsNotLeft(t *testing.T) {
	const (
		timeLeft = 3 * time.Second
		waited   = 400 * time.Millisecond
		slack    = 150 * time.Millisecond // that the protocol allows
	)
	holding := startHoldingFrontEnd(t)
	conn, err := net.Dial("tcp", holding.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, timedRequest("id000001", timeLeft)+timedRequest("id000002", timeLeft))
	sentAt := time.Now()
	first := holding.awaitAttempt()
	time.Sleep(waited)
	holding.complete(first)
	second := holding.awaitAttempt()
	var told time.Duration
	holding.Do(func() { told = second.Deadline - holding.Dispatcher.Loop.Now() })
	if left := timeLeft - time.Since(sentAt); told > left+slack {
		t.Errorf("the second request may take %v, want at most %v", told, left+slack)
	}
}
