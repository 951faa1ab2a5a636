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

// The reasons for which requests are lost or not sent.
const (
	reasonTimeout    Reason = "lost: no answer in time"
	reasonUnreadable Reason = "lost: an answer that cannot be read"
	reasonClosed     Reason = "lost: the connection ended"
	reasonUnsent     Reason = "not sent"
)

// connection is a connection to the dispatcher with at most one request at a time. Answers are
// parsed with the standard library, not with the code of the front ends that are tested.
type connection struct {
	replayer *replayer
	conn     net.Conn
	input    *bufio.Reader
	buffer   []byte
	request  atomic.Pointer[request] // nil: idle
	answered atomic.Pointer[request] // the last one
	closed   atomic.Bool             // set before request is taken for the last time
	reused   bool                    // an answer has been read
}

func newConnection(r *replayer, conn net.Conn) *connection {
	const inputBytes = 4096
	return &connection{replayer: r, conn: conn, input: bufio.NewReaderSize(conn, inputBytes)}
}

var filler = bytes.Repeat([]byte("x"), maxBodyBytes)

// send writes a request. Its answer is read by readAnswers.
func (c *connection) send(next *request) {
	body := filler[:min(next.BodyBytes, maxBodyBytes)]
	if c.replayer.Faktory {
		c.buffer = appendPush(c.buffer[:0], next, body)
	} else {
		c.buffer = appendHTTPRequest(c.buffer[:0], next, c.replayer.Target, body)
	}
	c.conn.SetReadDeadline(time.Now().Add(next.Timeout + deadlineSlack))
	if !next.retried {
		next.written = time.Since(c.replayer.start)
	}
	c.request.Store(next)
	if c.closed.Load() { // since it was taken from the idle connections
		if c.request.CompareAndSwap(next, nil) {
			c.retry(next)
		}
		return
	}
	c.conn.Write(c.buffer) // readAnswers notices a failure
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
			c.connectionEnded(err, false)
			return
		}
		answer, err := c.readAnswer()
		if err != nil {
			c.connectionEnded(err, true)
			return
		}
		done := c.request.Swap(nil)
		if done == nil {
			c.countSurplusAnswer()
			continue
		}
		c.answered.Store(done)
		c.conn.SetReadDeadline(time.Time{})
		c.reused = true
		c.replayer.complete(done, answer.outcome, answer.reason)
		if answer.last {
			c.conn.SetReadDeadline(time.Now().Add(duplicateWindow))
			continue
		}
		c.replayer.release(c)
	}
}

// readAnswer reads one answer.
func (c *connection) readAnswer() (answer, error) {
	if c.replayer.Faktory {
		return c.readFaktoryAnswer()
	}
	return c.readHTTPAnswer()
}

// countSurplusAnswer counts an answer without a request: a second one to the last request, or a
// stray one.
func (c *connection) countSurplusAnswer() {
	c.replayer.mu.Lock()
	defer c.replayer.mu.Unlock()
	if last := c.answered.Load(); last != nil {
		last.tally.DuplicateAnswers++
	} else {
		c.replayer.result.StrayAnswers++
	}
}

// connectionEnded completes the request of a connection that has ended; partial: within an
// answer. If a reused connection ends before the answer begins, the request is sent once more, as
// clients do.
func (c *connection) connectionEnded(err error, partial bool) {
	c.closed.Store(true)
	c.replayer.removeIdle(c)
	pending := c.request.Swap(nil)
	if pending == nil {
		return
	}
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	if c.reused && !pending.retried && !partial && !timeout {
		c.retry(pending)
		return
	}
	switch {
	case timeout:
		c.replayer.complete(pending, Lost, reasonTimeout)
	case partial:
		c.replayer.complete(pending, Lost, reasonUnreadable)
	default:
		c.replayer.complete(pending, Lost, reasonClosed)
	}
}

// retry sends a request once more on a new connection, without waiting for it.
func (c *connection) retry(next *request) {
	next.retried = true
	c.replayer.mu.Lock()
	next.tally.Retried++
	c.replayer.mu.Unlock()
	go c.replayer.sendOnNewConnection(next)
}
