package workerclient

import (
	"sync"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// In these tests, a client closes its connection while the event loop is blocked, just before the loop handles an event
// that would start or send an attempt of the client's request. The kernel has received the close by then, so the
// attempt must not be sent.

// The client closes just before the first attempt of its request would be started.
func TestClientDisconnectsBeforeFirstAttempt(t *testing.T) {
	for _, trailingBytes := range []int{0, 300} {
		stack := newStack(t, 1, withRetries)
		release := stack.blockLoop()
		client := stack.connectClient("id000001", trailingBytes)
		stack.closeClient(client)
		release()
		if sent := stack.awaitCancelled(); sent > 0 {
			t.Errorf("%d trailing bytes: %d attempts for a client that had left", trailingBytes, sent)
		}
	}
}

// The client closes while its request waits for another request with the same key, just before that one ends.
func TestClientDisconnectsWhileSerialized(t *testing.T) {
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
func TestClientDisconnectsDuringDial(t *testing.T) {
	stack := newStack(t, 1, withRetries)
	loopBlocked := make(chan struct{})
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	stack.Do(func() {
		stack.Dispatcher.Trace = func(_, step string, _ ...any) {
			if step == dispatch.StepAssigned { // posted ahead of the event that reports the open connection
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
	time.Sleep(100 * time.Millisecond) // lets the poller post that event; if it is slower, the test covers less, but passes
	stack.closeClient(client)
	release()
	if sent := stack.awaitCancelled(); sent > 0 {
		t.Errorf("%d attempts for a client that had left", sent)
	}
}

// The client closes just before the failure of an attempt is handled, after which a retry would be sent.
func TestClientDisconnectsBeforeRetry(t *testing.T) {
	for _, trailingBytes := range []int{0, 300} {
		stack := newStack(t, 2, withRetries)
		client := stack.connectClient("id000001", trailingBytes)
		workerConn := testkit.AcceptAny(stack.workers...)
		workerConn.ParseRequest()
		release := stack.blockLoop()
		stack.Write(t, workerConn.Conn, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		stack.closeClient(client)
		release()
		if sent := stack.awaitCancelled(); sent != 1 {
			t.Errorf("%d trailing bytes: %d attempts, want the first only", trailingBytes, sent)
		}
	}
}

// The client closes just before a hedge would be sent because the worker has not started the first attempt.
func TestClientDisconnectsBeforeHedge(t *testing.T) {
	stack := newStack(t, 2, func(settings *decision.Settings) {
		settings.MaxAttempts = 3
		settings.Hedging = true
	})
	client := stack.connectClient("id000001", 0)
	testkit.AcceptAny(stack.workers...).ParseRequest()
	release := stack.blockLoop()
	stack.closeClient(client)
	time.Sleep(300 * time.Millisecond) // longer than the dispatcher's sweep interval, so that the hedge is due in any case
	release()
	if sent := stack.awaitCancelled(); sent > 1 {
		t.Errorf("%d attempts, want the first only", sent)
	}
}

// The client closes while the last byte of its request is held back.
func TestClientDisconnectsBeforeLastByte(t *testing.T) {
	stack := newStack(t, 1, withRetries)
	holdLastBytes(stack.Rig, stack.workerClient, 200*time.Millisecond)
	client := stack.connectClient("id000001", 0)
	stack.workers[0].Accept().AwaitFirstByte()
	release := stack.blockLoop()
	stack.closeClient(client)
	time.Sleep(220 * time.Millisecond) // longer than the delay of the last byte, so that it is due in any case
	release()
	if sent := stack.awaitCancelled(); sent > 0 {
		t.Errorf("%d attempts for a client that had left", sent)
	}
}
