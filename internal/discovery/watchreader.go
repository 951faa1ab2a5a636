package discovery

import (
	"encoding/json"

	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// OnData implements transport.Handler: it reads what discovery has sent.
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
	for w.conn == conn && len(received.Bytes()) > 0 {
		if w.buffer == nil {
			w.buffer = pool.Get()
		}
		copied := w.buffer.Fill(received.Bytes())
		received.Consume(copied)
		err := w.readAnswer()
		if err == nil && copied == 0 {
			err = httpwire.ErrMalformed // the buffer is full of a line of the framing that does not end
		}
		if err != nil && w.conn == conn {
			w.fail(err)
			return
		}
	}
	w.limitPartialAnswer()
}

// limitPartialAnswer shortens the timeout while a part of an answer is outstanding, so that a call that breaks off
// leaves time for another one within the notification bound.
func (w *watch) limitPartialAnswer() {
	if w.conn == nil || !w.headRead || w.established && !w.midLine() {
		return
	}
	loop := w.registry.dispatcher.Loop
	loop.Set(&w.timeout, min(w.deadline, loop.Now()+watchPartTimeout))
}

// midLine reports whether a line has begun and not ended.
func (w *watch) midLine() bool { return w.splitter.midObject() || w.chunks.MidChunk() }

// readAnswer reads what the buffer holds of the answer: its head, then the chunks of the stream.
func (w *watch) readAnswer() error {
	if !w.headRead {
		complete, err := w.readHead()
		if err != nil || !complete {
			return err
		}
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
		if w.conn == conn { // else the buffer belonged to a call that a line has ended
			w.buffer.Consume(used)
		}
	}
	return nil
}

// readHead reads the head of the answer. complete is false if more bytes must come first.
func (w *watch) readHead() (complete bool, err error) {
	var head httpwire.Head
	complete, err = httpwire.ParseHead(w.buffer.Bytes(), &head, &w.scanned)
	if !complete {
		return false, err
	}
	if status, _ := head.Status(); status != httpwire.StatusOK {
		return false, statusError(status)
	}
	if !head.HasToken("Transfer-Encoding", "chunked") {
		return false, httpwire.ErrMalformed
	}
	w.headRead = true
	w.buffer.Consume(head.Size)
	return true, nil
}

// readLines reads the lines that data completes.
func (w *watch) readLines(data []byte) error {
	for conn := w.conn; len(data) > 0 && w.conn == conn; {
		object, used, complete, err := w.splitter.next(data)
		if err != nil {
			return err
		}
		data = data[used:]
		if !complete {
			continue
		}
		if err := w.readLine(object); err != nil {
			return err
		}
	}
	return nil
}

// readLine applies one line: a list, a change, or an empty line that only shows that discovery is alive. A line that
// is wrong does not renew the list.
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
	} else if first || w.registry.initialEntries != nil {
		w.registry.publish(false, nil) // nothing has changed, which the dispatcher waits for after a call
	}
	w.registry.sourceConfirmed()
	return nil
}

// applyList applies a list or change, unless any of it is wrong.
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
