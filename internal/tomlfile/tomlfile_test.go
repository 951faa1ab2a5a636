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

// Each error is a single line that names the key. Errors for unknown keys and of Check begin with the path of the file,
// and those of the TOML decoder do not.
func TestErrors(t *testing.T) {
	for _, test := range []struct {
		text string
		want string // error text, in which PATH stands for the path of the file; empty if no error is expected
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
			t.Errorf("error for %q: %q, want %q", test.text, got, want)
		}
	}
}

// For a file that does not exist, the error wraps os.ErrNotExist.
func TestMissing(t *testing.T) {
	err := ReadChecked(filepath.Join(t.TempDir(), "none"), &table{})
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v, want %v", err, os.ErrNotExist)
	}
}

// For an unknown key, the error is an *UnknownKeyError with the key's name.
func TestUnknownKey(t *testing.T) {
	err := Decode([]byte("x = 1"), &table{})
	var unknown *UnknownKeyError
	if !errors.As(err, &unknown) || unknown.Key != "x" {
		t.Errorf("error %v, want an UnknownKeyError for x", err)
	}
}
