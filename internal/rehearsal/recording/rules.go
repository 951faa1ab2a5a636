package recording

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/tomlfile"
)

// Rules say which class the entries of a log belong to, what their keys are, and what replaces
// information that the log does not contain. ReadRules makes them. An entry that no rule matches
// is not replayed.
type Rules struct {
	Classes  []Rule   `toml:"class"`
	Redacted Redacted `toml:"redacted"`
}

// KeySource says where the key of an entry is taken from.
type KeySource string

// The sources of keys.
const (
	KeyFromPath   KeySource = "path" // also if the rule names none
	KeyFromClient KeySource = "client"
	KeyFromNone   KeySource = "none"
)

// RetryPolicy says whether the requests of a class may be retried.
type RetryPolicy string

// The retry policies.
const (
	Retryable RetryPolicy = "retryable"
	Fragile   RetryPolicy = "fragile" // replayed against verified stand-ins only
)

// Rule maps entries to a class. The first rule that matches an entry applies.
type Rule struct {
	Name        string      `toml:"name"`     // of the class
	Method      string      `toml:"method"`   // empty: any
	Path        string      `toml:"path"`     // regular expression for the path without its query; empty: any
	Key         string      `toml:"key"`      // regular expression for the path, whose first group is the key; empty: the last segment
	KeySource   KeySource   `toml:"key_from"` // default KeyFromPath; KeyFromClient: the address of the peer
	TimeoutMs   int         `toml:"left_ms"`  // how long the client waits, ms
	RetryPolicy RetryPolicy `toml:"repeat"`   // default Fragile

	Slots        float64 `toml:"slots"`         // that a job occupies; default 1
	EffortFactor float64 `toml:"effort_factor"` // effort in units of the recorded duration; default 1
	EffortMs     float64 `toml:"effort_ms"`     // fixed effort, ms; 0: from the duration

	DurationMs     float64 `toml:"duration_ms"`     // mean, if no entry of the class has a duration, ms; default 100
	DurationSpread float64 `toml:"duration_spread"` // its coefficient of variation (lognormal); default 0.5

	pathPattern *regexp.Regexp
	keyPattern  *regexp.Regexp
	pathMatcher *segmentPattern // replaces pathPattern if it is simple enough
	keyMatcher  *segmentPattern // replaces keyPattern if it is simple enough
}

// Redacted says which keys are generated for entries whose member is redacted.
type Redacted struct {
	Members int      `toml:"members"` // number of synthetic members; default 1000
	Skew    float64  `toml:"skew"`    // 0: uniform; above 1: exponent of a Zipf distribution
	Tokens  []string `toml:"tokens"`  // that mean redacted, in addition to the built-in ones
}

const (
	maxTimeoutMs        = 10 * 60 * 1000
	maxSyntheticMembers = 10_000_000
	defaultMembers      = 1000
	maxSkew             = 10
)

// Distribution describes the distribution of synthetic keys.
func (r *Redacted) Distribution() string {
	if r.Skew > 1 {
		return fmt.Sprintf("Zipf with exponent %g over %d members", r.Skew, r.Members)
	}
	return fmt.Sprintf("uniform over %d members", r.Members)
}

// ReadRules parses and validates a TOML file of rules. The error is one line that names the key.
func ReadRules(text []byte) (rules Rules, err error) {
	if err := tomlfile.Decode(text, &rules); err != nil {
		return rules, err
	}
	if len(rules.Classes) == 0 {
		return rules, errors.New("class: missing")
	}
	if err := rules.Redacted.validate(); err != nil {
		return rules, err
	}
	policies := map[string]RetryPolicy{}
	for i := range rules.Classes {
		if err := rules.Classes[i].validate(fmt.Sprintf("class[%d]", i), policies); err != nil {
			return rules, err
		}
	}
	return rules, nil
}

// validate sets defaults and checks the values.
func (r *Redacted) validate() error {
	if r.Members == 0 {
		r.Members = defaultMembers
	}
	if r.Members < 1 || r.Members > maxSyntheticMembers {
		return fmt.Errorf("redacted.members: %d is not between 1 and %d", r.Members, maxSyntheticMembers)
	}
	if r.Skew != 0 && !(r.Skew > 1 && r.Skew <= maxSkew) {
		return fmt.Errorf("redacted.skew: %g is neither 0 nor above 1 and up to 10", r.Skew)
	}
	return nil
}

// validate sets defaults, checks the values and compiles the patterns. ruleKey names the rule in
// errors; policies holds the retry policies of the classes before it.
func (r *Rule) validate(ruleKey string, policies map[string]RetryPolicy) error {
	if r.Name == "" || strings.ContainsAny(r.Name, "/ ?#\r\n\t") {
		return fmt.Errorf("%s.name: %q is no name of a class", ruleKey, r.Name)
	}
	if r.TimeoutMs < 1 || r.TimeoutMs > maxTimeoutMs {
		return fmt.Errorf("%s.left_ms: %d is not between 1 and %d", ruleKey, r.TimeoutMs, maxTimeoutMs)
	}
	if r.RetryPolicy == "" {
		r.RetryPolicy = Fragile
	}
	if r.RetryPolicy != Fragile && r.RetryPolicy != Retryable {
		return fmt.Errorf("%s.repeat: %q is neither fragile nor retryable", ruleKey, r.RetryPolicy)
	}
	if earlier, ok := policies[r.Name]; ok && earlier != r.RetryPolicy {
		return fmt.Errorf("%s.repeat: %s was %s before", ruleKey, r.Name, earlier)
	}
	policies[r.Name] = r.RetryPolicy
	switch r.KeySource {
	case "", KeyFromPath, KeyFromClient, KeyFromNone:
	default:
		return fmt.Errorf("%s.key_from: %q is neither path, client nor none", ruleKey, r.KeySource)
	}
	if err := r.validateNumbers(ruleKey); err != nil {
		return err
	}
	return r.compilePatterns(ruleKey)
}

// validateNumbers sets the defaults of the rule's numbers and checks their ranges.
func (r *Rule) validateNumbers(ruleKey string) error {
	const maxMilliseconds = 600_000
	for _, number := range []struct {
		key          string
		value        *float64
		defaultValue float64
		max          float64
	}{
		{"slots", &r.Slots, 1, maxSlots},
		{"effort_factor", &r.EffortFactor, 1, 1000},
		{"effort_ms", &r.EffortMs, 0, maxMilliseconds},
		{"duration_ms", &r.DurationMs, 100, maxMilliseconds},
		{"duration_spread", &r.DurationSpread, 0.5, 10},
	} {
		if *number.value == 0 {
			*number.value = number.defaultValue
		}
		if math.IsNaN(*number.value) || *number.value < 0 || *number.value > number.max {
			return fmt.Errorf("%s.%s: %g is not between 0 and %g", ruleKey, number.key, *number.value, number.max)
		}
	}
	return nil
}

func (r *Rule) compilePatterns(ruleKey string) (err error) {
	r.pathPattern, err = regexp.Compile(r.Path)
	if err != nil {
		return fmt.Errorf("%s.path: %w", ruleKey, err)
	}
	r.keyPattern, err = regexp.Compile(r.Key)
	if err != nil {
		return fmt.Errorf("%s.key: %w", ruleKey, err)
	}
	if r.Key != "" && r.keyPattern.NumSubexp() < 1 {
		return fmt.Errorf("%s.key: no group", ruleKey)
	}
	r.pathMatcher = compileSegmentPattern(r.Path)
	r.keyMatcher = compileSegmentPattern(r.Key)
	return nil
}

// Find returns the index of the first rule that matches and the token of the entry's key, which
// is empty if the log contains none; -1: no rule matches. path is without its query.
func (r *Rules) Find(method, path, client string) (rule int, token string) {
	for i := range r.Classes {
		rule := &r.Classes[i]
		if rule.matches(method, path) {
			return i, rule.keyToken(path, client)
		}
	}
	return -1, ""
}

func (r *Rule) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	if r.pathMatcher != nil {
		_, ok := r.pathMatcher.match(path)
		return ok
	}
	return r.pathPattern.MatchString(path)
}

// keyToken extracts the text that the key of an entry is made from; empty: there is none.
func (r *Rule) keyToken(path, client string) string {
	switch {
	case r.KeySource == KeyFromNone:
		return ""
	case r.KeySource == KeyFromClient:
		return client
	case r.Key == "":
		return path[strings.LastIndexByte(path, '/')+1:]
	case r.keyMatcher != nil:
		token, _ := r.keyMatcher.match(path)
		return token
	}
	if groups := r.keyPattern.FindStringSubmatch(path); groups != nil {
		return groups[1]
	}
	return ""
}

// timeout is how long a client of the rule waits.
func (r *Rule) timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// isRedacted reports whether a token says nothing about the member: it is empty, a dash, a word
// for something removed, or made of characters that replace removed ones.
func (r *Redacted) isRedacted(token string) bool {
	switch strings.ToLower(token) {
	case "", "-", "redacted", "[redacted]", "%5bredacted%5d", "<redacted>", "hidden", "masked", "removed", "none", "null":
		return true
	}
	for _, configured := range r.Tokens {
		if configured == token {
			return true
		}
	}
	if strings.Contains(token, "%") {
		token = strings.ReplaceAll(strings.ToUpper(token), "%2A", "*")
	}
	return strings.Trim(token, "*xX.?#•") == ""
}
