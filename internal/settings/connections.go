package settings

import (
	"cmp"
	"fmt"
	"io"
	"net/netip"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
)

// Connections is the table [connections]: which client connections are admitted and
// kept open, and how many descriptors each kind of connection may use.
type Connections struct {
	Enabled bool `toml:"on" help:"whether the table is used to admit connections; if false, it is only checked"`

	Known          []string `toml:"known" help:"prefixes of known clients, such as 10.1.0.0/16, which may use the reserve and have no limits per address or prefix"`
	TrustedProxies []string `toml:"fronts" help:"prefixes of proxies that send a PROXY header (v1 or v2); the limits apply to the clients that it names"`

	Capacity         int     `toml:"sessions_connections" help:"maximum number of client connections; 0 means six tenths of the descriptors"`
	Reserve          int     `toml:"reserve_connections" help:"how many of them unknown clients cannot use; 0 means a quarter of them if there are known or learned clients"`
	UnknownPerSecond float64 `toml:"unknown_new_per_s" help:"new connections per second of all unknown clients together; 0 means no limit"`

	AddressOpen               int     `toml:"address_open_connections" help:"open connections of one address; 0 means no limit"`
	AddressSilent             int     `toml:"address_opening_connections" help:"open connections of one address on which no byte has been received; 0 means no limit"`
	AddressPerSecond          float64 `toml:"address_new_per_s" help:"new connections per second of one address; 0 means no limit"`
	AddressBurst              int     `toml:"address_new_burst" help:"new connections of one address that may come at once; 0 means those of one second"`
	AddressIncompleteRequests int     `toml:"address_half_read_requests" help:"incomplete requests of one address; 0 means no limit"`
	AddressBufferedBytes      int     `toml:"address_buffered_bytes" help:"buffered bytes of the incomplete requests of one address; 0 means no limit"`

	PrefixOpen               int     `toml:"prefix_open_connections" help:"open connections of all addresses of one prefix; 0 means no limit"`
	PrefixSilent             int     `toml:"prefix_opening_connections"`
	PrefixPerSecond          float64 `toml:"prefix_new_per_s"`
	PrefixBurst              int     `toml:"prefix_new_burst"`
	PrefixIncompleteRequests int     `toml:"prefix_half_read_requests"`
	PrefixBufferedBytes      int     `toml:"prefix_buffered_bytes"`
	V4Bits                   int     `toml:"prefix_v4_bits" help:"length of an IPv4 prefix; default 24"`
	V6Bits                   int     `toml:"prefix_v6_bits" help:"length of an IPv6 prefix; default 64"`

	Learn                bool    `toml:"learn" help:"whether addresses whose jobs are served become known clients"`
	LearnAfterJobs       float64 `toml:"learn_after_jobs" help:"number of served jobs, with decay, after which an address is learned; default 20"`
	LearnHalfLifeSeconds float64 `toml:"learn_half_life_s" help:"half-life of the number of served jobs; default 600"`
	LearnShare           float64 `toml:"learn_reserve_share" help:"share of the reserve that learned clients may use; default 0.5"`
	NewcomerShare        float64 `toml:"newcomer_share" help:"share of the connections outside the reserve that learned clients leave to new ones; default 0.1"`
	RememberedAddresses  int     `toml:"remembered_addresses" help:"number of addresses that are remembered; default 16384; only a restart changes it"`
	RememberedPrefixes   int     `toml:"remembered_prefixes" help:"number of prefixes that are remembered; default 4096; only a restart changes it"`

	MinRate      float64 `toml:"min_bytes_per_s" help:"minimum rate at which a request must arrive; 0 means no minimum, but it must still be complete within 2 s"`
	RateGraceMs  float64 `toml:"min_rate_after_ms" help:"time after the first byte of a request from which on the minimum rate applies; default 500"`
	WriteStallMs float64 `toml:"write_stall_ms" help:"how long responses may wait to be read by the client; 0 means no limit"`

	RejectWith     string  `toml:"refuse" help:"how connections are rejected: close (default) or 503"`
	LowMark        float64 `toml:"low_mark" help:"share of the descriptors in use at which idle connections of unknown clients are closed; default 0.8"`
	HighMark       float64 `toml:"high_mark" help:"share of the descriptors in use at which new connections of unknown clients are closed at once; default 0.9"`
	CriticalMark   float64 `toml:"critical_mark" help:"share of the descriptors in use at which even idle connections to workers are closed; default 0.97"`
	MarkHysteresis float64 `toml:"mark_hysteresis" help:"how far the share must fall below a mark until its measures end; default 0.05"`
	FloorClients   int     `toml:"floor_sessions_descriptors" help:"descriptors for client connections that no other kind can use; default 32"`
	FloorWorkers   int     `toml:"floor_backends_descriptors" help:"descriptors for connections to workers that no other kind can use; default a quarter of all"`
	FloorDiscovery int     `toml:"floor_discovery_descriptors" help:"descriptors for discovery that no other kind can use; default 2"`
	FloorStores    int     `toml:"floor_stores_descriptors" help:"descriptors for stores that no other kind can use; default 0"`
}

// Defaults of the descriptor floors, the capacity and the reserve.
const (
	maxDefaultClientFloor = 32 // descriptors
	defaultDiscoveryFloor = 2  // descriptors
	defaultFloorDivisor   = 4  // the floors of clients (at most) and workers are a quarter of the descriptors
	defaultReserveDivisor = 4  // the reserve is a quarter of the capacity
	capacityTenths        = 6  // the capacity is six tenths of the descriptors
)

// maxAmount is the upper limit of values that have no limit of their own.
const maxAmount = 1e9

// Values of the key refuse.
const (
	rejectByClosing = "close"
	rejectWith503   = "503"
)

// ConnectionLimits is the table [connections], converted and checked for a process
// with a given number of descriptors.
type ConnectionLimits struct {
	Admission        connlimit.Config // which connections are admitted and evicted
	DescriptorFloors [connlimit.DescriptorKinds]int
	Watermarks       connlimit.Watermarks
	WriteStall       time.Duration // how long responses may wait to be read; 0 means no limit
	Respond503       bool          // rejected connections get a 503 response instead of a close alone
}

// LimitsFor converts and checks the table for a process that may use a number of
// descriptors for its connections. Errors name the key.
func (c *Connections) LimitsFor(descriptors int) (ConnectionLimits, error) {
	admission, err := c.admission(descriptors)
	if err != nil {
		return ConnectionLimits{}, err
	}
	limits := ConnectionLimits{
		Admission:        admission,
		DescriptorFloors: c.descriptorFloors(descriptors),
		Watermarks:       connlimit.Watermarks{Low: c.LowMark, High: c.HighMark, Critical: c.CriticalMark, Hysteresis: c.MarkHysteresis},
		WriteStall:       milliseconds(c.WriteStallMs),
		Respond503:       c.RejectWith == rejectWith503,
	}
	if err := admission.Check(); err != nil { // fills in defaults, but only in this local copy
		return ConnectionLimits{}, err
	}
	if _, err := connlimit.NewDescriptorBudget(descriptors, limits.DescriptorFloors, limits.Watermarks); err != nil {
		return ConnectionLimits{}, err
	}
	return limits, nil
}

// admission converts the part of the table that decides which connections are
// admitted and evicted.
func (c *Connections) admission(descriptors int) (connlimit.Config, error) {
	known, err := parsePrefixes("known", c.Known)
	if err != nil {
		return connlimit.Config{}, err
	}
	proxies, err := parsePrefixes("fronts", c.TrustedProxies)
	if err != nil {
		return connlimit.Config{}, err
	}
	if err := c.checkValues(); err != nil {
		return connlimit.Config{}, err
	}
	capacity := cmp.Or(c.Capacity, max(descriptors*capacityTenths/10, 1))
	reserve := c.Reserve
	if reserve == 0 && (len(c.Known) > 0 || c.Learn) {
		reserve = capacity / defaultReserveDivisor
	}
	return connlimit.Config{
		Known:          known,
		TrustedProxies: proxies,
		Capacity:       capacity,
		Reserve:        reserve,
		Rate:           c.UnknownPerSecond,
		Address:        c.addressLimits(),
		Prefix:         c.prefixLimits(),
		V4Bits:         c.V4Bits,
		V6Bits:         c.V6Bits,
		Learn:          c.learning(),
		Addresses:      c.RememberedAddresses,
		Prefixes:       c.RememberedPrefixes,
		MinRate:        c.MinRate,
		RateGrace:      milliseconds(c.RateGraceMs),
	}, nil
}

func (c *Connections) addressLimits() connlimit.Limits {
	return connlimit.Limits{
		Open:      c.AddressOpen,
		Opening:   c.AddressSilent,
		PerSecond: c.AddressPerSecond,
		Burst:     c.AddressBurst,
		HalfRead:  c.AddressIncompleteRequests,
		Bytes:     c.AddressBufferedBytes,
	}
}

func (c *Connections) prefixLimits() connlimit.Limits {
	return connlimit.Limits{
		Open:      c.PrefixOpen,
		Opening:   c.PrefixSilent,
		PerSecond: c.PrefixPerSecond,
		Burst:     c.PrefixBurst,
		HalfRead:  c.PrefixIncompleteRequests,
		Bytes:     c.PrefixBufferedBytes,
	}
}

func (c *Connections) learning() connlimit.LearnConfig {
	return connlimit.LearnConfig{
		Enabled:      c.Learn,
		HalfLife:     seconds(c.LearnHalfLifeSeconds),
		MinScore:     c.LearnAfterJobs,
		ReserveShare: c.LearnShare,
		UnknownShare: c.NewcomerShare,
	}
}

// descriptorFloors returns how many descriptors are reserved for each kind of use.
func (c *Connections) descriptorFloors(descriptors int) (floors [connlimit.DescriptorKinds]int) {
	quarter := descriptors / defaultFloorDivisor
	floors[connlimit.ClientConnections] = cmp.Or(c.FloorClients, min(maxDefaultClientFloor, quarter))
	floors[connlimit.WorkerConnections] = cmp.Or(c.FloorWorkers, quarter)
	floors[connlimit.DiscoveryConnections] = cmp.Or(c.FloorDiscovery, defaultDiscoveryFloor)
	floors[connlimit.StoreFiles] = c.FloorStores
	return floors
}

// checkValues checks the values that connlimit does not check.
func (c *Connections) checkValues() error {
	switch c.RejectWith {
	case "", rejectByClosing, rejectWith503:
	default:
		return fmt.Errorf("refuse: %q is neither close nor 503", c.RejectWith)
	}
	amounts := []struct {
		key   string
		value float64
	}{
		{"learn_half_life_s", c.LearnHalfLifeSeconds},
		{"learn_after_jobs", c.LearnAfterJobs},
		{"min_rate_after_ms", c.RateGraceMs},
		{"write_stall_ms", c.WriteStallMs},
		{"min_bytes_per_s", c.MinRate},
		{"unknown_new_per_s", c.UnknownPerSecond},
		{"floor_sessions_descriptors", float64(c.FloorClients)},
		{"sessions_connections", float64(c.Capacity)},
	}
	for _, amount := range amounts {
		if amount.value < 0 || amount.value > maxAmount {
			return fmt.Errorf("%s: %g is not between 0 and 1e9", amount.key, amount.value)
		}
	}
	return nil
}

func parsePrefixes(key string, texts []string) ([]netip.Prefix, error) {
	var prefixes []netip.Prefix
	for i, text := range texts {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("%s[%d]: %q is no prefix such as 10.1.0.0/16", key, i, text)
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes, nil
}

// Explain writes a line for each key of the table, with its value and a description.
func (c *Connections) Explain(w io.Writer) { explain(w, "connections", *c) }
