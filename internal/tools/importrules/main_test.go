package main

import (
	"errors"
	"strings"
	"testing"
)

const project = "hollyyoke.example/hollyyoke/"

// imports are the direct imports of a package, and the packages that it imports only indirectly.
type imports struct{ direct, indirect []string }

// listerOf returns a lister of some packages. All other packages have no imports.
func listerOf(packages map[string]imports) lister {
	return func(pkg string, direct bool) ([]string, error) {
		known := packages[pkg]
		if direct {
			return known.direct, nil
		}
		return append([]string{project + strings.TrimPrefix(pkg, "./")}, append(known.direct, known.indirect...)...), nil
	}
}

// Each rule reports an import that it forbids, and allows similar ones.
func TestRules(t *testing.T) {
	for _, test := range []struct {
		name     string
		pkg      string
		imports  imports
		violated string // the import that the violation names; empty if there must be no violation
	}{
		{"pure packages do no I/O", "./decision", imports{direct: []string{"os"}}, "os"},
		{"pure packages read no files", "./internal/jobs", imports{direct: []string{"os/exec"}}, "os/exec"},
		{"pure packages import no other package of the project", "./internal/connlimit", imports{direct: []string{project + "decision"}}, project + "decision"},
		{"pure packages may parse addresses", "./internal/connlimit", imports{direct: []string{"net/netip", "time"}}, ""},
		{"pure packages may import packages that do I/O", "./decision", imports{direct: []string{"fmt"}, indirect: []string{"os"}}, ""},
		{"the daemon links no HTTP server", "./cmd/dispatcher-serve", imports{indirect: []string{"net/http"}}, "net/http"},
		{"the daemon links no rehearsal package", "./cmd/dispatcher-serve", imports{indirect: []string{project + "internal/rehearsal/standin"}}, "standin"},
		{"the daemon links no command-line library", "./cmd/dispatcher-serve", imports{indirect: []string{"github.com/alecthomas/kong"}}, "kong"},
		{"dispatch does not import the transport", "./internal/dispatch", imports{direct: []string{project + "internal/transport"}}, "transport"},
		{"dispatch may use the event loop", "./internal/dispatch", imports{direct: []string{project + "internal/eventloop"}}, ""},
		{"faktory does not import the worker client", "./internal/faktory", imports{indirect: []string{project + "internal/workerclient"}}, "workerclient"},
		{"the HTTP front end does not import faktory", "./internal/httpfront", imports{indirect: []string{project + "internal/faktory"}}, "faktory"},
		{"the worker client does not import faktory", "./internal/workerclient", imports{indirect: []string{project + "internal/faktory"}}, "faktory"},
		{"the HTTP front end does not import discovery", "./internal/httpfront", imports{indirect: []string{project + "internal/discovery"}}, "discovery"},
		{"the worker client may import discovery", "./internal/workerclient", imports{indirect: []string{project + "internal/discovery"}}, ""},
		{"stand-ins do not share the parser", "./internal/rehearsal/standin", imports{indirect: []string{project + "internal/httpwire"}}, "httpwire"},
		{"the relay links no rehearsal package", "./cmd/membership-relay", imports{indirect: []string{project + "internal/rehearsal/soak"}}, "soak"},
		{"the relay links no dispatcher", "./cmd/membership-relay", imports{indirect: []string{project + "internal/dispatch"}}, "dispatch"},
		{"the relay may use the relay's package", "./cmd/membership-relay", imports{indirect: []string{project + "internal/relay"}}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := check(rules, listerOf(map[string]imports{test.pkg: test.imports}))
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

// A package that cannot be listed fails the check, so that no rule passes only because its package was renamed.
func TestUnknownPackageFails(t *testing.T) {
	if _, err := goList("./no-such-package", false); err == nil {
		t.Error("a package that does not exist is listed")
	}
	failing := func(string, bool) ([]string, error) { return nil, errors.New("no such package") }
	if check(rules, failing) == nil {
		t.Error("rules whose packages cannot be listed hold")
	}
}
