package recording

import (
	"strings"
	"testing"
)

// ReadRules rejects a missing, unknown or invalid key with an error that names the key.
func TestInvalidRules(t *testing.T) {
	for text, want := range map[string]string{
		"":                                   "class: missing",
		"[[class]]\nx=1":                     "class.x: unknown key",
		"[[class]]\nname=\"a b\"\nleft_ms=1": "class[0].name",
		"[[class]]\nname=\"a\"":              "class[0].left_ms",
		"[[class]]\nname=\"a\"\nleft_ms=1\nrepeat=\"often\"":                                       "class[0].repeat",
		"[[class]]\nname=\"a\"\nleft_ms=1\npath=\"(\"":                                             "class[0].path",
		"[[class]]\nname=\"a\"\nleft_ms=1\nkey=\"a\"":                                              "class[0].key: no group",
		"[[class]]\nname=\"a\"\nleft_ms=1\nkey_from=\"cookie\"":                                    "class[0].key_from",
		"[[class]]\nname=\"a\"\nleft_ms=1\nslots=-1":                                               "class[0].slots",
		"[[class]]\nname=\"a\"\nleft_ms=1\n[redacted]\nskew=0.5":                                   "redacted.skew",
		"[[class]]\nname=\"a\"\nleft_ms=1\nrepeat=\"retryable\"\n[[class]]\nname=\"a\"\nleft_ms=1": "class[1].repeat",
	} {
		if _, err := ReadRules([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// A segmentPattern, the fast matcher for common path expressions, finds the same match and the same
// group as the regexp package.
func FuzzSegmentPatterns(f *testing.F) {
	expressions := []string{
		"^/members/[^/]+/renew$",
		"^/members/([^/]+)/",
		"^/a$",
		"^/a",
		"^/([^/]+)$",
		"^/x/([^/]+)/y/[^/]+$",
		"^/[^/]+/([^/]+)/z",
		"^/members/[^/]*/status$",
	}
	for _, path := range []string{"/members/17/renew", "/members//renew", "/members/1/2/renew", "/a", "/ab", "/x/1/y/2", "/q/w/z"} {
		f.Add(path)
	}
	var rules []Rule
	for _, expression := range expressions {
		rules = append(rules, ruleWithSegmentPattern(f, expression))
	}
	f.Fuzz(func(t *testing.T, path string) {
		for _, rule := range rules {
			groups := rule.pathPattern.FindStringSubmatch(path)
			group, ok := rule.pathMatcher.match(path)
			if ok != (groups != nil) || ok && len(groups) > 1 && groups[1] != group {
				t.Fatalf("%s on %q: %q, %v; regexp %q", rule.Path, path, group, ok, groups)
			}
		}
	})
}

// ruleWithSegmentPattern returns a rule whose path is the given expression, and also its key if the
// expression has a group. The test fails unless the expression compiles to a segmentPattern.
func ruleWithSegmentPattern(t testing.TB, expression string) Rule {
	t.Helper()
	rule := Rule{Name: "a", TimeoutMs: 1, Path: expression}
	if strings.Contains(expression, "(") {
		rule.Key = expression
	}
	if err := rule.validate("", map[string]RetryPolicy{}); err != nil {
		t.Fatal(err)
	}
	if rule.pathMatcher == nil {
		t.Fatalf("%s is not compiled to a segment pattern", expression)
	}
	return rule
}

// Only an expression in which literal text alternates with whole path segments compiles to a
// segmentPattern. All others are left to the regexp package.
func TestOtherExpressionsAreNoSegmentPatterns(t *testing.T) {
	for _, expression := range []string{"a", "^/a.b", "^/[^/]+x", "^/([^/]+", "^/a|b", "^/([^/]+)/([^/]+)/", "^/[^/]+"} {
		if compileSegmentPattern(expression) != nil {
			t.Errorf("%s is compiled to a segment pattern", expression)
		}
	}
}
