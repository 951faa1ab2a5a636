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
	w.awaitsModule = false
	if now := s.dispatcher.Loop.Now(); !w.out && s.follower == nil {
		w.callBy(max(now, w.notBefore))
	}
}

// SetAddress sets where discovery is before the first call.
func (s *Registry) SetAddress(addr string) { s.watch.addr = addr }

// MoveTo goes on with discovery at another address, at once. What the former one
// has listed stands, and so does every attempt; the watch goes on where it was.
func (s *Registry) MoveTo(addr string) {
	s.watch.addr = addr
	if s.follower == nil {
		s.watch.open()
	}
}

// Ready tells whether the module has a list that has been good for something:
// discovery's, or the known one after its time.
func (s *Registry) Ready() bool { return s.initial == nil && s.Usable() }

// Usable tells whether what is listed has been good enough to send by since the start.
func (s *Registry) Usable() bool {
	s.Refresh()
	return s.usable
}

// watch is the one open call to discovery, or the wait for the module to ask for it again.
type watch struct {
	set        *Registry
	addr       string
	seq        int64
	generation int  // counts the calls, so that what an earlier one brings is ignored
	out        bool // a call is out
	conn       *transport.Conn
	in         *transport.Buffer
	text       objectSplitter
	seen       int  // bytes of in that hold no end of the head
	ok         bool // the head of the answer has come
	live       bool // and its first line
	mute       bool // an agent that does not answer: the log tells so
	chunk      httpwire.ChunkReader
	due        eventloop.Deadline // of the present call, or of the next line
	extended   bool               // due has been put off for bytes on their way
	limit      time.Duration      // due at the latest

	random       *rand.Rand
	lastContact  time.Duration      // when the latest call began or the latest line came
	notBefore    time.Duration      // the earliest time of the next call, after one that failed
	next         eventloop.Deadline // of the next call
	nextAt       time.Duration      // when that is; 0: not set
	awaitsModule bool               // the module was told of a failure and has not subscribed since
}

const (
	freshList    = time.Second // the first word of discovery is waited for so long
	watchConnect = time.Second
	watchCall    = 3 * time.Second // from the begin of a call to its first line: discovery handles calls in turn
	watchLine    = 3 * time.Second // between lines; one comes every 2 s at the latest
	watchPart    = time.Second     // between the parts of an answer that has begun, or of a line

	// The protocol counts a change as told notifiedWithin after discovery had it
	// and could be reached, whatever became of the calls meanwhile. Discovery may
	// come back just after it was last heard or called in vain: the next call
	// begins early enough for its answer to fit in, counted from that moment,
	// however long the module would wait.
	notifiedWithin = 6 * time.Second
	answerWithin   = 2200 * time.Millisecond // calls are answered, or fail, after 2 s in turn; the rest is for the way
	nextCallWithin = notifiedWithin - answerWithin
	leastPause     = 100 * time.Millisecond // from a call that failed to the next, where settings allow less

	// Where lists are pushed, an agent on this machine has them. It answers at
	// once and at no cost, and what it has counts as told, watch or not: a call
	// that is not answered, and the pause to the next, must both fit into the
	// time that a drain leaves.
	agentCalls     = 4 // part of that time that a call may take
	agentPauses    = 8 // part of it from a call that failed to the next
	leastAgentWait = 10 * time.Millisecond
)

// pushed tells whether lists come from an agent, which is called without the module's word.
func (w *watch) pushed() bool { return !w.set.dispatcher.Settings.ListBySubscription }

// timeouts are how long a call may take to connect, and in all up to its first line.
func (w *watch) timeouts() (connect, call time.Duration) {
	if !w.pushed() {
		return watchConnect, watchCall
	}
	part := max(w.set.dispatcher.Settings.DrainGrace/agentCalls, 2*leastAgentWait)
	return part, part
}

// callBy makes the next call at a time, or earlier where one is set for earlier.
func (w *watch) callBy(at time.Duration) {
	if at <= w.set.dispatcher.Loop.Now() {
		w.open()
		return
	}
	if w.nextAt == 0 || at < w.nextAt {
		w.nextAt = at
		w.set.dispatcher.Loop.Set(&w.next, at)
	}
}

// callInTime makes the next call within nextCallWithin of the last contact with
// discovery, unless the module asks for it earlier. The time is spread, since
// an outage ends the watches of all dispatchers at once.
func (w *watch) callInTime(lastContact time.Duration) {
	if w.out || w.addr == "" {
		return
	}
	now := w.set.dispatcher.Loop.Now()
	left := max(lastContact+nextCallWithin-now, leastPause)
	w.callBy(now + left/2 + time.Duration(w.random.Int64N(int64(left/2))))
}

// expire ends a call or a watch on which nothing has come in time. An answer may
// have come while the loop was late: it is waited for once more, and not again,
// since unread bytes need not make a whole line.
func (w *watch) expire() {
	if w.conn != nil && !w.extended && !w.conn.NothingUnread() {
		w.extended = true
		w.set.dispatcher.TraceStep("", "discovery's timeout extended", "age", w.set.dispatcher.Loop.Now()-w.lastContact)
		w.set.dispatcher.Loop.Set(&w.due, w.set.dispatcher.Loop.Now()+leastAgentWait)
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
func (w *watch) midLine() bool { return w.text.depth > 0 || w.chunk.MidChunk() }

// open makes the call, in place of one that stands.
func (w *watch) open() {
	w.drop()
	if w.addr == "" {
		return
	}
	w.out = true
	generation := w.generation
	loop := w.set.dispatcher.Loop
	w.lastContact = loop.Now()
	w.set.dispatcher.TraceStep("", "discovery called", "version", w.seq)
	connect, call := w.timeouts()
	w.limit = w.lastContact + call
	loop.Set(&w.due, w.limit)
	w.set.engine.DialReserved(w.addr, connect, w, func(c *transport.Conn, err error) {
		switch {
		case generation != w.generation:
			if c != nil {
				c.Close()
			}
		case err != nil:
			w.fail(err)
		default:
			w.conn = c
			request := []byte("GET /v1/servers?watch=1&after=" + strconv.FormatInt(w.seq, 10) +
				" HTTP/1.1\r\nHost: " + w.addr + "\r\n\r\n")
			w.set.stats.BytesWritten += int64(len(request))
			c.Write(request)
		}
	})
}

// drop forgets the present call, and the time of the next.
func (w *watch) drop() {
	w.set.dispatcher.Loop.Clear(&w.due)
	w.set.dispatcher.Loop.Clear(&w.next)
	w.set.engine.Pool.Put(w.in)
	if w.conn != nil {
		w.conn.Close()
	}
	w.in, w.text, w.conn, w.out, w.ok, w.live, w.chunk, w.seen = nil, objectSplitter{}, nil, false, false, false, httpwire.ChunkReader{}, 0
	w.nextAt, w.extended = 0, false
	w.generation++
}

// fail ends a call that brought nothing, or a watch that broke. The module says
// when to ask again, within what the protocol leaves; an agent is called again
// at once, and the list known at the start then waits for its whole time.
func (w *watch) fail(why error) {
	lastContact, now := w.lastContact, w.set.dispatcher.Loop.Now()
	failure := w.failure(why)
	w.drop()
	w.set.age.Failed(now, failure)
	defer w.set.Refresh()
	if !w.pushed() {
		w.set.dispatcher.Log("discovery: " + why.Error())
		w.notBefore = now + leastPause
		w.set.publishInitial(nil)
		w.tellModule()
		if failure == freshness.BrokenOff { // it is there, and the bound runs
			w.callBy(w.notBefore)
			return
		}
		w.callInTime(lastContact)
		return
	}
	if !w.mute {
		w.mute = true // an outage has one line in the log, not one for each call
		w.set.dispatcher.Log("discovery: " + why.Error())
	}
	w.callBy(now + max(w.set.dispatcher.Settings.DrainGrace/agentPauses, leastAgentWait))
}

// tellModule tells the module that a call failed, unless it has yet to ask again
// after an earlier one: each word of it sets a timer of its own, which cannot be
// withdrawn, and calls would become more and more.
func (w *watch) tellModule() {
	if !w.awaitsModule {
		w.awaitsModule = true
		w.set.dispatcher.UpdateWorkers(w.set.client, decision.ListFailed, nil)
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
		w.set.engine.Pool.Put(b)
		return
	}
	defer w.set.engine.Pool.Put(b)
	w.set.stats.BytesRead += int64(len(b.Bytes()))
	if w.set.dispatcher.Trace != nil {
		w.set.dispatcher.TraceStep("", "discovery's bytes", "bytes", len(b.Bytes()))
	}
	for w.conn == c && len(b.Bytes()) > 0 {
		if w.in == nil {
			w.in = w.set.engine.Pool.Get()
		}
		n := w.in.Fill(b.Bytes())
		b.Consume(n)
		err := w.read()
		if err == nil && n == 0 {
			err = httpwire.ErrMalformed // no room for the end of what is a line at the most
		}
		if err != nil && w.conn == c {
			w.fail(err)
			return
		}
	}
	w.boundPart()
}

// boundPart gives up an answer whose rest is long in coming, so that calls that
// break off leave time for others within the bound.
func (w *watch) boundPart() {
	if w.conn == nil || !w.ok || w.live && !w.midLine() {
		return
	}
	w.set.dispatcher.Loop.Set(&w.due, min(w.limit, w.set.dispatcher.Loop.Now()+watchPart))
}

func (w *watch) read() error {
	if !w.ok {
		var h httpwire.Head
		ok, err := httpwire.ParseHead(w.in.Bytes(), &h, &w.seen)
		if !ok {
			return err
		}
		if status, _ := h.Status(); status != httpwire.StatusOK {
			return statusError(status)
		}
		if !h.HasToken("Transfer-Encoding", "chunked") {
			return httpwire.ErrMalformed
		}
		w.ok = true
		w.in.Consume(h.Size)
	}
	for conn := w.conn; w.conn == conn; {
		data, used, err := w.chunk.Next(w.in.Bytes())
		if err != nil {
			return err
		}
		if w.chunk.Done() {
			return errWatchEnded
		}
		if used == 0 {
			return nil
		}
		if err := w.lines(data); err != nil {
			return err
		}
		if w.conn == conn {
			w.in.Consume(used)
		}
	}
	return nil
}

func (w *watch) lines(data []byte) error {
	for conn := w.conn; len(data) > 0 && w.conn == conn; {
		object, used, whole, err := w.text.next(data)
		if err != nil {
			return err
		}
		if data = data[used:]; !whole {
			continue
		}
		if err := w.line(object); err != nil {
			return err
		}
	}
	return nil
}

// line takes in one line: the list, changes, or a line that only shows liveness.
func (w *watch) line(text []byte) (err error) {
	loop := w.set.dispatcher.Loop
	w.lastContact = loop.Now()
	w.limit = w.lastContact + watchLine
	loop.Set(&w.due, w.limit)
	defer func() {
		if err == nil { // what cannot be read tells nothing
			w.set.sourceHeard()
		}
	}()
	first := !w.live
	w.live, w.mute, w.extended = true, false, false
	if len(text) == 0 && w.set.initial != nil {
		w.set.publishInitial(nil)
		return nil
	}
	if len(text) == 0 {
		if first { // nothing has changed; but the call did not fail, and the module waits for word of it
			w.set.dispatcher.UpdateWorkers(w.set.client, decision.ListDelta, nil)
		}
		return nil
	}
	var list endpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	entries, err := w.set.parseAndAdopt(list.Hosts)
	if err != nil {
		return err
	}
	w.set.dispatcher.TraceStep("", "discovery's version", "version", list.Seq, "after", w.seq, "snapshot", list.Whole, "entries", len(entries))
	kind := decision.ListDelta
	if list.Whole {
		kind = decision.ListSnapshot
		w.set.removeUnlisted(entries)
	}
	w.seq = list.Seq
	if w.set.OnUpdate != nil {
		defer w.set.OnUpdate()
	}
	if w.set.initial != nil && !list.Whole {
		w.set.publishInitial(entries)
		return nil
	}
	w.set.initial = nil
	w.set.dispatcher.Loop.Clear(&w.set.initialDue)
	w.set.dispatcher.UpdateWorkers(w.set.client, kind, entries)
	return nil
}
