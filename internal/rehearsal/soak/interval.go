package soak

import "time"

// interval is the time between from and to. If to is zero, the interval has not ended.
type interval struct{ from, to time.Time }

// hasEnded reports whether the interval has ended.
func (i interval) hasEnded() bool { return !i.to.IsZero() }

// contains reports whether a time lies in the interval. The end of the interval does not belong to it.
func (i interval) contains(at time.Time) bool {
	return !at.Before(i.from) && (!i.hasEnded() || at.Before(i.to))
}

// overlaps reports whether the interval and the time between from and to overlap in more than a single instant.
func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (!i.hasEnded() || i.to.After(from))
}
