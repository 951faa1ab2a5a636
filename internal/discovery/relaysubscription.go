package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// This file owns the subscription to one server of changes: the call that catches
// up, the watch from there on, and the calls that acknowledge. It must never take
// a version for newer than the server has told.

// mostLine is how long one object of a watch may be on its way. Guards against a
// server that goes on sending and never ends it.
const mostLine = time.Minute

var (
	errLine     = errors.New("an object of the watch does not end")
	errWatchEnd = errors.New("the watch ended")

	// errBaseMismatch ends a watch whose server goes on from a state that is not the
	// one in force here. A new call tells it which one is.
	errBaseMismatch = errors.New("a delta does not fit the version in force")
)

// subscription is what stands with one server.
type subscription struct {
	follower *follower
	server   membership.Server
	promise  time.Duration // no other attempt begins beside this one until then

	pollConn   httpConn // catches up and acknowledges
	calling bool
	asked   membership.Version // that the last call told
	body    responseBody
	failed  int // calls in a row

	watchConn    httpConn
	endedAt  membership.Version // that the server had told when it last ended the watch in order
	watchDue bool               // it did so during a call, and is called again after that
	text     objectSplitter
	began    time.Duration      // when the object at hand began; 0: none has
	version  membership.Version // the newest that the server has told here

	// ignoresVersion tells that the server answers calls with its whole list, whatever
	// version they tell: to acknowledge there would cost a snapshot each time.
	ignoresVersion bool
}

// start makes the call that catches up.
func (t *subscription) start() {
	set := t.follower.registry
	t.pollConn = httpConn{registry: set, address: t.server.Address, fields: "Accept-Encoding: gzip\r\n",
		body: t.gather, progress: t.receives, connected: t.connected}
	t.watchConn = httpConn{registry: set, address: t.server.Address, body: t.lines, progress: t.watching, connected: t.connected, done: t.watchEnded}
	t.call(t.follower.resumeVersion(), t.caughtUp)
}

func (t *subscription) close() {
	t.pollConn.close()
	t.watchConn.close()
}

func (t *subscription) now() time.Duration { return t.follower.registry.dispatcher.Loop.Now() }

func (t *subscription) connected() { t.promise = t.now() + answerStagger }

// receiving tells whether an answer to the first call is coming in.
func (t *subscription) receiving() bool { return t.calling && t.pollConn.answer.headed }

func (t *subscription) receives() {
	if len(t.body.data) == 0 {
		t.promise = t.now() + receiveStagger
	}
}

// target is what a call or a watch asks for.
func (t *subscription) target(watch string, after membership.Version) string {
	return "/v1/servers?" + watch + "after=" + strconv.FormatInt(int64(after), 10) +
		"&name=" + url.QueryEscape(t.follower.config.Name)
}

// incomplete is what a call says where something is missing up to the version
// that it tells: only the version before that is in force.
func (t *subscription) incomplete(after membership.Version) string {
	resume := t.follower.completeThrough
	if resume >= after {
		return ""
	}
	return "&acked=" + strconv.FormatInt(int64(resume), 10) + "&fleet=1"
}

// call asks for what is newer than a version, which acknowledges that one.
func (t *subscription) call(after membership.Version, then func(c change, err error)) {
	t.calling = true
	t.asked = after
	t.pollConn.done = func(err error) {
		t.calling = false
		body := t.body
		t.body = responseBody{}
		var c change
		if err == nil {
			c, err = body.decode(t.pollConn.answer.gzipped)
			c.base = after
		}
		then(c, err)
	}
	t.pollConn.get(t.target("", after) + t.incomplete(after))
}

func (t *subscription) gather(piece []byte) error { return t.body.append(piece, t.pollConn.answer.left) }

// caughtUp takes in the first answer, and opens the watch behind it.
func (t *subscription) caughtUp(c change, err error) {
	f := t.follower
	if err == nil && c.version < f.version {
		err = fmt.Errorf("it is behind: version %d, and %d is in force here", c.version, f.version)
	}
	if err != nil {
		f.subscriptionFailed(t, err.Error())
		return
	}
	t.noteAfter(c)
	t.version = c.version
	if f.apply(c) == changeMismatched {
		f.subscriptionFailed(t, errBaseMismatch.Error())
		return
	}
	t.promise = t.now() + answerStagger
	t.watchConn.get(t.target("watch=1&", c.version))
	if t == f.active {
		f.acknowledgedVersion, f.acknowledgedAt = t.asked, t.now()
		f.scheduleAcknowledgement()
	}
}

// noteAfter notes a server that ignores the version that it is told.
func (t *subscription) noteAfter(c change) {
	t.ignoresVersion = t.ignoresVersion || t.asked > 0 && c.snapshot && c.version == t.asked
}

// acknowledged takes in the answer to an acknowledgement.
func (t *subscription) acknowledged(c change, err error) {
	f := t.follower
	if err != nil {
		if t.failed++; t.failed >= mostAckFailures || t.watchDue {
			f.subscriptionFailed(t, err.Error())
			return
		}
		f.scheduleAcknowledgement()
		return
	}
	t.failed = 0
	t.noteAfter(c)
	f.acknowledgedVersion = t.asked
	f.registry.stats.Acknowledged++
	f.apply(c)
	if t.watchDue {
		t.catchUpAgain()
		return
	}
	f.scheduleAcknowledgement()
}

// ---- The watch.

// watching is told that some of the watch has come.
func (t *subscription) watching() {
	if f := t.follower; f.active == nil && t.watchConn.answer.headed {
		f.activate(t)
	}
}

// watchEnded is told that the watch is over. A server ends it in order where a
// change is better had by a call, whose answer is compressed; one that has
// brought nothing newer since it last did so has failed.
func (t *subscription) watchEnded(err error) {
	if err == nil && t.version > t.endedAt {
		t.endedAt = t.version
		t.catchUpAgain()
		return
	}
	if err == nil {
		err = errWatchEnd
	}
	t.follower.subscriptionFailed(t, err.Error())
}

// catchUpAgain calls for what the watch has left out, after the call that is out,
// if any, and opens the watch behind it.
func (t *subscription) catchUpAgain() {
	if t.watchDue = t.calling; t.watchDue {
		return
	}
	t.call(t.follower.resumeVersion(), t.caughtUp)
}

// lines takes in a piece of the watch.
func (t *subscription) lines(data []byte) error {
	if t.watchConn.answer.gzipped {
		return errCoding
	}
	for len(data) > 0 {
		object, used, whole, err := t.text.next(data)
		if err != nil {
			return err
		}
		if data = data[used:]; !whole {
			break
		}
		t.began = 0
		if err := t.line(object); err != nil {
			return err
		}
	}
	now := t.now()
	switch {
	case t.text.depth == 0:
		t.began = 0
	case t.began == 0:
		t.began = now
	case now-t.began > mostLine:
		return errLine
	}
	return nil
}

// line takes in one line: a change, or an empty one that only shows liveness.
func (t *subscription) line(text []byte) error {
	f := t.follower
	if len(text) == 0 {
		f.registry.publishInitial(nil) // what is known is confirmed
	} else if err := t.change(text); err != nil {
		return err
	}
	if t != f.active && t.version >= f.version {
		f.activate(t)
	}
	return nil
}

func (t *subscription) change(text []byte) error {
	c, err := decodeChange(bytes.NewReader(text))
	if err != nil {
		return err
	}
	if c.version < t.version {
		return fmt.Errorf("version %d behind version %d on one watch", c.version, t.version)
	}
	c.base = t.version
	t.version = c.version
	if t.follower.apply(c) == changeMismatched {
		return errBaseMismatch
	}
	return nil
}
