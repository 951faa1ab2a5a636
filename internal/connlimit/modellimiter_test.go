package connlimit

import (
	"net/netip"
	"slices"
	"time"
)

// modelLimiter makes the same decisions as a Limiter in a simple way: it never forgets
// an address, and it counts all connections anew for each decision.
type modelLimiter struct {
	config         Config
	connections    map[ID]*modelConn
	nextConforming map[string]time.Duration // theoretical arrival time as in gcra, by address or prefix
	pressure       Pressure
}

// modelConn is a connection of a modelLimiter.
type modelConn struct {
	addr, prefix string
	trust        Trust
	stage        Stage
}

// count returns the number of connections for which matches returns true.
func (m *modelLimiter) count(matches func(*modelConn) bool) (n int) {
	for _, c := range m.connections {
		if matches(c) {
			n++
		}
	}
	return n
}

// admit decides on a connection as Limiter.Admit does.
func (m *modelLimiter) admit(now time.Duration, addr netip.Addr) Reason {
	addrPrefix, _ := addr.Prefix(m.config.V4Bits)
	address := addr.String()
	prefix := addrPrefix.String()
	ofAddress := func(c *modelConn) bool { return c.addr == address }
	ofPrefix := func(c *modelConn) bool { return c.prefix == prefix }
	trust := m.trustOf(addr)
	if trust != Known { // limits do not apply to addresses that the operator has configured as known
		reason := m.exceededLimit(now, m.config.Address, address, ofAddress,
			limitReasons{open: AddressOpen, opening: AddressOpening, rate: AddressRate})
		if reason == Allowed {
			reason = m.exceededLimit(now, m.config.Prefix, prefix, ofPrefix,
				limitReasons{open: PrefixOpen, opening: PrefixOpening, rate: PrefixRate})
		}
		if reason != Allowed {
			return reason
		}
	}
	if reason := m.checkCapacity(trust); reason != Allowed {
		return reason
	}
	if trust == Unknown {
		if reason := m.checkPressure(ofAddress); reason != Allowed {
			return reason
		}
	}
	m.countArrival(now, address, m.config.Address)
	m.countArrival(now, prefix, m.config.Prefix)
	return Allowed
}

// checkCapacity returns Full or FullTrusted if there is no capacity for another
// connection, or Allowed.
func (m *modelLimiter) checkCapacity(trust Trust) Reason {
	total := len(m.connections)
	openKnown := m.count(func(c *modelConn) bool { return c.trust == Known })
	if trust == Unknown && total+max(m.config.Reserve-openKnown, 0) >= m.config.Capacity {
		return Full
	}
	if trust == Known && total >= m.config.Capacity {
		return FullTrusted
	}
	return Allowed
}

// checkPressure returns the reason why a connection of an unknown address is rejected
// under pressure, or Allowed. ofAddress selects the connections of the address.
func (m *modelLimiter) checkPressure(ofAddress func(*modelConn) bool) Reason {
	if m.pressure > PressureLow {
		return NoDescriptors
	}
	if m.pressure < PressureLow {
		return Allowed
	}
	active := map[string]int{}
	for _, c := range m.connections {
		if c.trust == Unknown {
			active[c.addr]++
		}
	}
	open := m.count(ofAddress)
	fairShare := max((m.config.Capacity-m.config.Reserve)/(len(active)+1), 1)
	if open > 0 && open >= fairShare {
		return FairShare
	}
	return Allowed
}

// countArrival counts an admitted connection for the rate of an address or a prefix.
func (m *modelLimiter) countArrival(now time.Duration, name string, limits Limits) {
	if limits.PerSecond > 0 && m.conforms(now, name, limits) {
		interval := time.Duration(float64(time.Second) / limits.PerSecond)
		m.nextConforming[name] = max(m.nextConforming[name], now) + interval
	}
}

// conforms reports whether a new connection conforms to the rate of an address or a
// prefix.
func (m *modelLimiter) conforms(now time.Duration, name string, limits Limits) bool {
	interval := time.Duration(float64(time.Second) / limits.PerSecond)
	return m.nextConforming[name] <= now+interval*time.Duration(limits.Burst-1)
}

func (m *modelLimiter) trustOf(addr netip.Addr) Trust {
	if slices.ContainsFunc(m.config.Known, func(known netip.Prefix) bool { return known.Contains(addr) }) {
		return Known
	}
	return Unknown
}

// exceededLimit returns the reason for the limit that another connection of an address
// or a prefix would exceed, or Allowed. matches selects the connections of the address
// or prefix.
func (m *modelLimiter) exceededLimit(
	now time.Duration, limits Limits, name string, matches func(*modelConn) bool, reasons limitReasons,
) Reason {
	if limits.Open > 0 && m.count(matches) >= limits.Open {
		return reasons.open
	}
	silent := func(c *modelConn) bool { return matches(c) && c.stage == Silent }
	if limits.Opening > 0 && m.count(silent) >= limits.Opening {
		return reasons.opening
	}
	if limits.PerSecond > 0 && !m.conforms(now, name, limits) {
		return reasons.rate
	}
	return Allowed
}
