package connlimit

import (
	"slices"
	"testing"
)

// Kinds keep their floors, and the level of pressure rises and falls with
// hysteresis.
func TestDescriptorBudget(t *testing.T) {
	floors := [DescriptorKinds]int{ClientConnections: 10, WorkerConnections: 20, DiscoveryConnections: 2}
	budget, err := NewDescriptorBudget(100, floors, Watermarks{})
	if err != nil {
		t.Fatal(err)
	}
	acquired := 0
	levels := []Pressure{}
	for budget.Acquire(ClientConnections) {
		acquired++
		level := budget.Pressure()
		if len(levels) == 0 || levels[len(levels)-1] != level {
			levels = append(levels, level)
		}
	}
	if acquired != 78 || !slices.Equal(levels, []Pressure{PressureNone}) {
		t.Errorf("%d client connections, levels %v: the others' floors are 22", acquired, levels)
	}
	for range 20 {
		if !budget.Acquire(WorkerConnections) {
			t.Fatal("a floor is not kept")
		}
	}
	if budget.Acquire(WorkerConnections) || !budget.Acquire(DiscoveryConnections) || budget.Pressure() != PressureCritical {
		t.Errorf("level %d", budget.Pressure())
	}
	for range 7 { // 99 in use down to 92: within the hysteresis of the critical mark
		budget.Release(ClientConnections)
	}
	if budget.Pressure() != PressureCritical {
		t.Errorf("level %d at 92", budget.Pressure())
	}
	budget.Release(ClientConnections)
	if budget.Pressure() != PressureHigh {
		t.Errorf("level %d at 91", budget.Pressure())
	}
	for range 30 {
		budget.Release(ClientConnections)
	}
	budget.ForcePressure(PressureHigh)
	forced := budget.Pressure()
	budget.ForcePressure(PressureNone)
	if forced != PressureHigh || budget.Pressure() != PressureNone {
		t.Errorf("forced %d, then %d", forced, budget.Pressure())
	}
	err = budget.Reconfigure(50, floors, Watermarks{})
	if err != nil || budget.Pressure() == PressureNone {
		t.Errorf("half of the descriptors: %v, level %d", err, budget.Pressure())
	}
	if budget.Reconfigure(10, floors, Watermarks{}) == nil {
		t.Error("floors above the total are taken")
	}
	if budget.Reconfigure(100, floors, Watermarks{Low: 0.9, High: 0.8}) == nil {
		t.Error("watermarks that do not rise are taken")
	}
}
