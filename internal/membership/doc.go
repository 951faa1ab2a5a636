// Package membership carries versioned membership and configuration from an
// origin to a fleet: snapshots, deltas, a bounded log to resume from, a bound on
// the bytes a subscriber is sent, and the versions that subscribers acknowledge.
//
// It owns the decisions: which change replaces what, what a subscriber lacks,
// when it may be sent, and who has it in force. It does no I/O, starts no
// goroutine and reads no clock: time is an argument, and the zero of time is the
// caller's choice. No type here is safe for concurrent use; one goroutine owns
// each.
//
// It must never let an older version replace a newer one, make a change visible
// in part, take in any of a change of which some part is wrong, number a version
// of its own, nor keep more log than it was told.
//
// codec.go is the wire form (discovery's), store.go the newest state and its
// log, pace.go the byte bound, acks.go the acknowledged versions, upstream.go which
// server a subscriber follows.
package membership
