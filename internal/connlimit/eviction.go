package connlimit

import (
	"math"
	"net/netip"
	"time"
)

// EvictionReason is the reason for an eviction. It determines which connections may be
// evicted.
type EvictionReason uint8

// The reasons for an eviction.
const (
	ForUnknown EvictionReason = iota // for a connection of an unknown client: any connection may be evicted
	ForTrusted                       // for a connection of a trusted client: only those of unknown clients are evicted
	ForSilence                       // too many connections are silent: only silent ones are evicted
	ForMemory                        // buffers are scarce: only connections with a half-read request are evicted
)

// evictionOrder does not contain Busy, since a response is owed on such a connection.
var evictionOrder = [...]Stage{Unserved, Silent, Proven, HalfRead}

// Candidate is a connection that may be evicted.
type Candidate struct {
	Token Token
	Stage Stage
}

// Spared selects connections that are not candidates for eviction. The zero value
// selects none.
type Spared struct {
	Proven bool             // spares all connections in the stage Proven
	Match  func(Token) bool // if not nil, spares the connections for which it returns true
}

// spares reports whether Match spares a connection.
func (s Spared) spares(connection *conn) bool { return s.Match != nil && s.Match(connection.token) }

// EvictionCandidate returns the connection to be evicted next, or false if there is
// none.
//
// Connections of unknown addresses are evicted before those of trusted ones. Within
// these groups they are evicted in the order of the Stages, and within a stage the
// connection that has been in the stage the longest is evicted first. A silent or
// half-read connection is not a candidate during its grace period, which begins when it
// enters the stage, since a request is probably on its way. ForMemory has no grace period.
func (l *Limiter) EvictionCandidate(now time.Duration, need EvictionReason, spared Spared) (Candidate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if need == ForSilence && !l.tooManySilent() {
		return Candidate{}, false
	}
	for group := range l.stageLists {
		if need == ForTrusted && group == trustedGroup {
			break
		}
		for _, stage := range evictionOrder {
			if !mayEvict(need, stage) || spared.Proven && stage == Proven {
				continue
			}
			latest := l.latestEvictable(now, need, stage)
			connection := l.firstEvictable(&l.stageLists[group][stage], latest, spared)
			if connection != nil {
				return Candidate{Token: connection.token, Stage: stage}, true
			}
		}
	}
	return Candidate{}, false
}

// mayEvict reports whether connections in a stage may be evicted for a reason.
func mayEvict(need EvictionReason, stage Stage) bool {
	switch need {
	case ForSilence:
		return stage == Silent
	case ForMemory:
		return stage == HalfRead
	}
	return true
}

// latestEvictable returns the latest time at which a connection may have entered a
// stage if it is to be evicted now.
func (l *Limiter) latestEvictable(now time.Duration, need EvictionReason, stage Stage) time.Duration {
	switch {
	case stage != Silent && stage != HalfRead || need == ForMemory:
		return math.MaxInt64
	case need == ForSilence:
		return now - l.config.CrowdedSilentGrace
	case stage == Silent:
		return now - l.config.SilentGrace
	}
	return now - l.config.Grace
}

// firstEvictable returns the first connection of a list that may be evicted and has
// been in the stage since latest or longer, or nil if there is none.
func (l *Limiter) firstEvictable(list *stageList, latest time.Duration, spared Spared) *conn {
	for index := list.first; index != noIndex; index = l.connections[index].next {
		connection := &l.connections[index]
		if connection.stageSince > latest {
			return nil // the connections that follow entered the stage even later
		}
		if connection.hasToken && !spared.spares(connection) {
			return connection
		}
	}
	return nil
}

// TooManySilent reports whether more than half of the capacity is used by silent
// connections. Clients that merely connect before they have a request do not cause so
// many.
func (l *Limiter) TooManySilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tooManySilent()
}

func (l *Limiter) tooManySilent() bool { return l.silent > l.config.Capacity/2 }

// NotBusyWithin returns the tokens of a prefix's connections on which no response is owed.
// The caller can close these connections when it blocks the prefix.
func (l *Limiter) NotBusyWithin(prefix netip.Prefix) (tokens []Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for index := range l.connections {
		connection := &l.connections[index]
		if !connection.open || !connection.hasToken || connection.stage == Busy || !connection.counted() {
			continue
		}
		if prefix.Contains(l.addresses.entries[connection.address].key.addr()) {
			tokens = append(tokens, connection.token)
		}
	}
	return tokens
}
