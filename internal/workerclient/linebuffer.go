package workerclient

import (
	"hollyyoke.example/hollyyoke/internal/httpwire"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// lineBuffer holds a line of a body until all of it has come.
type lineBuffer struct {
	pool  *transport.Pool
	start *transport.Buffer // the part that has come; nil: none
}

// add adds a part of the line. It returns an error if the line becomes too long.
func (l *lineBuffer) add(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if l.start == nil {
		l.start = l.pool.Get()
	}
	if !l.start.Append(part) {
		return httpwire.ErrBodyTooLong
	}
	return nil
}

// empty reports whether nothing of a line has come.
func (l *lineBuffer) empty() bool { return l.start == nil }

// bytes returns the part that has come, nil if there is none.
func (l *lineBuffer) bytes() []byte {
	if l.start == nil {
		return nil
	}
	return l.start.Bytes()
}

// free returns the buffer to its pool.
func (l *lineBuffer) free() {
	l.pool.Put(l.start)
	l.start = nil
}
