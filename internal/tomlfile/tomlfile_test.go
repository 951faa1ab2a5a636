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

// Errors take one line and name the key. The decoder's own do not have the path.
func TestErrors(t *testing.T) {
	for _, test := range []struct {
		text string
		want string // PATH stands for the file's path; empty: no error
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

// A file that cannot be read is an error of package os.
func TestMissing(t *testing.T) {
	err := ReadChecked(filepath.Join(t.TempDir(), "none"), &table{})
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v, want %v", err, os.ErrNotExist)
	}
}

// A key that nobody reads is an error of its own type.
func TestUnknownKey(t *testing.T) {
	err := Decode([]byte("x = 1"), &table{})
	var unknown *UnknownKeyError
	if !errors.As(err, &unknown) || unknown.Key != "x" {
		t.Errorf("%v, want an UnknownKeyError for x", err)
	}
}
