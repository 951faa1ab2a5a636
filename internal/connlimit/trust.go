package connlimit

import (
	"net/netip"
	"time"
)

// Trust is the level of trust in an address. Open connections are counted by level.
type Trust uint8

// The levels of trust.
const (
	Unknown      Trust = iota
	Learned            // enough requests of the address were served recently
	Known              // the address is in Config.Known
	TrustedProxy       // the connection comes from a trusted proxy, and no PROXY header has named its client yet
	numTrusts
)

// trustNames are the keys of the levels of trust in the admin API's JSON.
var trustNames = [numTrusts]string{Unknown: "unknown", Learned: "learned", Known: "known", TrustedProxy: "front"}

// String returns the trust's key in the admin API's JSON.
func (t Trust) String() string { return trustNames[t] }

const (
	abusePeriod = time.Minute // time after abuse in which served requests of the address are not counted
	maxScore    = 1e6         // maximum score, which bounds the time that a score takes to decay
)

// trustOf returns the trust in an address. Its entry may be nil.
func (l *Limiter) trustOf(now time.Duration, addr netip.Addr, entry *tableEntry) Trust {
	if l.known.contains(addr) {
		return Known
	}
	learn := &l.config.Learn
	if entry != nil && learn.Enabled && entry.scoreAt(l.ticksAt(now), learn.HalfLife) >= learn.MinScore {
		return Learned
	}
	return Unknown
}

// IsTrusted reports whether an address is trusted, which means that it is known, learned
// or a trusted proxy's.
func (l *Limiter) IsTrusted(now time.Duration, addr netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.addresses.entryAt(l.addresses.find(keyOf(addr)))
	return l.proxies.contains(addr) || l.trustOf(now, addr, entry) != Unknown
}

// TrustOf returns the trust under which a connection is counted, or Unknown if the
// connection is closed.
func (l *Limiter) TrustOf(id ID) Trust {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, connection := l.find(id)
	if connection == nil {
		return Unknown
	}
	return connection.trust
}

// countServed counts a served request for the score of a connection's address, and
// marks the address as learned if the score is high enough.
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
	l.addresses.setLearned(connection.address, float64(entry.score) >= learn.MinScore)
}

// ReportAbuse counts a rejection whose reason is abuse by the connection's client. If
// the client's address is Learned, it becomes Unknown. For the next minute, served
// requests do not count towards the address becoming Learned.
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
		l.demoteToUnknown(now, index)
	}
}

// demoteToUnknown changes the trust under which a connection is counted from Learned to Unknown.
func (l *Limiter) demoteToUnknown(now time.Duration, index int32) {
	connection := &l.connections[index]
	l.removeFromStage(index)
	l.openByTrust[Learned]--
	l.countOpen(connection, -1)
	connection.trust = Unknown
	l.countOpen(connection, 1)
	l.openByTrust[Unknown]++
	l.addToStage(index, connection.stage, now)
}
