package discovery

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// newSmallRig makes a rig whose engine has few descriptors, with a guard or without.
func newSmallRig(t *testing.T, guarded bool) (r *testkit.Rig, f *httpfront.FrontEnd, addr string) {
	t.Helper()
	const descriptors = 64
	r = testkit.NewRig(t).WithSubscription(t, 1, 10*time.Second)
	r.LimitDescriptors(t, descriptors)
	r.Do(func() {
		var err error
		f = httpfront.New(r.Dispatcher, r.Engine, 64<<20, func() bool { return true })
		if guarded {
			usable := transport.ConnectionDescriptors(descriptors)
			e, err := listener.New(r.Dispatcher.Loop, r.Engine, listener.Config{
				Limits:           connlimit.Config{Capacity: usable, Address: connlimit.Limits{Open: usable, PerSecond: 1e6}, Prefix: connlimit.Limits{Open: usable}},
				DescriptorFloors: [connlimit.DescriptorKinds]int{connlimit.ClientConnections: 8, connlimit.WorkerConnections: 4, connlimit.DiscoveryConnections: 2},
				Watermarks:       connlimit.Watermarks{Low: 0.8, High: 0.9, Critical: 0.97, Back: 0.05},
			}, usable, nil)
			if err != nil {
				t.Error(err)
				return
			}
			f.SetGate(e)
		}
		addr, err = f.Listen("127.0.0.1:0", transport.AcceptedShare(descriptors))
		if err != nil {
			t.Error(err)
		}
	})
	return r, f, addr
}

// Idle clients and attempts have all descriptors that they can get, while
// discovery is down: it is called all the same, and heard once it is back.
func TestDiscoveryHasReservedDescriptor(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		t.Run(fmt.Sprint("guarded ", guarded), func(t *testing.T) {
			r, f, front := newSmallRig(t, guarded)
			other, _ := listenForCalls(t) // takes connections and says nothing
			for range 100 {               // idle clients
				if conn, err := net.Dial("tcp", front); err == nil {
					t.Cleanup(func() { conn.Close() })
				}
			}
			testkit.Until(t, "the clients have come in", func() (in bool) {
				r.Do(func() { in = f.ConnectionCount() >= 8 })
				return in
			})
			if n := r.FillDescriptors(t, other); n == 0 {
				t.Error("no descriptor is left for attempts")
			}
			addr, calls := listenForCalls(t)
			registry := followDiscovery(t, r, addr)
			for range 3 { // an outage
				testkit.Receive(t, calls).Close()
				testkit.Until(t, "the call has failed", func() (failed bool) {
					r.Do(func() { failed = !registry.watch.calling })
					return failed
				})
				r.Do(func() { registry.watch.open() }) // in place of the pause
			}
			c := testkit.Receive(t, calls)
			io.WriteString(c, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n"))
			testkit.Until(t, "the list is heard", func() (heard bool) {
				r.Do(func() { heard = registry.workers["new"] != nil })
				return heard
			})
		})
	}
}
