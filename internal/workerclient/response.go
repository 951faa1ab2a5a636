package workerclient

import (
	"bytes"
	"encoding/json"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file reads the answers of backends to attempts and probes. It must never
// take an answer for one that its request was not made for.

// OnData takes in what the backend sent.
func (l *connection) OnData(_ *transport.Conn, b *transport.Buffer) {
	if l.phase == resting { // nothing was asked: what comes is no answer to anything
		l.client.engine.Pool.Put(b)
		l.unlist()
		l.close()
		return
	}
	l.tellSent()
	if !l.collect(b) {
		l.broken()
		return
	}
	for more := true; more && !l.over && l.in != nil && l.at < len(l.in.Bytes()); {
		var err error
		if more, err = l.step(); err != nil {
			l.broken()
			return
		}
	}
	l.cut()
	if l.over && l.confirming {
		l.client.dispatcher.Loop.Clear(&l.due)
		l.last = l.last || l.in != nil
		l.answered()
		return
	}
	if l.over {
		l.last = l.last || l.in != nil || l.held // bytes behind the answer, or some of the request still here
		// Idle first, told then: the attempt that the module starts on this news finds the connection.
		l.client.dispatcher.Loop.Clear(&l.due)
		l.rest()
	}
	l.tell()
}

// collect adds data to the input buffer, taking it over where it can. It returns
// false where there is no room for it.
func (l *connection) collect(b *transport.Buffer) bool {
	if l.in == nil {
		l.in = b
		return true
	}
	ok := l.in.Append(b.Bytes())
	l.client.engine.Pool.Put(b)
	return ok
}

// tell tells the outcome that the answer held, if any.
func (l *connection) tell() {
	e := l.end
	if l.end = nil; e == nil {
		return
	}
	if l.held { // what is told as over must not begin now
		l.close()
	}
	if l.phase != resting && l.conn.Handle != 0 {
		l.client.dispatcher.Loop.Set(&l.due, l.client.dispatcher.Loop.Now()+clearTime)
	}
	l.settle(e.o, e.load, e.result)
}

// broken gives up a line whose bytes make no sense. The job may have run.
func (l *connection) broken() {
	l.close()
	l.tell()
	l.fail(decision.ConnectionLost)
}

// step takes one piece out of the input; false: more must come first.
func (l *connection) step() (bool, error) {
	in := l.in.Bytes()[l.at:]
	switch {
	case l.phase == waiting:
		var h httpwire.Head
		if ok, err := httpwire.ParseHead(in, &h, &l.seen); !ok {
			return false, err
		}
		l.seen = 0
		l.at += h.Size
		return true, l.head(&h)
	case l.chunked:
		data, used, err := l.chunk.Next(in)
		if err != nil || used == 0 {
			return false, err
		}
		err = l.body(data)
		l.at += used
		if l.chunk.Done() && err == nil {
			err = l.done()
		}
		return true, err
	default:
		n := len(in)
		if l.left >= 0 {
			n = min(n, l.left)
			l.left -= n
		}
		err := l.body(in[:n])
		l.at += n
		if l.left == 0 && err == nil {
			err = l.done()
		}
		return true, err
	}
}

// cut drops what has been taken in, once for all pieces of it: each cut moves
// all that is left.
func (l *connection) cut() {
	at := l.at
	if l.at = 0; l.in == nil {
		return
	}
	if l.in.Consume(at); len(l.in.Bytes()) == 0 {
		l.client.engine.Pool.Put(l.in)
		l.in = nil
	}
}

// head takes in the head of an answer. All but a 200 tell the outcome at once.
func (l *connection) head(h *httpwire.Head) error {
	status, ok := h.Status()
	if !ok {
		return httpwire.ErrMalformed
	}
	if status < 200 {
		return nil // an interim answer; the real one follows
	}
	length, chunked, err := h.Framing()
	if err != nil {
		return err
	}
	l.status, l.chunked, l.left, l.chunk = status, chunked, length, httpwire.ChunkReader{}
	l.last = h.HasToken("Connection", "close") || !chunked && length < 0
	l.phase = streaming
	if !l.probe && status != 200 {
		var load decision.LoadReport
		if v := h.Get("X-Backend-Load"); v != nil {
			load = settings.Load(&l.client.dispatcher.Settings, v)
		}
		o := decision.Failed // 500, and what the protocol does not name: it may have run
		if status >= 400 && status < 500 {
			o = decision.InvalidRequest
		}
		if (status == 503 || status == 504) && bytes.Equal(h.Get("X-Unprocessed"), []byte("1")) {
			o = decision.Saturated
		}
		l.end = &end{o, load, nil}
	}
	if length == 0 {
		return l.done()
	}
	return nil
}

// body takes in a piece of the body. Each line of a 200 is one object.
func (l *connection) body(data []byte) error {
	if l.probe {
		return l.keep(data)
	}
	if l.status != 200 || l.attempt == 0 || l.end != nil {
		return nil
	}
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			return l.keep(data)
		}
		text := data[:end]
		if l.text != nil {
			if err := l.keep(text); err != nil {
				return err
			}
			text = l.text.Bytes()
		}
		err := l.news(text)
		l.client.engine.Pool.Put(l.text)
		l.text = nil
		if err != nil || l.end != nil {
			return err
		}
		data = data[end+1:]
	}
	return nil
}

func (l *connection) keep(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if l.text == nil {
		l.text = l.client.engine.Pool.Get()
	}
	if !l.text.Append(data) {
		return httpwire.ErrBodyTooLong
	}
	return nil
}

// news takes in one object: the start, the progress or the end of a job.
func (l *connection) news(text []byte) error {
	if text = bytes.TrimSpace(text); len(text) == 0 {
		return nil
	}
	var n struct {
		ID     string          `json:"id"`
		State  string          `json:"state"`
		Share  float64         `json:"share"`
		Result json.RawMessage `json:"result"`
		Load   json.RawMessage `json:"load"`
	}
	if err := json.Unmarshal(text, &n); err != nil {
		return err
	}
	if n.ID != l.job.Request.ID {
		return httpwire.ErrMalformed // made for another req
	}
	var load decision.LoadReport
	if len(n.Load) > 0 {
		load = settings.Load(&l.client.dispatcher.Settings, n.Load)
	}
	switch n.State {
	case "started":
		l.client.dispatcher.AttemptStarted(l.attempt)
	case "running":
		l.client.dispatcher.AttemptProgressed(l.attempt, n.Share)
	case "done":
		result := []byte(n.Result)
		var plain string
		if json.Unmarshal(n.Result, &plain) == nil {
			result = []byte(plain)
		}
		l.end = &end{decision.Completed, load, result}
	case "failed":
		l.end = &end{decision.Failed, load, nil}
	case "returned":
		l.end = &end{decision.Saturated, load, nil}
	case "lost":
		l.end = &end{decision.ConnectionLost, load, nil}
	default:
		return httpwire.ErrMalformed
	}
	return nil
}

// done is told that the answer has ended. One without its last object is a reset.
func (l *connection) done() error {
	if l.probe {
		confirming := l.confirming
		l.probe = false
		l.client.dispatcher.Loop.Clear(&l.due)
		o, load := decision.Failed, decision.LoadReport{}
		if l.status == httpwire.StatusOK {
			o = decision.Completed
			if l.text != nil {
				load = settings.Load(&l.client.dispatcher.Settings, l.text.Bytes())
			}
		}
		l.over = true
		if !confirming {
			l.client.dispatcher.HealthChecked(l.worker.Name, o, load)
		}
		return nil
	}
	if l.text != nil && l.attempt != 0 && l.end == nil { // the last line may lack its line end
		if err := l.news(l.text.Bytes()); err != nil {
			return err
		}
	}
	if l.attempt != 0 && l.end == nil {
		l.end = &end{o: decision.ConnectionLost}
	}
	l.over = true
	return nil
}
