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
	levels := []int{}
	for budget.Acquire(ClientConnections) {
		acquired++
		level := budget.Level()
		if len(levels) == 0 || levels[len(levels)-1] != level {
			levels = append(levels, level)
		}
	}
	if acquired != 78 || !slices.Equal(levels, []int{PressureNone}) {
		t.Errorf("%d client connections, levels %v: the others' floors are 22", acquired, levels)
	}
	for range 20 {
		if !budget.Acquire(WorkerConnections) {
			t.Fatal("a floor is not kept")
		}
	}
	if budget.Acquire(WorkerConnections) || !budget.Acquire(DiscoveryConnections) || budget.Level() != PressureCritical {
		t.Errorf("level %d", budget.Level())
	}
	for range 7 { // 99 in use down to 92: within the hysteresis of the critical mark
		budget.Release(ClientConnections)
	}
	if budget.Level() != PressureCritical {
		t.Errorf("level %d at 92", budget.Level())
	}
	budget.Release(ClientConnections)
	if budget.Level() != PressureHigh {
		t.Errorf("level %d at 91", budget.Level())
	}
	for range 30 {
		budget.Release(ClientConnections)
	}
	budget.ForceLevel(PressureHigh)
	forced := budget.Level()
	budget.ForceLevel(PressureNone)
	if forced != PressureHigh || budget.Level() != PressureNone {
		t.Errorf("forced %d, then %d", forced, budget.Level())
	}
	err = budget.Reconfigure(50, floors, Watermarks{})
	if err != nil || budget.Level() == PressureNone {
		t.Errorf("half of the descriptors: %v, level %d", err, budget.Level())
	}
	if budget.Reconfigure(10, floors, Watermarks{}) == nil {
		t.Error("floors above the total are taken")
	}
	if budget.Reconfigure(100, floors, Watermarks{Low: 0.9, High: 0.8}) == nil {
		t.Error("watermarks that do not rise are taken")
	}
}
