package docpaths

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// Find returns only paths in backquotes, each once.
func TestFind(t *testing.T) {
	page := "See `decision/retry.go`, `internal/jobs/`, `cmd`, again `decision/retry.go`; not `go test` or decision/x.go."
	want := []string{"decision/retry.go", "internal/jobs", "cmd"}
	if got := Find(page); !slices.Equal(got, want) {
		t.Errorf("found %q, want %q", got, want)
	}
}

// TestPathsExist checks that the paths on the pages that guide engineers through the repository exist.
func TestPathsExist(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	for _, page := range []string{"README.md", "DEVELOPERS.md", "docs/ARCHITECTURE.md", "docs/on-call.md"} {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		paths := Find(string(text))
		if len(paths) == 0 {
			t.Errorf("%s names no path", page)
		}
		for _, path := range paths {
			if _, err := os.Stat(filepath.Join(root, path)); err != nil {
				t.Errorf("%s names %s, which does not exist", page, path)
			}
		}
	}
}
