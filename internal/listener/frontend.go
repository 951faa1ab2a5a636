package listener

import (
	"net/netip"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// FrontEnd serves client connections of one protocol.
type FrontEnd interface {
	// Evict closes the connection with this token at once. No response is owed on it.
	Evict(token uint64)
}

// A connlimit.Token consists of the number of the front end, in the top bit, and the
// front end's own token.
const (
	maxFrontEnds  = 2
	frontEndShift = 63
	ownTokenMask  = 1<<frontEndShift - 1
)

func limiterToken(frontEnd int, token uint64) connlimit.Token {
	return connlimit.Token(token | uint64(frontEnd)<<frontEndShift)
}

// AddFrontEnd registers a front end under a number, 0 or 1. The number is part of the
// connlimit.Tokens of the front end's connections.
func (g *Gate) AddFrontEnd(number int, frontEnd FrontEnd) { g.frontEnds[number] = frontEnd }

// RegisterConnection records that a front end has received a connection, and returns the
// connection's ID in the Limiter. number is the front end's number, and token is its own
// identifier of the connection, which Evict gets. admissionToken is that of the
// transport.Conn, which is 0 if the connection was accepted without Admit.
func (g *Gate) RegisterConnection(number int, token uint64, admissionToken transport.AdmissionToken) connlimit.ID {
	if admissionToken == 0 {
		return g.Limiter.Adopt(g.loop.Now(), limiterToken(number, token))
	}
	id := connlimit.ID(admissionToken)
	g.Limiter.SetToken(id, limiterToken(number, token))
	return id
}

// EvictionCandidate returns the connection to be evicted next, which can be passed to
// CloseConnection. See connlimit.Limiter.EvictionCandidate.
func (g *Gate) EvictionCandidate(need connlimit.EvictionReason, spared connlimit.Spared) (connlimit.Candidate, bool) {
	return g.Limiter.EvictionCandidate(g.loop.Now(), need, spared)
}

// CloseConnection makes the front end of a connection close it. The token is one that
// EvictionCandidate returned.
func (g *Gate) CloseConnection(token connlimit.Token) {
	frontEnd := g.frontEnds[token>>frontEndShift]
	if frontEnd != nil {
		frontEnd.Evict(uint64(token & ownTokenMask))
	}
}

// EvictOne closes the connection to be evicted next, and returns false if there is none.
func (g *Gate) EvictOne(need connlimit.EvictionReason) bool {
	candidate, found := g.EvictionCandidate(need, connlimit.Spared{})
	if found {
		g.CloseConnection(candidate.Token)
	}
	return found
}

// EvictPrefix closes the connections of a prefix on which no response is owed, and
// returns their number.
func (g *Gate) EvictPrefix(prefix netip.Prefix) int {
	tokens := g.Limiter.NotBusyWithin(prefix)
	for _, token := range tokens {
		g.CloseConnection(token)
	}
	return len(tokens)
}
