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
	Greedy               // keeps the connection and asks in bulk, reading slowly
	Drop                 // connects and goes at once
	Deaf                 // asks in bulk and never reads
	Kinds
)

var kindNames = [Kinds]string{"silent", "slow_head", "slow_body", "greedy", "drop", "deaf"}

func (k Kind) String() string { return kindNames[k] }

// Config says how many come and how.
type Config struct {
	To      string // on a loopback address
	Seed    uint64
	Clients int           // at a time
	Sources int           // addresses that they come from
	Base    netip.Addr    // the first of them; default 127.64.0.1
	For     time.Duration // then all go
	Kinds   []Kind        // in equal parts; default the first five
	Class   string        // whose path the requests name; default status-check
}

// Counts is what they met.
type Counts struct {
	Attempted int64            `json:"attempted"`
	Connected int64            `json:"connected"`
	Failed    int64            `json:"failed"` // no connection
	Ended     int64            `json:"ended"`  // by the other side, once connected
	Answers   int64            `json:"answer_bytes"`
	ByKind    map[string]int64 `json:"attempted_by_kind"`
}

const (
	dialTime = 3 * time.Second
	trickle  = 250 * time.Millisecond
	pauseMin = 400 * time.Millisecond // before a client whose connection ended comes again
	pauseMax = 1600 * time.Millisecond
	rampUp   = 500 * time.Millisecond // in which all come for the first time
)

// Run lets them come until the time is over or ctx ends.
func Run(ctx context.Context, c Config) (Counts, error) {
	host, _, err := net.SplitHostPort(c.To)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return Counts{}, fmt.Errorf("%s is no loopback address", c.To)
	}
	if c.Clients < 1 || c.Sources < 1 || c.For <= 0 {
		return Counts{}, errors.New("clients, sources and for must be positive")
	}
	if !c.Base.IsValid() {
		c.Base = netip.MustParseAddr("127.64.0.1")
	}
	if len(c.Kinds) == 0 {
		c.Kinds = []Kind{Silent, SlowHead, SlowBody, Greedy, Drop}
	}
	if c.Class == "" {
		c.Class = "status-check"
	}
	sources := []netip.Addr{c.Base}
	for len(sources) < c.Sources {
		sources = append(sources, sources[len(sources)-1].Next())
	}
	if !sources[len(sources)-1].IsLoopback() {
		return Counts{}, errors.New("the sources reach beyond loopback")
	}
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	var n struct {
		attempted, connected, failed, ended, answers atomic.Int64
		kind                                         [Kinds]atomic.Int64
	}
	var all sync.WaitGroup
	for i := range c.Clients {
		all.Add(1)
		go func() {
			defer all.Done()
			rng := rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(fmt.Sprintf("hostile %d", i))))
			kind, from := c.Kinds[i%len(c.Kinds)], sources[i%len(sources)]
			wait(ctx, time.Duration(rng.Int64N(int64(rampUp))))
			for ctx.Err() == nil {
				n.attempted.Add(1)
				n.kind[kind].Add(1)
				d := net.Dialer{Timeout: dialTime, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
				conn, err := d.DialContext(ctx, "tcp", c.To)
				if err != nil {
					n.failed.Add(1)
				} else {
					n.connected.Add(1)
					stop := context.AfterFunc(ctx, func() { conn.Close() })
					read := behave(ctx, conn, kind, &c, rng)
					stop()
					conn.Close()
					n.answers.Add(read)
					if ctx.Err() == nil && kind != Drop {
						n.ended.Add(1)
					}
				}
				wait(ctx, pauseMin+time.Duration(rng.Int64N(int64(pauseMax-pauseMin))))
			}
		}()
	}
	all.Wait()
	out := Counts{n.attempted.Load(), n.connected.Load(), n.failed.Load(), n.ended.Load(), n.answers.Load(), map[string]int64{}}
	for k := range Kinds {
		if x := n.kind[k].Load(); x > 0 {
			out.ByKind[k.String()] = x
		}
	}
	return out, nil
}

func wait(ctx context.Context, span time.Duration) {
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
					wait(ctx, 5*time.Millisecond)
				}
			}
		}()
	}
	head := fmt.Sprintf("POST /%s/m%d HTTP/1.1\r\nHost: kiosk\r\nX-Correlation-Id: %016x\r\nX-Time-Left-Ms: 5000\r\n", c.Class, rng.IntN(1000), rng.Uint64())
	switch kind {
	case Drop:
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
			case <-time.After(trickle):
			}
		}
		<-ended
	case Greedy, Deaf:
		if kind == Greedy {
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
			wait(ctx, 100*time.Millisecond)
		}
		conn.Close()
		<-ended
	}
	return read
}
