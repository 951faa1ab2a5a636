package workerclient

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// Guards against a retry that hangs until its deadline. A retry that the socket cannot take at once has a timer by
// which it must have been sent completely. If the expired timer is handled like that of an idle connection once the
// head of the response has arrived, although the retry was sent in time, the connection is closed and no outcome is
// reported. The request then fails 7.99 s after its first attempt, at its deadline of 8 s.
func TestRetryThatRunsBeyondItsWindowIsServed(t *testing.T) {
	const window = time.Second
	rig := testkit.NewRig(t, withDeduplicatedClass(window, 100*time.Millisecond))
	worker := testkit.ListenWithSmallBuffers(t)
	startSoleWorkerClient(t, rig, worker.Addr(), time.Hour) // so that each attempt has its own connection
	responses := rig.Accept(newLargeRequest(rig, transferClass))
	conn := worker.Accept()
	conn.ParseRequest()
	firstReceivedAt := rig.Dispatcher.Loop.Now() // the first attempt was assigned before this time
	conn.Write(internalErrorResponse)
	retryConn := worker.Accept()
	retryConn.ParseRequest()
	retryConn.Write(testkit.WatchHead + testkit.Chunk(`{"id":"id000001","state":"started"}`+"\n"))
	testkit.Until(t, "the window is over", func() bool { return rig.Dispatcher.Loop.Now() > firstReceivedAt+window })
	retryConn.Write(testkit.Chunk(`{"id":"id000001","state":"done","result":"made"}`+"\n") + "0\r\n\r\n")
	checkOutcome(t, "a retry that was sent in time and ran beyond the window", responses, dispatch.Served)
}

// Checks a retry whose worker begins to respond before the retry has been sent completely. The rest must not be sent
// after the dedup window, and the attempt must end when the window ends: the request must not hang until its deadline.
func TestPartlySentRetryEndsWithDedupWindow(t *testing.T) {
	const window = time.Second
	rig := testkit.NewRig(t, withDeduplicatedClass(window, 100*time.Millisecond))
	worker := testkit.ListenWithSmallBuffers(t)
	worker.ReadAhead = 16 // the rest of the request stays in the socket
	startSoleWorkerClient(t, rig, worker.Addr(), time.Hour)
	responses := rig.Accept(newLargeRequest(rig, transferClass))
	conn := worker.Accept()
	conn.ParseRequest()
	firstReceivedAt := rig.Dispatcher.Loop.Now() // the first attempt was assigned before this time
	conn.Write(internalErrorResponse)
	retryConn := worker.Accept()
	retryConn.AwaitFirstByte()
	retryConn.Write(testkit.WatchHead)
	response := testkit.Receive(t, responses)
	ended := rig.Dispatcher.Loop.Now() - firstReceivedAt
	if response.Outcome == dispatch.Served || ended > window+time.Second {
		t.Errorf("%v, %v after the first attempt; want no service, and no wait beyond the window", response.Outcome, ended)
	}
	text, _ := retryConn.ReadRest()
	if sentEntirely(text) {
		t.Errorf("the retry was sent entirely after the window: %d bytes", len(text))
	}
}
