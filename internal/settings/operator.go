package settings

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"hollyyoke.example/hollyyoke/internal/connlimit"
)

// This file owns the operator's file: one TOML file with a table for each
// subsystem. Keys tell their units in their names; what they are for and their
// defaults stand at their declaration, from which check prints them. A key that
// is not known, or a value that makes no sense, is one line that names it.

// Operator is the operator's file.
type Operator struct {
	Connections Connections
	Membership  Membership
	HasFaktory  bool // it has a table [faktory]
}

// Connections is the table [connections]: who may connect, stay and be heard.
type Connections struct {
	On bool `toml:"on" help:"decide on each connection; false: the table is checked and not used"`

	Known  []string `toml:"known" help:"prefixes of known clients, as 10.1.0.0/16: they have the reserve, and no caps"`
	Fronts []string `toml:"fronts" help:"prefixes of fronts that send a PROXY header (v1 or v2): caps hold for the clients it names"`

	Room        int     `toml:"sessions_connections" help:"sessions at a time; 0: six tenths of the descriptors"`
	Reserve     int     `toml:"reserve_connections" help:"of them, that unknown clients cannot use; 0: a quarter of them where clients are known"`
	UnknownPerS float64 `toml:"unknown_new_per_s" help:"new connections a second of all unknown clients together; 0: no bound"`

	AddressOpen    int     `toml:"address_open_connections" help:"open connections of one address; 0: no bound"`
	AddressOpening int     `toml:"address_opening_connections" help:"of them, those on which not a byte has come; 0: no bound"`
	AddressPerS    float64 `toml:"address_new_per_s" help:"new connections a second of one address; 0: no bound"`
	AddressBurst   int     `toml:"address_new_burst" help:"that may come at once; 0: a second's"`
	AddressHalf    int     `toml:"address_half_read_requests" help:"half-read requests of one address; 0: no bound"`
	AddressBytes   int     `toml:"address_buffered_bytes" help:"that half-read requests of one address hold; 0: no bound"`

	PrefixOpen    int     `toml:"prefix_open_connections" help:"the same of all addresses of one prefix"`
	PrefixOpening int     `toml:"prefix_opening_connections"`
	PrefixPerS    float64 `toml:"prefix_new_per_s"`
	PrefixBurst   int     `toml:"prefix_new_burst"`
	PrefixHalf    int     `toml:"prefix_half_read_requests"`
	PrefixBytes   int     `toml:"prefix_buffered_bytes"`
	V4Bits        int     `toml:"prefix_v4_bits" help:"length of an IPv4 prefix; default 24"`
	V6Bits        int     `toml:"prefix_v6_bits" help:"length of an IPv6 prefix; default 64"`

	Learn         bool    `toml:"learn" help:"addresses whose jobs are served become known"`
	LearnAfter    float64 `toml:"learn_after_jobs" help:"served jobs, decayed, from which on; default 20"`
	LearnHalfLife float64 `toml:"learn_half_life_s" help:"of what is remembered; default 600"`
	LearnShare    float64 `toml:"learn_reserve_share" help:"share of the reserve that learned ones may use; default 0.5"`
	Newcomers     float64 `toml:"newcomer_share" help:"share of the other room that learned ones leave to newcomers; default 0.1"`
	Addresses     int     `toml:"remembered_addresses" help:"default 16384; only a restart changes it"`
	Prefixes      int     `toml:"remembered_prefixes" help:"default 4096; only a restart changes it"`

	MinRate    float64 `toml:"min_bytes_per_s" help:"of a request on its way; 0: no bound but the 2 s in which it must be whole"`
	RateGrace  float64 `toml:"min_rate_after_ms" help:"from its first byte on; default 500"`
	WriteStall float64 `toml:"write_stall_ms" help:"for which answers may wait to be read; 0: no bound"`

	Refuse         string  `toml:"refuse" help:"how: close (default) or 503"`
	Low            float64 `toml:"low_mark" help:"share of descriptors at which idle unknown sessions go; default 0.8"`
	High           float64 `toml:"high_mark" help:"at which unknown arrivals end at once; default 0.9"`
	Critical       float64 `toml:"critical_mark" help:"at which even idle connections to workers go; default 0.97"`
	Back           float64 `toml:"mark_hysteresis" help:"so far below its mark a level ends; default 0.05"`
	FloorSessions  int     `toml:"floor_sessions_descriptors" help:"that no other kind can take; default 32"`
	FloorBackends  int     `toml:"floor_backends_descriptors" help:"default a quarter"`
	FloorDiscovery int     `toml:"floor_discovery_descriptors" help:"default 2"`
	FloorStores    int     `toml:"floor_stores_descriptors" help:"default 0"`
}

// ReadOperator reads the operator's file. Its table [faktory], if there is one,
// is decoded into faktory, which may be nil to pass over it. Every error names
// the key.
func ReadOperator(path string, faktory any) (o Operator, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return o, err
	}
	var file struct {
		Connections Connections     `toml:"connections"`
		Membership  Membership      `toml:"membership"`
		Faktory     *toml.Primitive `toml:"faktory"`
	}
	meta, err := toml.Decode(string(text), &file)
	if err != nil {
		line, _, _ := strings.Cut(err.Error(), "\n")
		return o, errors.New(line)
	}
	if o.HasFaktory = file.Faktory != nil; o.HasFaktory {
		if faktory == nil {
			var any map[string]any
			faktory = &any
		}
		if err := meta.PrimitiveDecode(*file.Faktory, faktory); err != nil {
			line, _, _ := strings.Cut(err.Error(), "\n")
			return o, fmt.Errorf("faktory: %s", line)
		}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return o, fmt.Errorf("%s: unknown key", unknown[0])
	}
	o.Connections = file.Connections
	if _, _, _, _, err := o.Connections.Ready(1000); err != nil {
		return o, fmt.Errorf("connections.%w", err)
	}
	o.Membership = file.Membership
	if err := o.Membership.Check(); err != nil {
		return o, fmt.Errorf("membership.%w", err)
	}
	return o, nil
}

// Ready turns the table into what decides, for a process that may have so many
// descriptors for its connections. An error names the key.
func (c *Connections) Ready(descriptors int) (a connlimit.Config, floors [connlimit.DescriptorKinds]int, marks connlimit.Watermarks, stall time.Duration, err error) {
	prefixes := func(key string, list []string) (out []netip.Prefix) {
		for i, text := range list {
			p, e := netip.ParsePrefix(text)
			if e != nil && err == nil {
				err = fmt.Errorf("%s[%d]: %q is no prefix such as 10.1.0.0/16", key, i, text)
			}
			out = append(out, p)
		}
		return out
	}
	a.Known, a.TrustedProxies = prefixes("known", c.Known), prefixes("fronts", c.Fronts)
	if err != nil {
		return a, floors, marks, 0, err
	}
	switch c.Refuse {
	case "", "close", "503":
	default:
		return a, floors, marks, 0, fmt.Errorf("refuse: %q is neither close nor 503", c.Refuse)
	}
	for _, x := range []struct {
		key string
		v   float64
	}{{"learn_half_life_s", c.LearnHalfLife}, {"learn_after_jobs", c.LearnAfter}, {"min_rate_after_ms", c.RateGrace},
		{"write_stall_ms", c.WriteStall}, {"min_bytes_per_s", c.MinRate}, {"unknown_new_per_s", c.UnknownPerS},
		{"floor_sessions_descriptors", float64(c.FloorSessions)}, {"sessions_connections", float64(c.Room)}} {
		if x.v < 0 || x.v > 1e9 {
			return a, floors, marks, 0, fmt.Errorf("%s: %g is not between 0 and 1e9", x.key, x.v)
		}
	}
	a.Capacity, a.Reserve = c.Room, c.Reserve
	if a.Capacity == 0 {
		a.Capacity = max(descriptors*6/10, 1)
	}
	if a.Reserve == 0 && (len(c.Known) > 0 || c.Learn) {
		a.Reserve = a.Capacity / 4
	}
	a.Rate = c.UnknownPerS
	a.Address = connlimit.Limits{Open: c.AddressOpen, Opening: c.AddressOpening, PerSecond: c.AddressPerS, Burst: c.AddressBurst, Half: c.AddressHalf, Bytes: c.AddressBytes}
	a.Prefix = connlimit.Limits{Open: c.PrefixOpen, Opening: c.PrefixOpening, PerSecond: c.PrefixPerS, Burst: c.PrefixBurst, Half: c.PrefixHalf, Bytes: c.PrefixBytes}
	a.V4Bits, a.V6Bits = c.V4Bits, c.V6Bits
	a.Learn = connlimit.Learn{On: c.Learn, HalfLife: seconds(c.LearnHalfLife), After: c.LearnAfter, Share: c.LearnShare, Newcomer: c.Newcomers}
	a.Addresses, a.Prefixes = c.Addresses, c.Prefixes
	a.MinRate, a.RateGrace = c.MinRate, seconds(c.RateGrace/1000)
	marks = connlimit.Watermarks{Low: c.Low, High: c.High, Critical: c.Critical, Back: c.Back}
	or := func(n, def int) int {
		if n == 0 {
			return def
		}
		return n
	}
	floors[connlimit.ClientConnections] = or(c.FloorSessions, min(32, descriptors/4))
	floors[connlimit.WorkerConnections] = or(c.FloorBackends, descriptors/4)
	floors[connlimit.DiscoveryConnections] = or(c.FloorDiscovery, 2)
	floors[connlimit.StoreFiles] = c.FloorStores
	checked := a
	if err := checked.Check(); err != nil {
		return a, floors, marks, 0, err
	}
	if _, err := connlimit.NewDescriptorBudget(descriptors, floors, marks); err != nil {
		return a, floors, marks, 0, err
	}
	return a, floors, marks, seconds(c.WriteStall / 1000), nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Explain prints the table's keys, their values and what they are for.
func (c *Connections) Explain(w io.Writer) { explain(w, "connections", *c) }

// explain prints a table's keys, their values and what they are for.
func explain(w io.Writer, table string, value any) {
	v := reflect.ValueOf(value)
	for i := range v.NumField() {
		f := v.Type().Field(i)
		help := f.Tag.Get("help")
		if help == "" {
			help = "(as for an address)"
		}
		fmt.Fprintf(w, "%s.%s = %v  # %s\n", table, f.Tag.Get("toml"), v.Field(i).Interface(), help)
	}
}
