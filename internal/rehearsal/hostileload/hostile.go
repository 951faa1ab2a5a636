// Package hostile holds clients that behave badly, from many loopback
// addresses: kiosks that hold connections and say nothing, send a byte now and
// then, ask without end, or come and go. What each does comes from a seed. It
// must never reach beyond loopback, nor go on after its time.
package hostileload

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	Silent   Kind = iota // connects and says nothing
	SlowHead             // a byte of a head now and then
	SlowBody             // a whole head, then a byte of the body now and then
	Flooding               // keeps the connection and asks in bulk, reading slowly
	Disconnecting                 // connects and goes at once
	NeverReading                 // asks in bulk and never reads
	kindCount
)

var kindNames = [kindCount]string{"silent", "slow_head", "slow_body", "greedy", "drop", "deaf"}

func (k Kind) String() string { return kindNames[k] }

// Config says how many come and how.
type Config struct {
	Target      string // on a loopback address
	Seed    uint64
	Clients int           // at a time
	Sources int           // addresses that they come from
	FirstSource    netip.Addr    // the first of them; default 127.64.0.1
	Duration     time.Duration // then all go
	Kinds   []Kind        // in equal parts; default the first five
	Class   string        // whose path the requests name; default status-check
}

// Counts is what they met.
type Counts struct {
	Attempted int64            `json:"attempted"`
	Connected int64            `json:"connected"`
	Failed    int64            `json:"failed"` // no connection
	ClosedByPeer     int64            `json:"ended"`  // by the other side, once connected
	AnswerBytes   int64            `json:"answer_bytes"`
	ByKind    map[string]int64 `json:"attempted_by_kind"`
}

const (
	dialTimeout = 3 * time.Second
	trickleInterval  = 250 * time.Millisecond
	minReconnectDelay = 400 * time.Millisecond // before a client whose connection ended comes again
	maxReconnectDelay = 1600 * time.Millisecond
	rampUp   = 500 * time.Millisecond // in which all come for the first time
)

// Run lets them come until the time is over or ctx ends.
func Run(ctx context.Context, c Config) (Counts, error) {
	host, _, err := net.SplitHostPort(c.Target)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return Counts{}, fmt.Errorf("%s is no loopback address", c.Target)
	}
	if c.Clients < 1 || c.Sources < 1 || c.Duration <= 0 {
		return Counts{}, errors.New("clients, sources and for must be positive")
	}
	if !c.FirstSource.IsValid() {
		c.FirstSource = netip.MustParseAddr("127.64.0.1")
	}
	if len(c.Kinds) == 0 {
		c.Kinds = []Kind{Silent, SlowHead, SlowBody, Flooding, Disconnecting}
	}
	if c.Class == "" {
		c.Class = "status-check"
	}
	sources := []netip.Addr{c.FirstSource}
	for len(sources) < c.Sources {
		sources = append(sources, sources[len(sources)-1].Next())
	}
	if !sources[len(sources)-1].IsLoopback() {
		return Counts{}, errors.New("the sources reach beyond loopback")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var n struct {
		attempted, connected, failed, ended, answers atomic.Int64
		kind                                         [kindCount]atomic.Int64
	}
	var all sync.WaitGroup
	for i := range c.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			rng := rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(fmt.Sprintf("hostile %d", i))))
			kind, from := c.Kinds[i%len(c.Kinds)], sources[i%len(sources)]
			sleep(ctx, time.Duration(rng.Int64N(int64(rampUp))))
			for ctx.Err() == nil {
				n.attempted.Add(1)
				n.kind[kind].Add(1)
				d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
				conn, err := d.DialContext(ctx, "tcp", c.Target)
				if err != nil {
					n.failed.Add(1)
				} else {
					n.connected.Add(1)
					stop := context.AfterFunc(ctx, func() { conn.Close() })
					read := behave(ctx, conn, kind, &c, rng)
					stop()
					conn.Close()
					n.answers.Add(read)
					if ctx.Err() == nil && kind != Disconnecting {
						n.ended.Add(1)
					}
				}
				sleep(ctx, minReconnectDelay+time.Duration(rng.Int64N(int64(maxReconnectDelay-minReconnectDelay))))
			}
		}()
	}
	all.Wait()
	out := Counts{n.attempted.Load(), n.connected.Load(), n.failed.Load(), n.ended.Load(), n.answers.Load(), map[string]int64{}}
	for k := range kindCount {
		if x := n.kind[k].Load(); x > 0 {
			out.ByKind[k.String()] = x
		}
	}
	return out, nil
}

func sleep(ctx context.Context, span time.Duration) {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// behave keeps a connection until either side ends it, and returns the bytes that came.
func behave(ctx context.Context, conn net.Conn, kind Kind, c *Config, rng *rand.Rand) (read int64) {
	// Whatever comes, but for the deaf, is read, so that the other side's end is seen.
	ended := make(chan struct{})
	watch := func(limit int) {
		go func() {
			defer close(ended)
			buf := make([]byte, limit)
			for {
				k, err := conn.Read(buf)
				read += int64(k)
				if err != nil {
					return
				}
				if limit < 512 {
					sleep(ctx, 5*time.Millisecond)
				}
			}
		}()
	}
	head := fmt.Sprintf("POST /%s/m%d HTTP/1.1\r\nHost: kiosk\r\nX-Correlation-Id: %016x\r\nX-Time-Left-Ms: 5000\r\n", c.Class, rng.IntN(1000), rng.Uint64())
	switch kind {
	case Disconnecting:
		return 0
	case Silent:
		watch(512)
		<-ended
	case SlowHead, SlowBody:
		watch(512)
		rest := head
		if kind == SlowBody {
			if _, err := io.WriteString(conn, head+"Content-Length: 5000\r\n\r\n"); err != nil {
				break
			}
			rest = string(make([]byte, 5000))
		}
		for i := 0; i < len(rest); i++ {
			if _, err := conn.Write([]byte{rest[i]}); err != nil {
				break
			}
			select {
			case <-ended:
				return read
			case <-time.After(trickleInterval):
			}
		}
		<-ended
	case Flooding, NeverReading:
		if kind == Flooding {
			watch(256)
		} else {
			close(ended)
		}
		var bulk []byte
		for range 64 {
			bulk = fmt.Appendf(bulk, "POST /nothing/m%d HTTP/1.1\r\nHost: kiosk\r\nX-Correlation-Id: %016x\r\nContent-Length: 0\r\n\r\n", rng.IntN(1000), rng.Uint64())
		}
		for ctx.Err() == nil {
			conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
			if _, err := conn.Write(bulk); err != nil {
				break
			}
			sleep(ctx, 100*time.Millisecond)
		}
		conn.Close()
		<-ended
	}
	return read
}
