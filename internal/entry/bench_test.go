package entry

import (
	stdnet "net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/admit"
	"hollyyoke.example/hollyyoke/internal/core"
	"hollyyoke.example/hollyyoke/internal/net"
)

// BenchmarkAccept opens and closes connections as fast as it goes, with a guard
// and without, in turns within one run: the ratio is what counts.
func BenchmarkAccept(b *testing.B) {
	rate := func(guarded bool) float64 {
		loop := core.NewLoop()
		engine, err := net.NewEngine(loop, 4096)
		if err != nil {
			b.Fatal(err)
		}
		ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		var taken atomic.Int64
		var a *net.Acceptor
		if guarded {
			e, err := Guard(loop, engine, Config{Admit: admit.Config{Room: 3000, Reserve: 100, Known: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
				Address: admit.Caps{Open: 2900, PerSecond: 1e6}, Prefix: admit.Caps{Open: 2900}}}, 4000, nil)
			if err != nil {
				b.Fatal(err)
			}
			a = engine.ServeGuarded(ln, true, func(c *net.Conn) net.Owner {
				taken.Add(1)
				e.Admit.Closed(e.Come(0, uint64(c.Handle), c.Pass))
				return nil
			})
		} else {
			a = engine.Serve(ln, 3000, true, func(c *net.Conn) net.Owner { taken.Add(1); return nil }, func() {})
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
					if c, err := stdnet.Dial("tcp", ln.Addr().String()); err == nil {
						c.(*stdnet.TCPConn).SetLinger(0)
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
