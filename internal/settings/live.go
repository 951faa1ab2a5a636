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

// Change is a new value for one setting, to be applied while the dispatcher runs.
type Change struct {
	Key   string // the setting's path in the settings object, such as projects[3].quota_per_s
	Value json.RawMessage
}

// Apply applies all changes, or none of them if one is rejected; the error names its
// key. If a key is changed more than once, the last change wins. Slices of s are
// replaced rather than modified, since others may share them.
func Apply(s *decision.Settings, changes []Change) error {
	next := *s
	next.Classes = slices.Clone(s.Classes)
	next.TenantQuotas = slices.Clone(s.TenantQuotas)
	for _, change := range changes {
		if err := change.apply(&next); err != nil {
			return err
		}
	}
	*s = next
	return nil
}

func (c Change) apply(settings *decision.Settings) error {
	field, err := c.field(settings)
	if err != nil {
		return err
	}
	value, err := parseAmount(c.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Key, err)
	}
	field.set(value)
	return nil
}

// settingField points to a setting, which is either a number or a duration. The other
// pointer is nil.
type settingField struct {
	number   *float64
	duration *time.Duration // changed by a value in microseconds
}

func (f settingField) set(value float64) {
	if f.duration != nil {
		*f.duration = DurationFromMicroseconds(value)
		return
	}
	*f.number = value
}

// field returns the setting that the key names, or an error if there is none that may
// change at run time.
func (c Change) field(settings *decision.Settings) (settingField, error) {
	switch c.Key {
	case "over_share_worth":
		return settingField{number: &settings.OverQuotaWeight}, nil
	case "limits.max_retry_after_us":
		return settingField{duration: &settings.MaxRetryAfter}, nil
	}
	element, ok := parseElementKey(c.Key)
	if !ok {
		return settingField{}, c.notChangeable()
	}
	switch element.list {
	case "projects":
		if element.field != "quota_per_s" {
			return settingField{}, c.notChangeable()
		}
		if element.index >= len(settings.TenantQuotas) {
			return settingField{}, c.outOfRange(len(settings.TenantQuotas))
		}
		return settingField{number: &settings.TenantQuotas[element.index]}, nil
	case "classes":
		if !slices.Contains(changeableClassFields, element.field) {
			return settingField{}, c.notChangeable()
		}
		if element.index >= len(settings.Classes) {
			return settingField{}, c.outOfRange(len(settings.Classes))
		}
		return classField(&settings.Classes[element.index], element.field), nil
	}
	return settingField{}, c.notChangeable()
}

func (c Change) notChangeable() error {
	return fmt.Errorf("%q: not a setting that may change while running", c.Key)
}

func (c Change) outOfRange(length int) error {
	return fmt.Errorf("%s: index out of range, there are %d", c.Key, length)
}

var changeableClassFields = []string{"worth", "late_worth", "slo_us", "aim_stretch"}

// classField returns the field of a class whose key is name, one of
// changeableClassFields.
func classField(class *decision.Class, name string) settingField {
	switch name {
	case "worth":
		return settingField{number: &class.PriorityWeight}
	case "late_worth":
		return settingField{number: &class.LateWeight}
	case "aim_stretch":
		return settingField{number: &class.ObjectiveStretch}
	default:
		return settingField{duration: &class.LatencyObjective}
	}
}

// elementKey is a key of the form list[index].field.
type elementKey struct {
	list  string
	index int
	field string
}

func parseElementKey(key string) (elementKey, bool) {
	list, rest, _ := strings.Cut(key, "[")
	text, field, _ := strings.Cut(rest, "].")
	index, err := strconv.Atoi(text)
	isCanonical := err == nil && index >= 0 && strconv.Itoa(index) == text
	return elementKey{list, index, field}, isCanonical
}

// parseAmount parses a JSON number, which must be finite and not negative.
func parseAmount(raw json.RawMessage) (float64, error) {
	var value *float64
	if err := json.Unmarshal(raw, &value); err != nil || value == nil {
		return 0, errors.New("must be a finite number")
	}
	if *value < 0 {
		return 0, errors.New("must not be negative")
	}
	return *value, nil
}
