package workerclient

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Checks that a request does not fail when its connection is lost while the request is being sent, even if the request
// is not idempotent: its last byte is held back for a while, so it can be sent on another connection. A worker that
// responds before the last byte never gets that byte.
func TestLastByteIsHeldBack(t *testing.T) {
	rig := testkit.NewRig(t)
	worker := testkit.Listen(t)
	client := startSoleWorkerClient(t, rig, worker.Addr(), noReuseDelay)
	rig.Do(func() { client.lastByteDelay = 400 * time.Millisecond }) // the test must act within it, even on a busy machine
	serve := func(conn *testkit.AcceptedConn) {
		t.Helper()
		if _, body := conn.ServeRequest(); body != "body" {
			t.Fatalf("the request's body is %q", body)
		}
	}

	// After an unexpected close, last bytes are held back.
	first := post(rig, testkit.Renewal, "id000001")
	conn := worker.Accept()
	serve(conn)
	requireOutcome(t, "the first request", first, dispatch.Served)
	conn.Close()
	testkit.Until(t, "the unexpected close of a connection is detected", func() (holding bool) {
		rig.Do(func() { holding = client.holdLastByteUntil > 0 })
		return holding
	})
	afterClose := post(rig, testkit.Renewal, "id000012")
	conn = worker.Accept()
	serve(conn)
	requireOutcome(t, "the request after the close", afterClose, dispatch.Served)

	// The worker resets the reused connection when it has received the first byte of the request.
	second := post(rig, testkit.Renewal, "id000002")
	if _, err := conn.Reader.ReadByte(); err != nil {
		t.Fatal(err)
	}
	conn.Reset()
	conn = worker.Accept()
	serve(conn)
	checkOutcome(t, "after a reset on its first byte", second, dispatch.Served)

	// The worker rejects the request before its last byte.
	third := post(rig, testkit.Renewal, "id000003")
	conn.AwaitFirstByte()
	conn.Write("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	checkOutcome(t, "rejected before the last byte", third, dispatch.Rejected)
	text, err := conn.ReadRest()
	if err != nil || !strings.HasSuffix(text, "\r\n\r\nbod") {
		t.Errorf("the request's bytes are %q, %v", text, err)
	}
}

const timeLeftAtSend = 3 * time.Second // the time left that the requests of the next two tests state

// Checks that a last byte that was held back for longer than planned is not sent, since the request states more time
// than is left by then. The request is resent on another connection, with the time that is left then.
func TestLateLastByteIsReplacedByNewRequest(t *testing.T) {
	const heldFor = time.Second
	stack, responses, startedAt := holdLastByteFor(t, heldFor)
	retryConn := stack.workers[0].Accept()
	request, _ := retryConn.ParseRequest()
	statedMs, err := strconv.Atoi(request.Header.Get("X-Time-Left-Ms"))
	remaining := timeLeftAtSend - time.Since(startedAt)
	stated := time.Duration(statedMs) * time.Millisecond
	if err != nil || stated > timeLeftAtSend-heldFor || remaining < 0 {
		t.Errorf("X-Time-Left-Ms is %d when less than %v was left, %v", statedMs, timeLeftAtSend-heldFor, err)
	}
	retryConn.WriteDone("id000001")
	checkOutcome(t, "resent on another connection", responses, dispatch.Served)
}

// Checks that a request whose last byte was held back until its deadline ends without being sent completely.
func TestLastByteIsNotSentAfterDeadline(t *testing.T) {
	_, responses, _ := holdLastByteFor(t, timeLeftAtSend)
	checkNotServed(t, "after its deadline", responses)
}

// holdLastByteFor sends a request whose last byte is due after 100 ms, blocks the event loop until heldFor after the
// start, and checks that the last byte does not arrive on that connection.
func holdLastByteFor(t *testing.T, heldFor time.Duration) (stack *testStack, responses testkit.Responses, startedAt time.Time) {
	t.Helper()
	stack = newStack(t, 1, withRetries)
	holdLastBytes(stack.Rig, stack.workerClient, 100*time.Millisecond)
	startedAt = time.Now()
	request := newRequest(stack.Rig, testkit.StatusCheck, "id000001")
	request.TimeLeft = timeLeftAtSend
	responses = stack.PostRequest(request)
	conn := stack.workers[0].Accept()
	conn.AwaitFirstByte()
	release := stack.blockLoop()
	for time.Since(startedAt) < heldFor {
		time.Sleep(time.Millisecond)
	}
	release()
	if text, _ := conn.ReadRest(); strings.HasSuffix(text, "body") {
		t.Error("the last byte was sent too late")
	}
	return stack, responses, startedAt
}
