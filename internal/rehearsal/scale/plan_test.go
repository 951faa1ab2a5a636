package scale

import (
	"reflect"
	"testing"
	"time"
)

const (
	lostZone          = 3  // the zone that planScenario loses
	workersOfZone     = 10 // workers of each zone of planScenario
	restartedByEvents = 17 // workers that the last event of planScenario restarts
)

// planScenario returns a scenario with a zone loss and background changes.
func planScenario(t *testing.T) Scenario {
	t.Helper()
	scenario := Scenario{
		Name:        "x",
		Seed:        5,
		Workers:     170,
		Zones:       17,
		Regions:     6,
		Dispatchers: 17,
		LengthS:     30,
		DeadlineS:   60,
		Background:  BackgroundChanges{TimeFactor: 400, Changes: 32000, Failures: 180, Restarts: 1100},
		Events: []Event{
			{Kind: ZoneLoss, AtS: 5, OverS: 1, Zone: lostZone},
			{Kind: ZoneReturn, AtS: 15, OverS: 2, Zone: lostZone},
			{Kind: WorkerStarts, AtS: 20, Count: restartedByEvents},
		},
	}
	if err := scenario.Check(); err != nil {
		t.Fatal(err)
	}
	return scenario
}

// The same seed gives the same plan, and another seed gives another plan.
func TestPlanFollowsFromTheSeed(t *testing.T) {
	scenario := planScenario(t)
	plan := NewPlan(&scenario)
	if !reflect.DeepEqual(plan, NewPlan(&scenario)) {
		t.Error("two plans of one seed differ")
	}
	scenario.Seed++
	if reflect.DeepEqual(plan, NewPlan(&scenario)) {
		t.Error("another seed gives the same plan")
	}
}

// Steps are sorted by time, and the action of a zone loss comes before its changes.
func TestPlanIsInOrder(t *testing.T) {
	scenario := planScenario(t)
	steps := NewPlan(&scenario).Steps
	previous := time.Duration(0)
	for i, step := range steps {
		if step.DueAt < previous {
			t.Fatalf("a step at %v comes after one at %v", step.DueAt, previous)
		}
		previous = step.DueAt
		if step.Action.Kind != ZoneLoss {
			continue
		}
		if next := steps[i+1]; next.Phase != string(ZoneLoss) || next.DueAt < step.DueAt {
			t.Errorf("step after the action of the zone loss: %+v, want one of its changes", next)
		}
	}
}

// All workers of a lost zone are removed and listed again, and no background change concerns them.
func TestPlanOfAZoneLoss(t *testing.T) {
	scenario := planScenario(t)
	type changeKind struct{ phase, health string }
	counts := map[changeKind]int{}
	for _, step := range NewPlan(&scenario).Steps {
		for _, change := range step.Changes {
			counts[changeKind{step.Phase, change[0].Host.Health}] += len(change)
			if change[0].Host.Site == ZoneName(lostZone) && step.Phase == initialPhase {
				t.Errorf("a worker of the lost zone changes before the zone is lost: %+v", change)
			}
		}
	}
	// Background changes are counted, too, so that these are the lowest numbers.
	for kind, want := range map[changeKind]int{
		{"zone_loss", "gone"}:    workersOfZone,
		{"zone_return", "ready"}: workersOfZone,
		{"cold", "ready"}:        restartedByEvents,
	} {
		if counts[kind] < want {
			t.Errorf("%d changes to %s in phase %s, want at least %d", counts[kind], kind.health, kind.phase, want)
		}
	}
}

// Seventeen zones are divided evenly among six regions: each region has two or three of them.
func TestRegionsDivideZonesEvenly(t *testing.T) {
	zonesByRegion := map[int]int{}
	for zone := range 17 {
		zonesByRegion[RegionOf(zone, 17, 6)]++
	}
	for region := range 6 {
		if zones := zonesByRegion[region]; zones < 2 || zones > 3 {
			t.Errorf("region %d has %d zones, want 2 or 3", region, zones)
		}
	}
}
