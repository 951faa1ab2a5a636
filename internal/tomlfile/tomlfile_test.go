package tomlfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

type table struct {
	Count int `toml:"count"`
	Inner struct {
		Name string `toml:"name"`
	} `toml:"inner"`
}

func (t *table) Check() error {
	if t.Count < 0 {
		return errors.New("count: negative")
	}
	return nil
}

// Errors are a single line and name the key. Unlike the others, errors of the decoder do not begin with the path.
func TestErrors(t *testing.T) {
	for _, test := range []struct {
		text string
		want string // text of the error, with PATH in place of the file's path; empty if there must be no error
	}{
		{"count = 1\n[inner]\nname = \"a\"", ""},
		{"[inner]\nother = 1", "PATH: inner.other: unknown key"},
		{"count = -1", "PATH: count: negative"},
		{"count = true", `toml: line 1 (last key "count"): incompatible types: TOML value has type bool; destination has type integer`},
	} {
		path := filepath.Join(t.TempDir(), "file.toml")
		if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		got := ""
		if err := ReadChecked(path, &table{}); err != nil {
			got = err.Error()
		}
		want := strings.Replace(test.want, "PATH", path, 1)
		if got != want {
			t.Errorf("%q: %q, want %q", test.text, got, want)
		}
	}
}

// For a file that does not exist, the error is os.ErrNotExist.
func TestMissing(t *testing.T) {
	err := ReadChecked(filepath.Join(t.TempDir(), "none"), &table{})
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v, want %v", err, os.ErrNotExist)
	}
}

// For an unknown key, the error is an *UnknownKeyError with the key's name.
func TestUnknownKey(t *testing.T) {
	err := Decode([]byte("x = 1"), &table{})
	var unknown *UnknownKeyError
	if !errors.As(err, &unknown) || unknown.Key != "x" {
		t.Errorf("%v, want an UnknownKeyError for x", err)
	}
}
