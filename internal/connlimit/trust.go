package connlimit

import (
	"net/netip"
	"time"
)

// Trust is what is known of an address.
type Trust uint8

// The levels of trust.
const (
	Unknown      Trust = iota
	Learned            // enough of its requests were served of late
	Known              // the configuration names it
	TrustedProxy       // a proxy whose PROXY header has not named its client yet
	numTrusts
)

// trustNames are keys of the admin API's JSON.
var trustNames = [numTrusts]string{Unknown: "unknown", Learned: "learned", Known: "known", TrustedProxy: "front"}

// String returns the trust's key in the admin API's JSON.
func (t Trust) String() string { return trustNames[t] }

const (
	abusePeriod = time.Minute // after abuse, in which an address learns nothing
	maxScore    = 1e6         // served requests, which bounds how long a score takes to decay
)

// trustOf returns the trust in an address whose entry may be nil.
func (l *Limiter) trustOf(now time.Duration, addr netip.Addr, entry *tableEntry) Trust {
	if l.known.contains(addr) {
		return Known
	}
	learn := &l.config.Learn
	if entry != nil && learn.Enabled && entry.scoreAt(l.ticksAt(now), learn.HalfLife) >= learn.After {
		return Learned
	}
	return Unknown
}

// IsKnown reports whether an address is trusted: a known or learned one, or a
// trusted proxy.
func (l *Limiter) IsKnown(now time.Duration, addr netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.addresses.entryAt(l.addresses.find(keyOf(addr)))
	return l.proxies.contains(addr) || l.trustOf(now, addr, entry) != Unknown
}

// TrustOf returns the trust that a connection is counted under, and Unknown for a
// connection that is closed.
func (l *Limiter) TrustOf(id ID) Trust {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, connection := l.find(id)
	if connection == nil {
		return Unknown
	}
	return connection.trust
}

// countServed counts a served request for the trust in a connection's address.
func (l *Limiter) countServed(now time.Duration, connection *conn) {
	learn := &l.config.Learn
	if !learn.Enabled || !connection.counted() {
		return
	}
	entry := &l.addresses.entries[connection.address]
	t := l.ticksAt(now)
	if entry.abusedAt != 0 && t.since(entry.abusedAt) < abusePeriod {
		return
	}
	entry.abusedAt = 0
	entry.score = float32(min(entry.scoreAt(t, learn.HalfLife)+1, maxScore))
	entry.scoredAt = t
	l.addresses.setLearned(connection.address, float64(entry.score) >= learn.After)
}

// ReportAbuse counts a reason for which a connection's client abuses its place. An
// address that is Learned becomes Unknown, and cannot be learned for a minute.
func (l *Limiter) ReportAbuse(now time.Duration, id ID, reason Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejections[reason]++
	index, connection := l.find(id)
	if connection == nil || !connection.counted() {
		return
	}
	entry := &l.addresses.entries[connection.address]
	t := l.ticksAt(now)
	entry.score = 0
	entry.scoredAt = t
	entry.abusedAt = t
	l.addresses.setLearned(connection.address, false)
	if connection.trust == Learned {
		l.demote(now, index)
	}
}

// demote counts a learned connection as an unknown one.
func (l *Limiter) demote(now time.Duration, index int32) {
	connection := &l.connections[index]
	l.removeFromStage(index)
	l.openByTrust[Learned]--
	l.countOpen(connection, -1)
	connection.trust = Unknown
	l.countOpen(connection, 1)
	l.openByTrust[Unknown]++
	l.addToStage(index, connection.stage, now)
}
