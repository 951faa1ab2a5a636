package handover

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

const (
	idsDelay      = 10 * time.Millisecond // request ids accepted within it are sent together
	maxIDsPerLine = 2000                  // so that a line fits in the peer's buffer

	// maxLineBytes bounds a line: an endpoint list takes some 250 bytes a worker.
	maxLineBytes = 16 << 20

	// lineStart begins every message.
	lineStart = '{'
)

// Link is the connection with the peer process. It belongs to the loop's goroutine.
type Link struct {
	engine    *transport.Engine
	conn      *transport.Conn
	input     []byte // what has arrived and is not handled yet
	scanned   int    // bytes of input that hold no end of a line
	onMessage func(Message)
	onLost    func()
	ids       []byte // accepted request ids that have not been sent yet
	idsTimer  eventloop.Deadline
}

// NewLink returns the handler of a connection with the peer process. onMessage is
// called for each message, in their order. onLost is called once: when the connection
// has ended, or when a line is too long or no message. Both are called on the loop.
func NewLink(engine *transport.Engine, conn *transport.Conn, onMessage func(Message), onLost func()) *Link {
	link := &Link{engine: engine, conn: conn, onMessage: onMessage, onLost: onLost}
	link.idsTimer.Fire = link.flushIDs
	return link
}

// Send sends a message. One to a process that has ended is lost.
func (l *Link) Send(m Message) {
	text, err := json.Marshal(m)
	if err != nil {
		return // no message holds anything that JSON cannot express
	}
	l.conn.Write(append(text, '\n'))
}

// SendAccepted sends a hashed request id, within idsDelay.
func (l *Link) SendAccepted(id uint64) {
	if len(l.ids) == 0 {
		l.engine.Loop.Set(&l.idsTimer, l.engine.Loop.Now()+idsDelay)
	}
	l.ids = binary.LittleEndian.AppendUint64(l.ids, id)
}

// SendIDs sends hashed request ids at once.
func (l *Link) SendIDs(ids []uint64) {
	for _, id := range ids {
		l.SendAccepted(id)
	}
	l.flushIDs()
}

// flushIDs sends the request ids that wait.
func (l *Link) flushIDs() {
	for len(l.ids) > 0 {
		n := min(len(l.ids), idSize*maxIDsPerLine)
		l.Send(Message{IDs: base64.StdEncoding.EncodeToString(l.ids[:n])})
		l.ids = l.ids[n:]
	}
}

// Close ends the link; onLost is not called.
func (l *Link) Close() {
	l.release()
	l.conn.Close()
}

// release gives back what the link holds. No callback is called after it.
func (l *Link) release() {
	l.engine.Loop.Clear(&l.idsTimer)
	l.input = nil
	l.scanned = 0
	l.ids = nil
	l.onMessage = func(Message) {}
	l.onLost = func() {}
}

// OnClosed is called when the peer process has ended the connection.
func (l *Link) OnClosed(*transport.Conn, error) {
	onLost := l.onLost
	l.release()
	onLost()
}

// fail closes a link on which something arrived that is no message.
func (l *Link) fail() {
	onLost := l.onLost
	l.Close()
	onLost()
}

// OnData handles the messages that are complete. It owns b.
func (l *Link) OnData(_ *transport.Conn, b *transport.Buffer) {
	l.input = append(l.input, b.Bytes()...)
	l.engine.Pool.Put(b)
	for len(l.input) > 0 { // a callback may close the link
		line, found := l.nextLine()
		if !found {
			return
		}
		var m Message
		if err := json.Unmarshal(line, &m); err != nil {
			l.fail()
			return
		}
		l.consume(len(line) + 1)
		l.onMessage(m)
	}
}

// nextLine returns the first line without its end. Where none is complete, it returns
// false, and fails if what has arrived is too long or cannot become a message.
func (l *Link) nextLine() ([]byte, bool) {
	end := bytes.IndexByte(l.input[l.scanned:], '\n')
	if end >= 0 {
		return l.input[:l.scanned+end], true
	}
	l.scanned = len(l.input)
	if l.input[0] != lineStart || l.scanned > maxLineBytes {
		l.fail()
	}
	return nil, false
}

// consume drops n bytes of input, and the memory of a long line.
func (l *Link) consume(n int) {
	rest := l.input[n:]
	l.input = append(l.input[:0], rest...)
	if cap(l.input) > transport.BufferSize && len(l.input) == 0 {
		l.input = nil
	}
	l.scanned = 0
}
