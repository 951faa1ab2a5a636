package recording

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/go-json-experiment/json/jsontext"
)

// maxHAREntryBytes bounds the members of a HAR entry that are kept. Headers and bodies are not.
const maxHAREntryBytes = 8 << 20

var (
	errHAREntryNotObject = errors.New("the entry is no object")
	errHAREntryTooLong   = errors.New("the entry is too long")
)

// handlerError wraps an error of the entry handler, to distinguish it from an error of the input.
type handlerError struct{ error }

// readHAR reads a HAR file as a stream and calls handle for each entry. If the file is faulty, it
// handles the entries before the fault and then returns an error that does not quote the file.
func readHAR(input *bufio.Reader, handle entryHandler) error {
	if head, _ := input.Peek(len(byteOrderMark)); bytes.Equal(head, []byte(byteOrderMark)) {
		input.Discard(len(byteOrderMark))
	}
	reader := harReader{
		decoder: jsontext.NewDecoder(input, jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true)),
		handle:  handle,
	}
	err := readMembers(reader.decoder, reader.readRootMember)
	var handlerErr handlerError
	switch {
	case errors.As(err, &handlerErr):
		return handlerErr.error
	case err != nil:
		return fmt.Errorf("HAR, at byte %d: %s", reader.decoder.InputOffset(), describeJSONError(err))
	case !reader.entriesSeen:
		return errors.New("HAR: log.entries: missing")
	case reader.version != "1.2" && reader.version != "1.1":
		return errors.New("HAR: log.version: not 1.2")
	}
	return nil
}

// describeJSONError describes an error of the JSON decoder without quoting the file.
func describeJSONError(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return "unexpected end of file"
	}
	var syntax *jsontext.SyntacticError
	if errors.As(err, &syntax) {
		return "invalid JSON"
	}
	return "read error: " + err.Error()
}

// readMembers reads an object and calls handle with the name of each member. handle must read the
// member's value.
func readMembers(decoder *jsontext.Decoder, handle func(name string) error) error {
	token, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	if token.Kind() != '{' {
		return errors.New("an object is expected here")
	}
	for decoder.PeekKind() != '}' {
		token, err := decoder.ReadToken()
		if err != nil {
			return err
		}
		if token.Kind() != '"' {
			return io.ErrUnexpectedEOF
		}
		if err := handle(token.String()); err != nil {
			return err
		}
	}
	_, err = decoder.ReadToken()
	return err
}

// harReader reads one HAR file.
type harReader struct {
	decoder     *jsontext.Decoder
	handle      entryHandler
	version     string
	entriesSeen bool
	entryJSON   []byte // kept members of the current entry, as a JSON object
}

// readRootMember reads the value of a member of the file's outermost object.
func (r *harReader) readRootMember(name string) error {
	if name != "log" {
		return r.decoder.SkipValue()
	}
	return readMembers(r.decoder, r.readLogMember)
}

// readLogMember reads the value of a member of the object "log".
func (r *harReader) readLogMember(name string) error {
	switch {
	case name == "version" && r.decoder.PeekKind() == '"':
		token, err := r.decoder.ReadToken()
		r.version = token.String()
		return err
	case name == "entries":
		r.entriesSeen = true
		return r.readEntries()
	}
	return r.decoder.SkipValue()
}

// readEntries reads the array "entries".
func (r *harReader) readEntries() error {
	token, err := r.decoder.ReadToken()
	if err != nil || token.Kind() != '[' {
		return errors.Join(errors.New("log.entries is not an array"), err)
	}
	for position := (entryPosition{line: 1}); r.decoder.PeekKind() != ']'; position.line++ {
		position.offset = r.decoder.InputOffset()
		raw := &RawEntry{Duration: notRecorded, ServiceTime: notRecorded, TimestampMarksArrival: true}
		malformed, err := r.readEntry(raw)
		if err != nil {
			return err
		}
		if malformed != nil {
			raw = nil
		}
		if err := r.handle(position, raw, malformed); err != nil {
			return handlerError{err}
		}
	}
	_, err = r.decoder.ReadToken()
	return err
}

// readEntry reads one entry. malformed says why the entry is malformed. err is an error of the file,
// after which no further entry can be read.
func (r *harReader) readEntry(raw *RawEntry) (malformed, err error) {
	if r.decoder.PeekKind() != '{' {
		return errHAREntryNotObject, r.decoder.SkipValue()
	}
	r.entryJSON = append(r.entryJSON[:0], '{')
	if err := readMembers(r.decoder, r.copyMember); err != nil {
		return nil, err
	}
	r.entryJSON = append(r.entryJSON, '}')
	if len(r.entryJSON) > maxHAREntryBytes {
		return errHAREntryTooLong, nil
	}
	return parseHAREntry(r.entryJSON, raw), nil
}

// The members of an entry and of its inner objects that are kept.
var (
	harEntryMembers = map[string]bool{"startedDateTime": true, "time": true, "_resourceType": true, "_fromCache": true, "_error": true}
	harInnerMembers = map[string]map[string]bool{
		"request":  {"method": true, "url": true, "bodySize": true},
		"response": {"status": true},
		"timings":  {"send": true, "wait": true, "receive": true},
	}
)

// copyMember appends a member of an entry to r.entryJSON, or skips it if it is not kept. It replaces
// _webSocketMessages by a _resourceType that marks the entry as one of a websocket.
func (r *harReader) copyMember(name string) error {
	if inner := harInnerMembers[name]; inner != nil && r.decoder.PeekKind() == '{' {
		return r.copyInnerObject(name, inner)
	}
	switch {
	case name == "_webSocketMessages":
		r.appendComma()
		r.entryJSON = append(r.entryJSON, `"_resourceType":"websocket"`...)
		return r.decoder.SkipValue()
	case harEntryMembers[name]:
		return r.copyValue(name)
	}
	return r.decoder.SkipValue()
}

func (r *harReader) copyInnerObject(name string, wanted map[string]bool) error {
	r.appendComma()
	r.entryJSON = append(r.entryJSON, '"')
	r.entryJSON = append(r.entryJSON, name...)
	r.entryJSON = append(r.entryJSON, `":{`...)
	err := readMembers(r.decoder, func(name string) error {
		if !wanted[name] {
			return r.decoder.SkipValue()
		}
		return r.copyValue(name)
	})
	r.entryJSON = append(r.entryJSON, '}')
	return err
}

// copyValue appends a member to r.entryJSON. If r.entryJSON would exceed maxHAREntryBytes, copyValue pads
// it beyond that size instead, by which readEntry recognises that the entry is too long.
func (r *harReader) copyValue(name string) error {
	value, err := r.decoder.ReadValue()
	if err != nil {
		return err
	}
	if len(r.entryJSON)+len(value) <= maxHAREntryBytes {
		r.appendComma()
		r.entryJSON = append(r.entryJSON, '"')
		r.entryJSON = append(r.entryJSON, name...)
		r.entryJSON = append(r.entryJSON, '"', ':')
		r.entryJSON = append(r.entryJSON, value...)
	} else if len(r.entryJSON) <= maxHAREntryBytes {
		r.entryJSON = append(r.entryJSON, make([]byte, maxHAREntryBytes)...)
	}
	return nil
}

// appendComma appends a comma unless the next member is the first one of its object.
func (r *harReader) appendComma() {
	if r.entryJSON[len(r.entryJSON)-1] != '{' {
		r.entryJSON = append(r.entryJSON, ',')
	}
}
