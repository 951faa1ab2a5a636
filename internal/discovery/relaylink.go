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
	errConnectionClosed = errors.New("the connection ended")
)

// httpConn is a connection to a server of changes.
type httpConn struct {
	registry    *Registry
	address   string
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
	answer  responseReader
	due     eventloop.Deadline

	extended bool // due has been put off for bytes on their way
}

// get makes a call, on the connection that is there or on a new one.
func (l *httpConn) get(target string) {
	l.request = append(l.request[:0], "GET "...)
	l.request = append(append(l.request, target...), " HTTP/1.1\r\nHost: "...)
	l.request = append(append(l.request, l.address...), "\r\n"...)
	l.request = append(append(l.request, l.fields...), "\r\n"...)
	l.waiting = true
	if l.conn != nil {
		l.send()
		return
	}
	l.dial()
}

func (l *httpConn) dial() {
	l.turn++
	turn := l.turn
	l.kept = false
	l.due.Fire = l.onTimeout
	l.registry.dispatcher.Loop.Set(&l.due, l.registry.dispatcher.Loop.Now()+linkConnect+linkSilence)
	l.registry.engine.DialReserved(l.address, linkConnect, l, func(c *transport.Conn, err error) {
		switch {
		case turn != l.turn:
			if c != nil {
				c.Close()
			}
		case err != nil:
			if errors.Is(err, transport.ErrNoDescriptor) {
				l.registry.client.CloseAllIdle()
			}
			l.finish(err)
		default:
			l.conn = c
			l.connected()
			l.send()
		}
	})
}

func (l *httpConn) send() {
	l.extend()
	if !l.conn.Write(l.request) {
		l.broken(errConnectionClosed)
		return
	}
	l.registry.stats.BytesWritten += int64(len(l.request))
}

// extend gives the server time for its next bytes.
func (l *httpConn) extend() {
	l.extended = false
	l.registry.dispatcher.Loop.Set(&l.due, l.registry.dispatcher.Loop.Now()+linkSilence)
}

// onTimeout ends a call on which nothing has come in time. The server may have
// answered while the loop was late: that is waited for once more, and not again.
func (l *httpConn) onTimeout() {
	if l.conn != nil && !l.extended && !l.conn.NothingUnread() {
		l.extended = true
		l.registry.dispatcher.Loop.Set(&l.due, l.registry.dispatcher.Loop.Now()+minAgentWait)
		return
	}
	l.finish(errSilent)
}

// OnData takes in what the server sent.
func (l *httpConn) OnData(c *transport.Conn, b *transport.Buffer) {
	defer l.registry.engine.Pool.Put(b)
	if c != l.conn {
		return
	}
	l.registry.stats.BytesRead += int64(len(b.Bytes()))
	if !l.waiting { // nothing was asked: what comes is no answer to anything
		l.close()
		return
	}
	l.extend()
	ended, err := l.answer.feed(&l.registry.engine.Pool, b.Bytes(), l.body)
	switch {
	case err != nil || ended:
		l.finish(err)
	case l.conn == c:
		l.progress()
	}
}

// OnClosed is told that the server has closed, or the connection broke.
func (l *httpConn) OnClosed(c *transport.Conn, _ error) {
	if c == l.conn {
		l.broken(errConnectionClosed)
	}
}

// broken ends a call whose connection has gone, or makes it anew where that may
// have been dead for long.
func (l *httpConn) broken(err error) {
	again := l.waiting && l.kept && l.answer.in == nil
	if again {
		l.drop()
		l.dial()
		return
	}
	l.finish(err)
}

// finish ends the call. The connection is kept after a whole answer.
func (l *httpConn) finish(err error) {
	waiting, last := l.waiting, l.answer.last
	gzipped := l.answer.gzipped
	l.registry.dispatcher.Loop.Clear(&l.due)
	l.answer.reset(&l.registry.engine.Pool)
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
func (l *httpConn) drop() {
	l.registry.dispatcher.Loop.Clear(&l.due)
	l.answer.reset(&l.registry.engine.Pool)
	l.turn++
	if conn := l.conn; conn != nil {
		l.conn = nil
		conn.Close()
	}
}

// close ends the link; done is not called any more.
func (l *httpConn) close() {
	l.waiting = false
	l.drop()
}
