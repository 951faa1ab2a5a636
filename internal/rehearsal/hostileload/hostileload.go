// Package hostileload runs clients that behave badly from many loopback addresses: they hold
// connections without a request, send a byte at a time, send requests without end, or reconnect
// again and again. A seed determines what each does. It connects to loopback addresses only, and
// ends with its context or its duration.
package hostileload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is a way to behave badly.
type Kind int

// The kinds.
const (
	Silent        Kind = iota // connects and sends nothing
	SlowHead                  // sends a request's head a byte at a time
	SlowBody                  // sends a head, then the body a byte at a time
	Flooding                  // sends many requests on one connection and reads slowly
	Disconnecting             // connects and closes at once
	NeverReading              // sends many requests and never reads
	kindCount
)

var kindNames = [kindCount]string{"silent", "slow_head", "slow_body", "greedy", "drop", "deaf"}

// String is the kind's name in Counts.ByKind.
func (k Kind) String() string { return kindNames[k] }

// Config says how many clients run and how.
type Config struct {
	Target      string // host:port on a loopback address
	Seed        uint64
	Clients     int           // at a time
	Sources     int           // number of addresses that they connect from
	FirstSource netip.Addr    // the others follow; default 127.64.0.1
	Duration    time.Duration // until all end
	Kinds       []Kind        // in equal shares; default all but NeverReading
	Class       string        // whose path the requests have; default status-check
}

// setDefaults replaces zero values.
func (c *Config) setDefaults() {
	if !c.FirstSource.IsValid() {
		c.FirstSource = netip.MustParseAddr("127.64.0.1")
	}
	if len(c.Kinds) == 0 {
		c.Kinds = []Kind{Silent, SlowHead, SlowBody, Flooding, Disconnecting}
	}
	if c.Class == "" {
		c.Class = "status-check"
	}
}

// validate checks the configuration.
func (c *Config) validate() error {
	host, _, err := net.SplitHostPort(c.Target)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is no loopback address", c.Target)
	}
	if c.Clients < 1 || c.Sources < 1 || c.Duration <= 0 {
		return errors.New("clients, sources and for must be positive")
	}
	return nil
}

// sources lists the addresses that clients connect from.
func (c *Config) sources() ([]netip.Addr, error) {
	sources := []netip.Addr{c.FirstSource}
	for len(sources) < c.Sources {
		sources = append(sources, sources[len(sources)-1].Next())
	}
	if !sources[len(sources)-1].IsLoopback() {
		return nil, errors.New("the sources reach beyond loopback")
	}
	return sources, nil
}

// Counts is what the clients observed.
type Counts struct {
	Attempted    int64            `json:"attempted"` // connections
	Connected    int64            `json:"connected"`
	Failed       int64            `json:"failed"` // to connect
	ClosedByPeer int64            `json:"ended"`
	AnswerBytes  int64            `json:"answer_bytes"`
	ByKind       map[string]int64 `json:"attempted_by_kind"` // connections
}

// counters are Counts while the clients run.
type counters struct {
	attempted    atomic.Int64
	connected    atomic.Int64
	failed       atomic.Int64
	closedByPeer atomic.Int64
	answerBytes  atomic.Int64
	byKind       [kindCount]atomic.Int64
}

func (c *counters) counts() Counts {
	result := Counts{
		Attempted:    c.attempted.Load(),
		Connected:    c.connected.Load(),
		Failed:       c.failed.Load(),
		ClosedByPeer: c.closedByPeer.Load(),
		AnswerBytes:  c.answerBytes.Load(),
		ByKind:       map[string]int64{},
	}
	for kind := range kindCount {
		if attempted := c.byKind[kind].Load(); attempted > 0 {
			result.ByKind[kind.String()] = attempted
		}
	}
	return result
}

const (
	dialTimeout       = 3 * time.Second
	minReconnectDelay = 400 * time.Millisecond
	maxReconnectDelay = 1600 * time.Millisecond
	rampUp            = 500 * time.Millisecond // in which all clients connect for the first time
)

// Run runs the clients until the duration is over or ctx ends.
func Run(ctx context.Context, config Config) (Counts, error) {
	if err := config.validate(); err != nil {
		return Counts{}, err
	}
	config.setDefaults()
	sources, err := config.sources()
	if err != nil {
		return Counts{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	var counters counters
	var running sync.WaitGroup
	for i := range config.Clients {
		running.Add(1)
		go func() {
			defer running.Done()
			c := client{
				config:   &config,
				kind:     config.Kinds[i%len(config.Kinds)],
				source:   sources[i%len(sources)],
				random:   rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(fmt.Sprintf("hostile %d", i)))),
				counters: &counters,
			}
			c.run(ctx)
		}()
	}
	running.Wait()
	return counters.counts(), nil
}
