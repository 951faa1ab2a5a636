package main

import (
	"io"
	"net"
	"testing"
	"time"
)

// These tests check the time limit on endpoint changes: 6 s and the drain grace of 0.5 s after
// discovery has the removal of a worker, no request goes to this worker any more, whatever
// happens to the calls to discovery.

// removeDuringBrokenCalls removes a worker. The first brokenCalls calls to discovery stop in
// the middle of the line with the removal, and their connections stay open.
func removeDuringBrokenCalls(t *testing.T, brokenCalls int) *removalTest {
	t.Parallel()
	remove := make(chan struct{})
	received := make(chan struct{}) // closed when a call was answered with the complete removal
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
	case <-time.After(notificationLimit + drainGrace + 5*time.Second):
	}
	stopLoad()
	removal.checkRemovalLimit()
	return removal
}

func TestRemovalIsAppliedInTimeWithOneBrokenCall(t *testing.T) { removeDuringBrokenCalls(t, 1) }

// Each call has a timeout, and the limit holds over all of them.
func TestRemovalIsAppliedInTimeWithBrokenCalls(t *testing.T) { removeDuringBrokenCalls(t, 3) }

// If no call brings a list within the limit, any worker may have been removed. Requests are
// then not sent to workers, but rejected or kept waiting.
func TestNothingIsSentWithAnOutdatedList(t *testing.T) {
	if removal := removeDuringBrokenCalls(t, 100); removal.answered(503) == 0 {
		t.Error("no request was rejected while the list may be out of date")
	}
}
