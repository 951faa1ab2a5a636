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

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/freshness"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// checkNextCall checks, on the loop, that whatever became of the last call, an answer to
// the next fits into the protocol's bound, counted from the last contact.
func (w *watch) checkNextCall(t *testing.T) {
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
func TestTimeoutsFitNotificationBound(t *testing.T) {
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
func TestReconnectWithinNotificationBound(t *testing.T) {
	common := testkit.NewRig(t)
	endings := map[string]func(*testing.T, discoveryCall){
		"reset": func(_ *testing.T, c discoveryCall) {
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"busy": func(_ *testing.T, c discoveryCall) {
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		},
		"silent":                func(*testing.T, discoveryCall) {},
		"silent after the head": func(_ *testing.T, c discoveryCall) { io.WriteString(c, testkit.WatchHead) },
		"silent midway": func(_ *testing.T, c discoveryCall) {
			io.WriteString(c, testkit.WatchHead+testkit.Chunk("\n")+"20\r\n{\"seq\"")
		},
		"ended": func(_ *testing.T, c discoveryCall) {
			io.WriteString(c, testkit.WatchHead+testkit.Chunk("\n")+"0\r\n\r\n")
		},
		"malformed": func(_ *testing.T, c discoveryCall) { io.WriteString(c, testkit.WatchHead+testkit.Chunk("{]\n")) },
	}
	for name, end := range endings {
		for _, peers := range []int{1, 300, 3000} {
			for _, askWithin := range []time.Duration{0, time.Hour} {
				t.Run(fmt.Sprintf("%s/%d/%v", name, peers, askWithin), func(t *testing.T) {
					t.Parallel()
					r := common.WithSubscription(t, peers, askWithin)
					addr, calls := listenForCalls(t)
					registry := followDiscovery(t, r, addr)
					r.Do(func() { // the first call of a large fleet has its spread
						registry.watch.checkNextCall(t)
						registry.Subscribe()
					})
					end(t, testkit.Receive(t, calls))
					testkit.Until(t, "the call has failed", func() (failed bool) {
						r.Do(func() {
							failed = registry.watch.lastContact > 0 && !registry.watch.calling
							registry.watch.checkNextCall(t)
						})
						return failed || len(calls) > 0
					})
					c := testkit.Receive(t, calls)
					io.WriteString(c, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n"))
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
func TestOutageIsReportedOnce(t *testing.T) {
	for _, peers := range []int{1, 300} {
		r := testkit.NewRig(t).WithSubscription(t, peers, time.Hour)
		addr := refusingAddress(t)
		var reports atomic.Int32
		r.Do(func() {
			r.Dispatcher.Log = func(text string) {
				if strings.Contains(text, "worker list unavailable") {
					reports.Add(1)
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
			r.Do(func() { registry.watch.checkNextCall(t) })
		}
		if n := reports.Load(); n != 1 {
			t.Errorf("%d peers: the module was told %d times, and set as many timers", peers, n)
		}
		r.Do(func() { // the module's timer may have no delay
			registry.watch.fail(errors.New("broken"))
			registry.Subscribe()
			if registry.watch.calling && r.Dispatcher.Loop.Now() < registry.watch.notBefore {
				t.Error("called again without a pause")
			}
			registry.watch.checkNextCall(t)
		})
	}
}

// Discovery moves in the pause after an outage, and the new address is in an
// outage too: what was set for the former one neither delays nor doubles a call.
func TestMoveToAfterOutage(t *testing.T) {
	r := testkit.NewRig(t).WithSubscription(t, 300, time.Hour)
	former, formerCalls := listenForCalls(t)
	next, nextCalls := listenForCalls(t)
	registry := followDiscovery(t, r, former)
	r.Do(func() { registry.Subscribe() }) // without the spread of a large fleet
	testkit.Receive(t, formerCalls).Close()
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
	testkit.Receive(t, nextCalls).Close()
	testkit.Until(t, "the call to the new address has failed", func() (failed bool) {
		r.Do(func() {
			failed = registry.watch.nextCallAt > 0
			registry.watch.checkNextCall(t)
		})
		return failed
	})
	c := testkit.Receive(t, nextCalls)
	if c.query != "watch=1&after=41" {
		t.Errorf("asked for %s", c.query)
	}
	r.Do(func() { registry.Subscribe() }) // a timer of the outage before: the call stands
	io.WriteString(c, testkit.WatchHead+testkit.Chunk(laterSnapshot+"\n"))
	testkit.Until(t, "the list is heard", func() (heard bool) {
		r.Do(func() { heard = registry.workers["new"] != nil && registry.watch.version == 43 })
		return heard
	})
	if len(formerCalls) > 0 {
		t.Error("the former address was called again")
	}
}

// refusingAddress is an address that refuses connections: its port is taken, and nobody listens.
func refusingAddress(t *testing.T) string {
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

// Where lists are pushed, what the agent has counts as told, watch or not: it is
// called at the start, however many dispatchers there are, and again and again
// where it is silent, resets the call or has nothing to say, several times in the
// time that a drain leaves.
func TestAgentIsCalledAgainAfterShortBackoff(t *testing.T) {
	for _, peers := range []int{1, 300} {
		r := testkit.NewRig(t, func(s *decision.Settings) {
			s.Peers, s.ListPollInterval, s.DrainGrace = peers, 10*time.Second, 500*time.Millisecond
		})
		addr, calls := listenForCalls(t)
		var registry *Registry
		r.Do(func() {
			registry = newRegistry(r, addr)
			if err := registry.LoadInitial([]byte(`{"seq":41,"hosts":[{"host":"old","dial":"127.0.0.1:9","health":"ready"}]}`)); err != nil {
				t.Error(err)
			}
		})
		end := time.Now().Add(testkit.Patience)
		for i := range 24 { // to wait for seconds, or twice as long each time, takes far more than that
			c := testkit.Receive(t, calls)
			if time.Now().After(end) {
				t.Fatalf("%d calls in %v", i, testkit.Patience)
			}
			if c.query != "watch=1&after=41" {
				t.Fatalf("call %d: %s", i, c.query)
			}
			switch i % 4 {
			case 0: // silent
			case 1:
				c.Conn.(*net.TCPConn).SetLinger(0)
				c.Close()
			case 2:
				io.WriteString(c, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
			case 3: // silent after the head
				io.WriteString(c, testkit.WatchHead)
			}
		}
		c := testkit.Receive(t, calls)
		for strings.Contains(c.query, "watch") { // the call that stands is the last one
			io.WriteString(c, testkit.WatchHead+testkit.Chunk(`{"seq":43,"whole":true,"hosts":[{"host":"new","dial":"127.0.0.1:9","health":"ready"}]}`+"\n"))
			heard := false
			for end := time.Now().Add(200 * time.Millisecond); !heard && time.Now().Before(end); time.Sleep(time.Millisecond) {
				r.Do(func() {
					heard = registry.workers["new"] != nil && registry.workers["old"] == nil && registry.watch.established
				})
			}
			if heard {
				break
			}
			c = testkit.Receive(t, calls)
		}
	}
}
