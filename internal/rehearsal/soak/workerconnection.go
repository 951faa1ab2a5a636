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

// progressInterval is how often a worker reports a job that runs, as the dispatchers' settings say.
const progressInterval = time.Second

// workerConnection is a dispatcher's connection to a worker.
type workerConnection struct {
	worker *worker
	conn   net.Conn
	number int // of the worker's connections
	input  *bufio.Reader

	acceptedLate bool // the first attempt may have arrived before it is read

	// While a request is served, another goroutine waits for the peer's next byte or its end.
	next chan struct{} // closed when it has come
	gone bool          // it was the end; to be read once next is closed
}

// serve serves a connection until it ends. acceptedLate says that what comes first on it may have come before.
func (w *worker) serve(conn net.Conn, acceptedLate bool) {
	c := &workerConnection{
		worker:       w,
		conn:         conn,
		number:       w.addConnection(conn),
		input:        bufio.NewReader(conn),
		acceptedLate: acceptedLate,
	}
	defer conn.Close()
	defer w.removeConnection(conn)
	for c.serveNext() {
	}
}

// serveNext serves the next request. It reports false if the connection has ended.
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

// serveAttempt reads the body of an attempt, records and answers it. It reports false if the connection has ended.
func (c *workerConnection) serveAttempt(request *http.Request) bool {
	records := &c.worker.run.records
	arrived := c.attemptOf(request)
	arrived.stalled = c.acceptedLate
	c.acceptedLate = false
	plan := drawJob(c.worker.run.config.Seed, arrived.id, arrived.class, records.attemptsOf(arrived.id))
	switch plan.fault {
	case breakBeforeBody:
		return c.breakOff(plan)
	case answerEarly:
		c.refuse("Connection: close\r\n")
		return c.breakOff(jobPlan{})
	case stallReading:
		arrived.stalled = true
		time.Sleep(plan.pause)
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		records.addIncomplete() // the attempt has never arrived
		return false
	}
	arrived.arrivedAt = time.Now()
	c.awaitNext()
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
	return open && c.awaitEnd(plan)
}

// attemptOf returns the attempt that a request is.
func (c *workerConnection) attemptOf(request *http.Request) attempt {
	class, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	timeLeftMs, _ := strconv.Atoi(request.Header.Get(timeLeftHeader))
	return attempt{
		id:         request.Header.Get(correlationHeader),
		class:      class,
		worker:     c.worker.name,
		from:       c.conn.RemoteAddr().String(),
		connection: c.number,
		timeLeft:   time.Duration(timeLeftMs) * time.Millisecond,
	}
}

// refuse says that the worker has not taken the attempt.
func (c *workerConnection) refuse(header string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nX-Backend-Load: %s\r\n%sContent-Length: 0\r\n\r\n",
		strings.TrimSpace(c.worker.loadReport()), header)
}

// loadReport is the load report of the worker, as a line.
func (w *worker) loadReport() string {
	running, waiting := w.load()
	return fmt.Sprintf(`{"inflight":%d,"queue":%d}`+"\n", running, waiting)
}

// execute runs an admitted job once it has a slot, and answers it. It reports false if the connection has ended.
func (c *workerConnection) execute(id string, plan jobPlan) bool {
	hasSlot := c.acquireSlot()
	c.worker.stopWaiting()
	if !hasSlot {
		return false // given up while it waited
	}
	defer func() { <-c.worker.slots }()
	if plan.fault == breakBeforeHead {
		return c.breakOff(plan)
	}
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if plan.fault == closeAfterResponse {
		head = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	if plan.fault == breakInsideHead {
		io.WriteString(c.conn, head[:len(head)/2])
		return c.breakOff(plan)
	}
	if plan.fault == answerReturned {
		io.WriteString(c.conn, head+c.chunk(id, "returned", 0)+lastChunk)
		return true
	}
	io.WriteString(c.conn, head+c.chunk(id, "started", 0))
	if plan.fault == breakAfterStart {
		return c.breakOff(plan)
	}
	if !c.runJob(id, plan.run) {
		return false // given up while it ran
	}
	return c.finish(id, plan)
}

// finish answers a job that has run.
func (c *workerConnection) finish(id string, plan jobPlan) bool {
	done := c.chunk(id, "done", 1)
	switch plan.fault {
	case breakInsideLine:
		io.WriteString(c.conn, done[:len(done)/2])
		return c.breakOff(plan)
	case breakAfterEnd:
		io.WriteString(c.conn, done)
		return c.breakOff(plan)
	case answerFailed:
		done = c.chunk(id, "failed", 1)
	}
	io.WriteString(c.conn, done+lastChunk)
	if plan.fault == secondResponse {
		time.Sleep(plan.pause)
		io.WriteString(c.conn, chunkedResponseHead+done+lastChunk)
	}
	return true
}

// acquireSlot waits for a slot. It reports false if the dispatcher has given up before.
func (c *workerConnection) acquireSlot() bool {
	select {
	case c.worker.slots <- struct{}{}:
		return true
	case <-c.next:
		return false
	}
}

// runJob waits for the run time of a job, and reports its progress. It reports false if the dispatcher has given up before.
func (c *workerConnection) runJob(id string, duration time.Duration) bool {
	for left := duration; left > 0; left -= progressInterval {
		select {
		case <-c.next:
			return false
		case <-time.After(min(left, progressInterval)):
		}
		if left > progressInterval {
			io.WriteString(c.conn, c.chunk(id, "running", 1-left.Seconds()/duration.Seconds()))
		}
	}
	return true
}

// chunk is the chunk of a response that says which state a job has reached.
func (c *workerConnection) chunk(id, state string, share float64) string {
	return encodeChunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"share":%.2f,"result":"r","load":%s}`+"\n",
		id, c.worker.name, state, share, strings.TrimSpace(c.worker.loadReport())))
}

// awaitNext begins to wait for the next byte, or the end, of what the dispatcher sends.
func (c *workerConnection) awaitNext() {
	next := make(chan struct{})
	c.next = next
	go func() {
		_, err := c.input.Peek(1)
		c.gone = err != nil
		close(next)
	}()
}

// awaitEnd waits, behind a response, until the next request comes. It reports false if the connection has ended, which it
// does here by some faults.
func (c *workerConnection) awaitEnd(plan jobPlan) bool {
	switch plan.fault {
	case closeAfterResponse:
		return c.breakOff(jobPlan{})
	case closeIdle:
		select {
		case <-c.next:
		case <-time.After(plan.pause):
		}
		return c.breakOff(plan)
	}
	<-c.next
	if plan.fault == breakAtNextRequest && !c.gone {
		return c.breakOff(plan)
	}
	return !c.gone
}

// breakOff ends the connection by a fault, and reports that it has ended.
func (c *workerConnection) breakOff(plan jobPlan) (open bool) {
	c.worker.run.records.strike()
	if plan.reset {
		c.conn.(*net.TCPConn).SetLinger(0)
	}
	c.conn.Close()
	return false
}
