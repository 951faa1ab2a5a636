// Package tomlfile decodes TOML files of operators. Its errors take one line, and keys that nobody reads are errors.
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
	Key string // with the tables that it stands in, separated by dots
}

// Error names the key.
func (e *UnknownKeyError) Error() string { return e.Key + ": unknown key" }

// Decode decodes TOML into value, a pointer. An error takes one line; keys that value does not have are an
// *UnknownKeyError.
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

// OneLine returns an error with the first line of err's text, which says what is wrong.
func OneLine(err error) error {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return errors.New(line)
}

// Checker is a value that checks what was decoded into it, and sets defaults.
type Checker interface {
	Check() error
}

// ReadChecked decodes a file into value and checks it. An error takes one line, and names the path where it names a key.
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
