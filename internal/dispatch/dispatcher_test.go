package dispatch

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/settings"
)

// Changes of the settings are applied together or not at all.
func TestReconfigureIsAllOrNothing(t *testing.T) {
	d := newTestDispatcher(t, eventloop.New(), decision.Settings{
		Classes:      []decision.Class{{PriorityWeight: 1, Deadline: time.Second}},
		TenantQuotas: []float64{5},
	})
	change := func(key, value string) settings.Change {
		return settings.Change{Key: key, Value: json.RawMessage(value)}
	}
	before := d.Settings

	err := d.Reconfigure([]settings.Change{change("projects[0].quota_per_s", "7"), change("classes[1].worth", "2")})
	if err == nil || !strings.Contains(err.Error(), "classes[1].worth") || !reflect.DeepEqual(d.Settings, before) {
		t.Fatalf("one of two changes is invalid: error %v, settings %+v, want those before", err, d.Settings)
	}

	err = d.Reconfigure([]settings.Change{change("projects[0].quota_per_s", "7"), change("classes[0].worth", "2")})
	quota, weight := d.Settings.TenantQuotas[0], d.Settings.Classes[0].PriorityWeight
	if err != nil || quota != 7 || weight != 2 || before.TenantQuotas[0] != 5 {
		t.Fatalf("valid changes: error %v, settings %+v, before %+v; want a quota of 7 and a weight of 2",
			err, d.Settings, before)
	}
}
