// Package goldentest compares forms that others depend on, such as command lines,
// keys of files and their defaults, with golden files: a change of Go names that
// changes such a form fails a test. A golden file holds names of the outside form
// alone, so that it is the same whatever the Go declarations behind it are called.
// Only tests import this package.
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
		t.Errorf("%s: an outside form has changed; golden lines are marked -, today's +:\n%s", path, difference)
	}
}

// CompareHTTP is Compare for tests of HTTP messages: in the golden file a carriage
// return is written as \r, so that the file has the line ends of a text.
func CompareHTTP(t *testing.T, file, got string) {
	t.Helper()
	Compare(t, file, strings.ReplaceAll(got, "\r", `\r`))
}

// Difference lists the lines that only one of two texts has, those of want marked
// with - and those of got with +. It is empty only where the texts are equal. Tests
// that keep their texts elsewhere print it when they fail.
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

// linesMissing returns the lines of a text that another has not, or not as often, each
// with a mark.
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

// Lines joins the lines that a test has gathered into the text of a golden file.
func Lines(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}
