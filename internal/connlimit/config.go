package connlimit

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Defaults of Config.
const (
	defaultGrace              = time.Second
	defaultCrowdedSilentGrace = 2500 * time.Millisecond
	defaultRateGrace          = 500 * time.Millisecond
	defaultLearnHalfLife      = 10 * time.Minute
	defaultLearnMinScore      = 20
	defaultReserveShare       = 0.5
	defaultUnknownShare       = 0.1
	defaultV4Bits             = 24
	defaultV6Bits             = 64
	defaultAddressEntries     = 16384
	defaultPrefixEntries      = 4096
)

const (
	maxPrefixes = 4096 // maximum length of Config.Known and of Config.TrustedProxies
	maxV4Bits   = 32
	maxV6Bits   = 128

	entriesBeyondCapacity = 1 // a new connection needs an entry during the decision on it
	anonymousTableEntries = 1 // size of the tables if Config.Anonymous is set
)

// Limits are the limits for one address, or for all addresses of one prefix together.
// A limit of 0 means that there is no limit.
type Limits struct {
	Open      int     // open connections
	Opening   int     // open connections on which no byte has arrived yet
	PerSecond float64 // new connections per second
	Burst     int     // new connections that may arrive at once; 0 means as many as PerSecond allows in a second
	HalfRead  int     // half-read requests
	Bytes     int     // buffered bytes of half-read requests
}

func (l *Limits) negative() bool {
	return l.Open < 0 || l.Opening < 0 || l.PerSecond < 0 || l.Burst < 0 || l.HalfRead < 0 || l.Bytes < 0
}

// LearnConfig configures whether addresses become Learned when enough of their
// requests were served.
type LearnConfig struct {
	Enabled      bool
	HalfLife     time.Duration // time in which the count of served requests decays to a half; default 10 min
	MinScore     float64       // decayed count of served requests from which on an address is Learned; default 20
	ReserveShare float64       // share of the reserve that learned addresses may use; default 0.5
	UnknownShare float64       // share of the unreserved capacity that is kept for unknown addresses; default 0.1
}

// Config configures a Limiter. If only Capacity is set, there are no other limits, and
// the Limiter only determines the order of eviction.
type Config struct {
	Capacity int     // maximum number of open connections
	Reserve  int     // part of Capacity that unknown addresses cannot use
	Rate     float64 // new connections per second of all unknown addresses together; 0 means no limit

	Address, Prefix Limits         // limits for one address, and for all addresses of a prefix together
	V4Bits, V6Bits  int            // lengths of the prefixes to which Prefix applies; defaults 24 and 64
	Known           []netip.Prefix // addresses that the operator trusts
	TrustedProxies  []netip.Prefix // proxies whose PROXY headers are accepted
	Learn           LearnConfig

	Addresses, Prefixes int    // sizes of the tables; defaults 16384 and 4096, raised above Capacity if lower
	Seed                uint64 // seed of the hash tables; must be secret, so that clients cannot provoke collisions
	Anonymous           bool   // connections are only added by Adopt, and no addresses are remembered

	Grace              time.Duration // for how long a half-read connection is not evicted, except ForMemory; default 1 s
	SilentGrace        time.Duration // for how long a connection on which no byte has arrived is not evicted; default Grace
	CrowdedSilentGrace time.Duration // used instead of SilentGrace ForSilence, that is while TooManySilent; default 2.5 s

	MinRate   float64       // minimum rate of a half-read request in bytes per second; 0 means no limit
	RateGrace time.Duration // time from the request's first byte until MinRate applies; default 500 ms
}

// Check sets the defaults of fields that are not set, and checks the configuration. An
// error names the field that is wrong.
func (c *Config) Check() error {
	c.setDefaults()
	switch {
	case c.Capacity < 1:
		return errors.New("room: must be positive")
	case c.Reserve < 0 || c.Reserve >= c.Capacity:
		return fmt.Errorf("reserve: %d is not between 0 and the room of %d", c.Reserve, c.Capacity)
	case c.V4Bits < 1 || c.V4Bits > maxV4Bits || c.V6Bits < 1 || c.V6Bits > maxV6Bits:
		return errors.New("prefix bits: not between 1 and 32, or 128")
	case c.Rate < 0 || c.MinRate < 0:
		return errors.New("rate: must not be negative")
	case c.Learn.ReserveShare < 0 || c.Learn.ReserveShare > 1 || c.Learn.UnknownShare < 0 || c.Learn.UnknownShare > 1:
		return errors.New("learned or newcomers' share: not between 0 and 1")
	case len(c.Known) > maxPrefixes || len(c.TrustedProxies) > maxPrefixes:
		return fmt.Errorf("known or trusted prefixes: more than %d", maxPrefixes)
	case c.Address.negative() || c.Prefix.negative():
		return errors.New("caps: must not be negative")
	}
	c.Addresses = max(c.Addresses, c.Capacity+entriesBeyondCapacity)
	c.Prefixes = max(c.Prefixes, c.Capacity+entriesBeyondCapacity)
	if c.Anonymous {
		c.Addresses = anonymousTableEntries
		c.Prefixes = anonymousTableEntries
	}
	return nil
}

func (c *Config) setDefaults() {
	setDefault(&c.Grace, defaultGrace)
	setDefault(&c.SilentGrace, c.Grace)
	setDefault(&c.CrowdedSilentGrace, defaultCrowdedSilentGrace)
	setDefault(&c.RateGrace, defaultRateGrace)
	setDefault(&c.V4Bits, defaultV4Bits)
	setDefault(&c.V6Bits, defaultV6Bits)
	setDefault(&c.Addresses, defaultAddressEntries)
	setDefault(&c.Prefixes, defaultPrefixEntries)
	setDefault(&c.Learn.HalfLife, defaultLearnHalfLife)
	setDefault(&c.Learn.MinScore, defaultLearnMinScore)
	setDefault(&c.Learn.ReserveShare, defaultReserveShare)
	setDefault(&c.Learn.UnknownShare, defaultUnknownShare)
}

// setDefault sets a field to a value if it has the zero value.
func setDefault[T comparable](field *T, value T) { *field = cmp.Or(*field, value) }

// prefixOf returns the prefix of an address to which the limits Config.Prefix apply.
func (c *Config) prefixOf(addr netip.Addr) netip.Prefix {
	prefix, _ := addr.Prefix(c.prefixBits(addr)) // cannot fail, since Check checks the number of bits
	return prefix
}

func (c *Config) prefixBits(addr netip.Addr) int {
	if addr.Is4() {
		return c.V4Bits
	}
	return c.V6Bits
}

// learnedReserve returns the part of the reserve that learned addresses may use.
func (c *Config) learnedReserve() int { return int(c.Learn.ReserveShare * float64(c.Reserve)) }

// unreserved returns the capacity outside the reserve, which is the maximum number of
// connections of unknown addresses.
func (c *Config) unreserved() int { return c.Capacity - c.Reserve }
