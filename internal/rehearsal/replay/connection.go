package replay

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// connection is a connection to the dispatcher with at most one request at a time. Answers are
// parsed with the standard library, not with the code of the front ends that are tested.
//
// One goroutine at a time sends, and another one runs readAnswers. Both take the pending request
// by an atomic operation, and the one that gets it completes or retries it: the reader sets ended
// before it takes the request for the last time, and the sender looks at ended after it has stored
// a request, so that no request is left on an ended connection.
type connection struct {
	replayer *replayer
	conn     net.Conn
	input    *bufio.Reader
	buffer   []byte                  // of the sender
	pending  atomic.Pointer[request] // nil: idle
	ended    atomic.Bool
	answered atomic.Pointer[request] // the last one
	reused   bool                    // an answer has been read; of the reader
}

func newConnection(replayer *replayer, conn net.Conn) *connection {
	const inputBytes = 4096
	return &connection{replayer: replayer, conn: conn, input: bufio.NewReaderSize(conn, inputBytes)}
}

// filler is the content of bodies.
var filler = bytes.Repeat([]byte("x"), maxBodyBytes)

// send writes a request. Its answer is read by readAnswers, which also notices that the write failed.
func (c *connection) send(next *request) {
	body := filler[:min(next.BodyBytes, maxBodyBytes)]
	if c.replayer.options.Faktory {
		c.buffer = appendPush(c.buffer[:0], next, body)
	} else {
		c.buffer = appendHTTPRequest(c.buffer[:0], next, c.replayer.options.Target, body)
	}
	c.conn.SetReadDeadline(time.Now().Add(next.Timeout + deadlineSlack))
	if !next.retried {
		next.written = time.Since(c.replayer.start)
	}
	c.pending.Store(next)
	if c.ended.Load() { // since it was taken from the idle connections
		if c.pending.CompareAndSwap(next, nil) {
			c.retry(next)
		}
		return
	}
	c.conn.Write(c.buffer)
}

// answer is a final answer to a request.
type answer struct {
	outcome Outcome
	reason  Reason // of a rejection or a failure
	last    bool   // the dispatcher closes the connection after it
}

// readAnswers reads answers until the connection ends.
func (c *connection) readAnswers() {
	defer c.conn.Close()
	for {
		if _, err := c.input.Peek(1); err != nil {
			c.end(err, false)
			return
		}
		final, err := c.readAnswer()
		if err != nil {
			c.end(err, true)
			return
		}
		c.handleAnswer(final)
	}
}

// readAnswer reads one answer.
func (c *connection) readAnswer() (answer, error) {
	if c.replayer.options.Faktory {
		return c.readFaktoryAnswer()
	}
	return c.readHTTPAnswer()
}

// handleAnswer completes the pending request and makes the connection idle. An answer without a
// request is a second one to the last request, or a stray one.
func (c *connection) handleAnswer(final answer) {
	done := c.pending.Swap(nil)
	if done == nil {
		c.countSurplusAnswer()
		return
	}
	c.answered.Store(done)
	c.conn.SetReadDeadline(time.Time{})
	c.reused = true
	c.replayer.complete(done, final.outcome, final.reason)
	if final.last {
		c.conn.SetReadDeadline(time.Now().Add(duplicateWindow))
		return
	}
	c.replayer.pool.put(c)
}

func (c *connection) countSurplusAnswer() {
	if last := c.answered.Load(); last != nil {
		c.replayer.recorder.addDuplicateAnswer(last)
	} else {
		c.replayer.recorder.addStrayAnswer()
	}
}

// end completes the pending request of a connection that has ended by an error; withinAnswer: after
// the answer had begun. If a reused connection ends before the answer begins, the request is sent
// once more, as clients do.
func (c *connection) end(err error, withinAnswer bool) {
	c.ended.Store(true)
	c.replayer.pool.remove(c)
	unanswered := c.pending.Swap(nil)
	if unanswered == nil {
		return
	}
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if c.reused && !unanswered.retried && !withinAnswer && !timedOut {
		c.retry(unanswered)
		return
	}
	reason := reasonClosed
	switch {
	case timedOut:
		reason = reasonTimeout
	case withinAnswer:
		reason = reasonUnreadable
	}
	c.replayer.complete(unanswered, Lost, reason)
}

// retry sends a request once more on a new connection, without waiting for it.
func (c *connection) retry(next *request) {
	next.retried = true
	c.replayer.recorder.addRetried(next)
	go c.replayer.sendOnNewConnection(next)
}
