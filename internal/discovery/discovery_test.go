package discovery

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/connlimit"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/testkit"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// These tests hold the discovery watch to the protocol's bound: a change counts as
// told 6 s after discovery had it and could be reached, whatever the settings say.

const (
	oldList  = `{"seq":41,"hosts":[{"host":"old","dial":"127.0.0.1:9","health":"ready"}]}`
	newWorld = `{"seq":43,"whole":true,"hosts":[{"host":"new","dial":"127.0.0.1:9","health":"ready"}]}`
)

// follow makes a registry that follows discovery at an address.
func followDiscovery(t *testing.T, r *testkit.Rig, addr string) (registry *Registry) {
	t.Helper()
	r.Do(func() {
		registry = newRegistry(r, addr)
		if err := registry.LoadInitial([]byte(oldList)); err != nil {
			t.Error(err)
		}
	})
	return registry
}

// inTime checks, on the loop, that whatever became of the last call, an answer to
// the next fits into the protocol's bound, counted from the last contact.
func (w *watch) inTime(t *testing.T) {
	t.Helper()
	now := w.registry.dispatcher.Loop.Now()
	switch latest := max(w.lastContact+freshness.NotificationBound-answerTimeout, w.notBefore); {
	case w.calling:
	case w.nextCallAt == 0:
		t.Error("no call is out, and none is to come")
	case w.nextCallAt > latest:
		t.Errorf("the next call comes %v after the last contact", w.nextCallAt-w.lastContact)
	case w.nextCallAt < w.notBefore && w.notBefore > now:
		t.Errorf("the next call comes %v before its time", w.notBefore-w.nextCallAt)
	}
}

// The parts of the bound: a call that is never answered or a watch that falls
// silent, the pause that follows, and the answer to the next call.
func TestTimeoutsFitTheBound(t *testing.T) {
	for _, silence := range []time.Duration{watchCallTimeout, watchLineTimeout} {
		if sum := silence + minBackoff + answerTimeout; sum > freshness.NotificationBound {
			t.Errorf("%v of silence, the least pause and an answer take %v", silence, sum)
		}
	}
	if watchConnectTimeout+answerTimeout > watchCallTimeout+minBackoff+answerTimeout || watchConnectTimeout > watchCallTimeout {
		t.Error("a call may take longer to connect than in all")
	}
}

// However a call ends, and however long the settings let a dispatcher go without
// asking, discovery is called again in time, and heard.
func TestDiscoveryIsHeardInTime(t *testing.T) {
	common := testkit.NewRig(t)
	endings := map[string]func(*testing.T, call){
		"reset": func(_ *testing.T, c call) {
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"busy":                  func(_ *testing.T, c call) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"silent":                func(*testing.T, call) {},
		"silent after the head": func(_ *testing.T, c call) { io.WriteString(c, testkit.WatchHead) },
		"silent midway":         func(_ *testing.T, c call) { io.WriteString(c, testkit.WatchHead+testkit.Chunk("\n")+"20\r\n{\"seq\"") },
		"ended":                 func(_ *testing.T, c call) { io.WriteString(c, testkit.WatchHead+testkit.Chunk("\n")+"0\r\n\r\n") },
		"malformed":             func(_ *testing.T, c call) { io.WriteString(c, testkit.WatchHead+testkit.Chunk("{]\n")) },
	}
	for name, end := range endings {
		for _, peers := range []int{1, 300, 3000} {
			for _, askWithin := range []time.Duration{0, time.Hour} {
				t.Run(fmt.Sprintf("%s/%d/%v", name, peers, askWithin), func(t *testing.T) {
					t.Parallel()
					r := common.WithSubscription(t, peers, askWithin)
					addr, came := calls(t)
					registry := followDiscovery(t, r, addr)
					r.Do(func() { // the first call of a large fleet has its spread
						registry.watch.inTime(t)
						registry.Subscribe()
					})
					end(t, testkit.Receive(t, came))
					testkit.Until(t, "the call has failed", func() (failed bool) {
						r.Do(func() {
							failed = registry.watch.lastContact > 0 && !registry.watch.calling
							registry.watch.inTime(t)
						})
						return failed || len(came) > 0
					})
					c := testkit.Receive(t, came)
					io.WriteString(c, testkit.WatchHead+testkit.Chunk(newWorld+"\n"))
					testkit.Until(t, "the list is heard", func() (heard bool) {
						r.Do(func() { heard = registry.workers["new"] != nil && registry.workers["old"] == nil })
						return heard
					})
				})
			}
		}
	}
}

// In an outage the pauses stay within the bound, and the module is told of no
// second failure before it has asked again: each of its timers would call too.
func TestOutageKeepsToOnePace(t *testing.T) {
	for _, peers := range []int{1, 300} {
		r := testkit.NewRig(t).WithSubscription(t, peers, time.Hour)
		addr := refusing(t)
		var told atomic.Int32
		r.Do(func() {
			r.Dispatcher.Log = func(text string) {
				if strings.Contains(text, "worker list unavailable") {
					told.Add(1)
				}
			}
		})
		registry := followDiscovery(t, r, addr)
		for range 12 {
			r.Do(func() { registry.watch.open() }) // in place of the pause
			testkit.Until(t, "the call is refused", func() (failed bool) {
				r.Do(func() { failed = !registry.watch.calling })
				return failed
			})
			r.Do(func() { registry.watch.inTime(t) })
		}
		if n := told.Load(); n != 1 {
			t.Errorf("%d peers: the module was told %d times, and set as many timers", peers, n)
		}
		r.Do(func() { // the module's timer may have no delay
			registry.watch.fail(errors.New("broken"))
			registry.Subscribe()
			if registry.watch.calling && r.Dispatcher.Loop.Now() < registry.watch.notBefore {
				t.Error("called again without a pause")
			}
			registry.watch.inTime(t)
		})
	}
}

// Discovery moves in the pause after an outage, and the new address is in an
// outage too: what was set for the former one neither delays nor doubles a call.
func TestMoveAfterAnOutage(t *testing.T) {
	r := testkit.NewRig(t).WithSubscription(t, 300, time.Hour)
	former, came := calls(t)
	next, moved := calls(t)
	registry := followDiscovery(t, r, former)
	r.Do(func() { registry.Subscribe() }) // without the spread of a large fleet
	testkit.Receive(t, came).Close()
	testkit.Until(t, "the call has failed", func() (failed bool) {
		r.Do(func() { failed = registry.watch.nextCallAt > 0 })
		return failed
	})
	r.Do(func() {
		registry.MoveTo(next)
		if !registry.watch.calling || registry.watch.nextCallAt != 0 {
			t.Error("the new address is not called at once, or twice")
		}
	})
	testkit.Receive(t, moved).Close()
	testkit.Until(t, "the call to the new address has failed", func() (failed bool) {
		r.Do(func() {
			failed = registry.watch.nextCallAt > 0
			registry.watch.inTime(t)
		})
		return failed
	})
	c := testkit.Receive(t, moved)
	if c.query != "watch=1&after=41" {
		t.Errorf("asked for %s", c.query)
	}
	r.Do(func() { registry.Subscribe() }) // a timer of the outage before: the call stands
	io.WriteString(c, testkit.WatchHead+testkit.Chunk(newWorld+"\n"))
	testkit.Until(t, "the list is heard", func() (heard bool) {
		r.Do(func() { heard = registry.workers["new"] != nil && registry.watch.version == 43 })
		return heard
	})
	if len(came) > 0 {
		t.Error("the former address was called again")
	}
}

// refusing is an address that refuses connections: its port is taken, and nobody listens.
func refusing(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// small makes a rig whose engine has few descriptors, with a guard or without.
func small(t *testing.T, guarded bool) (r *testkit.Rig, f *httpfront.FrontEnd, addr string) {
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
func TestDiscoveryHasItsDescriptor(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		t.Run(fmt.Sprint("guarded ", guarded), func(t *testing.T) {
			r, f, front := small(t, guarded)
			other, _ := calls(t) // takes connections and says nothing
			for range 100 {      // idle clients
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
			addr, came := calls(t)
			registry := followDiscovery(t, r, addr)
			for range 3 { // an outage
				testkit.Receive(t, came).Close()
				testkit.Until(t, "the call has failed", func() (failed bool) {
					r.Do(func() { failed = !registry.watch.calling })
					return failed
				})
				r.Do(func() { registry.watch.open() }) // in place of the pause
			}
			c := testkit.Receive(t, came)
			io.WriteString(c, testkit.WatchHead+testkit.Chunk(newWorld+"\n"))
			testkit.Until(t, "the list is heard", func() (heard bool) {
				r.Do(func() { heard = registry.workers["new"] != nil })
				return heard
			})
		})
	}
}

// A line that cannot be read tells nothing: the list is as old as before.
func TestMalformedLineRenewsNothing(t *testing.T) {
	for name, bad := range map[string]string{"no JSON": "{]\n", "a host without a name": `{"seq":44,"hosts":[{"host":"","health":"ready"}]}` + "\n"} {
		t.Run(name, func(t *testing.T) {
			r := testkit.NewRig(t).WithSubscription(t, 1, time.Hour)
			addr, came := calls(t)
			registry := followDiscovery(t, r, addr)
			c := testkit.Receive(t, came)
			io.WriteString(c, testkit.WatchHead+testkit.Chunk(newWorld+"\n"))
			heardAt := time.Duration(0)
			testkit.Until(t, "the list is heard", func() (heard bool) {
				r.Do(func() { heard, heardAt = registry.workers["new"] != nil, registry.tracker.ConfirmedAt() })
				return heard
			})
			io.WriteString(c, testkit.Chunk(bad))
			testkit.Until(t, "the line is refused", func() (refused bool) {
				r.Do(func() { refused = registry.watch.conn == nil || registry.watch.generation > 2 })
				return refused
			})
			r.Do(func() {
				if registry.tracker.ConfirmedAt() != heardAt {
					t.Errorf("heard at %v, not at %v", registry.tracker.ConfirmedAt(), heardAt)
				}
			})
		})
	}
}

// stubClient is a worker client without connections: the tests are about the registry's list alone.
type stubClient struct{ registry *Registry }

func (stubClient) Start(dispatch.Attempt) {}
func (stubClient) Cancel(uint64) bool     { return true }
func (stubClient) CloseIdle(string)       {}
func (stubClient) CheckHealth(string)     {}
func (c stubClient) Subscribe()           { c.registry.Subscribe() }
func (c stubClient) Refresh()             { c.registry.Refresh() }
func (stubClient) WorkerLeaving(*Worker)  {}
func (stubClient) CloseIdleTo(*Worker)    {}
func (stubClient) CloseAllIdle()          {}

// newRegistry returns a registry that follows discovery at addr for a worker client without connections.
func newRegistry(r *testkit.Rig, addr string) *Registry {
	registry := New(r.Dispatcher, r.Engine, addr)
	client := stubClient{registry}
	registry.Attach(client)
	r.Dispatcher.AddSource(client)
	return registry
}
