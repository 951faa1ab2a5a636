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

// largeBody is the size of a body that a socket of testkit.ListenWithSmallBuffers does not take entirely.
const largeBody = 64 << 10

// newLargeRequest returns a request of a class with a large body.
func newLargeRequest(rig *testkit.Rig, class int) dispatch.Request {
	request := newRequest(rig, class, "id000001")
	request.Body = bytes.Repeat([]byte("x"), largeBody)
	return request
}

// sentEntirely reports whether the text that a worker got holds all of a request with a large body.
func sentEntirely(text string) bool {
	_, body, _ := strings.Cut(text, "\r\n\r\n")
	return len(body) >= largeBody
}

// runMayHaveHappened is a response after which a deduplicated request is retried within its window.
const runMayHaveHappened = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"

// A retry within the dedup window is sent.
func TestRetryWithinDedupWindowIsSent(t *testing.T) {
	rig := testkit.NewRig(t, withDeduplicatedClass(4*time.Second, 2*time.Second))
	worker := testkit.Listen(t)
	startSoleWorkerClient(t, rig, worker.Addr(), time.Hour) // each attempt has a connection of its own
	responses := post(rig, transfer, "id000001")
	conn := worker.Accept()
	conn.ParseRequest()
	conn.Write(runMayHaveHappened)
	worker.Accept().ServeRequest()
	checkOutcome(t, "retried in time", responses, dispatch.Served)
}

// The dedup window ends while the connection for a retry is being opened: the retry is not sent.
func TestDedupWindowEndsBeforeRetryIsSent(t *testing.T) {
	const window = 2 * time.Second
	const connectTimeout = 3900 * time.Millisecond // the connect may take longer than the window
	rig := testkit.NewRig(t, withDeduplicatedClass(window, connectTimeout))
	worker := testkit.Listen(t)
	client := startSoleWorkerClient(t, rig, worker.Addr(), time.Hour) // each attempt has a connection of its own
	rig.Do(func() {
		rig.Dispatcher.Trace = func(_, step string, more ...any) {
			if step != dispatch.StepAssigned || more[1] != 1 {
				return
			}
			firstAssignedAt := rig.Dispatcher.Loop.Now() // no attempt came later
			rig.Dispatcher.Loop.Post(func() {
				for rig.Dispatcher.Loop.Now() < firstAssignedAt+window {
					time.Sleep(time.Millisecond)
				}
			})
		}
	})
	responses := post(rig, transfer, "id000001")
	conn := worker.Accept()
	conn.ParseRequest()
	conn.Write(runMayHaveHappened)
	retryConn := worker.Accept()
	checkNotServed(t, "after the window", responses) // all workers know a retry, so it may be rejected too
	rig.Do(func() { client.CloseAllIdle() })
	text, err := retryConn.ReadRest()
	if len(text) > 0 || err != nil {
		t.Errorf("the retry was sent all the same: %q, %v", text, err)
	}
}

// A retry of which the kernel has taken a part is abandoned when its dedup window ends: the rest would leave whenever
// the worker makes room.
func TestDedupWindowEndsDuringRetry(t *testing.T) {
	const window = time.Second
	rig := testkit.NewRig(t, withDeduplicatedClass(window, 100*time.Millisecond))
	worker := testkit.ListenWithSmallBuffers(t)
	startSoleWorkerClient(t, rig, worker.Addr(), time.Hour)
	responses := rig.Accept(newLargeRequest(rig, transfer))
	conn := worker.Accept()
	conn.ParseRequest()
	firstReceivedAt := rig.Dispatcher.Loop.Now() // it was assigned before
	conn.Write(runMayHaveHappened)
	retryConn := worker.Accept()
	testkit.Until(t, "the window is over", func() bool { return rig.Dispatcher.Loop.Now() > firstReceivedAt+window })
	text, _ := retryConn.ReadRest() // nothing was read of it up to now
	checkNotServed(t, "after the window", responses)
	if sentEntirely(text) {
		t.Errorf("the retry was sent entirely: %d bytes", len(text))
	}
}

// A request that has ended is not forwarded after a connect, a held last byte or a full socket has delayed it, even if
// the settings allow no attempt to be cancelled.
func TestCompletedRequestIsNotSent(t *testing.T) {
	for name, end := range map[string]func(*testkit.Rig, uint64){
		"its client left":   func(rig *testkit.Rig, handle uint64) { rig.Dispatcher.Cancel(handle) },
		"it has a response": func(rig *testkit.Rig, _ uint64) { rig.Dispatcher.ExpireAll() },
	} {
		t.Run(name+", connecting", func(t *testing.T) {
			request := newDelayedRequest(t, testkit.Listen(t), end)
			request.rig.Do(func() {
				request.rig.Dispatcher.Trace = func(_, step string, _ ...any) {
					if step == dispatch.StepAssigned {
						request.rig.Dispatcher.Loop.Post(request.finish) // before the event that the connection is open
					}
				}
			})
			request.accept()
			if text := request.readSent(request.worker.Accept()); len(text) > 0 {
				t.Errorf("%d bytes were sent of a request that has ended", len(text))
			}
			request.checkForgotten()
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

// delayedRequest is a request that ends before all of it has left.
type delayedRequest struct {
	t      *testing.T
	rig    *testkit.Rig
	worker *testkit.Listener
	client *Client
	end    func(rig *testkit.Rig, handle uint64) // ends the request
	handle uint64
	ended  chan struct{}
}

// newDelayedRequest returns a request to a worker that is not accepted yet. The settings allow no attempt to be
// cancelled.
func newDelayedRequest(t *testing.T, worker *testkit.Listener, end func(*testkit.Rig, uint64)) *delayedRequest {
	t.Helper()
	worker.ReadAhead = 16 // the rest of the request stays in the socket
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

// accept hands the request to the dispatcher.
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

// finishOnFirstByte ends the request once its first byte has come to the worker, and checks that it does not come
// entirely.
func (d *delayedRequest) finishOnFirstByte() {
	d.t.Helper()
	d.accept()
	conn := d.worker.Accept()
	conn.AwaitFirstByte()
	d.rig.Dispatcher.Loop.Post(d.finish)
	if text := d.readSent(conn); sentEntirely(text) {
		d.t.Errorf("%d bytes were sent of a request that has ended", len(text))
	}
	d.checkForgotten()
}

// readSent waits until the request has ended, and returns what the worker has got of it.
func (d *delayedRequest) readSent(conn *testkit.AcceptedConn) string {
	d.t.Helper()
	testkit.Receive(d.t, d.ended)
	go d.rig.Do(func() { // a connection that was opened for nothing becomes idle; it is closed then
		d.rig.Dispatcher.Loop.After(time.Second, func() { d.client.CloseAllIdle() })
	})
	text, _ := conn.ReadRest()
	return text
}

// checkForgotten waits until neither the dispatcher nor the client knows the request any more.
func (d *delayedRequest) checkForgotten() {
	d.t.Helper()
	testkit.Until(d.t, "the request is forgotten", func() (forgotten bool) {
		d.rig.Do(func() { forgotten = d.rig.Dispatcher.Unanswered() == 0 && len(d.client.connections) == 0 })
		return forgotten
	})
}
