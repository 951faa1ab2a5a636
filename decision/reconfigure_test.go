package decision

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// New settings apply to later requests; open requests keep their class, value and objective.
func TestReconfigureWhileRequestsAreOpen(t *testing.T) {
	rig := newRig(t, testSettings(), 2)
	open := rig.requests[rig.arrive(0)]
	class := open.class
	value := open.value
	objective := open.objective
	sweepInterval := rig.sweepInterval
	next := testSettings()
	next.Classes[0].PriorityWeight = 7
	next.Classes[0].LatencyObjective = 40 * time.Millisecond
	next.MaxRetryAfter = time.Second
	rig.handle(rig.now, Event{Kind: SettingsChanged, Settings: &next})
	if open.class != class || open.class != &rig.settings.Classes[0] || open.value != value ||
		open.objective != objective {
		t.Errorf("an open request changes: %+v", open)
	}
	later := rig.requests[rig.arrive(0)]
	if later.class != class || later.value != 7*value || later.objective != objective-160*time.Millisecond {
		t.Errorf("a later request has value %v and objective %v; the earlier one had %v and %v",
			later.value, later.objective, value, objective)
	}
	if rig.sweepInterval >= sweepInterval || rig.sweepInterval != rig.settings.sweepInterval() ||
		rig.settings.MaxRetryAfter != time.Second {
		t.Errorf("sweep interval %v, before %v; largest Retry-After %v",
			rig.sweepInterval, sweepInterval, rig.settings.MaxRetryAfter)
	}
	rig.endAttempt(open.id, 0, Completed, time.Second)
	if rig.requests[open.id] != nil || rig.counts.eligibleShare(class) != 1 {
		t.Errorf("the open request cannot end as before")
	}
}

// A new quota, higher or lower, applies from the change on.
func TestReconfiguredQuota(t *testing.T) {
	settings := testSettings()
	settings.Peers = 1
	settings.TenantQuotas = []float64{1000, 1000}
	settings.OverQuotaWeight = 0.1
	rig := newRig(t, settings, 2)
	over := func() (n int) {
		for range 100 {
			rig.now += 10 * time.Millisecond
			if rig.overQuota(0, false) {
				n++
			}
		}
		return n
	}
	if n := over(); n != 0 {
		t.Errorf("%d of 100 within the quota are beyond it", n)
	}
	for _, test := range []struct {
		quota    float64
		min, max int
	}{{1, 90, 100}, {1000, 0, 1}} {
		next := settings
		next.TenantQuotas = []float64{test.quota, 1000}
		rig.handle(rig.now, Event{Kind: SettingsChanged, Settings: &next})
		next.TenantQuotas[0] = -1 // changes of the caller's slice must have no effect afterwards
		if n := over(); n < test.min || n > test.max {
			t.Errorf("a quota of %v per second: %d of 100 requests in a second are beyond it", test.quota, n)
		}
	}
}

// Settings that are invalid, or that change the number of classes or tenants, have no effect.
func TestReconfigureRejectsWrongSettings(t *testing.T) {
	for name, change := range map[string]func(settings *Settings) *Settings{
		"none": func(*Settings) *Settings { return nil },
		"an additional class": func(settings *Settings) *Settings {
			settings.Classes = append(settings.Classes, settings.Classes[0])
			return settings
		},
		"an additional tenant": func(settings *Settings) *Settings {
			settings.TenantQuotas = []float64{1}
			return settings
		},
		"infinite weight": func(settings *Settings) *Settings {
			settings.Classes[1].PriorityWeight = math.Inf(1)
			return settings
		},
		"a negative objective": func(settings *Settings) *Settings {
			settings.Classes[1].LatencyObjective = -1
			return settings
		},
		"not a number": func(settings *Settings) *Settings {
			settings.OverQuotaWeight = math.NaN()
			return settings
		},
	} {
		rig := newRig(t, testSettings(), 2)
		before := rig.settings
		before.Classes = append([]Class(nil), rig.settings.Classes...)
		next := testSettings()
		next.Classes[0].PriorityWeight = 9
		rig.handle(rig.now, Event{Kind: SettingsChanged, Settings: change(&next)})
		if !reflect.DeepEqual(rig.settings, before) || findAction(rig.actions, Log) == nil {
			t.Errorf("%s: accepted: %+v", name, rig.settings)
		}
	}
}
