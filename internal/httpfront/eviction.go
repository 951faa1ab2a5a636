package httpfront

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/listener"
)

const (
	silenceInterval    = 50 * time.Millisecond // between attempts to evict silent connections
	capacityInterval   = 10 * time.Millisecond // between attempts to evict connections in favor of waiting new ones
	evictionsPerCall   = 8                     // maximum number of evictions in one call of evictForCapacity
	memoryShortDivisor = 2                     // memory is short when more than limit/memoryShortDivisor is in use

	// provenGrace is how long proven connections are spared when there is no other candidate for eviction. When it is
	// over, connections that are silent at its start have become candidates.
	provenGrace = listener.SilentGrace + capacityInterval
)

// evictionState is the state of the evictions that make room for new connections.
type evictionState struct {
	capacityExhausted bool               // new connections wait, and no connection could be evicted for them
	provenSparedUntil time.Duration      // when proven connections may be evicted; 0 if none has been a candidate yet
	retryTimer        eventloop.Deadline // of the next attempt of evictForCapacity
	silenceTimer      eventloop.Deadline // of the next attempt of evictSilent
}

// Evict closes the connection that the gate has chosen, unless a response is pending on it. It implements
// listener.FrontEnd.
func (f *FrontEnd) Evict(token uint64) {
	c := f.connections.Get(token)
	if c != nil && !c.response.pending && !c.closed {
		c.closeNow()
	}
}

// evictSilent closes connections on which no byte has been received, while there are more of them than well-behaved
// clients open before they send requests. The connection that has been silent longest is closed first. New connections
// are spared, because a close that crosses the first request of a connection loses that request.
func (f *FrontEnd) evictSilent() {
	for f.gate.Limiter.TooManySilent() {
		candidate, found := f.gate.EvictionCandidate(connlimit.ForSilence, connlimit.Spared{Match: f.hasUnreadRequest})
		if !found {
			f.loop().Set(&f.eviction.silenceTimer, f.loop().Now()+silenceInterval)
			return
		}
		f.gate.CloseConnection(candidate.Token)
	}
}

// hasUnreadRequest reports whether a connection between requests has bytes in its socket that have not been read yet,
// as happens when the event loop was delayed. Such a connection is not evicted, since a request has arrived on it.
func (f *FrontEnd) hasUnreadRequest(token connlimit.Token) bool {
	c := f.connections.Get(uint64(token))
	return c != nil && c.betweenRequests() && !c.conn.AllRead()
}

// evictForCapacity evicts some connections to make room for new ones that wait, and is repeated until one of those has
// been accepted. If there is no connection to evict, connections are closed after their next responses.
func (f *FrontEnd) evictForCapacity() {
	spareProven := f.listenerShared // the process that shares the listener can accept the new connections
	spared := connlimit.Spared{Proven: spareProven, Match: f.hasUnreadRequest}
	for evicted := range evictionsPerCall {
		candidate, found := f.gate.EvictionCandidate(connlimit.ForUnknown, spared)
		if !found {
			f.eviction.capacityExhausted = evicted == 0 && !spareProven
			break
		}
		if candidate.Stage == connlimit.Proven && evicted > 0 { // the evictions so far have made room
			break
		}
		if candidate.Stage == connlimit.Proven && f.sparesProven() {
			f.loop().Set(&f.eviction.retryTimer, f.loop().Now()+capacityInterval)
			return
		}
		f.gate.CloseConnection(candidate.Token) // not gracefully, which would occupy the descriptor for a while
	}
	if f.eviction.capacityExhausted {
		f.loop().Set(&f.eviction.retryTimer, f.loop().Now()+capacityInterval)
	}
}

// sparesProven reports whether a proven connection that is the candidate for eviction is spared for now.
func (f *FrontEnd) sparesProven() bool {
	now := f.loop().Now()
	if f.eviction.provenSparedUntil == 0 {
		f.eviction.provenSparedUntil = now + provenGrace
	}
	return now < f.eviction.provenSparedUntil
}

// retryEviction repeats evictForCapacity if no connection has been accepted since its last call.
func (f *FrontEnd) retryEviction() {
	if f.eviction.capacityExhausted || f.eviction.provenSparedUntil != 0 {
		f.evictForCapacity()
	}
}

// freeMemory rejects incomplete requests, the oldest first, until buffers take up no more than the memory limit.
func (f *FrontEnd) freeMemory() {
	for f.memoryExhausted() {
		var chosen *clientConnection
		spare := func(token connlimit.Token) bool {
			connection := f.connections.Get(uint64(token))
			if connection == nil || connection.input.empty() || connection.reading.posted || connection.token == f.turns.reading {
				return true
			}
			chosen = connection
			return false
		}
		_, found := f.gate.EvictionCandidate(connlimit.ForMemory, connlimit.Spared{Match: spare})
		if !found {
			return
		}
		chosen.reject(errMemoryExhausted)
	}
}

// memoryShort reports whether buffers take up so much memory that pipelined requests are not read ahead.
func (f *FrontEnd) memoryShort() bool {
	return memoryShortDivisor*f.engine.Pool.BytesInUse() > f.memoryLimit
}

// memoryExhausted reports whether buffers take up more memory than the limit.
func (f *FrontEnd) memoryExhausted() bool { return f.engine.Pool.BytesInUse() > f.memoryLimit }
