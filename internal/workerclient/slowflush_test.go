package workerclient

import (
	"bytes"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// startLargeRequest passes a request to a rig, of which the socket takes only a part until the worker reads it, and has the
// worker read all of it.
func startLargeRequest(t *testing.T, rig *testkit.Rig, timeLeft time.Duration) (handle uint64, responses testkit.Responses) {
	t.Helper()
	worker := testkit.Listen(t)
	startSoleWorkerClient(t, rig, worker.Addr(), noReuseDelay)
	request := newRequest(rig, testkit.Renewal, "id000001")
	request.TimeLeft = timeLeft
	request.Body = bytes.Repeat([]byte("x"), 16<<20)
	responses = make(testkit.Responses, 1)
	rig.Do(func() { handle = rig.Dispatcher.Accept(responses, 0, request) })
	worker.Accept().ParseRequest()
	return handle, responses
}

// checkSentInTime checks that one attempt counts as sent and that no rule counts as violated.
func checkSentInTime(t *testing.T, rig *testkit.Rig) {
	t.Helper()
	rig.Do(func() {
		violated := rig.Dispatcher.Guard.Violated()
		sent := rig.Dispatcher.Counts().Sent
		if len(violated) > 0 || sent != 1 {
			t.Errorf("violated %v, %d attempts were sent; want none and 1", violated, sent)
		}
	})
}

// Guards against a violation that is none: an attempt whose last byte left in time, from the socket's queue, was checked
// at the moment at which that was noticed, which may be the deadline itself.
func TestAttemptFlushedBeforeDeadlineKeepsDeadline(t *testing.T) {
	const timeLeft = time.Second
	rig := testkit.NewRig(t)
	_, responses := startLargeRequest(t, rig, timeLeft)
	release := rig.BlockLoop()
	time.Sleep(timeLeft)
	release()
	checkOutcome(t, "not answered by the deadline", responses, dispatch.Failed)
	checkSentInTime(t, rig)
}

// Guards against the same failure if the client leaves: the attempt had left before the request was over.
func TestAttemptFlushedBeforeCancelIsSentInTime(t *testing.T) {
	rig := testkit.NewRig(t)
	handle, _ := startLargeRequest(t, rig, 5*time.Second)
	rig.Do(func() { rig.Dispatcher.Cancel(handle) })
	checkSentInTime(t, rig)
}
