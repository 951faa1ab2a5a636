package recording

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/go-json-experiment/json/jsontext"
)

// maxHAREntryBytes bounds what is kept of a HAR entry, which excludes headers and bodies.
const maxHAREntryBytes = 8 << 20

var (
	errHAREntryNotObject = errors.New("the entry is no object")
	errHAREntryTooLong   = errors.New("the entry is too long")
)

// handlerError distinguishes an error of the entry handler from one of the input.
type handlerError struct{ error }

// readHAR calls handle for each entry of a HAR file, which it reads as a stream. What precedes a
// fault of the file is handled; the fault is then returned, described without quoting the file.
func readHAR(input *bufio.Reader, handle entryHandler) error {
	if head, _ := input.Peek(len(byteOrderMark)); bytes.Equal(head, []byte(byteOrderMark)) {
		input.Discard(len(byteOrderMark))
	}
	reader := harReader{
		decoder: jsontext.NewDecoder(input, jsontext.AllowInvalidUTF8(true), jsontext.AllowDuplicateNames(true)),
		handle:  handle,
	}
	err := readMembers(reader.decoder, reader.readRoot)
	var ofHandler handlerError
	switch {
	case errors.As(err, &ofHandler):
		return ofHandler.error
	case err != nil:
		return fmt.Errorf("HAR, at byte %d: %s", reader.decoder.InputOffset(), describeJSONError(err))
	case !reader.entriesSeen:
		return errors.New("HAR: log.entries: missing")
	case reader.version != "1.2" && reader.version != "1.1":
		return errors.New("HAR: log.version: not 1.2")
	}
	return nil
}

// describeJSONError describes an error of the JSON decoder without any of the text it read.
func describeJSONError(err error) string {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return "the file ends early"
	}
	var syntax *jsontext.SyntacticError
	if errors.As(err, &syntax) {
		return "no JSON that can be read"
	}
	return "it cannot be read: " + err.Error()
}

// readMembers reads an object and calls handle with each name; handle reads the value.
func readMembers(decoder *jsontext.Decoder, handle func(name string) error) error {
	token, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	if token.Kind() != '{' {
		return errors.New("no object where one belongs")
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
	text        []byte // the members of the entry that are kept, as a JSON object
}

// readRoot reads a member of the file's outermost object.
func (r *harReader) readRoot(name string) error {
	if name != "log" {
		return r.decoder.SkipValue()
	}
	return readMembers(r.decoder, r.readLog)
}

// readLog reads a member of the object "log".
func (r *harReader) readLog(name string) error {
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
		return errors.Join(errors.New("log.entries is no array"), err)
	}
	for position := (entryPosition{line: 1}); r.decoder.PeekKind() != ']'; position.line++ {
		position.offset = r.decoder.InputOffset()
		raw := &RawEntry{Duration: notRecorded, ServiceTime: notRecorded, StampsArrival: true}
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

// readEntry reads one entry. malformed says what is wrong with the entry, err with the file.
func (r *harReader) readEntry(raw *RawEntry) (malformed, err error) {
	if r.decoder.PeekKind() != '{' {
		return errHAREntryNotObject, r.decoder.SkipValue()
	}
	r.text = append(r.text[:0], '{')
	if err := readMembers(r.decoder, r.copyMember); err != nil {
		return nil, err
	}
	r.text = append(r.text, '}')
	if len(r.text) > maxHAREntryBytes {
		return errHAREntryTooLong, nil
	}
	return parseHAREntry(r.text, raw), nil
}

// The members of an entry that are kept, and those of its inner objects.
var (
	harEntryMembers = map[string]bool{"startedDateTime": true, "time": true, "_resourceType": true, "_fromCache": true, "_error": true}
	harInnerMembers = map[string]map[string]bool{
		"request":  {"method": true, "url": true, "bodySize": true},
		"response": {"status": true},
		"timings":  {"send": true, "wait": true, "receive": true},
	}
)

// copyMember copies a member of an entry to r.text if it is one that is kept.
func (r *harReader) copyMember(name string) error {
	if inner := harInnerMembers[name]; inner != nil && r.decoder.PeekKind() == '{' {
		return r.copyInnerObject(name, inner)
	}
	switch {
	case name == "_webSocketMessages":
		r.appendComma()
		r.text = append(r.text, `"_resourceType":"websocket"`...)
		return r.decoder.SkipValue()
	case harEntryMembers[name]:
		return r.copyValue(name)
	}
	return r.decoder.SkipValue()
}

func (r *harReader) copyInnerObject(name string, wanted map[string]bool) error {
	r.appendComma()
	r.text = append(r.text, '"')
	r.text = append(r.text, name...)
	r.text = append(r.text, `":{`...)
	err := readMembers(r.decoder, func(name string) error {
		if !wanted[name] {
			return r.decoder.SkipValue()
		}
		return r.copyValue(name)
	})
	r.text = append(r.text, '}')
	return err
}

// copyValue copies a member. What would exceed maxHAREntryBytes is replaced by padding, by which
// readEntry recognises that the entry is too long.
func (r *harReader) copyValue(name string) error {
	value, err := r.decoder.ReadValue()
	if err != nil {
		return err
	}
	if len(r.text)+len(value) <= maxHAREntryBytes {
		r.appendComma()
		r.text = append(r.text, '"')
		r.text = append(r.text, name...)
		r.text = append(r.text, '"', ':')
		r.text = append(r.text, value...)
	} else if len(r.text) <= maxHAREntryBytes {
		r.text = append(r.text, make([]byte, maxHAREntryBytes)...)
	}
	return nil
}

// appendComma separates a member from the one before it.
func (r *harReader) appendComma() {
	if r.text[len(r.text)-1] != '{' {
		r.text = append(r.text, ',')
	}
}
