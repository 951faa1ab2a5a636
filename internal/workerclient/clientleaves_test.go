package workerclient

import (
	"sync"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// These tests let a client close its connection while the event loop is busy, just before the loop handles an event by
// which an attempt of its request would begin. The kernel knows of the close by then, so no attempt may begin.

// The client closes while the first attempt of its request is due.
func TestClientLeavesBeforeFirstAttempt(t *testing.T) {
	for _, bytesBehind := range []int{0, 300} {
		stack := newStack(t, 1, withRetries)
		release := stack.blockLoop()
		client := stack.connectClient("id000001", bytesBehind)
		stack.closeClient(client)
		release()
		if sent := stack.awaitCancelled(); sent > 0 {
			t.Errorf("%d bytes behind: %d attempts for a client that had left", bytesBehind, sent)
		}
	}
}

// The client closes while its request waits for another with the same key, which ends just then.
func TestClientLeavesWhileSerialized(t *testing.T) {
	stack := newStack(t, 1, func(settings *decision.Settings) { settings.Classes[testkit.StatusCheck].Serialized = true })
	stack.connectClient("id000001", 0)
	workerConn := stack.workers[0].Accept()
	workerConn.ParseRequest()
	client := stack.connectClient("id000002", 0)
	testkit.Until(t, "the second request is accepted", func() (both bool) {
		stack.Do(func() { both = stack.Dispatcher.Unanswered() == 2 })
		return both
	})
	release := stack.blockLoop()
	stack.Write(t, workerConn.Conn, testkit.DoneResponse("id000001"))
	stack.closeClient(client)
	release()
	if sent := stack.awaitCancelled(); sent != 1 {
		t.Errorf("%d attempts, want the first only", sent)
	}
}

// The client closes while the connection to the worker is being opened.
func TestClientLeavesDuringDial(t *testing.T) {
	stack := newStack(t, 1, withRetries)
	loopBlocked := make(chan struct{})
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	stack.Do(func() {
		stack.Dispatcher.Trace = func(_, step string, _ ...any) {
			if step == dispatch.StepAssigned { // before the event that the connection is open
				stack.Dispatcher.Loop.Post(func() {
					close(loopBlocked)
					<-released
				})
			}
		}
	})
	client := stack.connectClient("id000001", 0)
	<-loopBlocked
	stack.workers[0].Accept()
	time.Sleep(100 * time.Millisecond) // for the poller to post that event; if it is slower, the test only shows less
	stack.closeClient(client)
	release()
	if sent := stack.awaitCancelled(); sent > 0 {
		t.Errorf("%d attempts for a client that had left", sent)
	}
}

// The client closes when an attempt has failed and a retry is due.
func TestClientLeavesBeforeRetry(t *testing.T) {
	for _, bytesBehind := range []int{0, 300} {
		stack := newStack(t, 2, withRetries)
		client := stack.connectClient("id000001", bytesBehind)
		workerConn := testkit.AcceptAny(stack.workers...)
		workerConn.ParseRequest()
		release := stack.blockLoop()
		stack.Write(t, workerConn.Conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		stack.closeClient(client)
		release()
		if sent := stack.awaitCancelled(); sent != 1 {
			t.Errorf("%d bytes behind: %d attempts, want the first only", bytesBehind, sent)
		}
	}
}

// The client closes while a hedge is due, since the first attempt does not start.
func TestClientLeavesBeforeHedge(t *testing.T) {
	stack := newStack(t, 2, func(settings *decision.Settings) {
		settings.MaxAttempts = 3
		settings.Hedging = true
	})
	client := stack.connectClient("id000001", 0)
	testkit.AcceptAny(stack.workers...).ParseRequest()
	release := stack.blockLoop()
	stack.closeClient(client)
	time.Sleep(300 * time.Millisecond) // beyond the sweep's interval: the hedge is due whatever the machine does
	release()
	if sent := stack.awaitCancelled(); sent > 1 {
		t.Errorf("%d attempts, want the first only", sent)
	}
}

// The client closes while the last byte of its request is held back.
func TestClientLeavesBeforeLastByte(t *testing.T) {
	stack := newStack(t, 1, withRetries)
	holdLastBytes(stack.Rig, stack.client, 200*time.Millisecond)
	client := stack.connectClient("id000001", 0)
	stack.workers[0].Accept().AwaitFirstByte()
	release := stack.blockLoop()
	stack.closeClient(client)
	time.Sleep(220 * time.Millisecond) // the last byte is due, whatever the machine does
	release()
	if sent := stack.awaitCancelled(); sent > 0 {
		t.Errorf("%d attempts for a client that had left", sent)
	}
}
