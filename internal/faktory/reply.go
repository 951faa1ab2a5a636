package faktory

import "strconv"

// Kinds of replies: their first byte.
const (
	kindSimple  byte = '+'
	kindError   byte = '-'
	kindInteger byte = ':'
	kindBulk    byte = '$'
)

// reply is one reply of a server.
type reply struct {
	kind byte
	text []byte
	null bool // a null bulk string
}

// parseReply parses the first reply of b and returns how many bytes it uses. If
// the reply is not complete yet, used is 0 and err is nil.
func parseReply(b []byte) (r reply, used int, err error) {
	line, used, err := parseLine(b)
	if err != nil || used == 0 {
		return r, 0, err
	}
	if len(line) == 0 {
		return r, 0, errProtocol
	}
	r.kind = line[0]
	r.text = line[1:]
	switch r.kind {
	case kindSimple, kindError, kindInteger:
		return r, used, nil
	case kindBulk:
		return parseBulk(r, b, used)
	}
	return r, 0, errProtocol
}

// parseBulk parses the text of a bulk string. bulk.text is the length from its
// first line, which ends at start in b.
func parseBulk(bulk reply, b []byte, start int) (_ reply, used int, err error) {
	length, err := strconv.Atoi(string(bulk.text))
	if err != nil || length < -1 {
		return bulk, 0, errProtocol
	}
	if length == -1 {
		bulk.text = nil
		bulk.null = true
		return bulk, start, nil
	}
	if length > maxCommandBytes {
		return bulk, 0, errTooLong
	}
	end := start + length
	if len(b) < end+2 {
		return bulk, 0, nil
	}
	if b[end] != '\r' || b[end+1] != '\n' {
		return bulk, 0, errProtocol
	}
	bulk.text = b[start:end]
	return bulk, end + 2, nil
}
