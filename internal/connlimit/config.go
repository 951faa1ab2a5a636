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
	defaultGrace          = time.Second
	defaultSilentTime     = 2500 * time.Millisecond
	defaultRateGrace      = 500 * time.Millisecond
	defaultLearnHalfLife  = 10 * time.Minute
	defaultLearnAfter     = 20
	defaultLearnShare     = 0.5
	defaultNewcomerShare  = 0.1
	defaultV4Bits         = 24
	defaultV6Bits         = 64
	defaultAddressEntries = 16384
	defaultPrefixEntries  = 4096
)

const (
	maxPrefixes = 4096 // of Config.Known, and of Config.TrustedProxies
	maxV4Bits   = 32
	maxV6Bits   = 128

	entriesBeyondCapacity = 1 // a connection needs an entry while it is decided on
	anonymousTableEntries = 1 // where no address is remembered
)

// Limits bound what one address, or all addresses of one prefix, may have. 0 is no
// bound.
type Limits struct {
	Open      int     // connections
	Opening   int     // of them, those on which no byte has arrived yet
	PerSecond float64 // new connections
	Burst     int     // that may arrive at once, within PerSecond; 0: as many as in a second
	HalfRead  int     // requests that are half read
	Bytes     int     // that their half-read requests hold
}

func (l *Limits) negative() bool {
	return l.Open < 0 || l.Opening < 0 || l.PerSecond < 0 || l.Burst < 0 || l.HalfRead < 0 || l.Bytes < 0
}

// LearnConfig configures whether addresses become trusted by the requests of theirs that
// were served.
type LearnConfig struct {
	Enabled  bool
	HalfLife time.Duration // of the count of served requests; default 10 min
	After    float64       // served requests, so decayed, from which on an address is Learned; default 20
	Share    float64       // of the reserve that learned addresses may use; default 0.5
	Newcomer float64       // share of the capacity outside the reserve that they leave to unknown ones; default 0.1
}

// Config configures a Limiter. With Capacity alone there are no limits, and only
// the order of eviction is decided.
type Config struct {
	Capacity int     // connections at a time
	Reserve  int     // of them, that unknown addresses cannot use
	Rate     float64 // new connections a second of all unknown addresses together; 0: no bound

	Address, Prefix Limits // of one address, and of all addresses of a prefix
	V4Bits, V6Bits  int    // length of a prefix; defaults 24 and 64
	Known           []netip.Prefix
	TrustedProxies  []netip.Prefix // whose PROXY header is believed
	Learn           LearnConfig

	Addresses, Prefixes int    // that are remembered; defaults 16384 and 4096, always more than Capacity
	Seed                uint64 // of the hash tables; secret, so that clients cannot provoke collisions
	Anonymous           bool   // connections are added by Adopt alone, and no address is remembered

	Grace       time.Duration // in which a connection is not evicted for being silent or half read; default 1 s
	SilentGrace time.Duration // the same of a silent one; default Grace
	SilentTime  time.Duration // the same where more than half of the capacity is silent; default 2.5 s

	MinRate   float64       // bytes a second of a request that is half read; 0: no bound
	RateGrace time.Duration // from the request's first byte on, before MinRate holds; default 500 ms
}

// Check fills in defaults. An error names the field that is wrong.
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
	case c.Learn.Share < 0 || c.Learn.Share > 1 || c.Learn.Newcomer < 0 || c.Learn.Newcomer > 1:
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
	setDefault(&c.SilentTime, defaultSilentTime)
	setDefault(&c.RateGrace, defaultRateGrace)
	setDefault(&c.V4Bits, defaultV4Bits)
	setDefault(&c.V6Bits, defaultV6Bits)
	setDefault(&c.Addresses, defaultAddressEntries)
	setDefault(&c.Prefixes, defaultPrefixEntries)
	setDefault(&c.Learn.HalfLife, defaultLearnHalfLife)
	setDefault(&c.Learn.After, defaultLearnAfter)
	setDefault(&c.Learn.Share, defaultLearnShare)
	setDefault(&c.Learn.Newcomer, defaultNewcomerShare)
}

// setDefault sets a field that is not given.
func setDefault[T comparable](field *T, value T) { *field = cmp.Or(*field, value) }

// prefixOf returns the prefix that the limits of an address's prefix hold for.
func (c *Config) prefixOf(addr netip.Addr) netip.Prefix {
	prefix, _ := addr.Prefix(c.prefixBits(addr)) // Check keeps the bits within bounds
	return prefix
}

func (c *Config) prefixBits(addr netip.Addr) int {
	if addr.Is4() {
		return c.V4Bits
	}
	return c.V6Bits
}

// learnedReserve returns how many connections of the reserve learned addresses may use.
func (c *Config) learnedReserve() int { return int(c.Learn.Share * float64(c.Reserve)) }

// unreserved returns how many connections unknown addresses may have.
func (c *Config) unreserved() int { return c.Capacity - c.Reserve }
