package main

import "regexp"

// rule forbids imports to some packages.
type rule struct {
	reason    string         // why the imports are forbidden; part of the message of a violation
	packages  []string       // patterns of go list, below the root
	direct    bool           // the rule applies only to direct imports, not to those of dependencies
	forbidden *regexp.Regexp // matches an import path that is not allowed
}

// rules are the import rules that docs/ARCHITECTURE.md states.
var rules = []rule{
	{
		reason: "it makes decisions and does no I/O",
		packages: []string{
			"./decision", "./internal/connlimit", "./internal/jobs", "./internal/membership", "./internal/freshness",
			"./internal/invariant",
		},
		direct:    true,
		forbidden: regexp.MustCompile(`^(net|net/http|os|os/.*|syscall|io)$|hollyyoke`),
	},
	{
		reason:    "the daemon's process must stay small, and links no rehearsal package",
		packages:  []string{"./cmd/dispatcher-serve"},
		forbidden: regexp.MustCompile(`^net/http$|internal/rehearsal|alecthomas/kong|gonum|protobuf|klauspost|HdrHistogram`),
	},
	{
		reason:    "it depends on no front end and on no sockets",
		packages:  []string{"./internal/dispatch"},
		direct:    true,
		forbidden: projectPackages("httpfront|workerclient|discovery|httpwire|faktory|transport|admin|daemon"),
	},
	{
		reason:    "front ends and the worker client do not import each other",
		packages:  []string{"./internal/faktory"},
		forbidden: projectPackages("httpfront|workerclient|discovery"),
	},
	{
		reason:    "front ends and the worker client do not import each other",
		packages:  []string{"./internal/httpfront", "./internal/workerclient"},
		forbidden: projectPackages("faktory"),
	},
	{
		reason:    "front ends and the worker client do not import each other",
		packages:  []string{"./internal/httpfront"},
		forbidden: projectPackages("workerclient|discovery"),
	},
	{
		reason:    "a stand-in shares no code with the front end that it tests",
		packages:  []string{"./internal/rehearsal/standin", "./internal/rehearsal/hostileload"},
		forbidden: projectPackages("httpfront|workerclient|discovery|httpwire|faktory|dispatch|transport"),
	},
	{
		reason:    "the relay links neither rehearsal packages nor the dispatcher",
		packages:  []string{"./cmd/membership-relay"},
		forbidden: projectPackages("rehearsal(/.*)?|httpfront|workerclient|discovery|httpwire|faktory|dispatch|transport"),
	},
}

// projectPackages returns an expression that matches the import paths of packages under internal, given as alternatives.
func projectPackages(alternatives string) *regexp.Regexp {
	return regexp.MustCompile(`internal/(` + alternatives + `)$`)
}
