package workerclient

import (
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// lineBuffer holds the received part of a body line until the line is complete.
type lineBuffer struct {
	pool    *transport.Pool
	partial *transport.Buffer // nil if no byte of a line is buffered
}

// add adds a part of the line. It returns an error if the line becomes too long.
func (l *lineBuffer) add(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if l.partial == nil {
		l.partial = l.pool.Get()
	}
	if !l.partial.Append(part) {
		return httpwire.ErrBodyTooLong
	}
	return nil
}

// empty reports whether no byte of a line is buffered.
func (l *lineBuffer) empty() bool { return l.partial == nil }

// bytes returns the buffered part of the line, or nil if there is none.
func (l *lineBuffer) bytes() []byte {
	if l.partial == nil {
		return nil
	}
	return l.partial.Bytes()
}

// free returns the buffer to its pool.
func (l *lineBuffer) free() {
	l.pool.Put(l.partial)
	l.partial = nil
}
