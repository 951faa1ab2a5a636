package recording

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"hollyyoke.example/hollyyoke/internal/goldentest"
)

// The keys of the rules file, the defaults and the errors for invalid rules do not change.
func TestGoldenRules(t *testing.T) {
	lines := goldentest.Keys(reflect.TypeFor[Rules](), "toml")
	committed, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "rehearsal.toml"))
	if err != nil {
		t.Fatal(err)
	}
	lines = append(lines, describeRules("deploy/rehearsal.toml", testRules(t, string(committed)))...)
	lines = append(lines, describeRulesErrors()...)
	for i, line := range lines {
		lines[i] = strings.TrimSpace(line)
	}
	goldentest.Compare(t, "rules.golden", goldentest.Lines(lines))
}

// describeRules formats the values of rules: a line for each class and one for redacted members.
func describeRules(name string, rules *Rules) (lines []string) {
	for _, rule := range rules.Classes {
		lines = append(lines, fmt.Sprintln(name, rule.Name, rule.Method, rule.Path, rule.Key, rule.KeySource, rule.TimeoutMs,
			rule.RetryPolicy, rule.Slots, rule.EffortFactor, rule.EffortMs, rule.DurationMs, rule.DurationSpread))
	}
	redacted := rules.Redacted
	return append(lines, fmt.Sprintln(name, redacted.Members, redacted.Skew, redacted.Tokens))
}

// describeRulesErrors formats the errors of ReadRules for invalid rules, one for each check.
func describeRulesErrors() (lines []string) {
	const class = "[[class]]\nname = \"a\"\nleft_ms = 5\n"
	for _, text := range []string{
		"",
		"unknown = 1",
		"[[class]]\nname = \"a b\"",
		"[[class]]\nname = \"a\"",
		class + "repeat = \"often\"",
		class + "key_from = \"mail\"",
		class + "unknown = 1",
		class + "slots = -1.0",
		class + "effort_factor = -1.0",
		class + "effort_ms = -1.0",
		class + "duration_ms = -1.0",
		class + "duration_spread = -1.0",
		class + "path = \"(\"",
		class + "key = \"(\"",
		class + "key = \"a\"",
		class + "[redacted]\nmembers = -1",
		class + "[redacted]\nskew = 0.5",
		class + "name = 3",
	} {
		_, err := ReadRules([]byte(text))
		lines = append(lines, fmt.Sprintf("%q: %v", text, err))
	}
	return lines
}

// The keys of HAR entries do not change.
func TestGoldenHAR(t *testing.T) {
	goldentest.Compare(t, "har.golden", goldentest.Lines(goldentest.Keys(reflect.TypeFor[harEntry](), "json")))
}
