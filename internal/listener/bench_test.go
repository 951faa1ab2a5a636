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

// BenchmarkAccept opens and closes connections as fast as possible, alternately with and
// without admission. Its main result is the ratio of the two rates, which are measured
// in the same run.
func BenchmarkAccept(b *testing.B) {
	withAdmission := 0.0
	without := 0.0
	rounds := 0.0
	for b.Loop() {
		without += acceptRate(b, serveWithoutAdmission)
		withAdmission += acceptRate(b, serveWithAdmission)
		rounds++
	}
	b.ReportMetric(withAdmission/rounds, "admission/s")
	b.ReportMetric(without/rounds, "plain/s")
	b.ReportMetric(withAdmission/without, "ratio")
}

// serveFunc serves a listener and counts the accepted connections.
type serveFunc func(
	b *testing.B, engine *transport.Engine, listener net.Listener, accepted *atomic.Int64,
) *transport.Acceptor

// acceptRate returns the number of connections that are accepted per second.
func acceptRate(b *testing.B, serve serveFunc) float64 {
	loop := eventloop.New()
	engine, err := transport.NewEngine(loop, 4096)
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var accepted atomic.Int64
	acceptor := serve(b, engine, listener, &accepted)
	go loop.Run()
	defer loop.Post(loop.Stop)
	defer acceptor.Close()
	begin := time.Now()
	connectUntil(begin.Add(400*time.Millisecond), listener.Addr().String())
	return float64(accepted.Load()) / time.Since(begin).Seconds()
}

// connectUntil opens and resets connections until the deadline.
func connectUntil(deadline time.Time, addr string) {
	var clients sync.WaitGroup
	for range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(deadline) {
				conn, err := net.Dial("tcp", addr)
				if err == nil {
					conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
				}
			}
		}()
	}
	clients.Wait()
}

func serveWithAdmission(
	b *testing.B, engine *transport.Engine, listener net.Listener, accepted *atomic.Int64,
) *transport.Acceptor {
	config := Config{Limits: connlimit.Config{
		Capacity: 3000,
		Reserve:  100,
		Known:    []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
		Address:  connlimit.Limits{Open: 2900, PerSecond: 1e6},
		Prefix:   connlimit.Limits{Open: 2900},
	}}
	gate, err := New(engine.Loop, engine, config, 4000, nil)
	if err != nil {
		b.Fatal(err)
	}
	newHandler := func(c *transport.Conn) transport.Handler {
		accepted.Add(1)
		gate.Limiter.Closed(gate.RegisterConnection(0, c.Handle, c.AdmissionToken))
		return nil
	}
	return engine.ServeWithAdmission(listener, transport.AcceptOptions{NewHandler: newHandler, SingleBuffer: true})
}

func serveWithoutAdmission(
	_ *testing.B, engine *transport.Engine, listener net.Listener, accepted *atomic.Int64,
) *transport.Acceptor {
	newHandler := func(*transport.Conn) transport.Handler {
		accepted.Add(1)
		return nil
	}
	return engine.Serve(listener, transport.AcceptOptions{NewHandler: newHandler, SingleBuffer: true, Limit: 3000})
}
