package connlimit

import (
	"net/netip"
	"time"
)

// An unknown address that was rejected for lack of capacity, and comes again within
// a while, is a retry. A part of the capacity is kept for retries: against a flood
// of other addresses, which mostly do not come again, it gets one that keeps its
// limits admitted.
const (
	retryDivisor  = 20                     // of the unreserved capacity, one part is for retries
	minRetryDelay = 200 * time.Millisecond // after a rejection
	maxRetryDelay = 10 * time.Second
)

// decision is the outcome for a new connection.
type decision struct {
	reason  Reason
	trust   Trust
	address int32 // indexes of its entries; noIndex: its address is not counted
	prefix  int32
	isRetry bool // it is admitted on the part for retries
}

func rejected(reason Reason) decision {
	return decision{reason: reason, address: noIndex, prefix: noIndex}
}

// uncounted returns a decision to admit a connection whose address is not counted.
func uncounted(trust Trust) decision {
	return decision{trust: trust, address: noIndex, prefix: noIndex}
}

// Admit decides on a connection that was accepted. token may be NoToken. Where the
// reason is not Allowed, the ID is 0 and the caller closes the connection.
func (l *Limiter) Admit(now time.Duration, addr netip.Addr, token Token) (ID, Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	addr = addr.Unmap()
	if l.proxies.contains(addr) { // its limits are those of its client
		if !l.hasCapacity(TrustedProxy, false) {
			return 0, l.reject(FullKnown)
		}
		return l.add(now, token, uncounted(TrustedProxy)), Allowed
	}
	outcome := l.decide(now, addr)
	if outcome.reason != Allowed {
		return 0, l.reject(outcome.reason)
	}
	return l.add(now, token, outcome), Allowed
}

// Adopt adds a connection without a decision, for listeners that bound theirs by
// other means; its address is not counted.
func (l *Limiter) Adopt(now time.Duration, token Token) ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(now, token, uncounted(Unknown))
}

// Identify decides on the client of a trusted proxy's connection, whose address the
// PROXY header gave. Where the reason is not Allowed, the caller closes the
// connection and calls Closed.
func (l *Limiter) Identify(now time.Duration, id ID, addr netip.Addr) Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, connection := l.find(id)
	if connection == nil || connection.trust != TrustedProxy {
		return Allowed
	}
	l.openByTrust[TrustedProxy]-- // it takes no capacity from itself
	outcome := l.decide(now, addr.Unmap())
	l.openByTrust[TrustedProxy]++
	if outcome.reason != Allowed {
		return l.reject(outcome.reason)
	}
	l.setClient(now, index, outcome)
	return Allowed
}

// setClient counts a trusted proxy's connection as one of its client, which was
// admitted.
func (l *Limiter) setClient(now time.Duration, index int32, admitted decision) {
	connection := &l.connections[index]
	stage := connection.stage
	l.removeFromStage(index)
	l.openByTrust[TrustedProxy]--
	connection.trust = admitted.trust
	connection.address = admitted.address
	connection.prefix = admitted.prefix
	connection.isRetry = admitted.isRetry
	if connection.isRetry {
		l.openRetries++
	}
	l.openByTrust[connection.trust]++
	l.countOpen(connection, 1)
	if stage == Silent { // l.silent counts it already
		l.countOpening(connection, 1)
	}
	l.addToStage(index, stage, now)
}

// decide decides on a connection of an address, and counts it as an arrival if it
// is admitted.
func (l *Limiter) decide(now time.Duration, addr netip.Addr) decision {
	if l.isBlocked(now, addr) {
		return rejected(Blocked)
	}
	addressKey := keyOf(addr)
	prefixKey := keyOf(l.config.prefixOf(addr).Addr())
	// Both lookups come before the use of either: waiting for memory is most of what
	// a decision costs, and so it waits for both at once.
	address := l.addresses.find(addressKey)
	prefix := l.prefixes.find(prefixKey)
	addressEntry := l.addresses.entryAt(address)
	trust := l.trustOf(now, addr, addressEntry)
	prefixEntry := l.prefixes.entryAt(prefix)
	if trust != Known { // the operator vouches for known addresses
		reason := l.exceededLimits(now, addressEntry, prefixEntry)
		if reason != Allowed {
			return rejected(reason)
		}
	}
	isRetry := l.isRetry(now, addressEntry)
	if !l.hasCapacity(trust, isRetry) {
		if trust != Unknown {
			return rejected(FullKnown)
		}
		l.rememberRejection(now, addressKey, address)
		return rejected(Full)
	}
	if trust == Unknown {
		reason := l.checkUnknown(now, addressEntry)
		if reason != Allowed {
			return rejected(reason)
		}
	}
	if address == noIndex {
		address = l.addresses.insert(addressKey)
	}
	if address == noIndex {
		return rejected(Full)
	}
	if prefix == noIndex {
		prefix = l.prefixes.insert(prefixKey)
	}
	if prefix == noIndex {
		return rejected(Full)
	}
	l.addresses.entries[address].firstRejected = 0
	l.addresses.entries[address].countArrival(&l.config.Address, now)
	l.prefixes.entries[prefix].countArrival(&l.config.Prefix, now)
	return decision{trust: trust, address: address, prefix: prefix, isRetry: isRetry && trust == Unknown}
}

// exceededLimits returns the limit of an address or of its prefix that another
// connection would exceed; the entries may be nil.
func (l *Limiter) exceededLimits(now time.Duration, address, prefix *tableEntry) Reason {
	reason := exceededLimit(now, &l.config.Address, address, &addressReasons)
	if reason != Allowed {
		return reason
	}
	return exceededLimit(now, &l.config.Prefix, prefix, &prefixReasons)
}

// exceededLimit returns the limit that another connection of an entry, which may be
// nil, would exceed.
func exceededLimit(now time.Duration, limits *Limits, entry *tableEntry, reasons *limitReasons) Reason {
	open := 0
	opening := 0
	rate := gcra{}
	if entry != nil {
		open = int(entry.open)
		opening = int(entry.opening)
		rate = entry.rate
	}
	switch {
	case limits.Open > 0 && open >= limits.Open:
		return reasons.open
	case limits.Opening > 0 && opening >= limits.Opening:
		return reasons.opening
	case limits.PerSecond > 0 && !rate.conforms(now, limits.PerSecond, limits.Burst):
		return reasons.rate
	}
	return Allowed
}

// isRetry reports whether a new connection of an entry, which may be nil, is a retry.
func (l *Limiter) isRetry(now time.Duration, entry *tableEntry) bool {
	if entry == nil || entry.firstRejected == 0 || entry.open > 0 {
		return false
	}
	delay := l.ticksAt(now).since(entry.firstRejected)
	return delay >= minRetryDelay && delay < maxRetryDelay
}

// rememberRejection notes when an unknown address was first rejected for lack of
// capacity. index is its entry's, or noIndex.
func (l *Limiter) rememberRejection(now time.Duration, k key, index int32) {
	if index == noIndex {
		index = l.addresses.insert(k)
	}
	if index == noIndex {
		return
	}
	entry := &l.addresses.entries[index]
	t := l.ticksAt(now)
	entry.recentlyUsed = true
	if entry.firstRejected == 0 || t.since(entry.firstRejected) >= maxRetryDelay {
		entry.firstRejected = t
	}
}

// hasCapacity reports whether there is capacity for one more connection.
//
// Unknown addresses leave free what is unused of the reserve. Learned ones may use
// their part of the reserve and leave the rest to known ones, and newcomers their
// share of what is unreserved. Both leave the part for retries free, unless the
// connection is one.
func (l *Limiter) hasCapacity(trust Trust, isRetry bool) bool {
	config := &l.config
	openKnown := l.openByTrust[Known] + l.openByTrust[TrustedProxy]
	taken := l.openByTrust[Unknown] + l.openByTrust[Learned] + openKnown
	if (trust == Unknown || trust == Learned) && !isRetry {
		taken += max(config.unreserved()/retryDivisor-l.openRetries, 0)
	}
	learnedReserve := config.learnedReserve()
	switch trust {
	case Unknown:
		taken += max(config.Reserve-openKnown-min(l.openByTrust[Learned], learnedReserve), 0)
	case Learned:
		newcomers := int(config.Learn.Newcomer * float64(config.unreserved()))
		taken += max(config.Reserve-learnedReserve-openKnown, 0)
		taken += max(newcomers-l.openByTrust[Unknown], 0)
	}
	return taken < config.Capacity
}

// checkUnknown returns why a connection of an unknown address, whose entry may be
// nil, is rejected though there is capacity for it.
func (l *Limiter) checkUnknown(now time.Duration, entry *tableEntry) Reason {
	if l.pressure > PressureLow {
		return NoDescriptors
	}
	if l.pressure > PressureNone && entry != nil && int(entry.open) >= l.fairShare() {
		return FairShare
	}
	rate := l.config.Rate
	if rate > 0 && !l.unknownRate.take(now, rate, max(int(rate), 1)) {
		return TotalRate
	}
	return Allowed
}

// fairShare returns how many connections an unknown address may have under pressure.
func (l *Limiter) fairShare() int { return max(l.config.unreserved()/(l.activeAddresses+1), 1) }
