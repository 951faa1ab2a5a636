// Package membership carries versioned changes of membership and configuration
// to a fleet: a snapshot, deltas after it, a bounded log to resume from, and
// acknowledged versions. It decides and does no I/O: it starts no goroutine, and
// the time is an argument of whatever depends on it.
package membership

// Version numbers the states of the origin. Relays pass it on unchanged, so that
// a subscriber can move between them. A higher one is newer.
type Version int64
