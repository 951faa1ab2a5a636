package scale

import (
	"reflect"
	"testing"
	"time"
)

// planScenario returns a scenario with a zone loss and background changes.
func planScenario() Scenario {
	s := Scenario{Name: "x", Seed: 5, Workers: 170, Zones: 17, Regions: 6, Dispatchers: 17, LengthS: 30, DeadlineS: 60,
		Background: BackgroundChanges{TimeFactor: 400, Changes: 32000, Failures: 180, Restarts: 1100}, Events: []Event{
			{Kind: ZoneLoss, AtS: 5, OverS: 1, Zone: 3}, {Kind: ZoneReturn, AtS: 15, OverS: 2, Zone: 3}, {Kind: WorkerStarts, AtS: 20, Count: 17}}}
	if err := s.Check(); err != nil {
		panic(err)
	}
	return s
}

func TestPlanFollowsFromTheSeed(t *testing.T) {
	s := planScenario()
	one := NewPlan(&s)
	two := NewPlan(&s)
	if !reflect.DeepEqual(one, two) {
		t.Error("two plans of one seed differ")
	}
	s.Seed++
	if reflect.DeepEqual(one, NewPlan(&s)) {
		t.Error("another seed gives the same plan")
	}
}

func TestPlanOfAZoneLoss(t *testing.T) {
	s := planScenario()
	plan := NewPlan(&s)
	count := map[string]int{}
	before := time.Duration(0)
	for _, step := range plan.Steps {
		if step.DueAt < before {
			t.Fatalf("a step at %v comes after one at %v", step.DueAt, before)
		}
		before = step.DueAt
		for _, change := range step.Changes {
			count[step.Phase+" "+change[0].Host.Health] += len(change)
			if lost := change[0].Host.Site == ZoneName(3); lost && step.Phase == phaseCalm {
				t.Error("a worker of the lost zone changes for another cause")
			}
		}
	}
	// Ten workers are in each zone; background changes come on top of their return.
	if gone := count["zone_loss gone"]; gone < 10 || count["zone_return ready"] < 10 || count["cold ready"] < 17 {
		t.Errorf("%v", count)
	}
	if steps := plan.Steps; len(steps) > 0 {
		for i, step := range steps {
			if step.Action.Kind == ZoneLoss && (steps[i+1].Phase != "zone_loss" || steps[i+1].DueAt < step.DueAt) {
				t.Errorf("after the loss: %+v", steps[i+1])
			}
		}
	}
}

func TestRegionsDivideZonesEvenly(t *testing.T) {
	zones := map[int]int{}
	for zone := range 17 {
		zones[RegionOf(zone, 17, 6)]++
	}
	for region := range 6 {
		if zones[region] < 2 || zones[region] > 3 {
			t.Errorf("region %d has %d zones", region, zones[region])
		}
	}
}
