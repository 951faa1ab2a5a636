package faktory

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// protocolVersion is the supported version of the Faktory work protocol.
const protocolVersion = 2

// maxCommandBytes is the maximum length of a line without its line ending, and of
// the content of a bulk string.
const maxCommandBytes = 70 << 10

// Commands of the protocol.
const (
	commandHello    = "HELLO"
	commandPush     = "PUSH"
	commandPushBulk = "PUSHB"
	commandFetch    = "FETCH"
	commandAck      = "ACK"
	commandFail     = "FAIL"
	commandBeat     = "BEAT"
	commandInfo     = "INFO"
	commandEnd      = "END"
	commandQueue    = "QUEUE"
	commandMutate   = "MUTATE"
	commandFlush    = "FLUSH"
	commandTrack    = "TRACK"
	commandStart    = "START" // an extension: asks whether a leased job may start
)

// Replies of the protocol.
const (
	replyOK        = "+OK"
	replyError     = "-ERR "
	replyMalformed = replyError + "MALFORMED "
	replyUnknown   = replyError + "UNKNOWN "
	nullBulk       = "$-1" // reply to FETCH if there is no job
	greetingPrefix = "HI " // begins the server's first reply, after the +
)

var (
	errTooLong  = errors.New("longer than 70 KiB")
	errProtocol = errors.New("protocol violation")
)

// parseLine returns the first line of b without its line ending. used is the number
// of bytes of the line with its ending. If the line is not complete yet, used is 0
// and err is nil.
func parseLine(b []byte) (line []byte, used int, err error) {
	end := bytes.IndexByte(b, '\n')
	if end > maxCommandBytes || end < 0 && len(b) > maxCommandBytes {
		return nil, 0, errTooLong
	}
	if end < 0 {
		return nil, 0, nil
	}
	return bytes.TrimSuffix(b[:end], []byte("\r")), end + 1, nil
}

// parseCommand splits a command line into its verb, in upper case, and the rest.
func parseCommand(line []byte) (verb string, rest []byte) {
	first, rest, _ := bytes.Cut(bytes.TrimSpace(line), []byte(" "))
	return strings.ToUpper(string(first)), bytes.TrimSpace(rest)
}

// appendBulk appends text to out as a bulk string: $, the length, and the text.
func appendBulk(out, text []byte) []byte {
	out = append(out, kindBulk)
	out = strconv.AppendInt(out, int64(len(text)), 10)
	out = append(out, "\r\n"...)
	out = append(out, text...)
	return append(out, "\r\n"...)
}

// singleLine replaces control characters, such as line ends, by spaces, so that the
// text can be part of a line of the protocol.
func singleLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}

// hasOnlyGraphicASCII reports whether a text has neither spaces, control
// characters nor characters beyond ASCII.
func hasOnlyGraphicASCII(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// resultReply returns the reply line for the outcome of a command: +OK if err is
// nil, and otherwise -ERR with the text of err.
func resultReply(err error) string {
	if err == nil {
		return replyOK
	}
	return replyError + singleLine(err.Error())
}
