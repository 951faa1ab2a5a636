package discovery

import "errors"

// objectSplitter takes a stream of JSON objects apart, however their bytes come: over
// several lines or several on one, in one piece or many. Line ends between them
// are pieces of their own. That an object is well formed is for its reader to say.
type objectSplitter struct {
	part   []byte // of an object that has begun
	depth  int
	quoted bool // inside a string
	masked bool // behind a backslash there
}

const (
	maxObjectBytes          = 4 << 20  // bytes of an object; a list of ten thousand backends has a third of it
	keptObjectCapacity = 64 << 10 // bytes that are kept for the next one
)

var errObject = errors.New("no JSON object, or one of over 4 MB")

// next takes from the start of data up to the end of an object, which it
// returns, or up to a line end outside of one, for which the piece is empty. It
// is valid until the next call. whole false: more must come first.
func (o *objectSplitter) next(data []byte) (piece []byte, used int, whole bool, err error) {
	if o.depth == 0 {
		if o.part = o.part[:0]; cap(o.part) > keptObjectCapacity {
			o.part = nil
		}
	}
	from := 0 // where the object at hand begins, or goes on
	for i, c := range data {
		switch {
		case o.masked:
			o.masked = false
		case o.quoted:
			o.masked, o.quoted = c == '\\', c != '"'
		case o.depth == 0 && c == '\n':
			return nil, i + 1, true, nil
		case c == ' ' || c == '\t' || c == '\r':
		case c == '{' || c == '[' && o.depth > 0:
			if o.depth == 0 {
				from = i
			}
			o.depth++
		case o.depth == 0:
			return nil, 0, false, errObject
		case c == '"':
			o.quoted = true
		case c == '}' || c == ']':
			if o.depth--; o.depth == 0 {
				o.part = append(o.part, data[from:i+1]...)
				return o.part, i + 1, true, nil
			}
		}
	}
	if o.depth > 0 {
		o.part = append(o.part, data[from:]...)
	}
	if len(o.part) > maxObjectBytes {
		return nil, 0, false, errObject
	}
	return nil, len(data), false, nil
}
