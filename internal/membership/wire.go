package membership

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// wireChange is one line on the wire: a JSON object in the form that discovery
// writes, with optional settings. Workers are kept as they are written.
type wireChange struct {
	Version     *Version          `json:"seq"`
	Snapshot    bool              `json:"whole"`
	Exact       bool              `json:"exact"`
	MissingFrom Version           `json:"missing"`
	Workers     []json.RawMessage `json:"hosts"`
	Settings    []json.RawMessage `json:"settings"`
}

// Endpoint is one worker in its wire form. Additional fields of a sender are passed
// on, and their types are not checked.
type Endpoint struct {
	Name        string  `json:"host"`
	Address     string  `json:"dial"` // host:port
	Zone        string  `json:"site"`
	Kind        string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"` // HealthReady, HealthDraining or HealthGone
	Weight      float64 `json:"share"`
	StartedAtMs float64 `json:"born_ms"` // when the worker started; 0 if unknown
}

// Setting is the new value of a setting in its wire form.
type Setting struct {
	Key   string          `json:"key"`   // the setting's path
	Value json.RawMessage `json:"value"` // null restores the initial value
}

// The values of Endpoint.Health.
const (
	HealthReady    = "ready"
	HealthDraining = "draining"
	HealthGone     = "gone" // the worker was removed
)

// Append appends the change to dst as one line, including the line end, and returns
// the extended buffer. Base is not written.
func (c Change) Append(dst []byte) []byte {
	dst = append(dst, `{"seq":`...)
	dst = strconv.AppendInt(dst, int64(c.Version), 10)
	dst = append(dst, `,"whole":`...)
	dst = strconv.AppendBool(dst, c.Snapshot)
	if c.Exact {
		dst = append(dst, `,"exact":true`...)
	}
	if c.MissingFrom > 0 {
		dst = append(dst, `,"missing":`...)
		dst = strconv.AppendInt(dst, int64(c.MissingFrom), 10)
	}
	dst = append(dst, `,"hosts":[`...)
	workers := 0
	settings := 0
	for i := range c.Records {
		if strings.HasPrefix(c.Records[i].Key, SettingPrefix) {
			settings++
			continue
		}
		dst = appendSeparator(dst, workers)
		dst = append(dst, c.Records[i].Value...)
		workers++
	}
	dst = append(dst, ']')
	if settings > 0 {
		dst = c.appendSettings(dst)
	}
	return append(dst, "}\n"...)
}

// appendSettings appends the field that contains the settings.
func (c Change) appendSettings(dst []byte) []byte {
	dst = append(dst, `,"settings":[`...)
	count := 0
	for i := range c.Records {
		path, isSetting := strings.CutPrefix(c.Records[i].Key, SettingPrefix)
		if !isSetting {
			continue
		}
		dst = appendSeparator(dst, count)
		dst = append(dst, `{"key":`...)
		dst = appendString(dst, path)
		dst = append(dst, `,"value":`...)
		dst = append(dst, c.Records[i].Value...)
		dst = append(dst, '}')
		count++
	}
	return append(dst, ']')
}

// appendSeparator appends the comma before the next element of an array, unless
// it is the first one.
func appendSeparator(dst []byte, written int) []byte {
	if written > 0 {
		return append(dst, ',')
	}
	return dst
}

// appendString appends a string in its JSON form.
func appendString(dst []byte, text string) []byte {
	quoted, _ := json.Marshal(text) // a string always marshals
	return append(dst, quoted...)
}

// onOneLine returns value on one line: if it has line ends, which JSON allows
// between tokens, all white space between tokens is removed.
func onOneLine(value json.RawMessage) json.RawMessage {
	if bytes.IndexByte(value, '\n') < 0 && bytes.IndexByte(value, '\r') < 0 {
		return value
	}
	var line bytes.Buffer
	if err := json.Compact(&line, value); err != nil {
		return value // unreachable: value has been parsed
	}
	return line.Bytes()
}

// withHealth returns a worker's JSON object with its health replaced and all other
// fields unchanged.
func withHealth(worker json.RawMessage, health string) json.RawMessage {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(worker, &fields); err != nil {
		return worker // unreachable: worker has been parsed
	}
	for name := range fields {
		if strings.EqualFold(name, "health") {
			delete(fields, name)
		}
	}
	fields["health"] = json.RawMessage(strconv.Quote(health))
	changed, err := json.Marshal(fields)
	if err != nil {
		return worker // unreachable: its parts have been parsed
	}
	return changed
}
