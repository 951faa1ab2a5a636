package workerclient

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// largeBody is the size of a body that does not fit into the socket buffers of a testkit.ListenWithSmallBuffers
// connection.
const largeBody = 64 << 10

// newLargeRequest returns a request of a class with a large body.
func newLargeRequest(rig *testkit.Rig, class int) dispatch.Request {
	request := newRequest(rig, class, "id000001")
	request.Body = bytes.Repeat([]byte("x"), largeBody)
	return request
}

// sentEntirely reports whether the text that a worker has received contains a complete request with a large body.
func sentEntirely(text string) bool {
	_, body, _ := strings.Cut(text, "\r\n\r\n")
	return len(body) >= largeBody
}

// internalErrorResponse is a response after which the request may have run. A deduplicated request is then retried, but
// only within its dedup window.
const internalErrorResponse = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"

// Checks that a retry within the dedup window is sent.
func TestRetryWithinDedupWindowIsSent(t *testing.T) {
	rig := testkit.NewRig(t, withDeduplicatedClass(4*time.Second, 2*time.Second))
	worker := testkit.Listen(t)
	startSoleWorkerClient(t, rig, worker.Addr(), time.Hour) // so that each attempt has its own connection
	responses := post(rig, transferClass, "id000001")
	conn := worker.Accept()
	conn.ParseRequest()
	conn.Write(internalErrorResponse)
	worker.Accept().ServeRequest()
	checkOutcome(t, "retried in time", responses, dispatch.Served)
}

// Checks that a retry is not sent if the dedup window ends while the connection for it is being opened.
func TestDedupWindowEndsBeforeRetryIsSent(t *testing.T) {
	const window = 2 * time.Second
	const connectTimeout = 3900 * time.Millisecond // longer than the window, so that the connect does not time out before
	rig := testkit.NewRig(t, withDeduplicatedClass(window, connectTimeout))
	worker := testkit.Listen(t)
	client := startSoleWorkerClient(t, rig, worker.Addr(), time.Hour) // so that each attempt has its own connection
	rig.Do(func() {
		rig.Dispatcher.Trace = func(_, step string, more ...any) {
			if step != dispatch.StepAssigned || more[1] != 1 {
				return
			}
			firstAssignedAt := rig.Dispatcher.Loop.Now() // at or after the time of the first assignment
			rig.Dispatcher.Loop.Post(func() {
				for rig.Dispatcher.Loop.Now() < firstAssignedAt+window {
					time.Sleep(time.Millisecond)
				}
			})
		}
	})
	responses := post(rig, transferClass, "id000001")
	conn := worker.Accept()
	conn.ParseRequest()
	conn.Write(internalErrorResponse)
	retryConn := worker.Accept()
	checkNotServed(t, "after the window", responses) // failed, or rejected, since the workers would discard a repeat
	rig.Do(func() { client.CloseAllIdle() })
	text, err := retryConn.ReadRest()
	if len(text) > 0 || err != nil {
		t.Errorf("the retry was sent after the window: %q, %v", text, err)
	}
}

// Checks that a retry of which the kernel has taken only a part is abandoned when the dedup window ends. Otherwise the
// rest would be sent whenever the worker's receive buffer has room.
func TestDedupWindowEndsDuringRetry(t *testing.T) {
	const window = time.Second
	rig := testkit.NewRig(t, withDeduplicatedClass(window, 100*time.Millisecond))
	worker := testkit.ListenWithSmallBuffers(t)
	startSoleWorkerClient(t, rig, worker.Addr(), time.Hour)
	responses := rig.Accept(newLargeRequest(rig, transferClass))
	conn := worker.Accept()
	conn.ParseRequest()
	firstReceivedAt := rig.Dispatcher.Loop.Now() // the first attempt was assigned before this time
	conn.Write(internalErrorResponse)
	retryConn := worker.Accept()
	testkit.Until(t, "the window is over", func() bool { return rig.Dispatcher.Loop.Now() > firstReceivedAt+window })
	text, _ := retryConn.ReadRest() // the worker has read nothing of the retry before
	checkNotServed(t, "after the window", responses)
	if sentEntirely(text) {
		t.Errorf("the retry was sent entirely: %d bytes", len(text))
	}
}

// Checks that a request that has ended is not sent after a connect, a held last byte or a full socket has delayed it,
// even if the settings do not allow attempts to be cancelled.
func TestCompletedRequestIsNotSent(t *testing.T) {
	for name, end := range map[string]func(*testkit.Rig, uint64){
		"its client disconnected": func(rig *testkit.Rig, handle uint64) { rig.Dispatcher.Cancel(handle) },
		"it has a response":       func(rig *testkit.Rig, _ uint64) { rig.Dispatcher.ExpireAll() },
	} {
		t.Run(name+", connecting", func(t *testing.T) {
			request := newDelayedRequest(t, testkit.Listen(t), end)
			request.rig.Do(func() {
				request.rig.Dispatcher.Trace = func(_, step string, _ ...any) {
					if step == dispatch.StepAssigned {
						request.rig.Dispatcher.Loop.Post(request.finish) // ahead of the event that reports the open connection
					}
				}
			})
			request.accept()
			if text := request.readSent(request.worker.Accept()); len(text) > 0 {
				t.Errorf("%d bytes were sent of a request that has ended", len(text))
			}
			request.waitForCleanup()
		})
		t.Run(name+", last byte held", func(t *testing.T) {
			request := newDelayedRequest(t, testkit.Listen(t), end)
			holdLastBytes(request.rig, request.client, 300*time.Millisecond)
			request.finishOnFirstByte()
		})
		t.Run(name+", socket full", func(t *testing.T) {
			newDelayedRequest(t, testkit.ListenWithSmallBuffers(t), end).finishOnFirstByte()
		})
	}
}

// delayedRequest is a request that ends before it has been sent completely.
type delayedRequest struct {
	t      *testing.T
	rig    *testkit.Rig
	worker *testkit.Listener
	client *Client
	end    func(rig *testkit.Rig, handle uint64) // ends the request
	handle uint64
	ended  chan struct{}
}

// newDelayedRequest returns a request to a worker, which the dispatcher has not accepted yet. The settings do not allow
// attempts to be cancelled.
func newDelayedRequest(t *testing.T, worker *testkit.Listener, end func(*testkit.Rig, uint64)) *delayedRequest {
	t.Helper()
	worker.ReadAhead = 16 // bytes, so that the rest of the request stays in the socket
	rig := testkit.NewRig(t, func(settings *decision.Settings) {
		settings.Cancellation = false
		settings.StartNotices = false
	})
	return &delayedRequest{
		t:      t,
		rig:    rig,
		worker: worker,
		client: startSoleWorkerClient(t, rig, worker.Addr(), defaultReuseDelay),
		end:    end,
		ended:  make(chan struct{}, 1),
	}
}

// accept submits the request to the dispatcher.
func (d *delayedRequest) accept() {
	responses := make(testkit.Responses, 1)
	d.rig.Do(func() {
		d.handle = d.rig.Dispatcher.Accept(responses, 0, newLargeRequest(d.rig, testkit.StatusCheck))
	})
}

// finish ends the request. It must be called on the event loop.
func (d *delayedRequest) finish() {
	d.end(d.rig, d.handle)
	d.ended <- struct{}{}
}

// finishOnFirstByte ends the request once the worker has received its first byte, and checks that the worker does not
// receive the whole request.
func (d *delayedRequest) finishOnFirstByte() {
	d.t.Helper()
	d.accept()
	conn := d.worker.Accept()
	conn.AwaitFirstByte()
	d.rig.Dispatcher.Loop.Post(d.finish)
	if text := d.readSent(conn); sentEntirely(text) {
		d.t.Errorf("%d bytes were sent of a request that has ended", len(text))
	}
	d.waitForCleanup()
}

// readSent waits until the request has ended, and returns the part of it that the worker has received.
func (d *delayedRequest) readSent(conn *testkit.AcceptedConn) string {
	d.t.Helper()
	testkit.Receive(d.t, d.ended)
	go d.rig.Do(func() { // closes the connection if it became idle without being used: ReadRest waits for the close
		d.rig.Dispatcher.Loop.After(time.Second, func() { d.client.CloseAllIdle() })
	})
	text, _ := conn.ReadRest()
	return text
}

// waitForCleanup waits until neither the dispatcher nor the client has state for the request.
func (d *delayedRequest) waitForCleanup() {
	d.t.Helper()
	testkit.Until(d.t, "the request has no state left", func() (cleaned bool) {
		d.rig.Do(func() { cleaned = d.rig.Dispatcher.Unanswered() == 0 && len(d.client.connections) == 0 })
		return cleaned
	})
}
