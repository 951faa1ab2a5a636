package discovery

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns the discovery watch: the one open call, its timeouts, and the
// pause before the next call. It must never take in what an earlier call brings.

// Subscribe opens the discovery watch, unless a call is out: the module may have
// set its timer before discovery moved or was called again. It makes no call
// within leastPause of one that failed.
func (s *Registry) Subscribe() {
	w := &s.watch
	w.failureReported = false
	if now := s.dispatcher.Loop.Now(); !w.calling && s.follower == nil {
		w.scheduleCall(max(now, w.notBefore))
	}
}

// SetAddress sets where discovery is before the first call.
func (s *Registry) SetAddress(addr string) { s.watch.address = addr }

// MoveTo goes on with discovery at another address, at once. What the former one
// has listed stands, and so does every attempt; the watch goes on where it was.
func (s *Registry) MoveTo(addr string) {
	s.watch.address = addr
	if s.follower == nil {
		s.watch.open()
	}
}

// Ready tells whether the module has a list that has been good for something:
// discovery's, or the known one after its time.
func (s *Registry) Ready() bool { return s.initialEntries == nil && s.Usable() }

// Usable tells whether what is listed has been good enough to send by since the start.
func (s *Registry) Usable() bool {
	s.Refresh()
	return s.usable
}

// watch is the one open call to discovery, or the wait for the module to ask for it again.
type watch struct {
	registry        *Registry
	address       string
	version        int64
	generation int  // counts the calls, so that what an earlier one brings is ignored
	calling        bool // a call is out
	conn       *transport.Conn
	buffer         *transport.Buffer
	splitter       objectSplitter
	scanned       int  // bytes of in that hold no end of the head
	headRead         bool // the head of the answer has come
	established       bool // and its first line
	outageLogged       bool // an agent that does not answer: the log tells so
	chunks      httpwire.ChunkReader
	timeout        eventloop.Deadline // of the present call, or of the next line
	timeoutExtended   bool               // due has been put off for bytes on their way
	deadline      time.Duration      // due at the latest

	random       *rand.Rand
	lastContact  time.Duration      // when the latest call began or the latest line came
	notBefore    time.Duration      // the earliest time of the next call, after one that failed
	nextCall         eventloop.Deadline // of the next call
	nextCallAt       time.Duration      // when that is; 0: not set
	failureReported bool               // the module was told of a failure and has not subscribed since
}

const (
	initialListTimeout    = time.Second // the first word of discovery is waited for so long
	watchConnectTimeout = time.Second
	watchCallTimeout    = 3 * time.Second // from the begin of a call to its first line: discovery handles calls in turn
	watchLineTimeout    = 3 * time.Second // between lines; one comes every 2 s at the latest
	watchPartTimeout    = time.Second     // between the parts of an answer that has begun, or of a line

	// The protocol counts a change as told notificationBound after discovery had it
	// and could be reached, whatever became of the calls meanwhile. Discovery may
	// come back just after it was last heard or called in vain: the next call
	// begins early enough for its answer to fit in, counted from that moment,
	// however long the module would wait.
	notificationBound = 6 * time.Second
	answerTimeout   = 2200 * time.Millisecond // calls are answered, or fail, after 2 s in turn; the rest is for the way
	maxReconnectDelay = notificationBound - answerTimeout
	minBackoff     = 100 * time.Millisecond // from a call that failed to the next, where settings allow less

	// Where lists are pushed, an agent on this machine has them. It answers at
	// once and at no cost, and what it has counts as told, watch or not: a call
	// that is not answered, and the pause to the next, must both fit into the
	// time that a drain leaves.
	agentCallFraction     = 4 // part of that time that a call may take
	agentBackoffFraction    = 8 // part of it from a call that failed to the next
	minAgentWait = 10 * time.Millisecond
)

// usesAgent tells whether lists come from an agent, which is called without the module's word.
func (w *watch) usesAgent() bool { return !w.registry.dispatcher.Settings.ListBySubscription }

// timeouts are how long a call may take to connect, and in all up to its first line.
func (w *watch) timeouts() (connect, call time.Duration) {
	if !w.usesAgent() {
		return watchConnectTimeout, watchCallTimeout
	}
	part := max(w.registry.dispatcher.Settings.DrainGrace/agentCallFraction, 2*minAgentWait)
	return part, part
}

// scheduleCall makes the next call at a time, or earlier where one is set for earlier.
func (w *watch) scheduleCall(at time.Duration) {
	if at <= w.registry.dispatcher.Loop.Now() {
		w.open()
		return
	}
	if w.nextCallAt == 0 || at < w.nextCallAt {
		w.nextCallAt = at
		w.registry.dispatcher.Loop.Set(&w.nextCall, at)
	}
}

// scheduleReconnect makes the next call within nextCallWithin of the last contact with
// discovery, unless the module asks for it earlier. The time is spread, since
// an outage ends the watches of all dispatchers at once.
func (w *watch) scheduleReconnect(lastContact time.Duration) {
	if w.calling || w.address == "" {
		return
	}
	now := w.registry.dispatcher.Loop.Now()
	left := max(lastContact+maxReconnectDelay-now, minBackoff)
	w.scheduleCall(now + left/2 + time.Duration(w.random.Int64N(int64(left/2))))
}

// onTimeout ends a call or a watch on which nothing has come in time. An answer may
// have come while the loop was late: it is waited for once more, and not again,
// since unread bytes need not make a whole line.
func (w *watch) onTimeout() {
	if w.conn != nil && !w.timeoutExtended && !w.conn.NothingUnread() {
		w.timeoutExtended = true
		w.registry.dispatcher.TraceStep("", "discovery's timeout extended", "age", w.registry.dispatcher.Loop.Now()-w.lastContact)
		w.registry.dispatcher.Loop.Set(&w.timeout, w.registry.dispatcher.Loop.Now()+minAgentWait)
		return
	}
	w.fail(errSilentWatch)
}

// errSilentWatch ends a call or a watch on which nothing has come in time.
var errSilentWatch = errors.New("silent")

// errWatchEnded ends one that discovery has ended.
var errWatchEnded = errors.New("the watch ended")

// errStatus tells whether discovery has answered that it has no list at present.
func errStatus(err error) bool {
	var status statusError
	return errors.As(err, &status)
}

// midLine tells whether a part of a line has come and its rest has not.
func (w *watch) midLine() bool { return w.splitter.depth > 0 || w.chunks.MidChunk() }

// open makes the call, in place of one that stands.
func (w *watch) open() {
	w.reset()
	if w.address == "" {
		return
	}
	w.calling = true
	generation := w.generation
	loop := w.registry.dispatcher.Loop
	w.lastContact = loop.Now()
	w.registry.dispatcher.TraceStep("", "discovery called", "version", w.version)
	connect, call := w.timeouts()
	w.deadline = w.lastContact + call
	loop.Set(&w.timeout, w.deadline)
	w.registry.engine.DialReserved(w.address, connect, w, func(c *transport.Conn, err error) {
		switch {
		case generation != w.generation:
			if c != nil {
				c.Close()
			}
		case err != nil:
			w.fail(err)
		default:
			w.conn = c
			request := []byte("GET /v1/servers?watch=1&after=" + strconv.FormatInt(w.version, 10) +
				" HTTP/1.1\r\nHost: " + w.address + "\r\n\r\n")
			w.registry.stats.BytesWritten += int64(len(request))
			c.Write(request)
		}
	})
}

// reset forgets the present call, and the time of the next.
func (w *watch) reset() {
	w.registry.dispatcher.Loop.Clear(&w.timeout)
	w.registry.dispatcher.Loop.Clear(&w.nextCall)
	w.registry.engine.Pool.Put(w.buffer)
	if w.conn != nil {
		w.conn.Close()
	}
	w.buffer, w.splitter, w.conn, w.calling, w.headRead, w.established, w.chunks, w.scanned = nil, objectSplitter{}, nil, false, false, false, httpwire.ChunkReader{}, 0
	w.nextCallAt, w.timeoutExtended = 0, false
	w.generation++
}

// fail ends a call that brought nothing, or a watch that broke. The module says
// when to ask again, within what the protocol leaves; an agent is called again
// at once, and the list known at the start then waits for its whole time.
func (w *watch) fail(why error) {
	lastContact, now := w.lastContact, w.registry.dispatcher.Loop.Now()
	failure := w.classifyFailure(why)
	w.reset()
	w.registry.tracker.Failed(now, failure)
	defer w.registry.Refresh()
	if !w.usesAgent() {
		w.registry.dispatcher.Log("discovery: " + why.Error())
		w.notBefore = now + minBackoff
		w.registry.publishInitial(nil)
		w.reportFailure()
		if failure == freshness.BrokenOff { // it is there, and the bound runs
			w.scheduleCall(w.notBefore)
			return
		}
		w.scheduleReconnect(lastContact)
		return
	}
	if !w.outageLogged {
		w.outageLogged = true // an outage has one line in the log, not one for each call
		w.registry.dispatcher.Log("discovery: " + why.Error())
	}
	w.scheduleCall(now + max(w.registry.dispatcher.Settings.DrainGrace/agentBackoffFraction, minAgentWait))
}

// reportFailure tells the module that a call failed, unless it has yet to ask again
// after an earlier one: each word of it sets a timer of its own, which cannot be
// withdrawn, and calls would become more and more.
func (w *watch) reportFailure() {
	if !w.failureReported {
		w.failureReported = true
		w.registry.dispatcher.UpdateWorkers(w.registry.client, decision.ListFailed, nil)
	}
}

// OnClosed is told that discovery ended the call.
func (w *watch) OnClosed(c *transport.Conn, _ error) {
	if c == w.conn {
		w.fail(errWatchEnded)
	}
}

// OnData takes in what discovery sent.
func (w *watch) OnData(c *transport.Conn, b *transport.Buffer) {
	if c != w.conn {
		w.registry.engine.Pool.Put(b)
		return
	}
	defer w.registry.engine.Pool.Put(b)
	w.registry.stats.BytesRead += int64(len(b.Bytes()))
	if w.registry.dispatcher.Trace != nil {
		w.registry.dispatcher.TraceStep("", "discovery's bytes", "bytes", len(b.Bytes()))
	}
	for w.conn == c && len(b.Bytes()) > 0 {
		if w.buffer == nil {
			w.buffer = w.registry.engine.Pool.Get()
		}
		n := w.buffer.Fill(b.Bytes())
		b.Consume(n)
		err := w.readAnswer()
		if err == nil && n == 0 {
			err = httpwire.ErrMalformed // no room for the end of what is a line at the most
		}
		if err != nil && w.conn == c {
			w.fail(err)
			return
		}
	}
	w.limitPartialAnswer()
}

// limitPartialAnswer gives up an answer whose rest is long in coming, so that calls that
// break off leave time for others within the bound.
func (w *watch) limitPartialAnswer() {
	if w.conn == nil || !w.headRead || w.established && !w.midLine() {
		return
	}
	w.registry.dispatcher.Loop.Set(&w.timeout, min(w.deadline, w.registry.dispatcher.Loop.Now()+watchPartTimeout))
}

func (w *watch) readAnswer() error {
	if !w.headRead {
		var h httpwire.Head
		ok, err := httpwire.ParseHead(w.buffer.Bytes(), &h, &w.scanned)
		if !ok {
			return err
		}
		if status, _ := h.Status(); status != httpwire.StatusOK {
			return statusError(status)
		}
		if !h.HasToken("Transfer-Encoding", "chunked") {
			return httpwire.ErrMalformed
		}
		w.headRead = true
		w.buffer.Consume(h.Size)
	}
	for conn := w.conn; w.conn == conn; {
		data, used, err := w.chunks.Next(w.buffer.Bytes())
		if err != nil {
			return err
		}
		if w.chunks.Done() {
			return errWatchEnded
		}
		if used == 0 {
			return nil
		}
		if err := w.readLines(data); err != nil {
			return err
		}
		if w.conn == conn {
			w.buffer.Consume(used)
		}
	}
	return nil
}

func (w *watch) readLines(data []byte) error {
	for conn := w.conn; len(data) > 0 && w.conn == conn; {
		object, used, whole, err := w.splitter.next(data)
		if err != nil {
			return err
		}
		if data = data[used:]; !whole {
			continue
		}
		if err := w.readLine(object); err != nil {
			return err
		}
	}
	return nil
}

// readLine takes in one readLine: the list, changes, or a readLine that only shows liveness.
func (w *watch) readLine(text []byte) (err error) {
	loop := w.registry.dispatcher.Loop
	w.lastContact = loop.Now()
	w.deadline = w.lastContact + watchLineTimeout
	loop.Set(&w.timeout, w.deadline)
	defer func() {
		if err == nil { // what cannot be read tells nothing
			w.registry.sourceHeard()
		}
	}()
	first := !w.established
	w.established, w.outageLogged, w.timeoutExtended = true, false, false
	if len(text) == 0 && w.registry.initialEntries != nil {
		w.registry.publishInitial(nil)
		return nil
	}
	if len(text) == 0 {
		if first { // nothing has changed; but the call did not fail, and the module waits for word of it
			w.registry.dispatcher.UpdateWorkers(w.registry.client, decision.ListDelta, nil)
		}
		return nil
	}
	var list endpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	entries, err := w.registry.parseAndAdopt(list.Endpoints)
	if err != nil {
		return err
	}
	w.registry.dispatcher.TraceStep("", "discovery's version", "version", list.Version, "after", w.version, "snapshot", list.Snapshot, "entries", len(entries))
	kind := decision.ListDelta
	if list.Snapshot {
		kind = decision.ListSnapshot
		w.registry.removeUnlisted(entries)
	}
	w.version = list.Version
	if w.registry.OnUpdate != nil {
		defer w.registry.OnUpdate()
	}
	if w.registry.initialEntries != nil && !list.Snapshot {
		w.registry.publishInitial(entries)
		return nil
	}
	w.registry.initialEntries = nil
	w.registry.dispatcher.Loop.Clear(&w.registry.initialTimeout)
	w.registry.dispatcher.UpdateWorkers(w.registry.client, kind, entries)
	return nil
}
