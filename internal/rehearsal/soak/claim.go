package soak

import "sync/atomic"

// claim gives a dispatcher or a worker to one fault at a time. It is safe for concurrent use.
type claim struct{ taken atomic.Bool }

// tryClaim takes the claim. It reports false if another fault has it.
func (c *claim) tryClaim() bool { return c.taken.CompareAndSwap(false, true) }

func (c *claim) release() { c.taken.Store(false) }
