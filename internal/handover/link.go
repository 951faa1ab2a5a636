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
	idsBatchDelay = 10 * time.Millisecond // ids of requests accepted within this time are sent together
	maxIDsPerLine = 2000                  // with this limit a line fits into one buffer of the peer

	// maxLineBytes limits the length of a line, and so the memory that it takes. An endpoint
	// list takes some 250 bytes for each worker.
	maxLineBytes = 16 << 20

	// lineStart is the first byte of every message.
	lineStart = '{'
)

// Link is the connection to the peer process. It is used only on the loop's goroutine.
type Link struct {
	engine    *transport.Engine
	conn      *transport.Conn
	input     []byte // received bytes that are not handled yet
	scanned   int    // number of bytes at the start of input that are known to hold no newline
	onMessage func(Message)
	onLost    func()
	ids       []byte // accepted request ids that have not been sent yet
	idsTimer  eventloop.Deadline
}

// NewLink returns the handler of a connection to the peer process. onMessage is called for
// each message, in the order in which they were sent. onLost is called once: when the peer
// has closed the connection, or when a line is too long or is not a message. Both are called
// on the loop.
func NewLink(engine *transport.Engine, conn *transport.Conn, onMessage func(Message), onLost func()) *Link {
	link := &Link{engine: engine, conn: conn, onMessage: onMessage, onLost: onLost}
	link.idsTimer.Fire = link.flushIDs
	return link
}

// Send sends a message. If the peer process has ended, the message is lost without an error.
func (l *Link) Send(m Message) {
	text, err := json.Marshal(m)
	if err != nil {
		return // cannot happen: every value of a message can be encoded as JSON
	}
	l.conn.Write(append(text, '\n'))
}

// SendAccepted sends the hashed id of an accepted request within idsBatchDelay, together with
// others.
func (l *Link) SendAccepted(id uint64) {
	if len(l.ids) == 0 {
		l.engine.Loop.Set(&l.idsTimer, l.engine.Loop.Now()+idsBatchDelay)
	}
	l.ids = binary.LittleEndian.AppendUint64(l.ids, id)
}

// SendIDs sends hashed request ids without delay, together with those that still wait.
func (l *Link) SendIDs(ids []uint64) {
	for _, id := range ids {
		l.SendAccepted(id)
	}
	l.flushIDs()
}

// flushIDs sends the request ids that have not been sent yet.
func (l *Link) flushIDs() {
	for len(l.ids) > 0 {
		n := min(len(l.ids), idSize*maxIDsPerLine)
		l.Send(Message{IDs: base64.StdEncoding.EncodeToString(l.ids[:n])})
		l.ids = l.ids[n:]
	}
}

// Close closes the connection. onLost is not called.
func (l *Link) Close() {
	l.release()
	l.conn.Close()
}

// release clears the timer, the buffers and the callbacks of the link. onMessage and onLost
// are not called afterwards.
func (l *Link) release() {
	l.engine.Loop.Clear(&l.idsTimer)
	l.input = nil
	l.scanned = 0
	l.ids = nil
	l.onMessage = func(Message) {}
	l.onLost = func() {}
}

// OnClosed is called when the peer process has closed the connection.
func (l *Link) OnClosed(*transport.Conn, error) {
	onLost := l.onLost
	l.release()
	onLost()
}

// fail closes the link after an invalid message, and calls onLost.
func (l *Link) fail() {
	onLost := l.onLost
	l.Close()
	onLost()
}

// OnData handles all messages that are complete. It takes ownership of b.
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

// nextLine returns the first line without its newline. If no line is complete it returns
// false, and it closes the link if the received bytes are too long or do not begin as a
// message does.
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

// consume removes the first n bytes of input. If input is then empty and its buffer has
// grown for a long line, the buffer is freed.
func (l *Link) consume(n int) {
	rest := l.input[n:]
	l.input = append(l.input[:0], rest...)
	if cap(l.input) > transport.BufferSize && len(l.input) == 0 {
		l.input = nil
	}
	l.scanned = 0
}
