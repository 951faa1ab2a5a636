package goldentest

import (
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Unpack writes the content of a gzip file to a temporary directory, under the file's name without .gz, and returns the
// path. Tests use it for stored data that must stay readable: such a file was written by an earlier build, and no flag
// rewrites it.
func Unpack(t *testing.T, packed string) (path string) {
	t.Helper()
	file, err := os.Open(packed)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	reader, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(t.TempDir(), strings.TrimSuffix(filepath.Base(packed), ".gz"))
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
