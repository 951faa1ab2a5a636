package discovery

import (
	"encoding/json"
	"errors"

	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// errCallReplaced stops the reading of a response if applying one of its lines has ended the call, as ChangeAddress
// does. It is never reported.
var errCallReplaced = errors.New("the call was ended by a line of its response")

// OnData implements transport.Handler: it parses the data that discovery has sent.
func (w *watch) OnData(conn *transport.Conn, received *transport.Buffer) {
	pool := &w.registry.engine.Pool
	defer pool.Put(received)
	if conn != w.conn {
		return
	}
	w.registry.stats.BytesRead += int64(len(received.Bytes()))
	if w.registry.dispatcher.Trace != nil {
		w.registry.dispatcher.TraceStep("", "discovery data received", "bytes", len(received.Bytes()))
	}
	err := w.response.feed(pool, received.Bytes(), w)
	if conn != w.conn {
		return
	}
	if err == nil && w.response.done {
		err = errWatchEnded
	}
	if err != nil {
		w.fail(err)
		return
	}
	w.limitPartialResponse()
}

// limitPartialResponse shortens the timeout while the response's first line or the rest of a line is outstanding, so that
// a call that breaks off leaves time for another one within the notification bound.
func (w *watch) limitPartialResponse() {
	if !w.response.headRead || w.established && !w.midLine() {
		return
	}
	loop := w.registry.dispatcher.Loop
	loop.Set(&w.timeout, min(w.deadline, loop.Now()+watchPartTimeout))
}

// midLine reports whether a line has begun and not ended.
func (w *watch) midLine() bool { return w.splitter.midObject() || w.response.chunks.MidChunk() }

// acceptHead implements responseConsumer: the response must be a stream with status 200.
func (w *watch) acceptHead(head *httpwire.Head) (bodyFraming, error) {
	if status, _ := head.Status(); status != httpwire.StatusOK {
		return bodyFraming{}, statusError(status)
	}
	if !head.HasToken("Transfer-Encoding", "chunked") {
		return bodyFraming{}, httpwire.ErrMalformed
	}
	return bodyFraming{chunked: true}, nil
}

// takeBody implements responseConsumer: it reads the lines that a piece of the stream completes.
func (w *watch) takeBody(piece []byte) error {
	conn := w.conn
	return w.splitter.split(piece, func(line []byte) error {
		err := w.readLine(line)
		if err == nil && w.conn != conn {
			return errCallReplaced
		}
		return err
	})
}

// readLine applies one line: a list, a change, or an empty line that only shows that discovery is alive. An invalid line
// does not confirm the list.
func (w *watch) readLine(text []byte) error {
	loop := w.registry.dispatcher.Loop
	w.lastContact = loop.Now()
	w.deadline = w.lastContact + watchLineTimeout
	loop.Set(&w.timeout, w.deadline)
	first := !w.established
	w.established = true
	w.outageLogged = false
	w.timeoutExtended = false
	if len(text) > 0 {
		if err := w.applyList(text); err != nil {
			return err
		}
	} else if first || w.registry.initial.withheld() {
		w.registry.publish(false, nil) // reports that nothing has changed, since the dispatcher waits for the result of a call
	}
	w.registry.sourceConfirmed()
	return nil
}

// applyList applies a list or change, unless any part of it is invalid.
func (w *watch) applyList(text []byte) error {
	var list endpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	entries, err := w.registry.parseAndAdopt(list.Endpoints)
	if err != nil {
		return err
	}
	w.registry.dispatcher.TraceStep("", "endpoint list received",
		"version", list.Version, "after", w.version, "snapshot", list.Snapshot, "entries", len(entries))
	w.version = list.Version
	w.registry.publish(list.Snapshot, entries)
	w.registry.notifyUpdate()
	return nil
}
