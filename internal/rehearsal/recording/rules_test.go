package recording

import (
	"strings"
	"testing"
)

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

// Segment patterns match as the regexp package does.
func FuzzSegmentPatterns(f *testing.F) {
	exprs := []string{"^/members/[^/]+/renew$", "^/members/([^/]+)/", "^/a$", "^/a", "^/([^/]+)$", "^/x/([^/]+)/y/[^/]+$", "^/[^/]+/([^/]+)/z", "^/members/[^/]*/status$"}
	for _, p := range []string{"/members/17/renew", "/members//renew", "/members/1/2/renew", "/a", "/ab", "/x/1/y/2", "/q/w/z"} {
		f.Add(p)
	}
	var rules []Rule
	for _, e := range exprs {
		c := Rule{Name: "a", TimeoutMs: 1, Path: e, Key: e}
		if !strings.Contains(e, "(") {
			c.Key = ""
		}
		if err := c.validate("", map[string]RetryPolicy{}); err != nil {
			f.Fatal(err)
		}
		if c.pathMatcher == nil {
			f.Fatalf("%s is not compiled", e)
		}
		rules = append(rules, c)
	}
	for _, e := range []string{"a", "^/a.b", "^/[^/]+x", "^/([^/]+", "^/a|b", "^/([^/]+)/([^/]+)/", "^/[^/]+"} {
		if compileSegmentPattern(e) != nil {
			f.Errorf("%s is compiled", e)
		}
	}
	f.Fuzz(func(t *testing.T, path string) {
		for _, c := range rules {
			m := c.pathPattern.FindStringSubmatch(path)
			group, ok := c.pathMatcher.match(path)
			if ok != (m != nil) || ok && len(m) > 1 && m[1] != group {
				t.Fatalf("%s on %q: %q, %v; regexp %q", c.Path, path, group, ok, m)
			}
		}
	})
}
