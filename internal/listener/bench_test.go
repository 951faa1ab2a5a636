package listener

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// BenchmarkAccept opens and closes connections as fast as it goes, with a guard
// and without, in turns within one run: the ratio is what counts.
func BenchmarkAccept(b *testing.B) {
	rate := func(guarded bool) float64 {
		loop := eventloop.New()
		engine, err := transport.NewEngine(loop, 4096)
		if err != nil {
			b.Fatal(err)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		var taken atomic.Int64
		var a *transport.Acceptor
		if guarded {
			e, err := New(loop, engine, Config{Limits: connlimit.Config{Capacity: 3000, Reserve: 100, Known: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
				Address: connlimit.Limits{Open: 2900, PerSecond: 1e6}, Prefix: connlimit.Limits{Open: 2900}}}, 4000, nil)
			if err != nil {
				b.Fatal(err)
			}
			a = engine.ServeWithAdmission(ln, true, func(c *transport.Conn) transport.Handler {
				taken.Add(1)
				e.Limiter.Closed(e.Accepted(0, uint64(c.Handle), c.AdmissionToken))
				return nil
			})
		} else {
			a = engine.Serve(ln, 3000, true, func(c *transport.Conn) transport.Handler { taken.Add(1); return nil }, func() {})
		}
		go loop.Run()
		defer loop.Post(loop.Stop)
		defer a.Close()
		var all sync.WaitGroup
		begin := time.Now()
		stop := begin.Add(400 * time.Millisecond)
		for range 4 {
			all.Add(1)
			go func() {
				defer all.Done()
				for time.Now().Before(stop) {
					if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
						c.(*net.TCPConn).SetLinger(0)
						c.Close()
					}
				}
			}()
		}
		all.Wait()
		return float64(taken.Load()) / time.Since(begin).Seconds()
	}
	var on, off float64
	n := 0
	for b.Loop() {
		off += rate(false)
		on += rate(true)
		n++
	}
	b.ReportMetric(on/float64(n), "guarded/s")
	b.ReportMetric(off/float64(n), "plain/s")
	b.ReportMetric(on/off, "ratio")
}
