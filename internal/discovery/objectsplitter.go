package discovery

import "errors"

const (
	maxObjectBytes      = 4 << 20  // in one object; a list of ten thousand workers takes a third of it
	maxRetainedCapacity = 64 << 10 // largest buffer, in bytes, that is kept for the next object
)

var errInvalidObject = errors.New("not a JSON object, or one of over 4 MB")

// stringTracker finds which bytes of a JSON text belong to a string.
type stringTracker struct {
	inString bool
	escaped  bool // the previous byte was a backslash inside a string
}

// inside reports whether c, the next byte, belongs to a string that has begun; the closing quote does. The caller sets
// inString at an opening quote.
func (s *stringTracker) inside(c byte) bool {
	if s.escaped {
		s.escaped = false
		return true
	}
	if !s.inString {
		return false
	}
	s.escaped = c == '\\'
	s.inString = c != '"'
	return true
}

// objectSplitter splits a stream into JSON objects. An object may span several lines and reads, and a line may contain
// several objects. It also reports the line ends between objects, which a server sends to show that it is alive. It does
// not check that an object is well-formed.
type objectSplitter struct {
	partial []byte // the beginning of an object whose end has not arrived
	depth   int    // nesting depth of objects and arrays; 0 between objects
	text    stringTracker
}

// split calls onObject with each object that data completes, and with an empty one for each line end between objects.
// An object is valid only during its call. An error of onObject is returned at once, and nothing more is read.
func (o *objectSplitter) split(data []byte, onObject func(object []byte) error) error {
	for len(data) > 0 {
		object, used, complete, err := o.next(data)
		if err != nil {
			return err
		}
		data = data[used:]
		if !complete {
			return nil
		}
		if err := onObject(object); err != nil {
			return err
		}
	}
	return nil
}

// next takes bytes from the start of data up to the end of an object, which it returns, or up to a line end between
// objects, for which it returns an empty object. The object is valid until the next call. used is the number of bytes
// taken. complete is false if data ends before either; all of data is taken in that case.
func (o *objectSplitter) next(data []byte) (object []byte, used int, complete bool, err error) {
	if o.depth == 0 {
		o.discard()
	}
	start := 0 // where the object's bytes begin in data
	for i, c := range data {
		switch {
		case o.text.inside(c):
		case o.depth == 0 && c == '\n':
			return nil, i + 1, true, nil
		case c == ' ' || c == '\t' || c == '\r':
		case c == '{' || c == '[' && o.depth > 0:
			if o.depth == 0 {
				start = i
			}
			o.depth++
		case o.depth == 0:
			return nil, 0, false, errInvalidObject
		case c == '"':
			o.text.inString = true
		case c == '}' || c == ']':
			o.depth--
			if o.depth == 0 {
				o.partial = append(o.partial, data[start:i+1]...)
				return o.partial, i + 1, true, nil
			}
		}
	}
	if o.depth > 0 {
		o.partial = append(o.partial, data[start:]...)
	}
	if len(o.partial) > maxObjectBytes {
		return nil, 0, false, errInvalidObject
	}
	return nil, len(data), false, nil
}

// discard empties the buffer for the next object, and frees it if it is large.
func (o *objectSplitter) discard() {
	o.partial = o.partial[:0]
	if cap(o.partial) > maxRetainedCapacity {
		o.partial = nil
	}
}

// midObject reports whether an object has begun and not ended.
func (o *objectSplitter) midObject() bool { return o.depth > 0 }
