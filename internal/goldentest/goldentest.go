// Package goldentest compares external interfaces, such as command lines, keys of files
// and their defaults, with golden files, so that a test fails if a change of Go names
// changes such an interface. A golden file has only the names of the external interface,
// and is the same whatever the Go declarations behind it are called. Only tests import
// this package.
package goldentest

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write golden files instead of comparing with them")

// Compare fails the test if got is not the text of the golden file testdata/file of
// the package under test. With the flag -update it writes the file.
func Compare(t *testing.T, file, got string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if difference := Difference(string(text), got); difference != "" {
		t.Errorf("%s: an external interface has changed; lines of the golden file are marked -, present lines +:\n%s", path, difference)
	}
}

// CompareHTTP is Compare for HTTP messages. In the golden file a carriage return is
// written as \r, so that the file has ordinary line ends.
func CompareHTTP(t *testing.T, file, got string) {
	t.Helper()
	Compare(t, file, strings.ReplaceAll(got, "\r", `\r`))
}

// Difference lists the lines that only one of two texts has, those of want marked
// with - and those of got with +. It is empty only if the texts are equal. Tests that
// keep their expected texts elsewhere print it when they fail.
func Difference(want, got string) string {
	if want == got {
		return ""
	}
	difference := linesMissing(want, got, "-") + linesMissing(got, want, "+")
	if difference == "" {
		return "the same lines in another order\n"
	}
	return difference
}

// linesMissing returns the lines of a text that another text does not have, or has less
// often, each with a mark.
func linesMissing(text, other, mark string) string {
	unmatched := map[string]int{}
	for line := range strings.Lines(other) {
		unmatched[line]++
	}
	var missing strings.Builder
	for line := range strings.Lines(text) {
		unmatched[line]--
		if unmatched[line] < 0 {
			missing.WriteString(mark + strings.TrimSuffix(line, "\n") + "\n")
		}
	}
	return missing.String()
}

// Lines joins lines to the text of a golden file.
func Lines(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}
