package recording

import (
	"errors"
	"math/bits"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Durations in microseconds, the unit of all times that are read from logs.
const (
	millisecond int64 = 1_000
	second      int64 = 1_000 * millisecond
	day         int64 = 24 * 3600 * second
)

// notRecorded is the value of a duration that the log does not contain.
const notRecorded = -1

// RawEntry holds what one log line or HAR entry says about a request. Times are in microseconds.
type RawEntry struct {
	Timestamp             int64 // Unix time
	Resolution            int64 // resolution of the timestamp: 1_000_000 for whole seconds
	Duration              int64 // from arrival to completion; notRecorded if the log has none
	ServiceTime           int64 // the part of the duration spent in upstream servers; notRecorded if the log has none
	Method                string
	Target                string // path and query
	Client                string // address of the client
	RequestID             string // empty if the log has none
	Status                int
	BodyBytes             int  // size of the request's body; 0 if it is not recorded
	TimestampMarksArrival bool // Timestamp is the time of the arrival, otherwise of the completion

	// FoldOffset is not 0 if the log gives a local time that occurs twice because summer time
	// ends. Timestamp is then the first of the two times, and the second one is FoldOffset later.
	FoldOffset int64
	Ignored    IgnoreReason // why the request reached no server; empty if it did
	Repairs    Repair
}

// IgnoreReason says why a well-formed entry is not replayed. It is a key of Report.IgnoredBy.
type IgnoreReason string

// The reasons for which entries are ignored.
const (
	IgnoredNoPath          IgnoreReason = "no path"
	IgnoredNotSentToServer IgnoreReason = "no request to a server"
	IgnoredWebSocket       IgnoreReason = "a websocket"
	IgnoredBrowserCache    IgnoreReason = "answered from the browser's cache"
	IgnoredNeverSent       IgnoreReason = "never sent"
	IgnoredDuplicate       IgnoreReason = "seen by two sources"
)

// Repair is a bit set of the corrections that were made to an accepted entry.
type Repair uint32

// The repairs, in the order of their bits in the recording file.
const (
	DrawnDuration            Repair = 1 << iota // no duration was recorded, so one was drawn
	SyntheticKey                                // the key was redacted, so one was generated
	ClockStepped                                // the source's clock had stepped back before this entry
	OutlierTimestamp                            // the timestamp was far from those of its neighbours
	InvalidUTF8                                 // the target was not valid UTF-8
	LeadingNUL                                  // NUL bytes preceded the line
	CompletionTakenAsArrival                    // the timestamp marks the completion, and the duration is not known
	RepeatedHour                                // the second occurrence of the local hour that occurs twice as summer time ends
)

// RepairNames names the repairs in the order of their bits. The names are the keys of Report.Repairs
// and of the header's repairs in recording files.
var RepairNames = []string{"duration drawn", "key made up", "clock stepped back", "odd stamp", "invalid UTF-8",
	"leading NUL bytes", "end taken as arrival", "hour that came twice"}

// name returns the name of a single repair.
func (r Repair) name() string { return RepairNames[bits.TrailingZeros32(uint32(r))] }

// The reasons why a line is malformed. None contains any of the line's text.
var (
	errLineTooLong   = errors.New("the line is too long")
	errNUL           = errors.New("NUL byte within the line")
	errTimestamp     = errors.New("the time cannot be read")
	errRequestLine   = errors.New("the request is not method, target and version")
	errStatus        = errors.New("the status is no number of three digits")
	errTarget        = errors.New("the target is no path")
	errNotJSONObject = errors.New("no JSON object that can be read")
	errDuration      = errors.New("the duration is negative or longer than a day")
)

// normalize validates the entry and reduces its target to the path and the query.
func (r *RawEntry) normalize() error {
	if r.Duration > day || r.ServiceTime > day {
		return errDuration
	}
	if r.Method == "" {
		return errRequestLine
	}
	if !utf8.ValidString(r.Target) {
		r.Target = strings.ToValidUTF8(r.Target, "\uFFFD")
		r.Repairs |= InvalidUTF8
	}
	if strings.HasPrefix(r.Target, "/") {
		return nil
	}
	_, afterScheme, absolute := strings.Cut(r.Target, "://")
	switch {
	case absolute:
		r.Target = pathOfAuthority(afterScheme)
	case r.Target == "*" || r.Method == "CONNECT":
		r.Ignored = IgnoredNoPath
	default:
		return errTarget
	}
	return nil
}

// pathOfAuthority returns the path and query that follow an authority, or "/" if there is no path.
func pathOfAuthority(text string) string {
	end := strings.IndexAny(text, "/?#")
	if end >= 0 && text[end] == '/' {
		return text[end:]
	}
	return "/"
}

// appendQuery appends a query that was logged in a separate field, unless the target already has one.
func (r *RawEntry) appendQuery(query string) {
	query = strings.TrimPrefix(query, "?")
	if query == "" || query == "-" || strings.Contains(r.Target, "?") {
		return
	}
	r.Target += "?" + query
}

// setRequestLine sets the method and the target from a request line such as "GET / HTTP/1.1".
func (r *RawEntry) setRequestLine(text string) error {
	method, rest, ok := strings.Cut(text, " ")
	versionAt := strings.LastIndex(rest, " HTTP/")
	if !ok || versionAt <= 0 || !isMethodToken(method) {
		return errRequestLine
	}
	r.Method = method
	r.Target = rest[:versionAt]
	return nil
}

// isMethodToken reports whether text is a token as RFC 9110 defines it for HTTP methods, of at most
// 32 bytes.
func isMethodToken(text string) bool {
	const maxMethodBytes = 32
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c >= 127 || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return text != "" && len(text) <= maxMethodBytes
}

// signature returns a hash that is the same for all entries that sources logged for one request: the hash
// of the request id or, if the log has none, of target, method and status.
func (r *RawEntry) signature() uint64 {
	if r.RequestID != "" {
		return xxhash.Sum64String(r.RequestID)
	}
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 / φ, which spreads small numbers over all bits
	return xxhash.Sum64String(r.Target)*31 + xxhash.Sum64String(r.Method) + uint64(r.Status)*goldenRatio
}
