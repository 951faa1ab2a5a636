package recording

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// harEntry holds the members of a HAR entry that are decoded, which exclude headers and bodies.
type harEntry struct {
	Started      string      `json:"startedDateTime"`
	Time         *float64    `json:"time"` // ms
	ResourceType string      `json:"_resourceType"`
	FromCache    string      `json:"_fromCache"`
	Error        string      `json:"_error"`
	Response     harResponse `json:"response"`
	Request      harRequest  `json:"request"`
	Timings      harTimings  `json:"timings"`
}

type harResponse struct {
	Status int `json:"status"` // 0 if there was no answer
}

type harRequest struct {
	Method   string `json:"method"`
	URL      string `json:"url"`
	BodySize int    `json:"bodySize"`
}

// harTimings holds durations in milliseconds. A nil or negative one is not known.
type harTimings struct {
	Send    *float64 `json:"send"`
	Wait    *float64 `json:"wait"`
	Receive *float64 `json:"receive"`
}

// parseHAREntry parses one entry into raw. The error does not quote the entry's text.
func parseHAREntry(text []byte, raw *RawEntry) error {
	var entry harEntry
	if err := json.Unmarshal(text, &entry, jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true)); err != nil {
		var semantic *json.SemanticError
		if errors.As(err, &semantic) && semantic.JSONPointer != "" {
			member := strings.ReplaceAll(string(semantic.JSONPointer)[1:], "/", ".")
			return fmt.Errorf("%s: the value has the wrong type", member)
		}
		return errors.New("a value has the wrong type")
	}
	started, err := time.Parse(time.RFC3339Nano, entry.Started)
	if err != nil {
		started, err = time.Parse("2006-01-02T15:04:05.999999999Z0700", entry.Started)
	}
	if err != nil || started.Year() < 1970 {
		return errors.New("startedDateTime: not a valid time")
	}
	raw.Timestamp = started.UnixMicro()
	raw.Resolution = millisecond
	raw.Method = entry.Request.Method
	raw.Status = entry.Response.Status
	raw.Ignored = entry.ignoreReason()
	if raw.Ignored != "" {
		return nil
	}
	raw.Target, err = entry.target()
	if err != nil {
		return err
	}
	if !isMethodToken(raw.Method) {
		return errors.New("request.method: none")
	}
	raw.BodyBytes = max(entry.Request.BodySize, 0)
	raw.Duration = entry.duration()
	return raw.normalize()
}

// ignoreReason returns why the request did not reach a server, or "" if it did.
func (e *harEntry) ignoreReason() IgnoreReason {
	scheme, _, _ := strings.Cut(e.Request.URL, ":")
	scheme = strings.ToLower(scheme)
	switch scheme {
	case "data", "blob", "about", "file":
		return IgnoredNotSentToServer
	case "ws", "wss":
		return IgnoredWebSocket
	}
	if strings.HasSuffix(scheme, "-extension") {
		return IgnoredNotSentToServer
	}
	if e.ResourceType == "websocket" {
		return IgnoredWebSocket
	}
	if e.FromCache != "" {
		return IgnoredBrowserCache
	}
	switch e.Error {
	case "net::ERR_NAME_NOT_RESOLVED", "net::ERR_CONNECTION_REFUSED", "net::ERR_INTERNET_DISCONNECTED":
		return IgnoredNeverSent
	}
	if strings.HasPrefix(e.Error, "net::ERR_BLOCKED") {
		return IgnoredNeverSent
	}
	return ""
}

// target returns the path and query of the request's URL.
func (e *harEntry) target() (string, error) {
	address, err := url.Parse(e.Request.URL)
	if err != nil || address.Scheme != "" && address.Host == "" || e.Request.URL == "" {
		return "", errors.New("request.url: not a valid URL")
	}
	target := address.EscapedPath()
	if target == "" {
		target = "/"
	}
	if address.RawQuery != "" {
		target += "?" + address.RawQuery
	}
	return target, nil
}

// duration returns the time that the server and the network took, in microseconds and without the time
// that the request waited in the browser. It returns notRecorded if the time is not known or there was
// no answer.
func (e *harEntry) duration() int64 {
	switch {
	case e.Response.Status == 0:
		return notRecorded
	case e.Timings.Wait != nil && *e.Timings.Wait >= 0:
		return microsecondsOrZero(e.Timings.Send) + microsecondsOrZero(e.Timings.Wait) + microsecondsOrZero(e.Timings.Receive)
	case e.Time != nil && *e.Time >= 0:
		return microsecondsOrZero(e.Time)
	}
	return notRecorded
}

// microsecondsOrZero converts milliseconds. It returns 0 for nil, negative values and values above a day.
func microsecondsOrZero(milliseconds *float64) int64 {
	const dayMilliseconds = float64(day / millisecond)
	if milliseconds == nil || *milliseconds < 0 || *milliseconds > dayMilliseconds {
		return 0
	}
	return int64(*milliseconds * 1000)
}
