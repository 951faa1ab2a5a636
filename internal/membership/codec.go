package membership

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// This file owns the wire form: one JSON object a line, as discovery writes it,
// with optional settings. It must never give out a part of an object of which
// another part is wrong.

// Version numbers the origin's states. A later state has a higher one; relays
// pass it on unchanged. 0 is the version of who has nothing yet.
type Version int64

// Prefixes of a Record's key.
const (
	HostPrefix    = "host/"
	SettingPrefix = "setting/"
)

// Record is the newest value of one key: a listed host or a setting.
type Record struct {
	Key string // HostPrefix and the host's name, or SettingPrefix and the setting's path

	// Value is a host's whole JSON object as the origin wrote it, so that fields
	// unknown here are passed on, or a setting's value. It is on one line, and
	// nobody may write to it: stores and changes share it.
	Value json.RawMessage

	// Deleted: the host's health is "gone", and Value is its last object; or the
	// setting's value is null: what was configured at the start holds again.
	Deleted bool

	// Urgent: the host drains or has gone, and must not wait for the byte bound.
	Urgent bool
}

// Change is what one line carries. It is atomic: all of it is applied or nothing.
type Change struct {
	Version Version // the state that the receiver has once it has applied the change
	Whole   bool    // a snapshot: what it does not hold is deleted. Otherwise a delta

	// Base is the version that a delta continues from: the one that was asked
	// for, or that of the line before it on the same watch, refused or not. It
	// is not on the wire; who receives a delta sets it. 0: the receiver vouches
	// that nothing is missing between its state and the delta.
	Base Version

	// Exact: the delta holds what differs from the state at Base, but not what
	// had changed in between and back. It fits that state alone.
	Exact bool

	// Missing is the first version of which the sender may miss something, as it
	// has refused a change; the receiver then misses it too. 0: it misses nothing.
	Missing Version

	Records []Record // at most one a key
}

// Urgent tells whether the change holds a record that must not wait.
func (c Change) Urgent() bool {
	for i := range c.Records {
		if c.Records[i].Urgent {
			return true
		}
	}
	return false
}

// wireChange is a line. Hosts are kept as they are written.
type wireChange struct {
	Seq      *Version          `json:"seq"`
	Whole    bool              `json:"whole"`
	Exact    bool              `json:"exact"`
	Missing  Version           `json:"missing"`
	Hosts    []json.RawMessage `json:"hosts"`
	Settings []json.RawMessage `json:"settings"`
}

// wireHost holds the fields of a host that have a form to keep.
type wireHost struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

type wireSetting struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

const (
	healthReady    = "ready"
	healthDraining = "draining"
	healthGone     = "gone"
)

// Parse reads one line. An error names the field that is wrong, and the Change
// that comes with it has no records. Where only the content of hosts or settings
// is wrong, its Version and Whole are set, as Store.Refuse wants them; else its
// Version is 0, and nothing can follow on the connection that brought the line.
// Of several entries with one key the last wins, as in consecutive changes.
// Nothing of line is kept.
func Parse(line []byte) (Change, error) {
	var wire wireChange
	if err := json.Unmarshal(line, &wire); err != nil {
		return Change{}, fieldError("line", err)
	}
	if err := wire.check(); err != nil {
		return Change{}, err
	}
	change := Change{Version: *wire.Seq, Whole: wire.Whole, Exact: wire.Exact, Missing: wire.Missing}
	records := make([]Record, 0, len(wire.Hosts)+len(wire.Settings))
	for i, raw := range wire.Hosts {
		record, err := parseHost(raw)
		if err != nil {
			return change, fieldError("hosts["+strconv.Itoa(i)+"]", err)
		}
		records = append(records, record)
	}
	for i, raw := range wire.Settings {
		record, err := parseSetting(raw)
		if err != nil {
			return change, fieldError("settings["+strconv.Itoa(i)+"]", err)
		}
		records = append(records, record)
	}
	change.Records = lastOfEachKey(records)
	return change, nil
}

func (w *wireChange) check() error {
	switch {
	case w.Seq == nil:
		return errors.New("seq: missing")
	case *w.Seq < 0:
		return fmt.Errorf("seq: %d is negative", *w.Seq)
	case w.Missing < 0 || w.Missing > *w.Seq:
		return fmt.Errorf("missing: %d is not between 0 and seq", w.Missing)
	}
	return nil
}

// contentError is what is wrong with a field of an entry.
type contentError struct {
	field   string
	problem string // with what joins it to the field's name
}

func (e *contentError) Error() string { return e.field + e.problem }

func parseHost(raw json.RawMessage) (Record, error) {
	var host wireHost
	if err := json.Unmarshal(raw, &host); err != nil {
		return Record{}, err
	}
	switch host.Health {
	case healthReady, healthDraining, healthGone:
	default:
		return Record{}, &contentError{"health", ": unknown value " + strconv.Quote(host.Health)}
	}
	if host.Host == "" {
		return Record{}, &contentError{"host", " is empty"}
	}
	if host.Health != healthGone {
		if err := checkAddress(host.Dial); err != nil {
			return Record{}, &contentError{"dial", ": " + err.Error()}
		}
	}
	return Record{
		Key:     HostPrefix + host.Host,
		Value:   onOneLine(raw),
		Deleted: host.Health == healthGone,
		Urgent:  host.Health != healthReady,
	}, nil
}

// parseSetting checks the form of a setting. What its value may be is for who
// puts it in force.
func parseSetting(raw json.RawMessage) (Record, error) {
	var setting wireSetting
	if err := json.Unmarshal(raw, &setting); err != nil {
		return Record{}, err
	}
	if setting.Key == "" {
		return Record{}, &contentError{"key", " is empty"}
	}
	if setting.Value == nil {
		return Record{}, &contentError{"value", ": missing"}
	}
	return Record{
		Key:     SettingPrefix + setting.Key,
		Value:   onOneLine(setting.Value),
		Deleted: string(setting.Value) == "null",
	}, nil
}

// fieldError names the field that an error is about. at is the object that holds it.
func fieldError(at string, err error) error {
	var content *contentError
	if errors.As(err, &content) {
		return fmt.Errorf("%s.%w", at, err)
	}
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return fmt.Errorf("%s: %w", at, err)
	}
	if typeError.Field != "" {
		at += "." + typeError.Field
	}
	return errors.New(at + ": unexpected " + typeError.Value)
}

// checkAddress accepts HOST:PORT as net.SplitHostPort does, which a package
// without I/O does not import.
func checkAddress(address string) error {
	colon := strings.LastIndexByte(address, ':')
	if colon < 0 {
		return errors.New("address " + address + ": missing port in address")
	}
	host := address[:colon]
	if strings.HasPrefix(host, "[") {
		closing := strings.IndexByte(address, ']')
		switch {
		case closing < 0:
			return errors.New("address " + address + ": missing ']' in address")
		case closing != colon-1:
			return errors.New("address " + address + ": ']' is not followed by the port")
		}
		host = address[1:closing]
	} else if strings.IndexByte(host, ':') >= 0 {
		return errors.New("address " + address + ": too many colons in address")
	}
	if strings.ContainsAny(host, "[]") || strings.ContainsAny(address[colon:], "[]") {
		return errors.New("address " + address + ": unexpected bracket in address")
	}
	return nil
}

// onOneLine takes the line ends out that JSON allows between tokens.
func onOneLine(value json.RawMessage) json.RawMessage {
	if bytes.IndexByte(value, '\n') < 0 && bytes.IndexByte(value, '\r') < 0 {
		return value
	}
	var line bytes.Buffer
	if err := json.Compact(&line, value); err != nil {
		return value // never: it has been parsed
	}
	return line.Bytes()
}

// lastOfEachKey drops the entries that a later one with their key replaces.
func lastOfEachKey(records []Record) []Record {
	last := make(map[string]int, len(records))
	for i := range records {
		last[records[i].Key] = i
	}
	if len(last) == len(records) {
		return records
	}
	kept := records[:0]
	for i, record := range records {
		if last[record.Key] == i {
			kept = append(kept, record)
		}
	}
	return kept
}

// Append appends the change to dst as one line with its end. Base is not written.
func (c Change) Append(dst []byte) []byte {
	dst = append(dst, `{"seq":`...)
	dst = strconv.AppendInt(dst, int64(c.Version), 10)
	dst = append(dst, `,"whole":`...)
	dst = strconv.AppendBool(dst, c.Whole)
	if c.Exact {
		dst = append(dst, `,"exact":true`...)
	}
	if c.Missing > 0 {
		dst = append(dst, `,"missing":`...)
		dst = strconv.AppendInt(dst, int64(c.Missing), 10)
	}
	dst = append(dst, `,"hosts":[`...)
	settings, hosts := 0, 0
	for i := range c.Records {
		if strings.HasPrefix(c.Records[i].Key, SettingPrefix) {
			settings++
			continue
		}
		dst = appendSeparator(dst, hosts)
		dst = append(dst, c.Records[i].Value...)
		hosts++
	}
	dst = append(dst, ']')
	if settings > 0 {
		dst = c.appendSettings(dst)
	}
	return append(dst, "}\n"...)
}

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

func appendSeparator(dst []byte, before int) []byte {
	if before > 0 {
		return append(dst, ',')
	}
	return dst
}

func appendString(dst []byte, text string) []byte {
	quoted, _ := json.Marshal(text) // a string always marshals
	return append(dst, quoted...)
}

// withHealth is a host's object with another health and all else as it was.
func withHealth(host json.RawMessage, health string) json.RawMessage {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(host, &fields); err != nil {
		return host // never: it has been parsed
	}
	for name := range fields {
		if strings.EqualFold(name, "health") {
			delete(fields, name)
		}
	}
	fields["health"] = json.RawMessage(strconv.Quote(health))
	changed, err := json.Marshal(fields)
	if err != nil {
		return host // never: its parts have been parsed
	}
	return changed
}
