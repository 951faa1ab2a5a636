package workerclient

import (
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// A retry whose bytes the socket could not take at once has a timer by which it must have left entirely. When all of it
// had left and its worker had begun to respond, the timer closed the connection, and no outcome was reported: the
// request hung until its deadline, and failed. The cause: the timer was read as one of a connection that is idle as soon
// as the head had come. The request was answered 7.99 s after its first attempt, at its deadline of 8 s.
func TestRetryThatRunsBeyondItsWindowIsServed(t *testing.T) {
	const window = time.Second
	rig := testkit.NewRig(t, withDeduplicatedClass(window, 100*time.Millisecond))
	worker := testkit.ListenWithSmallBuffers(t)
	startSoleWorkerClient(t, rig, worker.Addr(), time.Hour) // each attempt has a connection of its own
	responses := rig.Accept(newLargeRequest(rig, transfer))
	conn := worker.Accept()
	conn.ParseRequest()
	firstReceivedAt := rig.Dispatcher.Loop.Now() // it was assigned before
	conn.Write(runMayHaveHappened)
	retryConn := worker.Accept()
	retryConn.ParseRequest()
	retryConn.Write(testkit.WatchHead + testkit.Chunk(`{"id":"id000001","state":"started"}`+"\n"))
	testkit.Until(t, "the window is over", func() bool { return rig.Dispatcher.Loop.Now() > firstReceivedAt+window })
	retryConn.Write(testkit.Chunk(`{"id":"id000001","state":"done","result":"made"}`+"\n") + "0\r\n\r\n")
	checkOutcome(t, "a retry that left in time and ran on", responses, dispatch.Served)
}

// A worker that begins to respond before all of the retry has left does not let the rest leave after the window, and
// the attempt has an outcome at once: the request does not hang until its deadline.
func TestRetryAnsweredBeforeItHasLeftEndsWithItsWindow(t *testing.T) {
	const window = time.Second
	rig := testkit.NewRig(t, withDeduplicatedClass(window, 100*time.Millisecond))
	worker := testkit.ListenWithSmallBuffers(t)
	worker.ReadAhead = 16 // the rest of the request stays in the socket
	startSoleWorkerClient(t, rig, worker.Addr(), time.Hour)
	responses := rig.Accept(newLargeRequest(rig, transfer))
	conn := worker.Accept()
	conn.ParseRequest()
	firstReceivedAt := rig.Dispatcher.Loop.Now() // it was assigned before
	conn.Write(runMayHaveHappened)
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
