// Package slotmap provides a map from handles to values, backed by a slice of reused slots. The map assigns the handles.
//
// A handle consists of the index of a slot and the slot's generation, which increases with each use of the slot. A
// stale handle therefore never finds the value that is in the slot now. A lookup is an index and a comparison, without
// hashing.
package slotmap

const (
	// indexBits is the number of low bits of a handle that hold the index of the slot; the others hold the generation.
	indexBits = 20
	indexMask = 1<<indexBits - 1
)

// Map is a slot map of up to 2^20 values at a time. The zero value is empty and ready to use. Handles are never 0, are
// below 2^62 and are never reused. A Map is not safe for concurrent use.
type Map[T any] struct {
	slots []slot[T]
	free  []uint32 // indexes of the slots that are not in use
}

type slot[T any] struct {
	value      *T // nil if the slot is not in use
	generation uint64
}

// handle returns the handle of the slot's current value.
func (s *slot[T]) handle(index uint32) uint64 { return s.generation<<indexBits | uint64(index) }

// Insert stores a value and returns its handle.
func (m *Map[T]) Insert(value *T) uint64 {
	if len(m.free) == 0 {
		m.slots = append(m.slots, slot[T]{})
		m.free = append(m.free, uint32(len(m.slots)-1))
	}
	last := len(m.free) - 1
	index := m.free[last]
	m.free = m.free[:last]
	inserted := &m.slots[index]
	inserted.generation++
	inserted.value = value
	return inserted.handle(index)
}

// Get returns the value of a handle, or nil if the value was removed or the handle was never assigned.
func (m *Map[T]) Get(handle uint64) *T {
	index := handle & indexMask
	if index >= uint64(len(m.slots)) || m.slots[index].generation != handle>>indexBits {
		return nil
	}
	return m.slots[index].value
}

// Remove removes the value of a handle. It does nothing if the handle has no value.
func (m *Map[T]) Remove(handle uint64) {
	if m.Get(handle) == nil {
		return
	}
	index := uint32(handle & indexMask)
	m.slots[index].value = nil
	m.free = append(m.free, index)
}

// Len returns the number of values.
func (m *Map[T]) Len() int { return len(m.slots) - len(m.free) }

// ForEach calls f for each value, in the order of the slots. f may remove any value.
func (m *Map[T]) ForEach(f func(handle uint64, value *T)) {
	for index := range m.slots {
		s := m.slots[index]
		if s.value != nil {
			f(s.handle(uint32(index)), s.value)
		}
	}
}
