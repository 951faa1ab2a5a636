package simwire

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"hollyyoke.example/hollyyoke/internal/settings"
)

// readNumber returns a number that must be present.
func readNumber(object *fastjson.Value, name string) (*fastjson.Value, error) {
	field := object.Get(name)
	if field == nil || field.Type() != fastjson.TypeNumber {
		return nil, fmt.Errorf("no number %s", name)
	}
	return field, nil
}

// readOptionalNumber returns a number, and whether it is present.
func readOptionalNumber(object *fastjson.Value, name string) (float64, bool) {
	field := object.Get(name)
	if field == nil || field.Type() != fastjson.TypeNumber {
		return 0, false
	}
	return field.GetFloat64(), true
}

// readInteger returns an integer that must be present.
func readInteger(object *fastjson.Value, name string) (int64, error) {
	field, err := readNumber(object, name)
	if err != nil {
		return 0, err
	}
	return field.Int64()
}

// readIdentifier returns a request ID or timer handle, which must be present.
func readIdentifier(object *fastjson.Value, name string) (uint64, error) {
	field, err := readNumber(object, name)
	if err != nil {
		return 0, err
	}
	return field.Uint64()
}

// readSpan returns a span that is given in microseconds, which may have a fraction, or 0 if it is
// absent.
func readSpan(object *fastjson.Value, name string) time.Duration {
	return settings.DurationFromMicroseconds(object.GetFloat64(name))
}
