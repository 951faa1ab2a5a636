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

// connection is a connection to the dispatcher that carries at most one request at a time. Answers are
// parsed with the standard library, not with the code of the front ends, which a replay tests.
//
// One goroutine at a time sends, and another one runs readAnswers. If the connection ends, either may
// have to retry or complete the pending request. Both take it out of pending by an atomic operation,
// and the one that gets it does so. The reader sets ended before it takes the request for the last
// time, and the sender checks ended after it has stored a request. So no request stays on a connection
// that has ended.
type connection struct {
	replayer     *replayer
	conn         net.Conn
	input        *bufio.Reader
	sendBuffer   []byte                  // in which the sender formats a request
	pending      atomic.Pointer[request] // the request that was sent and not answered; nil if there is none
	ended        atomic.Bool             // reading has failed
	lastAnswered atomic.Pointer[request] // the request that was answered last
	reused       bool                    // an answer has been read; only used by the reader
}

func newConnection(replayer *replayer, conn net.Conn) *connection {
	const inputBytes = 4096
	return &connection{replayer: replayer, conn: conn, input: bufio.NewReaderSize(conn, inputBytes)}
}

// bodyFiller is the content of request bodies, of which send uses as much as it needs.
var bodyFiller = bytes.Repeat([]byte("x"), maxBodyBytes)

// send writes a request. It ignores write errors, since reading then fails as well: readAnswers handles
// both the answer and the end of the connection.
func (c *connection) send(next *request) {
	body := bodyFiller[:min(next.BodyBytes, maxBodyBytes)]
	if c.replayer.options.Faktory {
		c.sendBuffer = appendPush(c.sendBuffer[:0], next, body)
	} else {
		c.sendBuffer = appendHTTPRequest(c.sendBuffer[:0], next, c.replayer.options.Target, body)
	}
	c.conn.SetReadDeadline(time.Now().Add(next.Timeout + deadlineSlack))
	if !next.retried {
		next.written = time.Since(c.replayer.start)
	}
	c.pending.Store(next)
	if c.ended.Load() { // after it was taken from the idle connections
		if c.pending.CompareAndSwap(next, nil) {
			c.retry(next)
		}
		return
	}
	c.conn.Write(c.sendBuffer)
}

// answer is the final answer to a request.
type answer struct {
	outcome          Outcome
	reason           Reason // why the request was rejected or failed
	closesConnection bool   // the dispatcher closes the connection after it
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

// readAnswer reads one answer of the front end in use.
func (c *connection) readAnswer() (answer, error) {
	if c.replayer.options.Faktory {
		return c.readFaktoryAnswer()
	}
	return c.readHTTPAnswer()
}

// handleAnswer completes the pending request and makes the connection idle, unless the dispatcher closes
// it. An answer without a pending request is counted as a duplicate or a stray answer.
func (c *connection) handleAnswer(final answer) {
	done := c.pending.Swap(nil)
	if done == nil {
		c.countSurplusAnswer()
		return
	}
	c.lastAnswered.Store(done)
	c.conn.SetReadDeadline(time.Time{})
	c.reused = true
	c.replayer.complete(done, final.outcome, final.reason)
	if final.closesConnection {
		c.conn.SetReadDeadline(time.Now().Add(duplicateWindow))
		return
	}
	c.replayer.pool.put(c)
}

// countSurplusAnswer counts an answer without a pending request: a duplicate answer to the last request,
// or a stray answer if there was no request on the connection.
func (c *connection) countSurplusAnswer() {
	if last := c.lastAnswered.Load(); last != nil {
		c.replayer.recorder.addDuplicateAnswer(last)
	} else {
		c.replayer.recorder.addStrayAnswer()
	}
}

// end handles the end of the connection because reading failed with err. withinAnswer is set if an
// answer had begun by then. The pending request is lost, unless the connection was reused and ended
// before the answer began, but not by a timeout: the request is then sent once more, as clients do.
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

// retry sends a request once more on a new connection, in a separate goroutine.
func (c *connection) retry(next *request) {
	next.retried = true
	c.replayer.recorder.addRetried(next)
	go c.replayer.sendOnNewConnection(next)
}
