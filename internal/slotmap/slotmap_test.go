package slotmap

import (
	"testing"
)

// A handle that was dropped finds nothing, though its slot is in use again.
func TestTableChecksGenerations(t *testing.T) {
	var table Map[int]
	one, two := 1, 2
	a := table.Insert(&one)
	table.Remove(a)
	table.Remove(a)
	b := table.Insert(&two)
	if a == b || a == 0 || table.Get(a) != nil || table.Get(b) != &two || table.Len() != 1 || table.Get(1<<40) != nil {
		t.Fatalf("handles %d %d, %d slots in use", a, b, table.Len())
	}
}
