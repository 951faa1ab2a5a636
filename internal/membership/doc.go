// Package membership carries versioned membership and configuration from an
// origin to a fleet of subscribers.
//
// An origin numbers its states. [Store] holds the newest state and a bounded,
// compacted log of changes, from which [Store.Since] answers a subscriber at an
// older version with a delta, or with a snapshot if the log does not reach back
// far enough. [Parse] and [Change.Append] read and write the wire form.
// [Subscribers] and [RateLimiter] decide when a subscriber is sent its next
// delta; [AckTracker] counts the versions that subscribers have acknowledged.
// [Failover] and [Selector] decide which server a subscriber follows.
//
// The package does no I/O, starts no goroutine and reads no clock: callers pass
// the time as the duration since a moment of their choice. No type is safe for
// concurrent use; each has one owning goroutine.
//
// These invariants hold: an older version never replaces a newer one; a change
// is applied completely or not at all; versions are passed on, never created;
// the log never exceeds its limit.
package membership
