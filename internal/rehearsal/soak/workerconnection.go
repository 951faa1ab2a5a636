package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// progressInterval is the interval at which a worker reports the progress of a running job. It must match the
// dispatchers' settings.
const progressInterval = time.Second

// workerConnection is a dispatcher's connection to a worker.
type workerConnection struct {
	worker *worker
	conn   net.Conn
	number int // number of the connection among those to the worker
	source *timestampedReader
	input  *bufio.Reader // reads from source

	acceptedAt   time.Time
	acceptedLate bool // the next attempt is the first, and may have arrived long before it is read

	// While a request is served, another goroutine waits until the dispatcher sends more or ends the connection.
	nextInput  chan struct{} // closed when either has happened
	peerClosed bool          // the connection has ended; valid once nextInput is closed
}

// serve serves a connection until it ends. acceptedLate tells whether the first request may have arrived long before it
// is read.
func (w *worker) serve(conn net.Conn, acceptedAt time.Time, acceptedLate bool) {
	source := &timestampedReader{conn: conn.(*net.TCPConn)}
	c := &workerConnection{
		worker:       w,
		conn:         conn,
		number:       w.addConnection(conn),
		source:       source,
		input:        bufio.NewReader(source),
		acceptedAt:   acceptedAt,
		acceptedLate: acceptedLate,
	}
	defer conn.Close()
	defer w.removeConnection(conn)
	for c.serveNext() {
	}
}

// serveNext serves the next request: a GET is a health check, and any other request is an attempt. It returns false if
// the connection has ended.
func (c *workerConnection) serveNext() bool {
	request, err := http.ReadRequest(c.input)
	if err != nil {
		return false
	}
	if request.Method == http.MethodGet {
		draining, hang := c.worker.state()
		time.Sleep(hang)
		c.answerHealthCheck(draining)
		return true
	}
	return c.serveAttempt(request)
}

func (c *workerConnection) answerHealthCheck(draining bool) {
	status := "200 OK"
	if draining {
		status = "503 Draining"
	}
	load := c.worker.loadReport()
	fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(load), load)
}

// serveAttempt reads the body of an attempt, records the attempt and answers it, or injects the fault of its plan. It
// returns false if the connection has ended.
func (c *workerConnection) serveAttempt(request *http.Request) bool {
	records := &c.worker.run.records
	arrived := c.attemptOf(request)
	arrived.readLate = c.acceptedLate
	c.acceptedLate = false
	plan := drawJobPlan(c.worker.run.config.Seed, arrived.id, arrived.class, records.attemptsOf(arrived.id))
	switch plan.fault {
	case breakBeforeBody:
		return c.breakConnection(plan)
	case answerEarly:
		c.refuse("Connection: close\r\n")
		return c.breakConnection(jobPlan{})
	case stallReading:
		arrived.readLate = true
		time.Sleep(plan.delay)
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		records.addIncomplete() // the attempt has not arrived completely
		return false
	}
	arrived.readAt = time.Now()
	arrived.arrivedAt = c.source.arrivalOfLatest()
	c.startReadingNext()
	admitted := c.worker.admit()
	arrived.neverRan = !admitted || plan.fault == answerReturned
	records.addAttempt(arrived)
	_, hang := c.worker.state()
	time.Sleep(hang)
	open := true
	if admitted {
		open = c.execute(arrived.id, plan)
	} else {
		c.refuse("")
	}
	records.endAttempt()
	return open && c.awaitNextRequest(plan)
}

// attemptOf returns the attempt that a request's path and header fields describe.
func (c *workerConnection) attemptOf(request *http.Request) attempt {
	class, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	timeLeftMs, _ := strconv.Atoi(request.Header.Get(timeLeftHeader))
	return attempt{
		id:            request.Header.Get(correlationHeader),
		class:         class,
		worker:        c.worker.name,
		remoteAddress: c.conn.RemoteAddr().String(),
		connection:    c.number,
		acceptedAt:    c.acceptedAt,
		timeLeft:      time.Duration(timeLeftMs) * time.Millisecond,
	}
}

// refuse rejects the attempt as not run. headerLines are added to the header of the response.
func (c *workerConnection) refuse(headerLines string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nX-Backend-Load: %s\r\n%sContent-Length: 0\r\n\r\n",
		strings.TrimSpace(c.worker.loadReport()), headerLines)
}

// loadReport returns the worker's load report as a line of JSON.
func (w *worker) loadReport() string {
	running, waiting := w.load()
	return fmt.Sprintf(`{"inflight":%d,"queue":%d}`+"\n", running, waiting)
}

// execute waits for a slot for an admitted job, runs the job and answers the request, unless the fault of the plan
// prevents that. It returns false if the connection has ended.
func (c *workerConnection) execute(id string, plan jobPlan) bool {
	hasSlot := c.acquireSlot()
	c.worker.stopWaiting()
	if !hasSlot {
		return false // the dispatcher has ended the connection, or sent more, while the job waited
	}
	defer func() { <-c.worker.slots }()
	if plan.fault == breakBeforeHeader {
		return c.breakConnection(plan)
	}
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if plan.fault == closeAfterResponse {
		head = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	if plan.fault == breakInsideHeader {
		io.WriteString(c.conn, head[:len(head)/2])
		return c.breakConnection(plan)
	}
	if plan.fault == answerReturned {
		io.WriteString(c.conn, head+c.chunk(id, "returned", 0)+lastChunk)
		return true
	}
	io.WriteString(c.conn, head+c.chunk(id, "started", 0))
	if plan.fault == breakAfterStart {
		return c.breakConnection(plan)
	}
	if !c.runJob(id, plan.runTime) {
		return false // the dispatcher has ended the connection, or sent more, while the job ran
	}
	return c.finish(id, plan)
}

// finish sends the end of the response about a job that has run. It returns false if the connection has ended.
func (c *workerConnection) finish(id string, plan jobPlan) bool {
	done := c.chunk(id, "done", 1)
	switch plan.fault {
	case breakInsideLine:
		io.WriteString(c.conn, done[:len(done)/2])
		return c.breakConnection(plan)
	case breakAfterEnd:
		io.WriteString(c.conn, done)
		return c.breakConnection(plan)
	case answerFailed:
		done = c.chunk(id, "failed", 1)
	}
	io.WriteString(c.conn, done+lastChunk)
	if plan.fault == secondResponse {
		time.Sleep(plan.delay)
		io.WriteString(c.conn, chunkedResponseHeader+done+lastChunk)
	}
	return true
}

// acquireSlot waits for a slot. It returns false if the dispatcher ends the connection, or sends more, first.
func (c *workerConnection) acquireSlot() bool {
	select {
	case c.worker.slots <- struct{}{}:
		return true
	case <-c.nextInput:
		return false
	}
}

// runJob waits for the run time of a job and reports its progress. It returns false if the dispatcher ends the
// connection, or sends more, first.
func (c *workerConnection) runJob(id string, duration time.Duration) bool {
	for left := duration; left > 0; left -= progressInterval {
		select {
		case <-c.nextInput:
			return false
		case <-time.After(min(left, progressInterval)):
		}
		if left > progressInterval {
			io.WriteString(c.conn, c.chunk(id, "running", 1-left.Seconds()/duration.Seconds()))
		}
	}
	return true
}

// chunk returns an encoded chunk of a response that reports the state of a job. share is the share of the job that is
// done.
func (c *workerConnection) chunk(id, state string, share float64) string {
	return encodeChunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"share":%.2f,"result":"r","load":%s}`+"\n",
		id, c.worker.name, state, share, strings.TrimSpace(c.worker.loadReport())))
}

// startReadingNext starts a goroutine that closes nextInput when the dispatcher sends more or ends the connection.
func (c *workerConnection) startReadingNext() {
	next := make(chan struct{})
	c.nextInput = next
	go func() {
		_, err := c.input.Peek(1)
		c.peerClosed = err != nil
		close(next)
	}()
}

// awaitNextRequest waits, after a response, until the next request arrives. It returns false if the connection has been
// ended by the dispatcher or by a fault of the plan.
func (c *workerConnection) awaitNextRequest(plan jobPlan) bool {
	switch plan.fault {
	case closeAfterResponse:
		return c.breakConnection(jobPlan{})
	case closeIdle:
		select {
		case <-c.nextInput:
		case <-time.After(plan.delay):
		}
		return c.breakConnection(plan)
	}
	<-c.nextInput
	if plan.fault == breakAtNextRequest && !c.peerClosed {
		return c.breakConnection(plan)
	}
	return !c.peerClosed
}

// breakConnection closes the connection because of a fault, or resets it if the plan says so. It returns false.
func (c *workerConnection) breakConnection(plan jobPlan) (open bool) {
	c.worker.run.records.recordFault()
	if plan.reset {
		c.conn.(*net.TCPConn).SetLinger(0)
	}
	c.conn.Close()
	return false
}
