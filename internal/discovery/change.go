package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"hollyyoke.example/hollyyoke/internal/membership"
)

// settingChange is the new value of a setting in its wire form. Errors of encoding/json contain the name of this type.
type settingChange membership.Setting

// membershipChange is one object of a membership server: a snapshot or a delta.
type membershipChange struct {
	version     membership.Version
	snapshot    bool
	exact       bool               // a delta that applies only to the state at base, as in membership.Change
	missingFrom membership.Version // the first version of which the sender lacks some content; 0 if it lacks nothing
	endpoints   []endpoint
	settings    []settingChange

	base      membership.Version // that a delta continues from: the one polled from, or the previous one on the watch
	typeError error              // describes the first field whose value has the wrong JSON type; nil if all types are right
}

// maxElements bounds the length of the arrays of a change. An element that is three bytes of text takes a hundred times
// as many bytes in memory.
const maxElements = 200_000

var (
	errTooManyElements = fmt.Errorf("an array has over %d elements", maxElements)
	errTrailingData    = errors.New("there is data after the object")
)

// decodeChange reads one object, after which the text must end. It decodes element by element as bytes arrive, so that
// the text of a large snapshot is never in memory as a whole. A value of the wrong type sets typeError instead of
// returning an error, so that the version of the rejected change is known.
func decodeChange(source io.Reader) (membershipChange, error) {
	var change membershipChange
	decoder := json.NewDecoder(source)
	if err := expectToken(decoder, json.Delim('{')); err != nil {
		return change, err
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return change, err
		}
		if err := change.decodeField(decoder, key); err != nil {
			return change, err
		}
	}
	if err := expectToken(decoder, json.Delim('}')); err != nil {
		return change, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return change, errTrailingData
	}
	return change, nil
}

// decodeField reads the value of one key. Unknown keys are skipped.
func (c *membershipChange) decodeField(decoder *json.Decoder, key json.Token) error {
	switch key {
	case "seq":
		return describeTypeError("seq", decoder.Decode(&c.version))
	case "whole":
		return describeTypeError("whole", decoder.Decode(&c.snapshot))
	case "exact":
		return describeTypeError("exact", decoder.Decode(&c.exact))
	case "missing":
		return describeTypeError("missing", decoder.Decode(&c.missingFrom))
	case "hosts":
		return decodeArray(decoder, "hosts", &c.endpoints, &c.typeError)
	case "settings":
		return decodeArray(decoder, "settings", &c.settings, &c.typeError)
	}
	var skipped json.RawMessage
	return decoder.Decode(&skipped)
}

// decodeArray reads an array element by element; null is read as an empty array. The first element with a value of the
// wrong type is described in typeError, unless that is already set, and the remaining elements are read as well.
func decodeArray[T any](decoder *json.Decoder, field string, out *[]T, typeError *error) error {
	token, err := decoder.Token()
	switch {
	case err != nil:
		return err
	case token == nil:
		return nil
	case token != json.Delim('['):
		return fmt.Errorf("%s is not an array", field)
	}
	for decoder.More() {
		var element T
		err := decoder.Decode(&element)
		_, wrongType := errors.AsType[*json.UnmarshalTypeError](err)
		if err != nil && !wrongType {
			return err
		}
		if wrongType && *typeError == nil {
			*typeError = describeTypeError(fmt.Sprintf("%s[%d]", field, len(*out)), err)
		}
		*out = append(*out, element)
		if len(*out) > maxElements {
			return errTooManyElements
		}
	}
	return expectToken(decoder, json.Delim(']'))
}

// expectToken reads one token and returns an error if it differs from want.
func expectToken(decoder *json.Decoder, want json.Token) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if token != want {
		return fmt.Errorf("unexpected %v, want %v", token, want)
	}
	return nil
}

// describeTypeError returns an error that names the field if err reports a value of the wrong JSON type. Other errors,
// and nil, are returned unchanged.
func describeTypeError(field string, err error) error {
	typeError, ok := errors.AsType[*json.UnmarshalTypeError](err)
	if !ok {
		return err
	}
	if typeError.Field != "" {
		field += "." + typeError.Field
	}
	return fmt.Errorf("%s: unexpected %s", field, typeError.Value)
}
