package discovery

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// Timeouts of a call to discovery.
const (
	watchConnectTimeout = time.Second
	watchCallTimeout    = 3 * time.Second // from its start to the first line; discovery handles calls in turn
	watchLineTimeout    = 3 * time.Second // between lines; one comes every 2 s at the latest
	watchPartTimeout    = time.Second     // between the parts of an incomplete response or line

	// unreadDataGrace extends a timeout once if bytes have arrived that the loop, running late, has yet to read.
	unreadDataGrace = 10 * time.Millisecond
)

var (
	errTimeout    = errors.New("timed out waiting for data")
	errWatchEnded = errors.New("the watch ended")
)

// watch is the discovery watch: one HTTP call at a time, whose response is a stream of lines, each a list, a change or
// empty. When a call fails, the next one is scheduled within the time that the protocol allows (see reconnect.go).
type watch struct {
	registry *Registry
	address  string // host:port of discovery; empty if there is none
	version  int64  // of the newest list or change applied; the next call resumes from it

	watchCall
	generation  int // counts calls, so that callbacks of earlier ones are ignored
	timeout     eventloop.Deadline
	lastContact time.Duration // when the latest call was started or the latest line came

	random          *rand.Rand         // spreads reconnects
	nextCall        eventloop.Deadline // starts the next call
	nextCallAt      time.Duration      // when the next call starts; 0 if none is scheduled
	notBefore       time.Duration      // the earliest time of the next call, after one that failed
	failureReported bool               // a failure was reported to the dispatcher, which has not called Subscribe since
	outageLogged    bool               // the present outage of an agent has been logged
}

// watchCall is the state of the call in progress. Its zero value means that there is none.
type watchCall struct {
	calling     bool
	conn        *transport.Conn // nil until connected
	response    responseReader
	established bool // the first line of the response has arrived
	splitter    objectSplitter

	deadline        time.Duration // the latest time to which a partial response may move the timeout
	timeoutExtended bool          // by unreadDataGrace
}

var (
	_ transport.Handler = (*watch)(nil)
	_ responseConsumer  = (*watch)(nil)
)

// Subscribe starts a call to discovery, unless one is in progress or membership servers are followed. The dispatcher
// may call it at any time: no call begins within minBackoff of one that failed.
func (r *Registry) Subscribe() {
	w := &r.watch
	w.failureReported = false
	if w.calling || r.follower != nil {
		return
	}
	w.scheduleCall(max(r.dispatcher.Loop.Now(), w.notBefore))
}

// SetAddress sets the address of discovery before the first call.
func (r *Registry) SetAddress(addr string) { r.watch.address = addr }

// ChangeAddress continues the watch at another address, at once and from the version reached. The list and all attempts
// in flight are kept.
func (r *Registry) ChangeAddress(addr string) {
	r.watch.address = addr
	if r.follower == nil {
		r.watch.open()
	}
}

// open starts a call in place of the one in progress.
func (w *watch) open() {
	w.reset()
	if w.address == "" {
		return
	}
	loop := w.registry.dispatcher.Loop
	w.calling = true
	w.lastContact = loop.Now()
	w.registry.dispatcher.TraceStep("", "discovery watch opened", "version", w.version)
	connectTimeout, callTimeout := w.timeouts()
	w.deadline = w.lastContact + callTimeout
	loop.Set(&w.timeout, w.deadline)
	generation := w.generation
	w.registry.engine.DialReserved(w.address, connectTimeout, w, func(conn *transport.Conn, err error) {
		switch {
		case generation != w.generation:
			if conn != nil {
				conn.Close()
			}
		case err != nil:
			w.fail(err)
		default:
			w.conn = conn
			w.sendRequest()
		}
	})
}

// sendRequest requests the changes after the version reached.
func (w *watch) sendRequest() {
	target := "/v1/servers?watch=1&after=" + strconv.FormatInt(w.version, 10)
	request := appendGetRequest(nil, w.address, target, "")
	w.registry.stats.BytesWritten += int64(len(request))
	w.conn.Write(request)
}

// reset ends the call in progress without reporting a failure, and cancels the next one.
func (w *watch) reset() {
	loop := w.registry.dispatcher.Loop
	loop.Clear(&w.timeout)
	loop.Clear(&w.nextCall)
	w.nextCallAt = 0
	w.response.reset(&w.registry.engine.Pool)
	if w.conn != nil {
		w.conn.Close()
	}
	w.watchCall = watchCall{}
	w.generation++
}

// fail ends a call that failed, or a watch that broke, and schedules the next call. An agent is called again after a
// short backoff, and the initial list stays withheld meanwhile. In other cases the failure is reported to the
// dispatcher, which calls Subscribe when it chooses to.
func (w *watch) fail(cause error) {
	dispatcher := w.registry.dispatcher
	now := dispatcher.Loop.Now()
	lastContact := w.lastContact
	failure := w.classifyFailure(cause)
	w.reset()
	w.registry.freshness.tracker.Failed(now, failure)
	defer w.registry.Refresh()
	if w.usesAgent() {
		if !w.outageLogged { // one log line for an outage, not one for each call
			w.outageLogged = true
			dispatcher.Log("discovery: " + cause.Error())
		}
		w.scheduleCall(now + w.agentBackoff())
		return
	}
	dispatcher.Log("discovery: " + cause.Error())
	w.notBefore = now + minBackoff
	w.registry.publishInitial(nil)
	w.reportFailure()
	if failure == freshness.IncompleteResponse { // discovery is reachable, so the notification bound has begun to run
		w.scheduleCall(w.notBefore)
		return
	}
	w.scheduleReconnect(lastContact)
}

// classifyFailure decides whether a failed call counts as one that did not reach discovery, or as one that reached it
// and broke off. It must be called before reset.
func (w *watch) classifyFailure(cause error) freshness.Failure {
	var status statusError
	switch {
	case w.conn == nil, errors.As(cause, &status), transport.IsLocalError(cause):
		return freshness.SourceUnreachable
	case w.usesAgent():
		if w.response.headRead && !w.established {
			return freshness.IncompleteResponse
		}
		return freshness.SourceUnreachable
	case cause == errWatchEnded && w.established && !w.midLine(): // as in an orderly shutdown
		return freshness.SourceUnreachable
	case w.response.headRead:
		return freshness.IncompleteResponse
	}
	return freshness.SourceUnreachable
}

// onTimeout ends a call for which nothing has arrived in time. If bytes are waiting to be read, the timeout is extended
// instead, but only once, since the bytes may not complete a line.
func (w *watch) onTimeout() {
	if w.conn == nil || w.timeoutExtended || w.conn.AllRead() {
		w.fail(errTimeout)
		return
	}
	w.timeoutExtended = true
	dispatcher := w.registry.dispatcher
	now := dispatcher.Loop.Now()
	dispatcher.TraceStep("", "discovery timeout extended", "age", now-w.lastContact)
	dispatcher.Loop.Set(&w.timeout, now+unreadDataGrace)
}

// OnClosed implements transport.Handler: discovery has closed the connection, or it broke.
func (w *watch) OnClosed(conn *transport.Conn, _ error) {
	if conn == w.conn {
		w.fail(errWatchEnded)
	}
}
