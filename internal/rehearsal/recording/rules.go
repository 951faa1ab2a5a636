// Package recording turns raw access logs and HAR files into canonical
// recordings: one versioned file of arrivals, classes, keys and cost hints in
// which no member can be recognised. It owns the readers, the clocks of the
// sources, what is missing, and the file's form. It does no I/O beyond the
// readers and writers that it is handed, starts no goroutine of its own, and
// must never keep a member's number, a token, a cookie, a query or a body.
package recording

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// This file owns the rules: which class an entry belongs to, what its key is,
// and what stands in for what the log does not tell. It must never let an entry
// through whose class no rule names, nor call a class retryable unasked.

// Rules is the file that says what the entries of a log mean.
type Rules struct {
	Classes    []Rule   `toml:"class"`
	Redacted Redacted `toml:"redacted"`
}

// Rule maps entries to a class. The first that fits is taken.
type Rule struct {
	Name   string `toml:"name"`     // the class
	Method string `toml:"method"`   // empty: any
	Path   string `toml:"path"`     // regular expression on the path without its query; empty: any
	Key    string `toml:"key"`      // regular expression on the path, whose first group is the key; empty: the path's last part
	KeySource  string `toml:"key_from"` // "path" (default), "client" (the peer's address) or "none"
	TimeoutMs int    `toml:"left_ms"`  // how long the client waits, ms
	RetryPolicy string `toml:"repeat"`   // "retryable", or "fragile" (default): replayed to proven stand-ins alone

	Slots    float64 `toml:"slots"`         // that a job takes; default 1
	EffortFactor   float64 `toml:"effort_factor"` // effort is the recorded duration times this; default 1
	EffortMs float64 `toml:"effort_ms"`     // fixed effort, ms; 0: from the duration

	DurationMs     float64 `toml:"duration_ms"`     // mean, where no entry of the class has one, ms; default 100
	DurationSpread float64 `toml:"duration_spread"` // its coefficient of variation (lognormal); default 0.5

	pathPattern, keyPattern *regexp.Regexp
	pathMatcher     *segmentPattern
	keyMatcher  *segmentPattern
}

// Redacted says what keys are made up for entries whose member is wholly redacted.
type Redacted struct {
	Members int      `toml:"members"` // how many are made up; default 1000
	Skew    float64  `toml:"skew"`    // 0: each as likely; above 1: Zipf's exponent
	Tokens  []string `toml:"tokens"`  // taken as wholly redacted, beside the built-in ones
}

const (
	maxTimeoutMs  = 10 * 60 * 1000
	maxSyntheticMembers = 10_000_000
)

// Distribution words the distribution of made-up keys.
func (r *Redacted) Distribution() string {
	if r.Skew > 1 {
		return fmt.Sprintf("Zipf with exponent %g over %d members", r.Skew, r.Members)
	}
	return fmt.Sprintf("uniform over %d members", r.Members)
}

// ReadRules reads and checks a file of rules, given as its text. An error is
// one line that names the key.
func ReadRules(text []byte) (r Rules, err error) {
	meta, err := toml.Decode(string(text), &r)
	if err != nil {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return r, errors.New(line)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return r, fmt.Errorf("%s: unknown key", unknown[0])
	}
	if len(r.Classes) == 0 {
		return r, errors.New("class: missing")
	}
	if r.Redacted.Members == 0 {
		r.Redacted.Members = 1000
	}
	if r.Redacted.Members < 1 || r.Redacted.Members > maxSyntheticMembers {
		return r, fmt.Errorf("redacted.members: %d is not between 1 and %d", r.Redacted.Members, maxSyntheticMembers)
	}
	if s := r.Redacted.Skew; s != 0 && !(s > 1 && s <= 10) {
		return r, fmt.Errorf("redacted.skew: %g is neither 0 nor above 1 and up to 10", s)
	}
	seen := map[string]string{}
	for i := range r.Classes {
		if err := r.Classes[i].validate(fmt.Sprintf("class[%d]", i), seen); err != nil {
			return r, err
		}
	}
	return r, nil
}

func (c *Rule) validate(at string, seen map[string]string) (err error) {
	if c.Name == "" || strings.ContainsAny(c.Name, "/ ?#\r\n\t") {
		return fmt.Errorf("%s.name: %q is no name of a class", at, c.Name)
	}
	if c.TimeoutMs < 1 || c.TimeoutMs > maxTimeoutMs {
		return fmt.Errorf("%s.left_ms: %d is not between 1 and %d", at, c.TimeoutMs, maxTimeoutMs)
	}
	if c.RetryPolicy == "" {
		c.RetryPolicy = "fragile"
	}
	if c.RetryPolicy != "fragile" && c.RetryPolicy != "retryable" {
		return fmt.Errorf("%s.repeat: %q is neither fragile nor retryable", at, c.RetryPolicy)
	}
	if was, ok := seen[c.Name]; ok && was != c.RetryPolicy {
		return fmt.Errorf("%s.repeat: %s was %s before", at, c.Name, was)
	}
	seen[c.Name] = c.RetryPolicy
	switch c.KeySource {
	case "", "path", "client", "none":
	default:
		return fmt.Errorf("%s.key_from: %q is neither path, client nor none", at, c.KeySource)
	}
	for _, x := range []struct {
		name      string
		v         *float64
		def, most float64
	}{
		{"slots", &c.Slots, 1, 64}, {"effort_factor", &c.EffortFactor, 1, 1000}, {"effort_ms", &c.EffortMs, 0, 600_000},
		{"duration_ms", &c.DurationMs, 100, 600_000}, {"duration_spread", &c.DurationSpread, 0.5, 10},
	} {
		if *x.v == 0 {
			*x.v = x.def
		}
		if math.IsNaN(*x.v) || *x.v < 0 || *x.v > x.most {
			return fmt.Errorf("%s.%s: %g is not between 0 and %g", at, x.name, *x.v, x.most)
		}
	}
	if c.pathPattern, err = regexp.Compile(c.Path); err != nil {
		return fmt.Errorf("%s.path: %w", at, err)
	}
	if c.keyPattern, err = regexp.Compile(c.Key); err != nil {
		return fmt.Errorf("%s.key: %w", at, err)
	}
	if c.Key != "" && c.keyPattern.NumSubexp() < 1 {
		return fmt.Errorf("%s.key: no group", at)
	}
	c.pathMatcher, c.keyMatcher = compileSegmentPattern(c.Path), compileSegmentPattern(c.Key)
	return nil
}

// segmentPattern is a regular expression of the form that rules mostly have: text
// and single path parts in turn. It is matched without the regexp package, which
// took two thirds of an import's time; everything else goes to that package.
type segmentPattern struct {
	literals  []string // text[0] part text[1] part ... text[n]
	mayBeEmpty []bool   // which parts may be empty
	groupSegment int      // which part is the first group; -1: none
	anchoredEnd bool     // it ends with $
}

// compileSegmentPattern tells whether an expression has that form; nil: no.
func compileSegmentPattern(expr string) *segmentPattern {
	rest, ok := strings.CutPrefix(expr, "^")
	if !ok {
		return nil
	}
	p := &segmentPattern{groupSegment: -1}
	rest, p.anchoredEnd = strings.CutSuffix(rest, "$")
	for {
		i := strings.Index(rest, "[^/]")
		if i < 0 || i+len("[^/]+") > len(rest) {
			break
		}
		before, sign, after := rest[:i], rest[i+len("[^/]")], rest[i+len("[^/]+"):]
		if sign != '+' && sign != '*' {
			return nil
		}
		if b, ok := strings.CutSuffix(before, "("); ok {
			if p.groupSegment >= 0 || !strings.HasPrefix(after, ")") {
				return nil
			}
			before, after, p.groupSegment = b, after[1:], len(p.literals)
		}
		// What follows a part must start at its end, or the match is not the only one.
		if after != "" && after[0] != '/' || after == "" && !p.anchoredEnd {
			return nil
		}
		p.literals, p.mayBeEmpty = append(p.literals, before), append(p.mayBeEmpty, sign == '*')
		rest = after
	}
	p.literals = append(p.literals, rest)
	for _, t := range p.literals {
		if regexp.QuoteMeta(t) != t {
			return nil
		}
	}
	return p
}

// match matches a path; group is the first group's text.
func (p *segmentPattern) match(path string) (group string, ok bool) {
	for i, t := range p.literals {
		if !strings.HasPrefix(path, t) {
			return "", false
		}
		path = path[len(t):]
		if i == len(p.literals)-1 {
			break
		}
		n := strings.IndexByte(path, '/')
		if n < 0 {
			n = len(path)
		}
		if n == 0 && !p.mayBeEmpty[i] {
			return "", false
		}
		if i == p.groupSegment {
			group = path[:n]
		}
		path = path[n:]
	}
	return group, !p.anchoredEnd || path == ""
}

// Find finds the first rule that fits and the token of its key, which is empty
// where the log tells none; -1: no rule fits. path is without its query.
func (r *Rules) Find(method, path, client string) (rule int, token string) {
	for i := range r.Classes {
		c := &r.Classes[i]
		if c.Method != "" && c.Method != method {
			continue
		}
		if c.pathMatcher != nil {
			if _, ok := c.pathMatcher.match(path); !ok {
				continue
			}
		} else if !c.pathPattern.MatchString(path) {
			continue
		}
		switch {
		case c.KeySource == "none":
		case c.KeySource == "client":
			token = client
		case c.Key == "":
			token = path[strings.LastIndexByte(path, '/')+1:]
		case c.keyMatcher != nil:
			token, _ = c.keyMatcher.match(path)
		default:
			if m := c.keyPattern.FindStringSubmatch(path); m != nil {
				token = m[1]
			}
		}
		return i, token
	}
	return -1, ""
}

// timeout is how long a client of the rule waits.
func (c *Rule) timeout() time.Duration { return time.Duration(c.TimeoutMs) * time.Millisecond }

// isRedacted tells whether nothing of a member is left in a token: it is empty, a
// dash, or made of signs that stand for something taken out.
func (r *Redacted) isRedacted(token string) bool {
	switch strings.ToLower(token) {
	case "", "-", "redacted", "[redacted]", "%5bredacted%5d", "<redacted>", "hidden", "masked", "removed", "none", "null":
		return true
	}
	for _, t := range r.Tokens {
		if t == token {
			return true
		}
	}
	if strings.Contains(token, "%") {
		token = strings.ReplaceAll(strings.ToUpper(token), "%2A", "*")
	}
	return strings.Trim(token, "*xX.?#•") == ""
}
