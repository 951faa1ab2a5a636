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

// harEntry is what is decoded of a HAR entry: neither headers nor bodies.
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
	Status int `json:"status"` // 0: there was no answer
}

type harRequest struct {
	Method   string `json:"method"`
	URL      string `json:"url"`
	BodySize int    `json:"bodySize"`
}

// harTimings are in milliseconds; nil or negative: not known.
type harTimings struct {
	Send    *float64 `json:"send"`
	Wait    *float64 `json:"wait"`
	Receive *float64 `json:"receive"`
}

// parseHAREntry reads one entry. The error quotes none of its text.
func parseHAREntry(text []byte, raw *RawEntry) error {
	var entry harEntry
	if err := json.Unmarshal(text, &entry, jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true)); err != nil {
		var semantic *json.SemanticError
		if errors.As(err, &semantic) && semantic.JSONPointer != "" {
			member := strings.ReplaceAll(string(semantic.JSONPointer)[1:], "/", ".")
			return fmt.Errorf("%s: a value of the wrong kind", member)
		}
		return errors.New("a value of the wrong kind")
	}
	started, err := time.Parse(time.RFC3339Nano, entry.Started)
	if err != nil {
		started, err = time.Parse("2006-01-02T15:04:05.999999999Z0700", entry.Started)
	}
	if err != nil || started.Year() < 1970 {
		return errors.New("startedDateTime: no time")
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

// ignoreReason says why the request did not reach a server; empty: it did.
func (e *harEntry) ignoreReason() IgnoreReason {
	scheme, _, _ := strings.Cut(e.Request.URL, ":")
	scheme = strings.ToLower(scheme)
	switch scheme {
	case "data", "blob", "about", "file":
		return IgnoredNotServed
	case "ws", "wss":
		return IgnoredWebSocket
	}
	if strings.HasSuffix(scheme, "-extension") {
		return IgnoredNotServed
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

// target is the path and query of the request's URL.
func (e *harEntry) target() (string, error) {
	address, err := url.Parse(e.Request.URL)
	if err != nil || address.Scheme != "" && address.Host == "" || e.Request.URL == "" {
		return "", errors.New("request.url: no URL that can be read")
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

// duration is the time that the server and the network took, in microseconds, without the
// browser's own queue; -1: not recorded, as with an answer that never came.
func (e *harEntry) duration() int64 {
	switch {
	case e.Response.Status == 0:
		return notRecorded
	case e.Timings.Wait != nil && *e.Timings.Wait >= 0:
		return microsecondsOf(e.Timings.Send) + microsecondsOf(e.Timings.Wait) + microsecondsOf(e.Timings.Receive)
	case e.Time != nil && *e.Time >= 0:
		return microsecondsOf(e.Time)
	}
	return notRecorded
}

// microsecondsOf converts milliseconds; 0: not known, negative, or longer than a day.
func microsecondsOf(milliseconds *float64) int64 {
	const dayMilliseconds = float64(day / millisecond)
	if milliseconds == nil || *milliseconds < 0 || *milliseconds > dayMilliseconds {
		return 0
	}
	return int64(*milliseconds * 1000)
}
