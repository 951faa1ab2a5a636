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

// Rules determine the classes and the keys of a log's entries, and the values to use for information
// that the log does not contain. ReadRules creates them. An entry that no rule matches is
// not part of the recording.
type Rules struct {
	Classes  []Rule   `toml:"class"`
	Redacted Redacted `toml:"redacted"`
}

// KeySource says what the key of an entry is taken from.
type KeySource string

// The values of KeySource. The empty string stands for KeyFromPath.
const (
	KeyFromPath   KeySource = "path"   // the request's path; see Rule.Key
	KeyFromClient KeySource = "client" // the address of the client
	KeyFromNone   KeySource = "none"   // nothing: the entries have no key
)

// RetryPolicy says whether the requests of a class may be retried.
type RetryPolicy string

// The retry policies.
const (
	Retryable RetryPolicy = "retryable"
	Fragile   RetryPolicy = "fragile" // must not be retried, and is replayed only against verified stand-ins
)

// Rule assigns the entries that match Method and Path to a class. The first rule that matches an entry
// applies.
type Rule struct {
	Name        string      `toml:"name"`     // name of the class
	Method      string      `toml:"method"`   // HTTP method; empty for any
	Path        string      `toml:"path"`     // regular expression that the path without its query matches; empty for any
	Key         string      `toml:"key"`      // regular expression whose first group is the key; empty for the last segment of the path
	KeySource   KeySource   `toml:"key_from"` // default KeyFromPath
	TimeoutMs   int         `toml:"left_ms"`  // how long the client waits for the answer, ms
	RetryPolicy RetryPolicy `toml:"repeat"`   // default Fragile

	Slots        float64 `toml:"slots"`         // slots that a job occupies; default 1
	EffortFactor float64 `toml:"effort_factor"` // ratio of the effort to the duration; default 1
	EffortMs     float64 `toml:"effort_ms"`     // fixed effort, ms; 0 to compute it from the duration

	DurationMs     float64 `toml:"duration_ms"`     // mean duration, ms, if no entry of the rule has a recorded one; default 100
	DurationSpread float64 `toml:"duration_spread"` // coefficient of variation of these lognormal durations; default 0.5

	pathPattern *regexp.Regexp
	keyPattern  *regexp.Regexp
	pathMatcher *segmentPattern // replaces pathPattern; nil if that is not a segment pattern
	keyMatcher  *segmentPattern // replaces keyPattern; nil if that is not a segment pattern
}

// Redacted says which entries have a redacted member, and which keys are generated for them.
type Redacted struct {
	Members int      `toml:"members"` // number of synthetic members; default 1000
	Skew    float64  `toml:"skew"`    // exponent of a Zipf distribution, above 1; 0 for a uniform distribution
	Tokens  []string `toml:"tokens"`  // tokens that mean that the member is redacted, in addition to the built-in ones
}

const (
	maxTimeoutMs        = 10 * 60 * 1000
	maxSyntheticMembers = 10_000_000
	defaultMembers      = 1000
	maxSkew             = 10
)

// Distribution describes the distribution of the synthetic members.
func (r *Redacted) Distribution() string {
	if r.Skew > 1 {
		return fmt.Sprintf("Zipf with exponent %g over %d members", r.Skew, r.Members)
	}
	return fmt.Sprintf("uniform over %d members", r.Members)
}

// ReadRules parses and validates a TOML file of rules. The error is a single line that names the
// invalid key.
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

// validate sets the defaults and checks the values.
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

// validate sets the defaults, checks the values and compiles the patterns. ruleKey names the rule in
// errors. policies holds the retry policies of the earlier rules, by class; validate adds that of the
// rule.
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

// Find returns the index of the first rule that matches, and the token that the entry's key is made
// from, which is empty if the entry contains none. The index is -1 if no rule matches. path must not
// include the query.
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

// keyToken returns the text that the key of an entry is made from, or "" if there is none.
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

// timeout returns how long the client of a matching entry waits for the answer.
func (r *Rule) timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// isRedacted reports whether a token does not identify a member: it is empty, a dash, a word such as
// "redacted", one of Tokens, or consists only of characters such as * that replace removed ones.
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
