package faktory

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// protocolVersion is the supported version of the Faktory work protocol.
const protocolVersion = 2

// maxCommandBytes is the maximum length of a command line, and of a bulk
// string.
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
	nullBulk       = "$-1" // the answer to FETCH if there is no job
	greetingPrefix = "HI " // prefix of the text of a server's first reply
)

var (
	errTooLong  = errors.New("longer than 70 KiB")
	errProtocol = errors.New("protocol violation")
)

// parseLine parses the first line of b and returns how many bytes it uses. If the
// line is not complete yet, used is 0 and err is nil.
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

// appendBulk appends text as a bulk string.
func appendBulk(out, text []byte) []byte {
	out = append(out, kindBulk)
	out = strconv.AppendInt(out, int64(len(text)), 10)
	out = append(out, "\r\n"...)
	out = append(out, text...)
	return append(out, "\r\n"...)
}

// singleLine replaces control characters by spaces, so that a text fits on a
// line of the protocol.
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

// resultLine returns the reply to a command that has succeeded, or failed with
// err.
func resultLine(err error) string {
	if err == nil {
		return replyOK
	}
	return replyError + singleLine(err.Error())
}
