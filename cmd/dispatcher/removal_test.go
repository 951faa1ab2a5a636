package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Limits on how long a removed worker may get requests.
const (
	notificationLimit = 6 * time.Second        // from the removal at discovery until the dispatcher has it
	drainGrace        = 500 * time.Millisecond // as drain_grace_us in settingsText
	limitSlack        = 50 * time.Millisecond  // tolerance of the test
)

const (
	responseDelay = 100 * time.Millisecond // of the worker that remains
	loadInterval  = 20 * time.Millisecond  // between requests
)

// removalTest is a daemon with two workers, one of which is removed while calls to discovery
// fail.
type removalTest struct {
	*testDaemon
	remaining *testWorker
	removed   *testWorker
	removedAt time.Time // when discovery had the removal

	lastRequestAtRemoved atomic.Int64 // time of the last request to the removed worker, in Unix nanoseconds; 0 if none
	calls                atomic.Int32 // number of calls to discovery

	mu      sync.Mutex
	answers map[int]int // number of requests by status
}

// newRemoval returns a daemon that is not started. answerCall answers each call to discovery;
// calls are numbered from 0 on.
func newRemoval(t *testing.T, answerCall func(r *removalTest, call int, conn net.Conn)) *removalTest {
	t.Helper()
	removal := &removalTest{testDaemon: &testDaemon{t: t}, answers: map[int]int{}}
	removal.remaining = removal.addWorker("s-kept", func(id string, conn net.Conn) bool {
		time.Sleep(responseDelay) // so that the other worker is preferred as long as it is listed
		return respondDone(id, conn)
	})
	removal.removed = removal.addWorker("s-removed", func(id string, conn net.Conn) bool {
		removal.lastRequestAtRemoved.Store(time.Now().UnixNano())
		return respondDone(id, conn)
	})
	removal.discovery = &testDiscovery{t: t, answer: func(conn net.Conn) {
		call := int(removal.calls.Add(1)) - 1
		answerCall(removal, call, conn)
	}}
	return removal
}

// writeHeartbeats writes the empty lines of a watch, until stop is closed or the connection
// ends.
func writeHeartbeats(conn net.Conn, stop <-chan struct{}) {
	for {
		if _, err := io.WriteString(conn, "1\r\n\n\r\n"); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// waitUntilClosed waits until the peer has closed a connection.
func waitUntilClosed(conn net.Conn) { io.Copy(io.Discard, conn) }

// change returns the line with the removal, as a chunk of the watch's response.
func (r *removalTest) change() string {
	line := endpointList(42, false, r.removed.listEntry("gone")) + "\n"
	return fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
}

// halfChange returns the first half of change.
func (r *removalTest) halfChange() string {
	change := r.change()
	return change[:len(change)/2]
}

// startLoad begins to send idempotent requests at intervals. The function that it returns
// stops sending, and waits for all answers.
func (r *removalTest) startLoad() (stop func()) {
	stopping := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		r.sendUntil(stopping)
		close(stopped)
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

// sendUntil sends requests until stop is closed, and waits for all answers.
func (r *removalTest) sendUntil(stop <-chan struct{}) {
	var requests sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-stop:
			requests.Wait()
			return
		case <-time.After(loadInterval):
		}
		requests.Go(func() {
			status, _, _ := r.post("status-check", fmt.Sprint("load-", i), "x", 3000)
			r.countAnswer(status)
		})
	}
}

func (r *removalTest) countAnswer(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[status]++
}

// answered returns how many requests were answered with a status. Requests without an answer
// have status 0.
func (r *removalTest) answered(status int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers[status]
}

// waitUntilRemovedIsUsed waits until the worker that is to be removed has got a request.
func (r *removalTest) waitUntilRemovedIsUsed() {
	r.t.Helper()
	r.waitUntil("the worker to be removed is used", func() bool { return r.lastRequestAtRemoved.Load() > 0 })
}

// checkRemovalLimit checks that the removed worker got its last request within the limits, and
// that no request failed.
func (r *removalTest) checkRemovalLimit() {
	r.t.Helper()
	allowed := notificationLimit + drainGrace + limitSlack
	last := time.Unix(0, r.lastRequestAtRemoved.Load()).Sub(r.removedAt)
	r.t.Logf("the last request to the removed worker came %v after its removal; answers 200: %d, 503: %d", last, r.answered(200), r.answered(503))
	if last > allowed {
		r.t.Errorf("requests went to the removed worker for %v after its removal, at most %v is allowed", last, allowed)
	}
	if r.answered(502) > 0 || r.answered(0) > 0 {
		r.t.Errorf("%d requests failed and %d had no answer, although a worker was available", r.answered(502), r.answered(0))
	}
}
