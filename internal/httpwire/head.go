// Package httpwire parses and writes HTTP/1.1 messages for the front end, the worker client, discovery and the
// admin API. It works on buffers of its callers, has no connections or goroutines of its own, and must never
// panic on any input. Slices that it returns refer to the parsed buffer and are valid only as long as its bytes are.
package httpwire

import (
	"bytes"
	"errors"
)

// Limits of a message.
const (
	maxHeadBytes = 6 << 10  // size of a head: its start line and header fields
	maxBodyBytes = 64 << 10 // size of a request's body
	maxFields    = 64       // number of header fields
)

// Errors of messages that cannot be read. What follows such a message on its connection cannot be parsed, since the
// message's end is not known.
var (
	// ErrMalformed is returned for a message that is not HTTP/1.x, or whose end is ambiguous.
	ErrMalformed = errors.New("malformed HTTP")
	// ErrHeadTooLong is returned for a head of more than maxHeadBytes bytes.
	ErrHeadTooLong = errors.New("head too long")
	// ErrBodyTooLong is returned for a body of more than maxBodyBytes bytes.
	ErrBodyTooLong = errors.New("body too long")
)

// headerField is one header field. Its slices refer to the parsed buffer.
type headerField struct{ name, value []byte }

// Head is the head of a request or of a response.
type Head struct {
	Size int // in bytes, including the blank line at the end

	first, second, third []byte // parts of the start line: method, target, version, or version, status, reason phrase
	fields               [maxFields]headerField
	fieldCount           int
}

// Method returns the method of a request.
func (h *Head) Method() []byte { return h.first }

// Target returns the target of a request: its path and query.
func (h *Head) Target() []byte { return h.second }

// Version returns the protocol version of a request, such as HTTP/1.1.
func (h *Head) Version() []byte { return h.third }

// Status returns the status code of a response. valid is false if the head has no status code or is not of an HTTP/1
// response.
func (h *Head) Status() (code int, valid bool) {
	code, valid = ParseNumber(h.second)
	return code, valid && bytes.HasPrefix(h.first, []byte("HTTP/1."))
}

// Get returns the value of the first header field with a name, or nil if there is none.
func (h *Head) Get(name string) []byte {
	for i := range h.fields[:h.fieldCount] {
		if EqualFold(h.fields[i].name, name) {
			return h.fields[i].value
		}
	}
	return nil
}

// Count returns the number of header fields with a name.
func (h *Head) Count(name string) int {
	count := 0
	for i := range h.fields[:h.fieldCount] {
		if EqualFold(h.fields[i].name, name) {
			count++
		}
	}
	return count
}

// HasToken reports whether a header field with a name has a comma-separated list that contains a token.
func (h *Head) HasToken(name, token string) bool {
	for i := range h.fields[:h.fieldCount] {
		if EqualFold(h.fields[i].name, name) && listHasToken(h.fields[i].value, token) {
			return true
		}
	}
	return false
}

// listHasToken reports whether a comma-separated list contains a token.
func listHasToken(list []byte, token string) bool {
	for part := range bytes.SplitSeq(list, []byte(",")) {
		if EqualFold(bytes.TrimSpace(part), token) {
			return true
		}
	}
	return false
}

// Framing returns how the end of the body is determined: by its length in bytes or by chunked encoding. If neither
// header field is present, length is -1 and chunked is false. More than one length, or a length beside chunked
// encoding, is an error, because the two peers could see different ends of the message.
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

// ParseHead parses a head at the start of b. It returns false without an error while b holds only a part of the head.
// scanned is the number of bytes at the start of b that are known not to contain the end of the head. The caller sets
// it to 0 for a new head and passes it again when b has grown, so that no byte is searched repeatedly.
func ParseHead(b []byte, head *Head, scanned *int) (complete bool, err error) {
	const end = "\r\n\r\n"
	from := max(*scanned-(len(end)-1), 0)
	index := bytes.Index(b[from:], []byte(end))
	if index < 0 {
		return false, scanPartialHead(b, scanned)
	}
	index += from
	if index > maxHeadBytes {
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

// scanPartialHead checks the part of a head that has been received. It rejects bare line ends, because the caller would
// otherwise wait for the end of a head that can never become complete.
func scanPartialHead(b []byte, scanned *int) error {
	if len(b) > maxHeadBytes {
		return ErrHeadTooLong
	}
	if *scanned > 0 && b[*scanned-1] == '\r' { // the line feed after it may have arrived since
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
	if !hasThird && !bytes.HasPrefix(h.first, []byte("HTTP/")) { // only a response may omit the third part, its reason phrase
		return ErrMalformed
	}
	return nil
}

// parseHeaderFields parses the lines after the start line.
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

// hasBareLineEnd reports whether b contains a CR without an LF after it, or an LF without a CR before it. A CR as the
// last byte does not count, since its LF may still arrive.
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
