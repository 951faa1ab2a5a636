package main

import (
	"errors"
	"strings"
	"testing"
)

const project = "hollyyoke.example/hollyyoke/"

// imports is what a lister says of each package, its direct imports and all others.
type imports struct{ direct, indirect []string }

// listOf returns a lister that knows some packages; all others import nothing.
func listOf(packages map[string]imports) lister {
	return func(pkg string, direct bool) ([]string, error) {
		known := packages[pkg]
		if direct {
			return known.direct, nil
		}
		return append([]string{project + strings.TrimPrefix(pkg, "./")}, append(known.direct, known.indirect...)...), nil
	}
}

// Each rule finds the import that it is there for, and allows those beside it.
func TestRules(t *testing.T) {
	for _, test := range []struct {
		name     string
		pkg      string
		imports  imports
		violated string // the import that is named; empty: none
	}{
		{"pure packages do no I/O", "./decision", imports{direct: []string{"os"}}, "os"},
		{"pure packages read no files", "./internal/jobs", imports{direct: []string{"os/exec"}}, "os/exec"},
		{"pure packages import none of the project", "./internal/connlimit", imports{direct: []string{project + "decision"}}, project + "decision"},
		{"pure packages may parse addresses", "./internal/connlimit", imports{direct: []string{"net/netip", "time"}}, ""},
		{"pure packages may use what does I/O itself", "./decision", imports{direct: []string{"fmt"}, indirect: []string{"os"}}, ""},
		{"the daemon links no HTTP server", "./cmd/dispatcher-serve", imports{indirect: []string{"net/http"}}, "net/http"},
		{"the daemon links nothing of the kit", "./cmd/dispatcher-serve", imports{indirect: []string{project + "internal/rehearsal/standin"}}, "standin"},
		{"the daemon links no command-line library", "./cmd/dispatcher-serve", imports{indirect: []string{"github.com/alecthomas/kong"}}, "kong"},
		{"dispatch knows no socket", "./internal/dispatch", imports{direct: []string{project + "internal/transport"}}, "transport"},
		{"dispatch may use the event loop", "./internal/dispatch", imports{direct: []string{project + "internal/eventloop"}}, ""},
		{"faktory does not know the worker client", "./internal/faktory", imports{indirect: []string{project + "internal/workerclient"}}, "workerclient"},
		{"the HTTP front end does not know faktory", "./internal/httpfront", imports{indirect: []string{project + "internal/faktory"}}, "faktory"},
		{"the worker client does not know faktory", "./internal/workerclient", imports{indirect: []string{project + "internal/faktory"}}, "faktory"},
		{"the HTTP front end does not know discovery", "./internal/httpfront", imports{indirect: []string{project + "internal/discovery"}}, "discovery"},
		{"the worker client may know discovery", "./internal/workerclient", imports{indirect: []string{project + "internal/discovery"}}, ""},
		{"stand-ins share no parser", "./internal/rehearsal/standin", imports{indirect: []string{project + "internal/httpwire"}}, "httpwire"},
		{"the relay links nothing of the kit", "./cmd/membership-relay", imports{indirect: []string{project + "internal/rehearsal/soak"}}, "soak"},
		{"the relay links no dispatcher", "./cmd/membership-relay", imports{indirect: []string{project + "internal/dispatch"}}, "dispatch"},
		{"the relay may use the relay's package", "./cmd/membership-relay", imports{indirect: []string{project + "internal/relay"}}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := check(rules, listOf(map[string]imports{test.pkg: test.imports}))
			switch {
			case test.violated == "" && err != nil:
				t.Errorf("unexpected violation: %v", err)
			case test.violated != "" && err == nil:
				t.Errorf("importing %s is not found", test.violated)
			case test.violated != "" && !strings.Contains(err.Error(), test.pkg+" imports") || err != nil && !strings.Contains(err.Error(), test.violated):
				t.Errorf("%v: want %s and %s named", err, test.pkg, test.violated)
			}
		})
	}
}

// A package that cannot be listed fails the check: a rule must not hold since its package was renamed.
func TestUnknownPackageFails(t *testing.T) {
	if _, err := goList("./no-such-package", false); err == nil {
		t.Error("a package that does not exist is listed")
	}
	failing := func(string, bool) ([]string, error) { return nil, errors.New("no such package") }
	if check(rules, failing) == nil {
		t.Error("rules whose packages cannot be listed hold")
	}
}
