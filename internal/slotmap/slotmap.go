package slotmap

// Map is a table of numbered slots. A handle names a slot and its
// generation, so that one that has been dropped finds nothing, not what has
// the slot now. Handles are never 0, below 2^62, and never used again.
type Map[T any] struct {
	slots []slot[T]
	free  []uint32
}

// Insert stores v and returns its handle.
func (t *Map[T]) Insert(v *T) uint64 {
	if len(t.free) == 0 {
		t.slots = append(t.slots, slot[T]{})
		t.free = append(t.free, uint32(len(t.slots)-1))
	}
	n := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	s := &t.slots[n]
	s.generation++
	s.value = v
	return s.generation<<slotBits | uint64(n)
}

// Get finds what a handle names; nil once it has been dropped.
func (t *Map[T]) Get(handle uint64) *T {
	n := handle & (1<<slotBits - 1)
	if n >= uint64(len(t.slots)) || t.slots[n].generation != handle>>slotBits {
		return nil
	}
	return t.slots[n].value
}

// Remove frees the slot of a handle. Dropping twice does nothing.
func (t *Map[T]) Remove(handle uint64) {
	if t.Get(handle) != nil {
		n := uint32(handle & (1<<slotBits - 1))
		t.slots[n].value = nil
		t.free = append(t.free, n)
	}
}

// Len is the number of slots in use.
func (t *Map[T]) Len() int { return len(t.slots) - len(t.free) }

// ForEach calls f for each value, in the order of the slots. f may drop any of them.
func (t *Map[T]) ForEach(f func(handle uint64, v *T)) {
	for n := range t.slots {
		if s := t.slots[n]; s.value != nil {
			f(s.generation<<slotBits|uint64(n), s.value)
		}
	}
}

type slot[T any] struct {
	value      *T
	generation uint64
}

const slotBits = 20
