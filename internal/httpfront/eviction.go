package httpfront

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
)

const (
	evictionInterval   = 50 * time.Millisecond // between attempts to evict connections
	evictionsPerCall   = 8                     // of evictForCapacity
	memoryShortDivisor = 2                     // memory is short when this part of the limit is in use
)

// Evict closes a connection that the gate has chosen, unless a response is pending on it. It implements
// listener.FrontEnd.
func (f *FrontEnd) Evict(token uint64) {
	c := f.connections.Get(token)
	if c != nil && !c.responsePending && !c.closed {
		c.closeNow()
	}
}

// evictSilent closes connections on which nothing has come, while there are more than usual clients open ahead of
// their requests. Those that have been silent longest go first, and none that is new: a close that crosses a
// connection's first request loses it.
func (f *FrontEnd) evictSilent() {
	for f.gate.Limiter.TooManySilent() {
		if !f.gate.EvictOne(connlimit.ForSilence) {
			f.loop().Set(&f.silenceTimer, f.loop().Now()+evictionInterval)
			return
		}
	}
}

// evictForCapacity evicts some connections for new ones that wait, and continues until one of those has been accepted.
// If there is none to evict, connections end with their next responses.
func (f *FrontEnd) evictForCapacity() {
	spareProven := f.listenerShared // the other process has capacity
	for evicted := range evictionsPerCall {
		candidate, found := f.gate.EvictionCandidate(connlimit.ForUnknown, connlimit.Spared{Proven: spareProven})
		if !found {
			f.capacityExhausted = evicted == 0 && !spareProven
			break
		}
		if candidate.Stage == connlimit.Proven && evicted > 0 { // there is capacity already
			break
		}
		if candidate.Stage == connlimit.Proven && !f.provenSpared { // by the next look, new connections may have become candidates
			f.provenSpared = true
			f.loop().Set(&f.evictionTimer, f.loop().Now()+evictionInterval)
			return
		}
		f.gate.CloseConnection(candidate.Token) // at once: one that closes gracefully keeps its descriptor for a while
	}
	if f.capacityExhausted {
		f.loop().Set(&f.evictionTimer, f.loop().Now()+evictionInterval)
	}
}

// retryEviction evicts again if no connection has been accepted since the last time.
func (f *FrontEnd) retryEviction() {
	if f.capacityExhausted || f.provenSpared {
		f.evictForCapacity()
	}
}

// freeMemory rejects incomplete requests while buffers take up more than the memory limit, the oldest first.
func (f *FrontEnd) freeMemory() {
	for f.memoryExhausted() {
		var chosen *clientConnection
		spare := func(token connlimit.Token) bool {
			connection := f.connections.Get(uint64(token))
			if connection == nil || connection.input == nil || connection.readPosted || connection.token == f.reading {
				return true
			}
			chosen = connection
			return false
		}
		_, found := f.gate.EvictionCandidate(connlimit.ForMemory, connlimit.Spared{Single: spare})
		if !found {
			return
		}
		chosen.reject(errMemory)
	}
}

// memoryShort reports whether buffers take up so much memory that no request is read ahead.
func (f *FrontEnd) memoryShort() bool {
	return memoryShortDivisor*f.engine.Pool.BytesInUse() > f.memoryLimit
}

// memoryExhausted reports whether buffers take up more memory than the limit.
func (f *FrontEnd) memoryExhausted() bool { return f.engine.Pool.BytesInUse() > f.memoryLimit }
