package connlimit

import (
	"fmt"
	"sync"
)

// This file owns the one budget of descriptors: what each kind of owner may
// take, what is kept for the others, and the levels of pressure. It must never
// let one kind take another's floor.

// Kind is who holds descriptors.
type Kind uint8

// The kinds.
const (
	Sessions Kind = iota // of clients, by either front
	Backends             // connections to workers
	Discovery
	Door
	Stores // files
	Kinds
)

var kindNames = [Kinds]string{"sessions", "backends", "discovery", "door", "stores"}

func (k Kind) String() string { return kindNames[k] }

// Marks are the shares of the descriptors at which pressure begins, and how far
// below one it ends.
type Marks struct {
	Low, High, Critical float64 // defaults 0.8, 0.9, 0.97
	Back                float64 // default 0.05
}

// Budget counts descriptors. Its methods may be called from several goroutines.
type Budget struct {
	mu     sync.Mutex
	total  int
	floor  [Kinds]int
	used   [Kinds]int
	marks  Marks
	level  int
	forced int // pressure that the system itself told of
}

// NewBudget returns a budget; an error names what does not fit.
func NewBudget(total int, floor [Kinds]int, marks Marks) (*Budget, error) {
	b := &Budget{}
	return b, b.Set(total, floor, marks)
}

// Set changes the bounds. What is taken stays taken.
func (b *Budget) Set(total int, floor [Kinds]int, marks Marks) error {
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
			return fmt.Errorf("floor of %s: must not be negative", Kind(k))
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

// Take takes a descriptor, if that leaves the others their floors.
func (b *Budget) Take(k Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used[k] >= b.floor[k] {
		all := 1
		for o := range Kinds {
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

// Give gives one back.
func (b *Budget) Give(k Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[k]--
	b.weigh()
}

// Force raises the level by what the system itself says: it has no descriptor
// left, whatever the budget counts. 0 ends that.
func (b *Budget) Force(level int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forced = level
	b.weigh()
}

// weigh finds the level. It rises at a mark and falls only when use is Back below it.
func (b *Budget) weigh() {
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
func (b *Budget) Level() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.level, b.forced)
}

// Use tells what is taken, and of how many.
func (b *Budget) Use() (used, floor [Kinds]int, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.floor, b.total
}
