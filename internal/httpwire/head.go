// Package httpwire parses and writes HTTP/1.1 messages for the front end, the worker client, discovery and the
// admin API. It works on bytes that its callers hold, keeps no connection and no goroutine, and must never
// panic on any input. Slices that it returns lie in the buffer that was parsed and are valid as long as that is.
package httpwire

import (
	"bytes"
	"errors"
)

// Bounds of a message.
const (
	maxHead   = 6 << 10  // bytes of a head: its start line and fields
	maxBody   = 64 << 10 // bytes of a request's body
	maxFields = 64
)

// Errors of messages that cannot be read. Nothing behind such a message on its connection can be understood.
var (
	// ErrMalformed is returned for a message that is not HTTP/1.x, or whose end is in doubt.
	ErrMalformed = errors.New("malformed HTTP")
	// ErrHeadTooLong is returned for a head of more than maxHead bytes.
	ErrHeadTooLong = errors.New("head too long")
	// ErrBodyTooLong is returned for a body of more than maxBody bytes.
	ErrBodyTooLong = errors.New("body too long")
)

// headerField is one header field. Its parts lie in the buffer that was parsed.
type headerField struct{ name, value []byte }

// Head is the head of a request or of a response.
type Head struct {
	Size int // bytes, the blank line included

	first, second, third []byte // of a request: method, target, version; of a response: version, status, reason
	fields               [maxFields]headerField
	fieldCount           int
}

// Method returns the method of a request.
func (h *Head) Method() []byte { return h.first }

// Target returns the target of a request: its path and query.
func (h *Head) Target() []byte { return h.second }

// Version returns the protocol version of a request, such as HTTP/1.1.
func (h *Head) Version() []byte { return h.third }

// Status returns the status code of a response. It is not valid if there is none, or if this is no HTTP/1 response.
func (h *Head) Status() (code int, valid bool) {
	code, valid = ParseNumber(h.second)
	return code, valid && bytes.HasPrefix(h.first, []byte("HTTP/1."))
}

// Get returns the value of a field, nil if there is none.
func (h *Head) Get(name string) []byte {
	for i := range h.fields[:h.fieldCount] {
		if EqualFold(h.fields[i].name, name) {
			return h.fields[i].value
		}
	}
	return nil
}

// Count returns how often a field occurs.
func (h *Head) Count(name string) int {
	count := 0
	for i := range h.fields[:h.fieldCount] {
		if EqualFold(h.fields[i].name, name) {
			count++
		}
	}
	return count
}

// HasToken reports whether the comma-separated list in a field holds a token.
func (h *Head) HasToken(name, token string) bool {
	for i := range h.fields[:h.fieldCount] {
		if EqualFold(h.fields[i].name, name) && listHasToken(h.fields[i].value, token) {
			return true
		}
	}
	return false
}

// listHasToken reports whether a comma-separated list holds a token.
func listHasToken(list []byte, token string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if EqualFold(bytes.TrimSpace(part), token) {
			return true
		}
	}
	return false
}

// Framing returns how the body ends: after length bytes, with its last chunk, or, with length -1 and not chunked,
// as neither field says. Two lengths are an error: one peer would see another message than the other.
func (h *Head) Framing() (length int, chunked bool, err error) {
	length = -1
	for i := range h.fields[:h.fieldCount] {
		field := &h.fields[i]
		switch {
		case EqualFold(field.name, "Content-Length"):
			number, ok := ParseNumber(field.value)
			if !ok || length >= 0 {
				return 0, false, ErrMalformed
			}
			length = number
		case EqualFold(field.name, "Transfer-Encoding"):
			if !EqualFold(field.value, "chunked") || chunked {
				return 0, false, ErrMalformed
			}
			chunked = true
		}
	}
	if chunked && length >= 0 {
		return 0, false, ErrMalformed
	}
	return length, chunked, nil
}

// ParseHead parses a head at the start of b. It returns false without an error while b holds only a part of it.
// scanned is the number of bytes of b in which no end was found; it starts at 0 and goes with b from
// call to call, so that bytes which trickle in are searched once.
func ParseHead(b []byte, head *Head, scanned *int) (complete bool, err error) {
	const end = "\r\n\r\n"
	from := max(*scanned-(len(end)-1), 0)
	index := bytes.Index(b[from:], []byte(end))
	if index < 0 {
		return false, scanPartialHead(b, scanned)
	}
	index += from
	if index > maxHead {
		return false, ErrHeadTooLong
	}
	*head = Head{Size: index + len(end)}
	startLine, fields, _ := bytes.Cut(b[:index], []byte("\r\n"))
	if err := head.parseStartLine(startLine); err != nil {
		return false, err
	}
	if err := head.parseHeaderFields(fields); err != nil {
		return false, err
	}
	return true, nil
}

// scanPartialHead checks the part of a head that is there. Without the check for bare line ends a head that can
// have no end would be awaited.
func scanPartialHead(b []byte, scanned *int) error {
	if len(b) > maxHead {
		return ErrHeadTooLong
	}
	if *scanned > 0 && b[*scanned-1] == '\r' { // its line feed may be there by now
		*scanned--
	}
	if hasBareLineEnd(b[*scanned:]) {
		return ErrMalformed
	}
	*scanned = len(b)
	return nil
}

// parseStartLine parses a request line or a status line.
func (h *Head) parseStartLine(line []byte) error {
	first, rest, hasSecond := bytes.Cut(line, []byte(" "))
	hasThird := false
	h.first = first
	h.second = rest
	if hasSecond {
		h.second, h.third, hasThird = bytes.Cut(rest, []byte(" "))
	}
	if len(h.first) == 0 || len(h.second) == 0 || bytes.ContainsAny(line, "\r\n\x00") {
		return ErrMalformed
	}
	if !hasThird && !bytes.HasPrefix(h.first, []byte("HTTP/")) { // a response may lack its reason
		return ErrMalformed
	}
	return nil
}

// parseHeaderFields parses the lines behind the start line.
func (h *Head) parseHeaderFields(lines []byte) error {
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || h.fieldCount == maxFields || !isToken(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return ErrMalformed
		}
		h.fields[h.fieldCount] = headerField{name: name, value: bytes.TrimSpace(value)}
		h.fieldCount++
	}
	return nil
}

// hasBareLineEnd reports whether a CR or LF stands alone. A CR at the very end may still get its LF.
func hasBareLineEnd(b []byte) bool {
	for i := 0; ; i += 2 {
		lineFeed := bytes.IndexByte(b[i:], '\n')
		carriageReturn := bytes.IndexByte(b[i:], '\r')
		if lineFeed < 0 && (carriageReturn < 0 || i+carriageReturn == len(b)-1) {
			return false
		}
		if carriageReturn < 0 || lineFeed != carriageReturn+1 {
			return true
		}
		i += carriageReturn
	}
}
