// Package hostileload generates load from clients that misbehave: they hold
// connections without sending, send a byte now and then, send requests without
// end, or connect and close. The clients connect from many loopback addresses,
// and all their choices come from a seed.
//
// The package never connects to an address beyond loopback, and every client
// has stopped when Run returns.
package hostileload

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Config.
const (
	defaultFirstSource = "127.64.0.1"
	defaultClass       = "status-check"
)

// defaultKinds are the kinds of clients where Config.Kinds is empty.
var defaultKinds = []Kind{Silent, SlowHead, SlowBody, Flooding, Disconnecting}

// Errors of an invalid Config.
var (
	errNotPositive    = errors.New("clients, sources and for must be positive")
	errBeyondLoopback = errors.New("the sources reach beyond loopback")
)

// Config describes the clients and how long they run.
type Config struct {
	Target      string // the host and port to connect to, on a loopback address
	Seed        uint64
	Clients     int           // the number of concurrent clients
	Sources     int           // the number of addresses that they connect from
	FirstSource netip.Addr    // the first of these addresses; default 127.64.0.1
	Duration    time.Duration // how long the clients run
	Kinds       []Kind        // assigned to the clients in turn; default all but NeverReading
	Class       string        // the job class in the requests' paths; default status-check
}

// validate checks the fields that have no default.
func (c *Config) validate() error {
	host, _, err := net.SplitHostPort(c.Target)
	ip := net.ParseIP(host)
	if err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is no loopback address", c.Target)
	}
	if c.Clients < 1 || c.Sources < 1 || c.Duration <= 0 {
		return errNotPositive
	}
	return nil
}

// setDefaults fills in the fields that the caller left empty.
func (c *Config) setDefaults() {
	if !c.FirstSource.IsValid() {
		c.FirstSource = netip.MustParseAddr(defaultFirstSource)
	}
	if len(c.Kinds) == 0 {
		c.Kinds = defaultKinds
	}
	if c.Class == "" {
		c.Class = defaultClass
	}
}

// sources returns the consecutive addresses that the clients connect from.
func (c *Config) sources() ([]netip.Addr, error) {
	addrs := []netip.Addr{c.FirstSource}
	last := c.FirstSource
	for len(addrs) < c.Sources {
		last = last.Next()
		addrs = append(addrs, last)
	}
	if !last.IsLoopback() {
		return nil, errBeyondLoopback
	}
	return addrs, nil
}

// Counts are the totals over all clients of a run.
type Counts struct {
	Attempted    int64            `json:"attempted"`    // connection attempts
	Connected    int64            `json:"connected"`    // of these, successful
	Failed       int64            `json:"failed"`       // of these, not connected
	ClosedByPeer int64            `json:"ended"`        // connections that the server closed
	AnswerBytes  int64            `json:"answer_bytes"` // bytes received
	ByKind       map[string]int64 `json:"attempted_by_kind"`
}

// counters count while the clients run. They are safe for concurrent use.
type counters struct {
	attempted    atomic.Int64
	connected    atomic.Int64
	failed       atomic.Int64
	closedByPeer atomic.Int64
	answerBytes  atomic.Int64
	byKind       [kindCount]atomic.Int64
}

func (c *counters) counts() Counts {
	counts := Counts{
		Attempted:    c.attempted.Load(),
		Connected:    c.connected.Load(),
		Failed:       c.failed.Load(),
		ClosedByPeer: c.closedByPeer.Load(),
		AnswerBytes:  c.answerBytes.Load(),
		ByKind:       map[string]int64{},
	}
	for kind := range kindCount {
		attempted := c.byKind[kind].Load()
		if attempted > 0 {
			counts.ByKind[kind.String()] = attempted
		}
	}
	return counts
}

// Run runs the clients until the time in config is over or ctx ends, and returns
// once all have stopped. It returns an error, and connects nowhere, if the target
// or a source is not a loopback address or a number in config is not positive.
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
	var totals counters
	var clients sync.WaitGroup
	for i := range config.Clients {
		clients.Go(func() {
			newClient(i, &config, sources, &totals).run(ctx)
		})
	}
	clients.Wait()
	return totals.counts(), nil
}
