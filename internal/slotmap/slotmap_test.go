package slotmap

import (
	"fmt"
	"testing"
)

// A handle that was removed finds nothing, though its slot is in use again.
func TestStaleHandle(t *testing.T) {
	var m Map[int]
	one, two := 1, 2
	stale := m.Insert(&one)
	m.Remove(stale)
	m.Remove(stale)
	current := m.Insert(&two)
	if stale == current || stale == 0 || m.Get(stale) != nil || m.Get(current) != &two || m.Len() != 1 || m.Get(1<<40) != nil {
		t.Fatalf("handles %d %d, %d values", stale, current, m.Len())
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
