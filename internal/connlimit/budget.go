package connlimit

import (
	"fmt"
	"sync"
)

// This file owns the one budget of descriptors: what each kind of owner may
// take, what is kept for the others, and the levels of pressure. It must never
// let one kind take another's floor.

// DescriptorKind is who holds descriptors.
type DescriptorKind uint8

// The kinds.
const (
	ClientConnections DescriptorKind = iota // of clients, by either front
	WorkerConnections                       // connections to workers
	DiscoveryConnections
	AdminConnections
	StoreFiles // files
	DescriptorKinds
)

var kindNames = [DescriptorKinds]string{"sessions", "backends", "discovery", "door", "stores"}

func (k DescriptorKind) String() string { return kindNames[k] }

// Watermarks are the shares of the descriptors at which pressure begins, and how far
// below one it ends.
type Watermarks struct {
	Low, High, Critical float64 // defaults 0.8, 0.9, 0.97
	Back                float64 // default 0.05
}

// DescriptorBudget counts descriptors. Its methods may be called from several goroutines.
type DescriptorBudget struct {
	mu     sync.Mutex
	total  int
	floor  [DescriptorKinds]int
	used   [DescriptorKinds]int
	marks  Watermarks
	level  int
	forced int // pressure that the system itself told of
}

// NewDescriptorBudget returns a budget; an error names what does not fit.
func NewDescriptorBudget(total int, floor [DescriptorKinds]int, marks Watermarks) (*DescriptorBudget, error) {
	b := &DescriptorBudget{}
	return b, b.Reconfigure(total, floor, marks)
}

// Reconfigure changes the bounds. What is taken stays taken.
func (b *DescriptorBudget) Reconfigure(total int, floor [DescriptorKinds]int, marks Watermarks) error {
	for _, d := range []struct {
		v   *float64
		def float64
	}{{&marks.Low, 0.8}, {&marks.High, 0.9}, {&marks.Critical, 0.97}, {&marks.Back, 0.05}} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	sum := 0
	for k, n := range floor {
		if n < 0 {
			return fmt.Errorf("floor of %s: must not be negative", DescriptorKind(k))
		}
		sum += n
	}
	switch {
	case sum > total:
		return fmt.Errorf("floors: %d together are more than the %d descriptors there are", sum, total)
	case !(marks.Low > 0 && marks.Low < marks.High && marks.High < marks.Critical && marks.Critical <= 1):
		return fmt.Errorf("marks: %g, %g, %g do not rise within 0 to 1", marks.Low, marks.High, marks.Critical)
	case !(marks.Back > 0 && marks.Back < marks.Low):
		return fmt.Errorf("marks: back: %g is not between 0 and the lowest", marks.Back)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total, b.floor, b.marks = total, floor, marks
	b.weigh()
	return nil
}

// Acquire takes a descriptor, if that leaves the others their floors.
func (b *DescriptorBudget) Acquire(k DescriptorKind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used[k] >= b.floor[k] {
		all := 1
		for o := range DescriptorKinds {
			if all += b.used[o]; o != k {
				all += max(b.floor[o]-b.used[o], 0)
			}
		}
		if all > b.total {
			return false
		}
	}
	b.used[k]++
	b.weigh()
	return true
}

// Release gives one back.
func (b *DescriptorBudget) Release(k DescriptorKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[k]--
	b.weigh()
}

// ForceLevel raises the level by what the system itself says: it has no descriptor
// left, whatever the budget counts. 0 ends that.
func (b *DescriptorBudget) ForceLevel(level int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forced = level
	b.weigh()
}

// weigh finds the level. It rises at a mark and falls only when use is Back below it.
func (b *DescriptorBudget) weigh() {
	all := 0
	for _, n := range b.used {
		all += n
	}
	share := float64(all) / float64(max(b.total, 1))
	for i, mark := range []float64{b.marks.Low, b.marks.High, b.marks.Critical} {
		switch level := i + 1; {
		case share >= mark:
			b.level = max(b.level, level)
		case share < mark-b.marks.Back:
			b.level = min(b.level, level-1)
		}
	}
}

// Level is the pressure: 0 to 3.
func (b *DescriptorBudget) Level() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.level, b.forced)
}

// Usage tells what is taken, and of how many.
func (b *DescriptorBudget) Usage() (used, floor [DescriptorKinds]int, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.floor, b.total
}
