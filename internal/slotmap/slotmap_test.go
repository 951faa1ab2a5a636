package slotmap

import (
	"fmt"
	"testing"
)

// A handle whose value was removed finds nothing, even after its slot is in use again.
func TestStaleHandleFindsNothing(t *testing.T) {
	var m Map[int]
	one, two := 1, 2
	stale := m.Insert(&one)
	m.Remove(stale)
	m.Remove(stale)
	current := m.Insert(&two)
	if stale == current || stale == 0 {
		t.Errorf("handles %d and %d, want two that differ and are not 0", stale, current)
	}
	if m.Get(stale) != nil || m.Get(1<<40) != nil {
		t.Error("a handle that is stale, or was never assigned, finds a value")
	}
	if m.Get(current) != &two || m.Len() != 1 {
		t.Errorf("handle %d finds %v of %d values, want the second value alone", current, m.Get(current), m.Len())
	}
}

func ExampleMap() {
	var names Map[string]
	name := "first"
	handle := names.Insert(&name)
	fmt.Println(*names.Get(handle), names.Len())
	names.Remove(handle)
	fmt.Println(names.Get(handle) == nil, names.Len())
	// Output:
	// first 1
	// true 0
}
