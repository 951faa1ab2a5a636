package settings

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hollyyoke.example/hollyyoke/decision"
)

// TestMain sets rapid's flags, so that it generates the same cases in each run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "21", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// testSettings returns settings with tenants and settings without, by name.
func testSettings() map[string]decision.Settings {
	class := decision.Class{
		PriorityWeight:   1,
		LateWeight:       0.5,
		LatencyObjective: time.Second,
		ObjectiveStretch: 2,
		Deadline:         5 * time.Second,
	}
	return map[string]decision.Settings{
		"tenants":    {Classes: []decision.Class{class, class}, TenantQuotas: []float64{5, 10, 15}, OverQuotaWeight: 0.2},
		"no tenants": {Classes: []decision.Class{class}, MaxRetryAfter: time.Second},
	}
}

// Checks that a change sets the field that its key names, or is rejected and changes
// nothing.
func TestApplyByKey(t *testing.T) {
	for _, test := range []struct {
		settings string // name in testSettings
		key      string
		value    string
		rejected string                     // a part of the error; empty if the change is applied
		want     func(s *decision.Settings) // makes the expected change; nil if nothing changes
	}{
		{"tenants", "projects[2].quota_per_s", "12.5", "", func(s *decision.Settings) { s.TenantQuotas[2] = 12.5 }},
		{"tenants", "over_share_worth", "0", "", func(s *decision.Settings) { s.OverQuotaWeight = 0 }},
		{"tenants", "classes[1].worth", "3", "", func(s *decision.Settings) { s.Classes[1].PriorityWeight = 3 }},
		{"no tenants", "classes[0].late_worth", "0.25", "", func(s *decision.Settings) { s.Classes[0].LateWeight = 0.25 }},
		{"no tenants", "classes[0].slo_us", "250000", "", func(s *decision.Settings) { s.Classes[0].LatencyObjective = 250 * time.Millisecond }},
		{"no tenants", "classes[0].aim_stretch", "1.5", "", func(s *decision.Settings) { s.Classes[0].ObjectiveStretch = 1.5 }},
		{"no tenants", "limits.max_retry_after_us", "2e6", "", func(s *decision.Settings) { s.MaxRetryAfter = 2 * time.Second }},
		{"tenants", "projects[3].quota_per_s", "1", "out of range, there are 3", nil},
		{"no tenants", "projects[0].quota_per_s", "1", "out of range, there are 0", nil},
		{"no tenants", "classes[1].worth", "1", "out of range, there are 1", nil},
		{"tenants", "projects[-1].quota_per_s", "1", "not a setting", nil},
		{"tenants", "projects[01].quota_per_s", "1", "not a setting", nil},
		{"tenants", "projects[1]quota_per_s", "1", "not a setting", nil},
		{"tenants", "classes[0].deadline_us", "1", "not a setting", nil},
		{"tenants", "limits.max_attempts", "1", "not a setting", nil},
		{"tenants", "", "1", "not a setting", nil},
		{"tenants", "classes[0].worth", "-1", "negative", nil},
		{"tenants", "classes[0].worth", "1e999", "finite number", nil},
		{"tenants", "classes[0].worth", `"3"`, "finite number", nil},
		{"tenants", "classes[0].worth", "null", "finite number", nil},
		{"tenants", "classes[0].worth", "", "finite number", nil},
		{"tenants", "classes[0].slo_us", "[1]", "finite number", nil},
	} {
		got := testSettings()[test.settings]
		want := testSettings()[test.settings]
		err := Apply(&got, []Change{{test.key, json.RawMessage(test.value)}})
		if test.want != nil {
			test.want(&want)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s, %s = %s: %+v, want %+v", test.settings, test.key, test.value, got, want)
		}
		if isRejected := err != nil; isRejected != (test.rejected != "") {
			t.Errorf("%s, %s = %s: %v", test.settings, test.key, test.value, err)
			continue
		}
		if err != nil && !isOneLineWith(err.Error(), test.key, test.rejected) {
			t.Errorf("%s, %s = %s: %q does not name the key and %q on one line", test.settings, test.key, test.value, err, test.rejected)
		}
	}
}

// isOneLineWith reports whether text is one line that contains all parts.
func isOneLineWith(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return !strings.Contains(text, "\n")
}

// drawChange generates a change, which may be invalid.
func drawChange(t *rapid.T) Change {
	key := rapid.SampledFrom([]string{
		"projects[%d].quota_per_s",
		"classes[%d].worth",
		"classes[%d].late_worth",
		"classes[%d].slo_us",
		"classes[%d].aim_stretch",
		"classes[%d].window_us",
	}).Draw(t, "key")
	value := rapid.SampledFrom([]string{"1", "2.5", "0", "1e6", "-1", "null", "true", "1e400"}).Draw(t, "value")
	index := rapid.IntRange(-1, 3).Draw(t, "index")
	return Change{fmt.Sprintf(key, index), json.RawMessage(value)}
}

// Checks that a set of changes is applied completely or not at all, and that settings
// that share memory with the changed ones are not modified.
func TestApplyIsAtomic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"tenants", "no tenants"}).Draw(t, "shape")
		applied := testSettings()[name]
		original := testSettings()[name]
		shared := applied
		var changes []Change
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			changes = append(changes, drawChange(t))
		}
		oneIsRejected := false
		for _, change := range changes {
			alone := testSettings()[name]
			if Apply(&alone, []Change{change}) != nil {
				oneIsRejected = true
			}
		}
		err := Apply(&applied, changes)
		if (err != nil) != oneIsRejected {
			t.Fatalf("%v: error %v; one of the changes is rejected on its own: %v", changes, err, oneIsRejected)
		}
		if err != nil && !reflect.DeepEqual(applied, original) {
			t.Fatalf("%v is rejected (%v) and changes something: %+v", changes, err, applied)
		}
		if !reflect.DeepEqual(shared, original) {
			t.Fatalf("%v changes shared memory", changes)
		}
	})
}
