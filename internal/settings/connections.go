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
// stay, and how many descriptors each kind may use.
type Connections struct {
	Enabled bool `toml:"on" help:"decide on each connection; false: the table is checked and not used"`

	Known          []string `toml:"known" help:"prefixes of known clients, as 10.1.0.0/16: they have the reserve, and no caps"`
	TrustedProxies []string `toml:"fronts" help:"prefixes of fronts that send a PROXY header (v1 or v2): caps hold for the clients it names"`

	Capacity         int     `toml:"sessions_connections" help:"sessions at a time; 0: six tenths of the descriptors"`
	Reserve          int     `toml:"reserve_connections" help:"of them, that unknown clients cannot use; 0: a quarter of them where clients are known"`
	UnknownPerSecond float64 `toml:"unknown_new_per_s" help:"new connections a second of all unknown clients together; 0: no bound"`

	AddressOpen      int     `toml:"address_open_connections" help:"open connections of one address; 0: no bound"`
	AddressOpening   int     `toml:"address_opening_connections" help:"of them, those on which not a byte has come; 0: no bound"`
	AddressPerSecond float64 `toml:"address_new_per_s" help:"new connections a second of one address; 0: no bound"`
	AddressBurst     int     `toml:"address_new_burst" help:"that may come at once; 0: a second's"`
	AddressHalfRead  int     `toml:"address_half_read_requests" help:"half-read requests of one address; 0: no bound"`
	AddressBytes     int     `toml:"address_buffered_bytes" help:"that half-read requests of one address hold; 0: no bound"`

	PrefixOpen      int     `toml:"prefix_open_connections" help:"the same of all addresses of one prefix"`
	PrefixOpening   int     `toml:"prefix_opening_connections"`
	PrefixPerSecond float64 `toml:"prefix_new_per_s"`
	PrefixBurst     int     `toml:"prefix_new_burst"`
	PrefixHalfRead  int     `toml:"prefix_half_read_requests"`
	PrefixBytes     int     `toml:"prefix_buffered_bytes"`
	V4Bits          int     `toml:"prefix_v4_bits" help:"length of an IPv4 prefix; default 24"`
	V6Bits          int     `toml:"prefix_v6_bits" help:"length of an IPv6 prefix; default 64"`

	Learn                bool    `toml:"learn" help:"addresses whose jobs are served become known"`
	LearnAfterJobs       float64 `toml:"learn_after_jobs" help:"served jobs, decayed, from which on; default 20"`
	LearnHalfLifeSeconds float64 `toml:"learn_half_life_s" help:"of what is remembered; default 600"`
	LearnShare           float64 `toml:"learn_reserve_share" help:"share of the reserve that learned ones may use; default 0.5"`
	NewcomerShare        float64 `toml:"newcomer_share" help:"share of the other room that learned ones leave to newcomers; default 0.1"`
	RememberedAddresses  int     `toml:"remembered_addresses" help:"default 16384; only a restart changes it"`
	RememberedPrefixes   int     `toml:"remembered_prefixes" help:"default 4096; only a restart changes it"`

	MinRate      float64 `toml:"min_bytes_per_s" help:"of a request on its way; 0: no bound but the 2 s in which it must be whole"`
	RateGraceMs  float64 `toml:"min_rate_after_ms" help:"from its first byte on; default 500"`
	WriteStallMs float64 `toml:"write_stall_ms" help:"for which answers may wait to be read; 0: no bound"`

	RejectWith     string  `toml:"refuse" help:"how: close (default) or 503"`
	LowMark        float64 `toml:"low_mark" help:"share of descriptors at which idle unknown sessions go; default 0.8"`
	HighMark       float64 `toml:"high_mark" help:"at which unknown arrivals end at once; default 0.9"`
	CriticalMark   float64 `toml:"critical_mark" help:"at which even idle connections to workers go; default 0.97"`
	MarkHysteresis float64 `toml:"mark_hysteresis" help:"so far below its mark a level ends; default 0.05"`
	FloorClients   int     `toml:"floor_sessions_descriptors" help:"that no other kind can take; default 32"`
	FloorWorkers   int     `toml:"floor_backends_descriptors" help:"default a quarter"`
	FloorDiscovery int     `toml:"floor_discovery_descriptors" help:"default 2"`
	FloorStores    int     `toml:"floor_stores_descriptors" help:"default 0"`
}

// Defaults of the descriptor floors, the capacity and the reserve.
const (
	maxDefaultClientFloor = 32 // descriptors
	defaultDiscoveryFloor = 2  // descriptors
	defaultFloorDivisor   = 4  // a quarter of the descriptors
	defaultReserveDivisor = 4  // a quarter of the capacity
	capacityTenths        = 6  // six tenths of the descriptors
)

// maxAmount is the limit of values that have no other.
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
	WriteStall       time.Duration // how long responses may wait to be read; 0: unbounded
	Respond503       bool          // rejected connections get a 503 response; else they are closed
}

// LimitsFor converts the table for a process that may use a number of descriptors
// for its connections. An error names the key.
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
	if err := admission.Check(); err != nil { // it fills in defaults, in this copy only
		return ConnectionLimits{}, err
	}
	if _, err := connlimit.NewDescriptorBudget(descriptors, limits.DescriptorFloors, limits.Watermarks); err != nil {
		return ConnectionLimits{}, err
	}
	return limits, nil
}

// admission returns which connections the table admits.
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
		Opening:   c.AddressOpening,
		PerSecond: c.AddressPerSecond,
		Burst:     c.AddressBurst,
		HalfRead:  c.AddressHalfRead,
		Bytes:     c.AddressBytes,
	}
}

func (c *Connections) prefixLimits() connlimit.Limits {
	return connlimit.Limits{
		Open:      c.PrefixOpen,
		Opening:   c.PrefixOpening,
		PerSecond: c.PrefixPerSecond,
		Burst:     c.PrefixBurst,
		HalfRead:  c.PrefixHalfRead,
		Bytes:     c.PrefixBytes,
	}
}

func (c *Connections) learning() connlimit.LearnConfig {
	return connlimit.LearnConfig{
		Enabled:  c.Learn,
		HalfLife: seconds(c.LearnHalfLifeSeconds),
		After:    c.LearnAfterJobs,
		Share:    c.LearnShare,
		Newcomer: c.NewcomerShare,
	}
}

// descriptorFloors returns the descriptors that each kind has to itself.
func (c *Connections) descriptorFloors(descriptors int) (floors [connlimit.DescriptorKinds]int) {
	quarter := descriptors / defaultFloorDivisor
	floors[connlimit.ClientConnections] = cmp.Or(c.FloorClients, min(maxDefaultClientFloor, quarter))
	floors[connlimit.WorkerConnections] = cmp.Or(c.FloorWorkers, quarter)
	floors[connlimit.DiscoveryConnections] = cmp.Or(c.FloorDiscovery, defaultDiscoveryFloor)
	floors[connlimit.StoreFiles] = c.FloorStores
	return floors
}

// checkValues checks what connlimit does not.
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

// Explain writes a line for each key, with its value and a description.
func (c *Connections) Explain(w io.Writer) { explain(w, "connections", *c) }
