package connlimit

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelLimiter decides as a Limiter does, but remembers everything and searches all
// connections for each decision.
type modelLimiter struct {
	config         Config
	connections    map[ID]*modelConn
	nextConforming map[string]time.Duration // by address or prefix, as gcra's theoretical arrival
	pressure       Pressure
}

// modelConn is a connection of a modelLimiter.
type modelConn struct {
	addr, prefix string
	trust        Trust
	stage        Stage
	halfRead     bool
}

// count returns how many connections match.
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
	if trust != Known {
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
	total := len(m.connections)
	openKnown := m.count(func(c *modelConn) bool { return c.trust == Known })
	if trust == Unknown && total+max(m.config.Reserve-openKnown, 0) >= m.config.Capacity {
		return Full
	}
	if trust == Known && total >= m.config.Capacity {
		return FullKnown
	}
	if trust == Unknown && m.pressure > PressureLow {
		return NoDescriptors
	}
	if trust == Unknown && m.pressure == PressureLow {
		active := map[string]int{}
		for _, c := range m.connections {
			if c.trust == Unknown {
				active[c.addr]++
			}
		}
		open := m.count(ofAddress)
		if open > 0 && open >= max((m.config.Capacity-m.config.Reserve)/(len(active)+1), 1) {
			return FairShare
		}
	}
	for name, limits := range map[string]Limits{address: m.config.Address, prefix: m.config.Prefix} {
		if limits.PerSecond > 0 {
			interval := time.Duration(float64(time.Second) / limits.PerSecond)
			if m.nextConforming[name] <= now+interval*time.Duration(limits.Burst-1) {
				m.nextConforming[name] = max(m.nextConforming[name], now) + interval
			}
		}
	}
	return Allowed
}

func (m *modelLimiter) trustOf(addr netip.Addr) Trust {
	if slices.ContainsFunc(m.config.Known, func(known netip.Prefix) bool { return known.Contains(addr) }) {
		return Known
	}
	return Unknown
}

// exceededLimit returns the limit that another connection of an address or a prefix
// would exceed, whose connections match.
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
	if limits.PerSecond > 0 {
		interval := time.Duration(float64(time.Second) / limits.PerSecond)
		if m.nextConforming[name] > now+interval*time.Duration(limits.Burst-1) {
			return reasons.rate
		}
	}
	return Allowed
}

// randomSteps compares a Limiter with the model over random steps, and checks its
// invariants after each.
func randomSteps(t *rapid.T) {
	config := Config{Capacity: rapid.IntRange(3, 19).Draw(t, "capacity"), V4Bits: 24, Known: []netip.Prefix{netip.MustParsePrefix("10.0.3.0/24")},
		Address: Limits{Open: rapid.IntRange(0, 4).Draw(t, "open"), Opening: rapid.IntRange(0, 3).Draw(t, "opening"), PerSecond: 5, Burst: 3},
		Prefix:  Limits{Open: rapid.IntRange(0, 9).Draw(t, "prefix"), PerSecond: 9, Burst: 6}}
	config.Reserve = rapid.IntRange(0, config.Capacity-1).Draw(t, "reserve")
	limiter, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	model := &modelLimiter{config: config, connections: map[ID]*modelConn{}, nextConforming: map[string]time.Duration{}}
	now := time.Duration(0)
	var ids []ID
	for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
		action := rapid.IntRange(0, 9).Draw(t, "action")
		if action < 4 || len(ids) == 0 {
			addr := netip.AddrFrom4([4]byte{10, 0, byte(rapid.IntRange(0, 3).Draw(t, "net")), byte(rapid.IntRange(1, 4).Draw(t, "host"))})
			want := model.admit(now, addr)
			id, got := limiter.Admit(now, addr, uint64(step+1))
			if got != want {
				t.Fatalf("step %d: %v at %v: %v, the model says %v", step, addr, now, got, want)
			}
			if got == Allowed {
				prefix, _ := addr.Prefix(24)
				model.connections[id] = &modelConn{
					addr: addr.String(), prefix: prefix.String(), trust: model.trustOf(addr), stage: Silent,
				}
				ids = append(ids, id)
			}
		} else {
			i := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
			id := ids[i]
			conn := model.connections[id]
			switch action {
			case 4, 5:
				limiter.Closed(id)
				delete(model.connections, id)
				ids = slices.Delete(ids, i, i+1)
			case 6:
				limiter.RequestStarted(now, id)
				conn.stage = HalfRead
				conn.halfRead = true
			case 7:
				limiter.RequestComplete(now, id)
				conn.stage = Busy
				conn.halfRead = false
			case 8:
				limiter.BecameIdle(now, id, step%2 == 0)
				conn.stage = Unserved
				conn.halfRead = false
			case 9:
				model.pressure = Pressure(rapid.IntRange(0, 2).Draw(t, "level"))
				limiter.SetPressure(model.pressure)
			}
		}
		if err := limiter.CheckInvariants(); err != nil {
			t.Fatalf("step %d: %v", step, err)
		}
		unknown := model.count(func(c *modelConn) bool { return c.trust == Unknown })
		if unknown > config.Capacity-config.Reserve || len(model.connections) > config.Capacity {
			t.Fatalf("step %d: %d unknown of %d, capacity %d, reserve %d", step, unknown, len(model.connections), config.Capacity, config.Reserve)
		}
	}
}

func TestAgainstModel(t *testing.T) { rapid.Check(t, randomSteps) }

func FuzzAgainstModel(f *testing.F) { f.Fuzz(rapid.MakeFuzz(randomSteps)) }
