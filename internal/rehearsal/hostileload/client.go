package hostileload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	dialTimeout       = 3 * time.Second
	rampUp            = 500 * time.Millisecond // span over which the clients' first connections are spread
	minReconnectDelay = 400 * time.Millisecond
	maxReconnectDelay = 1600 * time.Millisecond
)

// client is one misbehaving client. It has one connection at a time and opens the
// next some time after the last has ended.
type client struct {
	kind   Kind
	target string
	class  string
	dialer net.Dialer
	random *rand.Rand
	totals *counters
}

// newClient returns the client with the given index; its kind, its source address
// and its random numbers follow from the index and the seed.
func newClient(index int, config *Config, sources []netip.Addr, totals *counters) *client {
	source := sources[index%len(sources)]
	stream := xxhash.Sum64String(fmt.Sprintf("hostile %d", index))
	return &client{
		kind:   config.Kinds[index%len(config.Kinds)],
		target: config.Target,
		class:  config.Class,
		dialer: net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source.AsSlice()}},
		random: rand.New(rand.NewPCG(config.Seed, stream)),
		totals: totals,
	}
}

// run connects again after each connection has ended, until ctx ends.
func (c *client) run(ctx context.Context) {
	sleep(ctx, c.randomDuration(rampUp))
	for ctx.Err() == nil {
		c.connectOnce(ctx)
		sleep(ctx, minReconnectDelay+c.randomDuration(maxReconnectDelay-minReconnectDelay))
	}
}

// connectOnce opens a connection and misbehaves on it until it ends.
func (c *client) connectOnce(ctx context.Context) {
	c.totals.attempted.Add(1)
	c.totals.byKind[c.kind].Add(1)
	conn, err := c.dialer.DialContext(ctx, "tcp", c.target)
	if err != nil {
		c.totals.failed.Add(1)
		return
	}
	c.totals.connected.Add(1)
	stopClosing := context.AfterFunc(ctx, func() { conn.Close() })
	received := c.misbehave(ctx, conn)
	stopClosing()
	conn.Close()
	c.totals.answerBytes.Add(received)
	if ctx.Err() == nil && c.kind != Disconnecting {
		c.totals.closedByPeer.Add(1)
	}
}

// randomDuration draws a duration from zero up to, not including, limit.
func (c *client) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// sleep waits for the given span or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
