package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
)

// This file owns the changes of settings while the dispatcher runs. It must
// never apply a part of a set of changes of which another part is refused.

// Change is the new value of one setting.
type Change struct {
	Key   string // where the settings object has it, such as projects[3].quota_per_s
	Value json.RawMessage
}

// Apply makes all changes, or none: an error names the key that is refused. Of
// two changes of one key the last counts. Slices of s are replaced, not written to.
func Apply(s *decision.Settings, changes []Change) error {
	next := *s
	next.Classes, next.TenantQuotas = slices.Clone(s.Classes), slices.Clone(s.TenantQuotas)
	for _, change := range changes {
		if err := change.apply(&next); err != nil {
			return err
		}
	}
	*s = next
	return nil
}

func (c Change) apply(s *decision.Settings) error {
	number, wait, err := c.target(s)
	if err != nil {
		return err
	}
	value, err := amount(c.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Key, err)
	}
	if wait != nil {
		*wait = micros(value).duration()
	} else {
		*number = value
	}
	return nil
}

// target finds what a key names: a number, or a time in microseconds.
func (c Change) target(s *decision.Settings) (number *float64, wait *time.Duration, err error) {
	switch c.Key {
	case "over_share_worth":
		return &s.OverQuotaWeight, nil, nil
	case "limits.max_retry_after_us":
		return nil, &s.MaxRetryAfter, nil
	}
	list, index, field, ok := element(c.Key)
	size := -1
	switch {
	case !ok:
	case list == "projects" && field == "quota_per_s":
		if size = len(s.TenantQuotas); index < size {
			return &s.TenantQuotas[index], nil, nil
		}
	case list == "classes" && slices.Contains(classFields, field):
		if size = len(s.Classes); index < size {
			number, wait = classField(&s.Classes[index], field)
			return number, wait, nil
		}
	}
	if size >= 0 {
		return nil, nil, fmt.Errorf("%s: index out of range, there are %d", c.Key, size)
	}
	return nil, nil, fmt.Errorf("%q: not a setting that may change while running", c.Key)
}

var classFields = []string{"worth", "late_worth", "slo_us", "aim_stretch"}

func classField(c *decision.Class, field string) (number *float64, wait *time.Duration) {
	switch field {
	case "worth":
		return &c.PriorityWeight, nil
	case "late_worth":
		return &c.LateWeight, nil
	case "aim_stretch":
		return &c.ObjectiveStretch, nil
	default:
		return nil, &c.LatencyObjective
	}
}

// element splits a key of the form list[index].field.
func element(key string) (list string, index int, field string, ok bool) {
	list, rest, _ := strings.Cut(key, "[")
	text, field, _ := strings.Cut(rest, "].")
	index, err := strconv.Atoi(text)
	return list, index, field, err == nil && index >= 0 && strconv.Itoa(index) == text
}

// amount reads a number that must be finite and not negative.
func amount(raw json.RawMessage) (float64, error) {
	var value *float64
	if err := json.Unmarshal(raw, &value); err != nil || value == nil {
		return 0, errors.New("must be a finite number")
	}
	if *value < 0 {
		return 0, errors.New("must not be negative")
	}
	return *value, nil
}
