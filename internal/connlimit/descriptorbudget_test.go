package connlimit

import (
	"slices"
	"testing"
)

// budgetFloors reserve 32 of the 100 descriptors.
var budgetFloors = [DescriptorKinds]int{ClientConnections: 10, WorkerConnections: 20, DiscoveryConnections: 2}

// newBudget returns a budget of 100 descriptors.
func newBudget(t *testing.T) *DescriptorBudget {
	t.Helper()
	budget, err := NewDescriptorBudget(100, budgetFloors, Watermarks{})
	if err != nil {
		t.Fatal(err)
	}
	return budget
}

// acquireClients takes all descriptors that client connections may have. It returns
// their number and the successive levels of pressure.
func acquireClients(budget *DescriptorBudget) (acquired int, levels []Pressure) {
	for budget.Acquire(ClientConnections) {
		acquired++
		level := budget.Pressure()
		if len(levels) == 0 || levels[len(levels)-1] != level {
			levels = append(levels, level)
		}
	}
	return acquired, levels
}

// fillBudget takes 99 of the 100 descriptors.
func fillBudget(t *testing.T, budget *DescriptorBudget) {
	t.Helper()
	acquireClients(budget)
	for range 20 {
		if !budget.Acquire(WorkerConnections) {
			t.Fatal("Acquire returns false below the floor of the kind")
		}
	}
	if budget.Acquire(WorkerConnections) || !budget.Acquire(DiscoveryConnections) {
		t.Error("worker connections can use more than their floor, or discovery connections cannot use theirs")
	}
}

func release(budget *DescriptorBudget, clients int) {
	for range clients {
		budget.Release(ClientConnections)
	}
}

func wantPressure(t *testing.T, budget *DescriptorBudget, when string, want Pressure) {
	t.Helper()
	if got := budget.Pressure(); got != want {
		t.Errorf("%s: level %d, want %d", when, got, want)
	}
}

// One kind can take all descriptors except those in the floors of the other kinds.
func TestDescriptorFloorsAreKept(t *testing.T) {
	budget := newBudget(t)
	acquired, levels := acquireClients(budget)
	if acquired != 78 || !slices.Equal(levels, []Pressure{PressureNone}) {
		t.Errorf("%d client connections, levels %v; want 78, since the other floors are 22, and no pressure", acquired, levels)
	}
}

// The level of pressure falls only when the use is below the watermark by more than the
// hysteresis.
func TestPressureFallsWithHysteresis(t *testing.T) {
	budget := newBudget(t)
	fillBudget(t, budget)
	wantPressure(t, budget, "99 in use", PressureCritical)
	release(budget, 7)
	wantPressure(t, budget, "92 in use, within the hysteresis of the critical mark", PressureCritical)
	release(budget, 1)
	wantPressure(t, budget, "91 in use", PressureHigh)
}

// A forced level applies whatever the number of descriptors in use, until PressureNone
// is forced.
func TestForcedPressure(t *testing.T) {
	budget := newBudget(t)
	fillBudget(t, budget)
	release(budget, 38)
	budget.ForcePressure(PressureHigh)
	wantPressure(t, budget, "forced, 61 in use", PressureHigh)
	budget.ForcePressure(PressureNone)
	wantPressure(t, budget, "not forced any more, 61 in use", PressureNone)
}

// Reconfigure computes the level of pressure for the new total, and rejects invalid
// floors and watermarks.
func TestReconfigureBudget(t *testing.T) {
	budget := newBudget(t)
	fillBudget(t, budget)
	release(budget, 38)
	wantPressure(t, budget, "61 of 100 in use", PressureNone)
	err := budget.Reconfigure(50, budgetFloors, Watermarks{})
	if err != nil || budget.Pressure() == PressureNone {
		t.Errorf("half of the descriptors: error %v, level %d, want some pressure", err, budget.Pressure())
	}
	if budget.Reconfigure(10, budgetFloors, Watermarks{}) == nil {
		t.Error("floors above the total are accepted")
	}
	if budget.Reconfigure(100, budgetFloors, Watermarks{Low: 0.9, High: 0.8}) == nil {
		t.Error("watermarks that are not in ascending order are accepted")
	}
}
