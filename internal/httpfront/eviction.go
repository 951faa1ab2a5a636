package httpfront

import (
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/listener"
)

const (
	silenceInterval    = 50 * time.Millisecond // between attempts to evict silent connections
	capacityInterval   = 10 * time.Millisecond // between attempts to evict connections for new ones that wait
	evictionsPerCall   = 8                     // of evictForCapacity
	memoryShortDivisor = 2                     // memory is short when this part of the limit is in use

	// provenGrace is how long proven connections are spared when there is no other candidate. By then those that are
	// silent now have become candidates.
	provenGrace = listener.SilentGrace + capacityInterval
)

// evictionState is what the front end does to find room for new connections.
type evictionState struct {
	capacityExhausted bool               // new connections wait, and none could be closed for them
	provenSparedUntil time.Duration      // proven connections are spared until then; 0: none was chosen yet
	retryTimer        eventloop.Deadline // of evictForCapacity
	silenceTimer      eventloop.Deadline // of evictSilent
}

// Evict closes a connection that the gate has chosen, unless a response is pending on it. It implements
// listener.FrontEnd.
func (f *FrontEnd) Evict(token uint64) {
	c := f.connections.Get(token)
	if c != nil && !c.response.pending && !c.closed {
		c.closeNow()
	}
}

// evictSilent closes connections on which nothing has come, while there are more than usual clients open ahead of
// their requests. Those that have been silent longest go first, and none that is new: a close that crosses a
// connection's first request loses it.
func (f *FrontEnd) evictSilent() {
	for f.gate.Limiter.TooManySilent() {
		candidate, found := f.gate.EvictionCandidate(connlimit.ForSilence, connlimit.Spared{Single: f.hasUnreadRequest})
		if !found {
			f.loop().Set(&f.eviction.silenceTimer, f.loop().Now()+silenceInterval)
			return
		}
		f.gate.CloseConnection(candidate.Token)
	}
}

// hasUnreadRequest reports whether bytes have come on a connection between requests that were not read yet, as after the
// loop was held up: it is not evicted, since a request is there.
func (f *FrontEnd) hasUnreadRequest(token connlimit.Token) bool {
	c := f.connections.Get(uint64(token))
	return c != nil && c.betweenRequests() && !c.conn.AllRead()
}

// evictForCapacity evicts some connections for new ones that wait, and continues until one of those has been accepted.
// If there is none to evict, connections end with their next responses.
func (f *FrontEnd) evictForCapacity() {
	spareProven := f.listenerShared // the other process has capacity
	spared := connlimit.Spared{Proven: spareProven, Single: f.hasUnreadRequest}
	for evicted := range evictionsPerCall {
		candidate, found := f.gate.EvictionCandidate(connlimit.ForUnknown, spared)
		if !found {
			f.eviction.capacityExhausted = evicted == 0 && !spareProven
			break
		}
		if candidate.Stage == connlimit.Proven && evicted > 0 { // there is capacity already
			break
		}
		if candidate.Stage == connlimit.Proven && f.sparesProven() {
			f.loop().Set(&f.eviction.retryTimer, f.loop().Now()+capacityInterval)
			return
		}
		f.gate.CloseConnection(candidate.Token) // at once: one that closes gracefully keeps its descriptor for a while
	}
	if f.eviction.capacityExhausted {
		f.loop().Set(&f.eviction.retryTimer, f.loop().Now()+capacityInterval)
	}
}

// sparesProven reports whether a proven connection that was chosen is spared for now.
func (f *FrontEnd) sparesProven() bool {
	now := f.loop().Now()
	if f.eviction.provenSparedUntil == 0 {
		f.eviction.provenSparedUntil = now + provenGrace
	}
	return now < f.eviction.provenSparedUntil
}

// retryEviction evicts again if no connection has been accepted since the last time.
func (f *FrontEnd) retryEviction() {
	if f.eviction.capacityExhausted || f.eviction.provenSparedUntil != 0 {
		f.evictForCapacity()
	}
}

// freeMemory rejects incomplete requests while buffers take up more than the memory limit, the oldest first.
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
