package discovery

import (
	"errors"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns a connection to a server of changes, which carries one call at
// a time and is kept for the next one. It must never take bytes that nobody has
// asked for as an answer, nor end a call while bytes of its answer are here.

const (
	linkConnect = time.Second
	linkSilence = 3 * time.Second // longest time without a byte of an answer; a watch has one every 2 s
)

var (
	errSilent    = errors.New("silent")
	errEndedLink = errors.New("the connection ended")
)

// link is a connection to a server of changes.
type link struct {
	set    *Registry
	addr   string
	fields string // header fields of a request

	connected func()                   // a connection is there
	progress  func()                   // some of an answer has come
	body      func(piece []byte) error // takes a piece of the answer's body
	done      func(err error)          // the answer has ended, or never will

	conn    *transport.Conn
	turn    int // counts the connections, so that what a former one brings is passed over
	request []byte
	waiting bool // for an answer, or for the rest of it
	kept    bool // the connection has carried an answer before: it may be dead unseen
	answer  answerReader
	due     eventloop.Deadline

	extended bool // due has been put off for bytes on their way
}

// get makes a call, on the connection that is there or on a new one.
func (l *link) get(target string) {
	l.request = append(l.request[:0], "GET "...)
	l.request = append(append(l.request, target...), " HTTP/1.1\r\nHost: "...)
	l.request = append(append(l.request, l.addr...), "\r\n"...)
	l.request = append(append(l.request, l.fields...), "\r\n"...)
	l.waiting = true
	if l.conn != nil {
		l.send()
		return
	}
	l.dial()
}

func (l *link) dial() {
	l.turn++
	turn := l.turn
	l.kept = false
	l.due.Fire = l.expire
	l.set.dispatcher.Loop.Set(&l.due, l.set.dispatcher.Loop.Now()+linkConnect+linkSilence)
	l.set.engine.DialReserved(l.addr, linkConnect, l, func(c *transport.Conn, err error) {
		switch {
		case turn != l.turn:
			if c != nil {
				c.Close()
			}
		case err != nil:
			if errors.Is(err, transport.ErrNoDescriptor) {
				l.set.client.CloseAllIdle()
			}
			l.finish(err)
		default:
			l.conn = c
			l.connected()
			l.send()
		}
	})
}

func (l *link) send() {
	l.extend()
	if !l.conn.Write(l.request) {
		l.broken(errEndedLink)
		return
	}
	l.set.stats.BytesWritten += int64(len(l.request))
}

// extend gives the server time for its next bytes.
func (l *link) extend() {
	l.extended = false
	l.set.dispatcher.Loop.Set(&l.due, l.set.dispatcher.Loop.Now()+linkSilence)
}

// expire ends a call on which nothing has come in time. The server may have
// answered while the loop was late: that is waited for once more, and not again.
func (l *link) expire() {
	if l.conn != nil && !l.extended && !l.conn.NothingUnread() {
		l.extended = true
		l.set.dispatcher.Loop.Set(&l.due, l.set.dispatcher.Loop.Now()+leastAgentWait)
		return
	}
	l.finish(errSilent)
}

// OnData takes in what the server sent.
func (l *link) OnData(c *transport.Conn, b *transport.Buffer) {
	defer l.set.engine.Pool.Put(b)
	if c != l.conn {
		return
	}
	l.set.stats.BytesRead += int64(len(b.Bytes()))
	if !l.waiting { // nothing was asked: what comes is no answer to anything
		l.close()
		return
	}
	l.extend()
	ended, err := l.answer.feed(&l.set.engine.Pool, b.Bytes(), l.body)
	switch {
	case err != nil || ended:
		l.finish(err)
	case l.conn == c:
		l.progress()
	}
}

// OnClosed is told that the server has closed, or the connection broke.
func (l *link) OnClosed(c *transport.Conn, _ error) {
	if c == l.conn {
		l.broken(errEndedLink)
	}
}

// broken ends a call whose connection has gone, or makes it anew where that may
// have been dead for long.
func (l *link) broken(err error) {
	again := l.waiting && l.kept && l.answer.in == nil
	if again {
		l.drop()
		l.dial()
		return
	}
	l.finish(err)
}

// finish ends the call. The connection is kept after a whole answer.
func (l *link) finish(err error) {
	waiting, last := l.waiting, l.answer.last
	gzipped := l.answer.gzipped
	l.set.dispatcher.Loop.Clear(&l.due)
	l.answer.reset(&l.set.engine.Pool)
	l.answer.gzipped = gzipped // for whoever reads the body
	l.waiting, l.kept = false, true
	if err != nil || last {
		l.drop()
	}
	if waiting {
		l.done(err)
	}
}

// drop forgets the connection.
func (l *link) drop() {
	l.set.dispatcher.Loop.Clear(&l.due)
	l.answer.reset(&l.set.engine.Pool)
	l.turn++
	if conn := l.conn; conn != nil {
		l.conn = nil
		conn.Close()
	}
}

// close ends the link; done is not called any more.
func (l *link) close() {
	l.waiting = false
	l.drop()
}
