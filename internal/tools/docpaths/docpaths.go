// Package docpaths finds the paths of this repository that a Markdown page names, so that a test can tell which of
// them no longer exist.
package docpaths

import (
	"regexp"
	"strings"
)

// roots matches the folders of the repository that pages refer to.
const roots = `(?:cmd|decision|deploy|docs|internal|tools)`

// quotedPath matches a path in backquotes that begins with one of the folders.
var quotedPath = regexp.MustCompile("`(" + roots + "(?:/[A-Za-z0-9_.-]+)*/?)`")

// Find returns the paths in backquotes that a page names, each once, in the order of their first occurrence.
func Find(page string) []string {
	var paths []string
	seen := map[string]bool{}
	for _, match := range quotedPath.FindAllStringSubmatch(page, -1) {
		path := strings.TrimSuffix(match[1], "/")
		if !seen[path] {
			seen[path] = true
			paths = append(paths, path)
		}
	}
	return paths
}
