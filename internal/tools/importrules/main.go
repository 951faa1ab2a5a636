// Command importrules checks that the project's packages import only what its import rules allow. For each rule it asks
// `go list` for the imports of the rule's packages, and prints every import that the rule forbids. It exits with status 1
// if there is one. It must run in the repository's root.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
)

func main() {
	if err := check(rules, goList); err != nil {
		fmt.Fprintln(os.Stderr, "importrules: "+err.Error())
		os.Exit(1)
	}
}

// lister returns the import paths of a package: those of its direct imports if direct is set, otherwise those of all
// its dependencies.
type lister func(pkg string, direct bool) ([]string, error)

// check returns an error with one line for each violation of the rules, or nil if there is none.
func check(rules []rule, list lister) error {
	var violations []error
	for _, rule := range rules {
		for _, pkg := range rule.packages {
			imports, err := list(pkg, rule.direct)
			if err != nil {
				return err
			}
			for _, path := range imports {
				if rule.forbidden.MatchString(path) {
					violations = append(violations, fmt.Errorf("%s imports %s: %s", pkg, path, rule.reason))
				}
			}
		}
	}
	return errors.Join(violations...)
}

// goList is the lister that asks `go list`.
func goList(pkg string, direct bool) ([]string, error) {
	arguments := []string{"list", "-deps", pkg}
	if direct {
		arguments = []string{"list", "-f", `{{join .Imports "\n"}}`, pkg}
	}
	output, err := exec.Command("go", arguments...).Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return nil, fmt.Errorf("go list %s: %s", pkg, strings.TrimSpace(string(exit.Stderr)))
	}
	if err != nil {
		return nil, fmt.Errorf("go list %s: %w", pkg, err)
	}
	imports := strings.Fields(string(output))
	slices.Sort(imports)
	return imports, nil
}
