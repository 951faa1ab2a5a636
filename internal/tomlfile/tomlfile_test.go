package tomlfile

import (
	"errors"
	"os"
	"path/filepath"
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

// Errors take one line, and name the key and, where it does not stand in the text of the decoder, the path.
func TestErrors(t *testing.T) {
	for text, want := range map[string]string{
		"count = 1\n[inner]\nname = \"a\"": "",
		"[inner]\nother = 1":               "PATH: inner.other: unknown key",
		"count = -1":                       "PATH: count: negative",
		"count = true":                     `toml: line 1 (last key "count"): incompatible types: TOML value has type bool; destination has type integer`,
	} {
		path := filepath.Join(t.TempDir(), "file.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		got := ""
		if err := ReadChecked(path, &table{}); err != nil {
			got = err.Error()
		}
		if len(want) > 4 && want[:4] == "PATH" {
			want = path + want[4:]
		}
		if got != want {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
	}
}

// A file that cannot be read is an error of package os.
func TestMissing(t *testing.T) {
	if err := ReadChecked(filepath.Join(t.TempDir(), "none"), &table{}); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// A key that nobody reads is an error of its own type.
func TestUnknownKey(t *testing.T) {
	var unknown *UnknownKeyError
	if err := Decode([]byte("x = 1"), &table{}); !errors.As(err, &unknown) || unknown.Key != "x" {
		t.Error(err)
	}
}
