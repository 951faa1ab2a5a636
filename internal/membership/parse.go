package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Parse parses one line. An error names the invalid field, and the Change that is
// returned with it has no records. If only the content of workers or settings is
// invalid, its Version and Snapshot are set, for [Store.Reject]; otherwise its
// Version is 0, and the connection that the line was read from cannot be read any
// further. Of several entries with the same key the last one is used, as with
// consecutive changes. Parse does not retain line.
func Parse(line []byte) (Change, error) {
	var wire wireChange
	if err := json.Unmarshal(line, &wire); err != nil {
		return Change{}, fieldError("line", err)
	}
	if err := wire.check(); err != nil {
		return Change{}, err
	}
	change := Change{
		Version:     *wire.Version,
		Snapshot:    wire.Snapshot,
		Exact:       wire.Exact,
		MissingFrom: wire.MissingFrom,
	}
	records := make([]Record, 0, len(wire.Workers)+len(wire.Settings))
	for i, raw := range wire.Workers {
		record, err := parseWorker(raw)
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

// check checks the versions of a line.
func (w *wireChange) check() error {
	switch {
	case w.Version == nil:
		return errors.New("seq: missing")
	case *w.Version < 0:
		return fmt.Errorf("seq: %d is negative", *w.Version)
	case w.MissingFrom < 0 || w.MissingFrom > *w.Version:
		return fmt.Errorf("missing: %d is not between 0 and seq", w.MissingFrom)
	}
	return nil
}

// parseWorker checks a worker and returns its record.
func parseWorker(raw json.RawMessage) (Record, error) {
	var worker Endpoint
	if err := json.Unmarshal(raw, &worker); err != nil {
		return Record{}, err
	}
	switch worker.Health {
	case HealthReady, HealthDraining, HealthGone:
	default:
		return Record{}, &contentError{"health", ": unknown value " + strconv.Quote(worker.Health)}
	}
	if worker.Name == "" {
		return Record{}, &contentError{"host", " is empty"}
	}
	if worker.Health != HealthGone {
		if err := checkAddress(worker.Address); err != nil {
			return Record{}, &contentError{"dial", ": " + err.Error()}
		}
	}
	return Record{
		Key:     WorkerPrefix + worker.Name,
		Value:   onOneLine(raw),
		Deleted: worker.Health == HealthGone,
		Urgent:  worker.Health != HealthReady,
	}, nil
}

// parseSetting checks the form of a setting. Its value is checked by the
// subscriber that applies it.
func parseSetting(raw json.RawMessage) (Record, error) {
	var setting Setting
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

// contentError describes an invalid field of a worker or setting.
type contentError struct {
	field   string
	problem string // starts with the punctuation that separates it from the field's name
}

func (e *contentError) Error() string { return e.field + e.problem }

// fieldError adds to an error the path of the field that it is about. path is the
// path of the object that contains the field.
func fieldError(path string, err error) error {
	var content *contentError
	if errors.As(err, &content) {
		return fmt.Errorf("%s.%w", path, err)
	}
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) {
		return fmt.Errorf("%s: %w", path, err)
	}
	if typeError.Field != "" {
		path += "." + typeError.Field
	}
	return errors.New(path + ": unexpected " + typeError.Value)
}

// checkAddress accepts the same addresses as net.SplitHostPort. It does not call
// that, since this package does no I/O and does not import net.
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

// lastOfEachKey drops the records that are followed by another one with the same key.
func lastOfEachKey(records []Record) []Record {
	last := make(map[string]int, len(records))
	for i := range records {
		last[records[i].Key] = i
	}
	if len(last) == len(records) {
		return records
	}
	latest := records[:0]
	for i, record := range records {
		if last[record.Key] == i {
			latest = append(latest, record)
		}
	}
	return latest
}
