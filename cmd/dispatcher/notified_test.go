package main

import (
	"io"
	"net"
	"testing"
	"time"
)

// These tests check the time limit on endpoint changes: whatever happens to the calls to
// discovery, no request goes to a removed worker once 6 s and the grace of 0.5 s have
// passed since discovery had the removal.

// removeOverBrokenCalls removes a worker while the watch stops in the middle of the line
// with the removal, and stays open; so do the calls after it, brokenCalls in all.
func removeOverBrokenCalls(t *testing.T, brokenCalls int) *removalTest {
	t.Parallel()
	remove := make(chan struct{})
	received := make(chan struct{}) // a call was answered with the complete removal
	removal := newRemoval(t, func(r *removalTest, call int, conn net.Conn) {
		io.WriteString(conn, watchHead)
		switch {
		case call == 0:
			writeHeartbeats(conn, remove)
			r.removedAt = time.Now()
			io.WriteString(conn, r.halfChange())
		case call < brokenCalls:
			io.WriteString(conn, r.halfChange())
		default:
			io.WriteString(conn, r.change())
			close(received)
			writeHeartbeats(conn, nil)
		}
		waitUntilClosed(conn)
	})
	removal.start()
	stopLoad := removal.startLoad()
	removal.waitUntilRemovedIsUsed()
	close(remove)
	select {
	case <-received:
		time.Sleep(drainGrace)
	case <-time.After(notifiedAfter + drainGrace + 5*time.Second):
	}
	stopLoad()
	removal.checkBound()
	return removal
}

func TestNotifiedInTimeOverOneBrokenCall(t *testing.T) { removeOverBrokenCalls(t, 1) }

// Each call has a timeout, and the limit holds over all of them.
func TestNotifiedInTimeOverBrokenCalls(t *testing.T) { removeOverBrokenCalls(t, 3) }

// Where no call brings the list within the limit, any worker may have been removed:
// nothing is sent, and requests are rejected or wait.
func TestNothingIsSentByAListThatMayBeOld(t *testing.T) {
	if removal := removeOverBrokenCalls(t, 100); removal.answered(503) == 0 {
		t.Error("no request was rejected, though nothing may be sent")
	}
}
