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

// These tests check the time limit on endpoint changes: whatever happens to the calls to
// discovery, no request goes to a removed worker once 6 s and the grace of 0.5 s have
// passed since discovery had the removal.

const (
	notifiedAfter = 6 * time.Second
	drainGrace    = 500 * time.Millisecond // as in settingsText
	ruleSlack     = 50 * time.Millisecond  // added to each limit
	responseDelay = 100 * time.Millisecond // of a request at the worker that stays
	lineHead      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// removal is a daemon one of whose two workers is removed while discovery fails.
type removal struct {
	*testDaemon
	remaining, removed *testWorker
	at                 time.Time // when discovery had the removal
	last               atomic.Int64
	answers            sync.Map // by status
	call               atomic.Int32
}

// newRemoval starts the daemon; script answers each call to discovery, by its number
// from 0 on.
func newRemoval(t *testing.T, script func(r *removal, call int, conn net.Conn)) *removal {
	r := &removal{testDaemon: &testDaemon{t: t}}
	r.remaining = r.addWorker("s-kept", func(id string, conn net.Conn) bool {
		time.Sleep(responseDelay) // so that the other one is the better choice as long as it is listed
		return respondDone(id, conn)
	})
	r.removed = r.addWorker("s-removed", func(id string, conn net.Conn) bool {
		r.last.Store(time.Now().UnixNano())
		return respondDone(id, conn)
	})
	r.answerDiscovery = func(conn net.Conn) { script(r, int(r.call.Add(1))-1, conn) }
	return r
}

// heartbeats writes empty lines until stop is closed or the connection ends.
func heartbeats(conn net.Conn, stop <-chan struct{}) {
	for {
		if _, err := io.WriteString(conn, "1\r\n\n\r\n"); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// untilClosed waits until the other side has closed a connection.
func untilClosed(conn net.Conn) { io.Copy(io.Discard, conn) }

// change returns the line with the removal, as a chunk.
func (r *removal) change() string {
	line := fmt.Sprintf(`{"seq":42,"whole":false,"hosts":[%s]}`+"\n", r.removed.listEntry("gone"))
	return fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
}

// firstHalf returns the first firstHalf of that line.
func (r *removal) firstHalf() string { return r.change()[:len(r.change())/2] }

// load sends idempotent requests, one each 20 ms, until stop is closed, and waits for
// all answers.
func (r *removal) load(stop <-chan struct{}) {
	var open sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-stop:
			open.Wait()
			return
		case <-time.After(20 * time.Millisecond):
		}
		open.Add(1)
		go func() {
			defer open.Done()
			status, _, _ := r.post("status-check", fmt.Sprint("load-", i), "x", 3000)
			n, _ := r.answers.LoadOrStore(status, new(atomic.Int32))
			n.(*atomic.Int32).Add(1)
		}()
	}
}

func (r *removal) answered(status int) int {
	n, ok := r.answers.Load(status)
	if !ok {
		return 0
	}
	return int(n.(*atomic.Int32).Load())
}

// checkBound checks when the removed worker got its last request.
func (r *removal) checkBound() {
	r.t.Helper()
	allowed := notifiedAfter + drainGrace + ruleSlack
	last := time.Unix(0, r.last.Load()).Sub(r.at)
	r.t.Logf("the last request to the removed worker came %v after its removal; answers 200: %d, 503: %d", last, r.answered(200), r.answered(503))
	if last > allowed {
		r.t.Errorf("requests went to the removed worker for %v, %v are allowed", last, allowed)
	}
	if r.answered(502) > 0 || r.answered(0) > 0 {
		r.t.Errorf("%d requests failed and %d had no answer, though a worker was there", r.answered(502), r.answered(0))
	}
}

// overBrokenCalls removes a worker while the watch stops in the middle of the line with
// the removal, and stays open; so do the calls after it, as many in all as broken says.
func overBrokenCalls(t *testing.T, broken int) *removal {
	t.Parallel()
	remove, heard := make(chan struct{}), make(chan struct{})
	r := newRemoval(t, func(r *removal, call int, conn net.Conn) {
		io.WriteString(conn, lineHead)
		switch {
		case call == 0:
			heartbeats(conn, remove)
			r.at = time.Now()
			io.WriteString(conn, r.firstHalf())
		case call < broken:
			io.WriteString(conn, r.firstHalf())
		default:
			io.WriteString(conn, r.change())
			close(heard)
			heartbeats(conn, nil)
		}
		untilClosed(conn)
	})
	r.start()
	stop, over := make(chan struct{}), make(chan struct{})
	go func() { r.load(stop); close(over) }()
	r.waitUntil("the worker to be removed is used", func() bool { return r.last.Load() > 0 })
	close(remove)
	select {
	case <-heard:
		time.Sleep(drainGrace)
	case <-time.After(notifiedAfter + drainGrace + 5*time.Second):
	}
	close(stop)
	<-over
	r.checkBound()
	return r
}

func TestNotifiedInTimeOverOneBrokenCall(t *testing.T) { overBrokenCalls(t, 1) }

// Each call has a timeout, and the limit holds over all of them.
func TestNotifiedInTimeOverBrokenCalls(t *testing.T) { overBrokenCalls(t, 3) }

// Where no call brings the list within the limit, any worker may have been removed:
// nothing is sent, and requests are rejected or wait.
func TestNothingIsSentByAListThatMayBeOld(t *testing.T) {
	if r := overBrokenCalls(t, 100); r.answered(503) == 0 {
		t.Error("no request was rejected, though nothing may be sent")
	}
}
