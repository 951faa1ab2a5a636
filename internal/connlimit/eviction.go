package connlimit

import (
	"math"
	"net/netip"
	"time"
)

// EvictionReason is why a connection is to be evicted, which decides which ones may be.
type EvictionReason uint8

// The reasons for an eviction.
const (
	ForUnknown EvictionReason = iota // for a new connection of an unknown client: any may be evicted
	ForKnown                         // for one of a trusted client: only those of unknown clients are evicted
	ForSilence                       // there are too many silent connections: only those are evicted
	ForMemory                        // buffers are short: only connections with a half-read request are evicted
)

// evictionOrder leaves out Busy: an answer is owed.
var evictionOrder = [...]Stage{Unserved, Silent, Proven, HalfRead}

// Candidate is a connection that may be evicted.
type Candidate struct {
	Token Token
	Stage Stage
}

// Spared says which connections are not candidates. The zero value spares none.
type Spared struct {
	Proven bool             // all in the stage Proven
	Single func(Token) bool // those for which it returns true; nil: no others
}

// spares reports whether a connection is not a candidate.
func (s Spared) spares(connection *conn) bool { return s.Single != nil && s.Single(connection.token) }

// EvictionCandidate returns the connection to be evicted first, and false if there
// is none.
//
// Unknown addresses come before trusted ones; of each, the stages come in their
// order, and in a stage the connection that has been in it the longest.
// Connections that are silent or half read are not candidates for a while after
// they became so, since a request is on its way.
func (l *Limiter) EvictionCandidate(now time.Duration, need EvictionReason, spared Spared) (Candidate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if need == ForSilence && !l.tooManySilent() {
		return Candidate{}, false
	}
	for side := range l.stageLists {
		if need == ForKnown && side == trustedSide {
			break
		}
		for _, stage := range evictionOrder {
			if !mayEvict(need, stage) || spared.Proven && stage == Proven {
				continue
			}
			latest := l.latestEvictable(now, need, stage)
			connection := l.firstEvictable(&l.stageLists[side][stage], latest, spared)
			if connection != nil {
				return Candidate{Token: connection.token, Stage: stage}, true
			}
		}
	}
	return Candidate{}, false
}

// mayEvict reports whether evicting connections of a stage helps a need.
func mayEvict(need EvictionReason, stage Stage) bool {
	switch need {
	case ForSilence:
		return stage == Silent
	case ForMemory:
		return stage == HalfRead
	}
	return true
}

// latestEvictable returns since when at the latest a connection must have been in a
// stage to be evicted.
func (l *Limiter) latestEvictable(now time.Duration, need EvictionReason, stage Stage) time.Duration {
	switch {
	case stage != Silent && stage != HalfRead || need == ForMemory:
		return math.MaxInt64
	case need == ForSilence:
		return now - l.config.SilentTime
	case stage == Silent:
		return now - l.config.SilentGrace
	}
	return now - l.config.Grace
}

// firstEvictable returns the first connection of a list that may be evicted, of
// those in it since latest or before; nil: there is none.
func (l *Limiter) firstEvictable(list *stageList, latest time.Duration, spared Spared) *conn {
	for index := list.first; index != noIndex; index = l.connections[index].next {
		connection := &l.connections[index]
		if connection.stageSince > latest {
			return nil // so are all that follow
		}
		if connection.hasToken && !spared.spares(connection) {
			return connection
		}
	}
	return nil
}

// TooManySilent reports whether more connections are silent than clients that
// connect before they have a request would leave so.
func (l *Limiter) TooManySilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tooManySilent()
}

func (l *Limiter) tooManySilent() bool { return l.silent > l.config.Capacity/2 }

// IdleWithin returns the tokens of a prefix's connections on which no answer is
// owed, for a block that ends them.
func (l *Limiter) IdleWithin(prefix netip.Prefix) (tokens []Token) {
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
