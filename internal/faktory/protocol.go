package faktory

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
)

// protocolVersion is the version of the Faktory work protocol spoken here.
const protocolVersion = 2

// maxCommandBytes is the length of the longest command line, and of the
// longest bulk string.
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
	commandStart    = "START" // an extension: may a leased job begin?
)

// Replies of the protocol.
const (
	replyOK        = "+OK"
	replyError     = "-ERR "
	replyMalformed = replyError + "MALFORMED "
	replyUnknown   = replyError + "UNKNOWN "
	nullBulk       = "$-1" // for a FETCH: no job
	greetingPrefix = "HI " // of the text of a server's first reply
)

// Kinds of reply, by their first byte.
const (
	kindSimple  byte = '+'
	kindError   byte = '-'
	kindInteger byte = ':'
	kindBulk    byte = '$'
)

var (
	errTooLong  = errors.New("longer than 70 KiB")
	errProtocol = errors.New("protocol violation")
)

// greeting is the JSON of a server's first reply.
type greeting struct {
	Version    int    `json:"v"`
	Salt       string `json:"s,omitempty"`
	Iterations int    `json:"i,omitempty"`
}

// hello is the JSON of HELLO, a client's first command.
//
// Decoding errors of encoding/json are sent to the peer and spell the name of
// this type, which therefore must stay.
type hello struct {
	Hostname string   `json:"hostname,omitempty"`
	Wid      string   `json:"wid,omitempty"` // worker ID; empty: a producer
	Pid      int      `json:"pid,omitempty"`
	Labels   []string `json:"labels,omitempty"`
	Version  int      `json:"v"`
	Hash     string   `json:"pwdhash,omitempty"`
}

// beatMessage is the JSON of BEAT.
//
// It is an alias of an anonymous struct since decoding errors of encoding/json,
// which are sent to the peer, spell its fields: neither they nor its lack of a
// name may change.
type beatMessage = struct {
	Wid   string `json:"wid"`
	State string `json:"current_state"`
}

// word is the JSON of a worker's message about one job: ACK, FAIL, START and
// TRACK SET.
//
// Decoding errors of encoding/json are sent to the peer and spell the name of
// this type, which therefore must stay.
type word struct {
	Jid     string `json:"jid"`
	Fence   uint64 `json:"fence"`   // of the lease that it is about; 0: of the one that the worker holds
	Started *bool  `json:"started"` // in FAIL: false says that the job never began
	Type    string `json:"errtype"`
	Message string `json:"message"`
	Percent int    `json:"percent"`
	Desc    string `json:"desc"`
	Until   string `json:"reserve_until"`
}

// heartbeat is the JSON of a BEAT that is sent upstream.
type heartbeat struct {
	Wid string `json:"wid"`
}

// closeMessage is the JSON of an ACK or FAIL that is sent upstream.
type closeMessage struct {
	Jid     string `json:"jid"`
	Type    string `json:"errtype,omitempty"`
	Message string `json:"message,omitempty"`
}

// mutateMessage is the JSON of MUTATE.
//
// It is an alias of an anonymous struct since decoding errors of encoding/json,
// which are sent to the peer, spell its fields: neither they nor its lack of a
// name may change.
type mutateMessage = struct {
	Cmd    string `json:"cmd"`
	Target string `json:"target"`
	Filter struct {
		Jobtype string   `json:"jobtype"`
		Jids    []string `json:"jids"`
		Regexp  string   `json:"regexp"`
	} `json:"filter"`
}

// parseLine takes a line off b. used 0 without an error says that the line is
// not complete yet.
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

// reply is one reply of a server.
type reply struct {
	kind byte
	text []byte
	null bool // a null bulk string
}

// parseReply takes a reply off b. used 0 without an error says that the reply
// is not complete yet.
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

// parseBulk completes bulk, a bulk string whose length line ends at
// start in b.
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

// resultLine is the reply to a command whose outcome is err.
func resultLine(err error) string {
	if err == nil {
		return replyOK
	}
	return replyError + singleLine(err.Error())
}

// maxHashIterations bounds the work that an upstream server can ask for.
const maxHashIterations = 100_000

// hashPassword returns the pwdhash of HELLO for a greeting's salt and number of
// iterations.
func hashPassword(password, salt string, iterations int) string {
	sum := sha256.Sum256([]byte(password + salt))
	for range min(iterations, maxHashIterations) - 1 {
		sum = sha256.Sum256(sum[:])
	}
	return hex.EncodeToString(sum[:])
}
