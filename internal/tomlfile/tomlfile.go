// Package tomlfile decodes TOML files of operators. The text of its errors is a single line, and an unknown key is an
// error.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// UnknownKeyError is returned for a key that the decoded value does not have.
type UnknownKeyError struct {
	Key string // full name, with the tables that contain the key, separated by dots
}

// Error names the key.
func (e *UnknownKeyError) Error() string { return e.Key + ": unknown key" }

// Decode decodes TOML into value, which must be a pointer. The text of an error is a single line. For a key that value
// does not have, the error is an *UnknownKeyError.
func Decode(text []byte, value any) error {
	meta, err := toml.Decode(string(text), value)
	if err != nil {
		return OneLine(err)
	}
	return CheckKeys(meta)
}

// CheckKeys returns an *UnknownKeyError for the first key that was not decoded, or nil if there is none.
func CheckKeys(meta toml.MetaData) error {
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return &UnknownKeyError{Key: unknown[0].String()}
	}
	return nil
}

// OneLine returns an error with only the first line of err's text, which says what is wrong.
func OneLine(err error) error {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return errors.New(line)
}

// Checker is a value that can be decoded from a file. Check validates what was decoded, and sets defaults.
type Checker interface {
	Check() error
}

// ReadChecked decodes a file into value and checks it. Errors of the decoder are a single line without the path; those
// for unknown keys and of Check begin with the path.
func ReadChecked(path string, value Checker) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	err = Decode(text, value)
	var unknown *UnknownKeyError
	switch {
	case errors.As(err, &unknown):
		return fmt.Errorf("%s: %w", path, err)
	case err != nil:
		return err
	}
	if err := value.Check(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
