package soak

import "time"

// interval is a span of time; a zero end means that it has not ended.
type interval struct{ from, to time.Time }

// hasEnded reports whether the end of the interval is known.
func (i interval) hasEnded() bool { return !i.to.IsZero() }

// contains reports whether a moment lies in the interval. Its end does not belong to it.
func (i interval) contains(moment time.Time) bool {
	return !moment.Before(i.from) && (!i.hasEnded() || moment.Before(i.to))
}

// overlaps reports whether the interval shares more than a moment with the span between two times.
func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (!i.hasEnded() || i.to.After(from))
}
