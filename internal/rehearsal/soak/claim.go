package soak

import "sync/atomic"

// claim ensures that at most one fault at a time affects a dispatcher or a worker. It is safe for concurrent use.
type claim struct{ taken atomic.Bool }

// tryClaim takes the claim without waiting. It returns false if another fault holds the claim.
func (c *claim) tryClaim() bool { return c.taken.CompareAndSwap(false, true) }

func (c *claim) release() { c.taken.Store(false) }
