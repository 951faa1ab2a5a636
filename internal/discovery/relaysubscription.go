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

	// errMisfitted ends a watch whose server goes on from a state that is not the
	// one in force here. A new call tells it which one is.
	errMisfitted = errors.New("a delta does not fit the version in force")
)

// subscription is what stands with one server.
type subscription struct {
	follower *follower
	server   membership.Server
	promise  time.Duration // no other attempt begins beside this one until then

	calls   link // catches up and acknowledges
	calling bool
	asked   membership.Version // that the last call told
	body    gathered
	failed  int // calls in a row

	watch    link
	endedAt  membership.Version // that the server had told when it last ended the watch in order
	watchDue bool               // it did so during a call, and is called again after that
	text     objectSplitter
	began    time.Duration      // when the object at hand began; 0: none has
	version  membership.Version // the newest that the server has told here

	// ignoresAfter tells that the server answers calls with its whole list, whatever
	// version they tell: to acknowledge there would cost a snapshot each time.
	ignoresAfter bool
}

// start makes the call that catches up.
func (t *subscription) start() {
	set := t.follower.set
	t.calls = link{set: set, addr: t.server.Address, fields: "Accept-Encoding: gzip\r\n",
		body: t.gather, progress: t.receives, connected: t.connected}
	t.watch = link{set: set, addr: t.server.Address, body: t.lines, progress: t.watching, connected: t.connected, done: t.watchEnded}
	t.call(t.follower.after(), t.caughtUp)
}

func (t *subscription) close() {
	t.calls.close()
	t.watch.close()
}

func (t *subscription) now() time.Duration { return t.follower.set.dispatcher.Loop.Now() }

func (t *subscription) connected() { t.promise = t.now() + answerStagger }

// receiving tells whether an answer to the first call is coming in.
func (t *subscription) receiving() bool { return t.calling && t.calls.answer.headed }

func (t *subscription) receives() {
	if len(t.body.bytes) == 0 {
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
	resume := t.follower.resume
	if resume >= after {
		return ""
	}
	return "&acked=" + strconv.FormatInt(int64(resume), 10) + "&fleet=1"
}

// call asks for what is newer than a version, which acknowledges that one.
func (t *subscription) call(after membership.Version, then func(c change, err error)) {
	t.calling = true
	t.asked = after
	t.calls.done = func(err error) {
		t.calling = false
		body := t.body
		t.body = gathered{}
		var c change
		if err == nil {
			c, err = body.decode(t.calls.answer.gzipped)
			c.base = after
		}
		then(c, err)
	}
	t.calls.get(t.target("", after) + t.incomplete(after))
}

func (t *subscription) gather(piece []byte) error { return t.body.add(piece, t.calls.answer.left) }

// caughtUp takes in the first answer, and opens the watch behind it.
func (t *subscription) caughtUp(c change, err error) {
	f := t.follower
	if err == nil && c.version < f.version {
		err = fmt.Errorf("it is behind: version %d, and %d is in force here", c.version, f.version)
	}
	if err != nil {
		f.failed(t, err.Error())
		return
	}
	t.noteAfter(c)
	t.version = c.version
	if f.apply(c) == misfitted {
		f.failed(t, errMisfitted.Error())
		return
	}
	t.promise = t.now() + answerStagger
	t.watch.get(t.target("watch=1&", c.version))
	if t == f.current {
		f.acknowledged, f.calledAt = t.asked, t.now()
		f.scheduleAcknowledgement()
	}
}

// noteAfter notes a server that ignores the version that it is told.
func (t *subscription) noteAfter(c change) {
	t.ignoresAfter = t.ignoresAfter || t.asked > 0 && c.whole && c.version == t.asked
}

// acknowledged takes in the answer to an acknowledgement.
func (t *subscription) acknowledged(c change, err error) {
	f := t.follower
	if err != nil {
		if t.failed++; t.failed >= mostAckFailures || t.watchDue {
			f.failed(t, err.Error())
			return
		}
		f.scheduleAcknowledgement()
		return
	}
	t.failed = 0
	t.noteAfter(c)
	f.acknowledged = t.asked
	f.set.stats.Acknowledged++
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
	if f := t.follower; f.current == nil && t.watch.answer.headed {
		f.use(t)
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
	t.follower.failed(t, err.Error())
}

// catchUpAgain calls for what the watch has left out, after the call that is out,
// if any, and opens the watch behind it.
func (t *subscription) catchUpAgain() {
	if t.watchDue = t.calling; t.watchDue {
		return
	}
	t.call(t.follower.after(), t.caughtUp)
}

// lines takes in a piece of the watch.
func (t *subscription) lines(data []byte) error {
	if t.watch.answer.gzipped {
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
		f.set.publishInitial(nil) // what is known is confirmed
	} else if err := t.change(text); err != nil {
		return err
	}
	if t != f.current && t.version >= f.version {
		f.use(t)
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
	if t.follower.apply(c) == misfitted {
		return errMisfitted
	}
	return nil
}
