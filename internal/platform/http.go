// Package platform speaks the platform's protocol: client sessions on one
// side, attempts from backends and the discovery watch on the other, all
// HTTP/1.1 over plain TCP. It translates; it must never decide where a req
// goes, whether one is repeated, or when one is refused.
package platform

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"hollyyoke.example/hollyyoke/internal/transport"
)

// This file owns the HTTP/1.1 parser. It works on bytes alone, keeps no state
// between calls but a chunk reader's, and must never panic on any input.

const (
	maxHead   = 6 << 10  // longest head, request line and fields
	maxBody   = 64 << 10 // longest body
	maxFields = 64
)

var (
	errMalformed = errors.New("malformed HTTP")
	errHead      = errors.New("head too long")
	errBody      = errors.New("body too long")
	errSlow      = errors.New("the request did not come in time")
	errMemory    = errors.New("too many requests are half sent")
	errEnding    = errors.New("the dispatcher is ending")
	errCaps      = errors.New("too many requests of this address are half sent")
)

// field is one header field; its parts lie in the buffer that was parsed.
type field struct{ name, value []byte }

// head is a request's or an answer's head.
type head struct {
	a, b, c []byte // method, target, version; or version, status, reason
	fields  [maxFields]field
	n       int
	size    int // bytes, the blank line included
}

// get returns the value of a field, nil if there is none.
func (h *head) get(name string) []byte {
	for i := range h.fields[:h.n] {
		if f := &h.fields[i]; equalFold(f.name, name) {
			return f.value
		}
	}
	return nil
}

// count is how often a field is there.
func (h *head) count(name string) (n int) {
	for i := range h.fields[:h.n] {
		if equalFold(h.fields[i].name, name) {
			n++
		}
	}
	return n
}

func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(s[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// has tells whether a field's comma-separated list holds a word.
func (h *head) has(name, word string) bool {
	for i := range h.fields[:h.n] {
		if f := &h.fields[i]; equalFold(f.name, name) {
			for part := range bytes.SplitSeq(f.value, []byte(",")) {
				if equalFold(bytes.TrimSpace(part), word) {
					return true
				}
			}
		}
	}
	return false
}

// parseHead parses a head at the start of b; false without an error: it is not
// all there yet, and what has been looked at in vain is not looked at again.
func parseHead(b []byte, h *head, seen *int) (bool, error) {
	from := max(*seen-3, 0)
	end := bytes.Index(b[from:], []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > maxHead {
			return false, errHead
		}
		if *seen > 0 && b[*seen-1] == '\r' { // its line feed may be there by now
			*seen--
		}
		if bareLineEnd(b[*seen:]) { // guards against waiting for the end of a head that can have none
			return false, errMalformed
		}
		*seen = len(b)
		return false, nil
	}
	end += from
	if end > maxHead {
		return false, errHead
	}
	*h = head{size: end + 4}
	line, rest, _ := bytes.Cut(b[:end], []byte("\r\n"))
	var ok1, ok2 bool
	if h.a, h.b, ok1 = bytes.Cut(line, []byte(" ")); ok1 {
		h.b, h.c, ok2 = bytes.Cut(h.b, []byte(" "))
	}
	if len(h.a) == 0 || len(h.b) == 0 || bytes.ContainsAny(line, "\r\n\x00") {
		return false, errMalformed
	}
	if !ok2 && !bytes.HasPrefix(h.a, []byte("HTTP/")) { // an answer may lack its reason
		return false, errMalformed
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || h.n == maxFields || !isToken(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return false, errMalformed
		}
		h.fields[h.n] = field{name, bytes.TrimSpace(value)}
		h.n++
	}
	return true, nil
}

// bareLineEnd tells whether a CR or LF stands alone, the last byte aside.
func bareLineEnd(b []byte) bool {
	for i := 0; ; i += 2 {
		n := bytes.IndexByte(b[i:], '\n')
		r := bytes.IndexByte(b[i:], '\r')
		if n < 0 && (r < 0 || i+r == len(b)-1) {
			return false
		}
		if r < 0 || n != r+1 {
			return true
		}
		i += r
	}
}

// isID tells whether a name of a req can go into a field as it is.
func isID(b []byte) bool {
	for _, c := range b {
		if c = lower(c); !('a' <= c && c <= 'z' || '0' <= c && c <= '9') && bytes.IndexByte([]byte("-._:~+/=@"), c) < 0 {
			return false
		}
	}
	return len(b) > 0 && len(b) <= 128
}

// isTarget tells whether a request's target is a path that can be passed on as it is.
func isTarget(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(b) > 0 && b[0] == '/'
}

func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// framing tells how long the body is: a length, chunked, or neither (-1).
func (h *head) framing() (length int, chunked bool, err error) {
	length = -1
	for i := range h.fields[:h.n] {
		f := &h.fields[i]
		switch {
		case equalFold(f.name, "Content-Length"):
			n, ok := number(f.value)
			if !ok || length >= 0 {
				return 0, false, errMalformed
			}
			length = n
		case equalFold(f.name, "Transfer-Encoding"):
			if !equalFold(f.value, "chunked") || chunked {
				return 0, false, errMalformed
			}
			chunked = true
		}
	}
	if chunked && length >= 0 { // two lengths: one peer would see another message than the other
		return 0, false, errMalformed
	}
	return length, chunked, nil
}

// number reads a decimal number of digits alone.
func number(b []byte) (n int, ok bool) {
	if len(b) == 0 || len(b) > 12 {
		return 0, false
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// chunks reads a chunked body piece by piece.
type chunks struct {
	left    int  // bytes of the present chunk still to come
	trailer bool // the last chunk has come
	crlf    bool // the line end behind a chunk is due
	done    bool
}

const maxChunkLine = 128

// next takes what it can from the start of b: a piece of data, or frame bytes
// alone. used 0 without an error: more is needed.
func (c *chunks) next(b []byte) (data []byte, used int, err error) {
	if c.left > 0 && !c.done {
		n := min(c.left, len(b))
		if c.left -= n; c.left == 0 {
			c.crlf = true
		}
		return b[:n], n, nil
	}
	if c.done {
		return nil, 0, nil
	}
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > maxChunkLine || c.crlf && len(b) >= 2 {
			return nil, 0, errMalformed
		}
		return nil, 0, nil
	}
	line := b[:end]
	if bytes.ContainsAny(line, "\r\n") { // where one ends, the peer must agree
		return nil, 0, errMalformed
	}
	switch {
	case c.crlf:
		if end != 0 {
			return nil, 0, errMalformed
		}
		c.crlf = false
	case c.trailer:
		c.done = end == 0
	default:
		size, _, _ := bytes.Cut(line, []byte(";"))
		size = bytes.TrimRight(size, " \t")
		n, err := strconv.ParseUint(string(size), 16, 31)
		if err != nil || len(size) == 0 {
			return nil, 0, errMalformed
		}
		c.left, c.trailer = int(n), n == 0
	}
	return nil, end + 2, nil
}

// message is one whole request or answer in a buffer.
type message struct {
	head
	body []byte
	size int // bytes that it takes in the buffer
}

// scan is how far a request has been looked at. Guards against looking at all of
// it again for every byte that trickles in.
type scan struct {
	head       int // bytes that hold no end of the head
	need       int // bytes that the request has, where its head told
	chunked    bool
	chunk      chunks
	at, length int // of a chunked body
}

// parseRequest parses a request at the start of b; false without an error: it
// is not all there yet, and sc goes with it to the next call. A chunked body is
// put together in place. early tells that the head is there and asks for word
// before the body is sent.
func parseRequest(b []byte, m *message, sc *scan) (ok, early bool, err error) {
	if len(b) < sc.need {
		return false, false, nil
	}
	if sc.chunked {
		if done, err := sc.chunks(b); !done {
			return false, false, err
		}
	}
	if ok, err = parseHead(b, &m.head, &sc.head); !ok {
		return false, false, err
	}
	if v := string(m.c); v != "HTTP/1.1" && v != "HTTP/1.0" || !isToken(m.a) || !isTarget(m.b) {
		return false, false, errMalformed
	}
	for _, name := range []string{"X-Correlation-Id", "X-Time-Left-Ms", "Idempotency-Key"} {
		if m.count(name) > 1 { // which one counts, others may see otherwise
			return false, false, errMalformed
		}
	}
	length, chunked, err := m.framing()
	if err != nil {
		return false, false, err
	}
	if length > maxBody {
		return false, false, errBody
	}
	m.body, m.size = nil, m.head.size
	if chunked {
		return parseChunked(b, m, sc)
	}
	length = max(length, 0)
	if sc.need = m.size + length; len(b) < sc.need {
		return false, len(b) == m.size && m.has("Expect", "100-continue"), nil
	}
	m.body = b[m.size : m.size+length]
	m.size += length
	return true, false, nil
}

// chunks looks at the body on from where it has stopped.
func (sc *scan) chunks(b []byte) (done bool, err error) {
	for !sc.chunk.done {
		data, used, err := sc.chunk.next(b[sc.at:])
		if err != nil {
			return false, err
		}
		if sc.length += len(data); sc.length > maxBody {
			return false, errBody
		}
		if used == 0 {
			return false, nil
		}
		sc.at += used
	}
	return true, nil
}

func parseChunked(b []byte, m *message, sc *scan) (ok, early bool, err error) {
	if !sc.chunked {
		sc.chunked, sc.at = true, m.size
	}
	if done, err := sc.chunks(b); !done {
		return false, len(b) == m.size && m.has("Expect", "100-continue"), err
	}
	var c chunks
	start := m.size
	at := start
	w := start
	for !c.done { // it is whole now, so nothing fails any more
		data, used, _ := c.next(b[at:])
		w += copy(b[w:], data)
		at += used
	}
	m.body, m.size = b[start:w], at
	return true, false, nil
}

// statusText words the statuses that fronts answer with.
var statusText = map[int]string{
	200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 422: "Unprocessable Content",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway", 503: "Service Unavailable",
}

// StatusOf is the status that answers what could not be understood, or not be kept.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, errBody):
		return 413
	case errors.Is(err, errHead):
		return 431
	case errors.Is(err, errSlow):
		return 408
	case errors.Is(err, errMemory), errors.Is(err, errCaps), errors.Is(err, errEnding):
		return 503
	}
	return 400
}

// objects takes a stream of JSON objects apart, however their bytes come: over
// several lines or several on one, in one piece or many. Line ends between them
// are pieces of their own. That an object is well formed is for its reader to say.
type objects struct {
	part   []byte // of an object that has begun
	depth  int
	quoted bool // inside a string
	masked bool // behind a backslash there
}

const (
	mostObject = 4 << 20  // bytes of an object; a list of ten thousand backends has a third of it
	keepObject = 64 << 10 // bytes that are kept for the next one
)

var errObject = errors.New("no JSON object, or one of over 4 MB")

// next takes from the start of data up to the end of an object, which it
// returns, or up to a line end outside of one, for which the piece is empty. It
// is valid until the next call. whole false: more must come first.
func (o *objects) next(data []byte) (piece []byte, used int, whole bool, err error) {
	if o.depth == 0 {
		if o.part = o.part[:0]; cap(o.part) > keepObject {
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
	if len(o.part) > mostObject {
		return nil, 0, false, errObject
	}
	return nil, len(data), false, nil
}

// Call is one whole request as another front needs it.
type Call struct{ Method, Path, Query string }

// CallReader reads one call, however its bytes come.
type CallReader struct{ sc scan }

// Read reads the call at the start of b, which holds all that has come so far;
// false without an error: it is not all there yet.
func (r *CallReader) Read(b []byte) (Call, bool, error) {
	var m message
	ok, _, err := parseRequest(b, &m, &r.sc)
	if !ok || err != nil {
		return Call{}, false, err
	}
	path, query, _ := bytes.Cut(m.b, []byte("?"))
	return Call{string(m.a), string(path), string(query)}, true, nil
}

// AppendAnswer appends a whole answer to out. retryAfter is told if it is positive.
func AppendAnswer(out []byte, status int, body []byte, retryAfter time.Duration, last bool, fields string) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, statusText[status]...)
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	if retryAfter > 0 {
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendFloat(out, retryAfter.Seconds(), 'f', 3, 64)
	}
	if last {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(out, "\r\n"...)
	out = append(out, fields...)
	out = append(out, "\r\n"...)
	return append(out, body...)
}

// collect adds data to the buffer of a session, taking it over where it can.
// False: there is no room for it.
func collect(pool *transport.Pool, in **transport.Buffer, b *transport.Buffer) bool {
	if *in == nil {
		*in = b
		return true
	}
	ok := (*in).Append(b.Bytes())
	pool.Put(b)
	return ok
}
