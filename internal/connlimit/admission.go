package connlimit

import (
	"net/netip"
	"time"
)

// A connection of an unknown address is a retry if the address was rejected for lack
// of capacity between minRetryDelay and maxRetryDelay ago. A part of the capacity is
// kept for retries. During a flood from other addresses, most of which do not retry,
// this part lets an address that keeps its limits be admitted.
const (
	retryDivisor  = 20                     // 1/20 of the unreserved capacity is kept for retries
	minRetryDelay = 200 * time.Millisecond // shortest time between the rejection and a retry
	maxRetryDelay = 10 * time.Second       // from this time after the rejection on, it is no retry
)

// decision is the decision on a new connection.
type decision struct {
	reason  Reason
	trust   Trust
	address int32 // index of the address's entry, or noIndex if the connection is not counted for its address
	prefix  int32 // index of the prefix's entry, or noIndex
	isRetry bool  // the connection uses the capacity that is kept for retries
}

func rejected(reason Reason) decision {
	return decision{reason: reason, address: noIndex, prefix: noIndex}
}

// uncounted returns a decision to admit a connection that is not counted for its
// address and prefix.
func uncounted(trust Trust) decision {
	return decision{trust: trust, address: noIndex, prefix: noIndex}
}

// Admit decides on a connection that was accepted. token may be NoToken. If the
// reason is not Allowed, the ID is 0 and the caller must close the connection.
func (l *Limiter) Admit(now time.Duration, addr netip.Addr, token Token) (ID, Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	addr = addr.Unmap()
	if l.proxies.contains(addr) { // the limits are applied to the proxy's client, by Identify
		if !l.hasCapacity(TrustedProxy, false) {
			return 0, l.reject(FullTrusted)
		}
		return l.add(now, token, uncounted(TrustedProxy)), Allowed
	}
	outcome := l.decide(now, addr)
	if outcome.reason != Allowed {
		return 0, l.reject(outcome.reason)
	}
	return l.add(now, token, outcome), Allowed
}

// Adopt adds a connection without deciding on it, for listeners that bound the number
// of their connections by other means. The connection is not counted for its address.
func (l *Limiter) Adopt(now time.Duration, token Token) ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(now, token, uncounted(Unknown))
}

// Identify decides on a trusted proxy's connection by the address of its client, which
// the PROXY header contained. If the reason is not Allowed, the caller must close the
// connection and call Closed.
func (l *Limiter) Identify(now time.Duration, id ID, addr netip.Addr) Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, connection := l.find(id)
	if connection == nil || connection.trust != TrustedProxy {
		return Allowed
	}
	l.openByTrust[TrustedProxy]-- // the connection must not be counted against itself
	outcome := l.decide(now, addr.Unmap())
	l.openByTrust[TrustedProxy]++
	if outcome.reason != Allowed {
		return l.reject(outcome.reason)
	}
	l.setClient(now, index, outcome)
	return Allowed
}

// setClient changes a trusted proxy's connection to one of its client, which was
// admitted, and counts it for the client's address.
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
	if stage == Silent { // l.silent includes the connection already
		l.countOpening(connection, 1)
	}
	l.addToStage(index, stage, now)
}

// decide decides on a new connection of an address. If the connection is admitted, it
// is counted for the rates of the address and its prefix.
func (l *Limiter) decide(now time.Duration, addr netip.Addr) decision {
	if l.isBlocked(now, addr) {
		return rejected(Blocked)
	}
	addressKey := keyOf(addr)
	prefixKey := keyOf(l.config.prefixOf(addr).Addr())
	// Both lookups are made before either entry is used, so that the memory accesses
	// overlap: most of the time for a decision is spent waiting for memory.
	address := l.addresses.find(addressKey)
	prefix := l.prefixes.find(prefixKey)
	addressEntry := l.addresses.entryAt(address)
	trust := l.trustOf(now, addr, addressEntry)
	prefixEntry := l.prefixes.entryAt(prefix)
	if trust != Known { // limits do not apply to addresses that the operator has configured as known
		reason := l.exceededLimits(now, addressEntry, prefixEntry)
		if reason != Allowed {
			return rejected(reason)
		}
	}
	isRetry := l.isRetry(now, addressEntry)
	if !l.hasCapacity(trust, isRetry) {
		if trust != Unknown {
			return rejected(FullTrusted)
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

// exceededLimits returns the reason for the limit of an address or of its prefix that
// another connection would exceed, or Allowed. The entries may be nil.
func (l *Limiter) exceededLimits(now time.Duration, address, prefix *tableEntry) Reason {
	reason := exceededLimit(now, &l.config.Address, address, &addressReasons)
	if reason != Allowed {
		return reason
	}
	return exceededLimit(now, &l.config.Prefix, prefix, &prefixReasons)
}

// exceededLimit returns the reason for the limit that another connection of an entry
// would exceed, or Allowed. The entry may be nil.
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

// isRetry reports whether a new connection of an address is a retry. The address's
// entry may be nil.
func (l *Limiter) isRetry(now time.Duration, entry *tableEntry) bool {
	if entry == nil || entry.firstRejected == 0 || entry.open > 0 {
		return false
	}
	delay := l.ticksAt(now).since(entry.firstRejected)
	return delay >= minRetryDelay && delay < maxRetryDelay
}

// rememberRejection records when an unknown address was first rejected for lack of
// capacity. index is the index of the address's entry, or noIndex.
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
// Connections of unknown addresses may not use the reserve. Those of learned addresses
// may use the learned addresses' part of the reserve, but neither the rest of it, which
// is for known addresses, nor the share of the unreserved capacity that is kept for
// unknown addresses. Neither may use the capacity that is kept for retries, unless the
// connection is a retry.
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
		keptForUnknown := int(config.Learn.UnknownShare * float64(config.unreserved()))
		taken += max(config.Reserve-learnedReserve-openKnown, 0)
		taken += max(keptForUnknown-l.openByTrust[Unknown], 0)
	}
	return taken < config.Capacity
}

// checkUnknown returns the reason why a connection of an unknown address is rejected
// although there is capacity for it, or Allowed. The address's entry may be nil.
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

// fairShare returns the number of connections that an unknown address may have under
// pressure.
func (l *Limiter) fairShare() int { return max(l.config.unreserved()/(l.activeAddresses+1), 1) }
