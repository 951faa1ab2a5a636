package platform

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
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// These tests hold the discovery watch to the protocol's bound: a change counts as
// told 6 s after discovery had it and could be reached, whatever the settings say.

const (
	oldList  = `{"seq":41,"hosts":[{"host":"old","dial":"127.0.0.1:9","health":"ready"}]}`
	newWorld = `{"seq":43,"whole":true,"hosts":[{"host":"new","dial":"127.0.0.1:9","health":"ready"}]}`
)

// asking makes a rig, on the loop and the engine of r, of a fleet that asks for its list.
func (r *rig) asking(t *testing.T, peers int, askWithin time.Duration) *rig {
	t.Helper()
	s := r.core.Settings
	s.ListBySubscription, s.Peers, s.ListPollInterval = true, peers, askWithin
	c, err := dispatch.New(r.core.Loop, s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &rig{c, r.engine}
}

// follow makes a registry that follows discovery at an address.
func (r *rig) follow(t *testing.T, addr string) (b *Registry) {
	t.Helper()
	r.do(func() {
		b = r.workerClient(addr).registry
		if err := b.Known([]byte(oldList)); err != nil {
			t.Error(err)
		}
	})
	return b
}

// inTime checks, on the loop, that whatever became of the last call, an answer to
// the next fits into the protocol's bound, counted from the last contact.
func (w *watch) inTime(t *testing.T) {
	t.Helper()
	now := w.set.core.Loop.Now()
	switch latest := max(w.lastContact+notifiedWithin-answerWithin, w.notBefore); {
	case w.out:
	case w.nextAt == 0:
		t.Error("no call is out, and none is to come")
	case w.nextAt > latest:
		t.Errorf("the next call comes %v after the last contact", w.nextAt-w.lastContact)
	case w.nextAt < w.notBefore && w.notBefore > now:
		t.Errorf("the next call comes %v before its time", w.notBefore-w.nextAt)
	}
}

// The parts of the bound: a call that is never answered or a watch that falls
// silent, the pause that follows, and the answer to the next call.
func TestTimeoutsFitTheBound(t *testing.T) {
	for _, silence := range []time.Duration{watchCall, watchLine} {
		if sum := silence + leastPause + answerWithin; sum > notifiedWithin {
			t.Errorf("%v of silence, the least pause and an answer take %v", silence, sum)
		}
	}
	if watchConnect+answerWithin > watchCall+leastPause+answerWithin || watchConnect > watchCall {
		t.Error("a call may take longer to connect than in all")
	}
}

// However a call ends, and however long the settings let a dispatcher go without
// asking, discovery is called again in time, and heard.
func TestDiscoveryIsHeardInTime(t *testing.T) {
	common := newRig(t)
	endings := map[string]func(*testing.T, call){
		"reset": func(_ *testing.T, c call) {
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"busy":                  func(_ *testing.T, c call) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"silent":                func(*testing.T, call) {},
		"silent after the head": func(_ *testing.T, c call) { io.WriteString(c, watchHead) },
		"silent midway":         func(_ *testing.T, c call) { io.WriteString(c, watchHead+chunk("\n")+"20\r\n{\"seq\"") },
		"ended":                 func(_ *testing.T, c call) { io.WriteString(c, watchHead+chunk("\n")+"0\r\n\r\n") },
		"malformed":             func(_ *testing.T, c call) { io.WriteString(c, watchHead+chunk("{]\n")) },
	}
	for name, end := range endings {
		for _, peers := range []int{1, 300, 3000} {
			for _, askWithin := range []time.Duration{0, time.Hour} {
				t.Run(fmt.Sprintf("%s/%d/%v", name, peers, askWithin), func(t *testing.T) {
					t.Parallel()
					r := common.asking(t, peers, askWithin)
					addr, came := calls(t)
					b := r.follow(t, addr)
					r.do(func() { // the first call of a large fleet has its spread
						b.watch.inTime(t)
						b.Subscribe()
					})
					end(t, receive(t, came))
					until(t, "the call has failed", func() (failed bool) {
						r.do(func() {
							failed = b.watch.lastContact > 0 && !b.watch.out
							b.watch.inTime(t)
						})
						return failed || len(came) > 0
					})
					c := receive(t, came)
					io.WriteString(c, watchHead+chunk(newWorld+"\n"))
					until(t, "the list is heard", func() (heard bool) {
						r.do(func() { heard = b.hosts["new"] != nil && b.hosts["old"] == nil })
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
		r := newRig(t).asking(t, peers, time.Hour)
		addr := refusing(t)
		var told atomic.Int32
		r.do(func() {
			r.core.Log = func(text string) {
				if strings.Contains(text, "worker list unavailable") {
					told.Add(1)
				}
			}
		})
		b := r.follow(t, addr)
		for range 12 {
			r.do(func() { b.watch.open() }) // in place of the pause
			until(t, "the call is refused", func() (failed bool) {
				r.do(func() { failed = !b.watch.out })
				return failed
			})
			r.do(func() { b.watch.inTime(t) })
		}
		if n := told.Load(); n != 1 {
			t.Errorf("%d peers: the module was told %d times, and set as many timers", peers, n)
		}
		r.do(func() { // the module's timer may have no delay
			b.watch.fail(errors.New("broken"))
			b.Subscribe()
			if b.watch.out && r.core.Loop.Now() < b.watch.notBefore {
				t.Error("called again without a pause")
			}
			b.watch.inTime(t)
		})
	}
}

// Discovery moves in the pause after an outage, and the new address is in an
// outage too: what was set for the former one neither delays nor doubles a call.
func TestMoveAfterAnOutage(t *testing.T) {
	r := newRig(t).asking(t, 300, time.Hour)
	former, came := calls(t)
	next, moved := calls(t)
	b := r.follow(t, former)
	r.do(func() { b.Subscribe() }) // without the spread of a large fleet
	receive(t, came).Close()
	until(t, "the call has failed", func() (failed bool) {
		r.do(func() { failed = b.watch.nextAt > 0 })
		return failed
	})
	r.do(func() {
		b.Move(next)
		if !b.watch.out || b.watch.nextAt != 0 {
			t.Error("the new address is not called at once, or twice")
		}
	})
	receive(t, moved).Close()
	until(t, "the call to the new address has failed", func() (failed bool) {
		r.do(func() {
			failed = b.watch.nextAt > 0
			b.watch.inTime(t)
		})
		return failed
	})
	c := receive(t, moved)
	if c.query != "watch=1&after=41" {
		t.Errorf("asked for %s", c.query)
	}
	r.do(func() { b.Subscribe() }) // a timer of the outage before: the call stands
	io.WriteString(c, watchHead+chunk(newWorld+"\n"))
	until(t, "the list is heard", func() (heard bool) {
		r.do(func() { heard = b.hosts["new"] != nil && b.watch.seq == 43 })
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
func small(t *testing.T, guarded bool) (r *rig, f *Front, addr string) {
	t.Helper()
	const descriptors = 64
	r = newRig(t).asking(t, 1, 10*time.Second)
	engine, err := transport.NewEngine(r.core.Loop, descriptors)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.StopListening)
	r.engine = engine
	r.do(func() {
		f = NewFront(r.core, engine, 64<<20, func() bool { return true })
		if guarded {
			usable := transport.ConnectionDescriptors(descriptors)
			e, err := listener.New(r.core.Loop, engine, listener.Config{
				Limits:           connlimit.Config{Capacity: usable, Address: connlimit.Limits{Open: usable, PerSecond: 1e6}, Prefix: connlimit.Limits{Open: usable}},
				DescriptorFloors: [connlimit.DescriptorKinds]int{connlimit.ClientConnections: 8, connlimit.WorkerConnections: 4, connlimit.DiscoveryConnections: 2},
				Watermarks:       connlimit.Watermarks{Low: 0.8, High: 0.9, Critical: 0.97, Back: 0.05},
			}, usable, nil)
			if err != nil {
				t.Error(err)
				return
			}
			f.Use(e)
		}
		addr, err = f.Listen("127.0.0.1:0", transport.AcceptedShare(descriptors))
		if err != nil {
			t.Error(err)
		}
	})
	return r, f, addr
}

// fill takes the descriptors that attempts may have, and returns how many those are.
func (r *rig) fill(t *testing.T, addr string) (n int) {
	t.Helper()
	for {
		got := make(chan error, 1)
		r.do(func() {
			r.engine.Dial(addr, patience, nil, func(_ *transport.Conn, err error) { got <- err })
		})
		if err := receive(t, got); err != nil {
			return n
		}
		n++
	}
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
			until(t, "the clients have come in", func() (in bool) {
				r.do(func() { in = f.Sessions() >= 8 })
				return in
			})
			if n := r.fill(t, other); n == 0 {
				t.Error("no descriptor is left for attempts")
			}
			addr, came := calls(t)
			b := r.follow(t, addr)
			for range 3 { // an outage
				receive(t, came).Close()
				until(t, "the call has failed", func() (failed bool) {
					r.do(func() { failed = !b.watch.out })
					return failed
				})
				r.do(func() { b.watch.open() }) // in place of the pause
			}
			c := receive(t, came)
			io.WriteString(c, watchHead+chunk(newWorld+"\n"))
			until(t, "the list is heard", func() (heard bool) {
				r.do(func() { heard = b.hosts["new"] != nil })
				return heard
			})
		})
	}
}

// An attempt for which no descriptor is free, since connections rest at another
// worker, goes out once those are closed: a shortage here says nothing of the
// worker, and must not end the attempt.
func TestAttemptWaitsForADescriptor(t *testing.T) {
	r, _, _ := small(t, false)
	other, own := newStand(t), newStand(t)
	const load = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"x0\":1.5}"
	most := 64 - 24 - transport.AcceptedShare(64) // for connections that we open
	other.mu.Lock()
	for range most {
		other.scripts = append(other.scripts, load)
	}
	other.mu.Unlock()
	own.mu.Lock()
	own.scripts = []string{chunked(done)}
	own.mu.Unlock()
	var b *Backends
	r.do(func() {
		b = r.workerClient("")
		if err := b.registry.Known(fmt.Appendf(nil, `{"hosts":[{"host":"other","dial":%q,"health":"draining"},{"host":"own","dial":%q,"health":"ready"}]}`,
			other.ln.Addr(), own.ln.Addr())); err != nil {
			t.Error(err)
		}
		for range most {
			b.CheckHealth("other")
		}
	})
	until(t, "all connections rest", func() (full bool) {
		r.do(func() { full = len(b.idle[b.registry.hosts["other"]]) == most })
		return full
	})
	if n := r.fill(t, own.ln.Addr().String()); n != 0 {
		t.Fatalf("%d descriptors were free", n)
	}
	if v := verdict(t, r.take(1, "id000001")); v != dispatch.Served {
		t.Errorf("the request ended as %v", v)
	}
}

// A line that cannot be read tells nothing: the list is as old as before.
func TestMalformedLineRenewsNothing(t *testing.T) {
	for name, bad := range map[string]string{"no JSON": "{]\n", "a host without a name": `{"seq":44,"hosts":[{"host":"","health":"ready"}]}` + "\n"} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t).asking(t, 1, time.Hour)
			addr, came := calls(t)
			b := r.follow(t, addr)
			c := receive(t, came)
			io.WriteString(c, watchHead+chunk(newWorld+"\n"))
			heardAt := time.Duration(0)
			until(t, "the list is heard", func() (heard bool) {
				r.do(func() { heard, heardAt = b.hosts["new"] != nil, b.age.ConfirmedAt() })
				return heard
			})
			io.WriteString(c, chunk(bad))
			until(t, "the line is refused", func() (refused bool) {
				r.do(func() { refused = b.watch.conn == nil || b.watch.generation > 2 })
				return refused
			})
			r.do(func() {
				if b.age.ConfirmedAt() != heardAt {
					t.Errorf("heard at %v, not at %v", b.age.ConfirmedAt(), heardAt)
				}
			})
		})
	}
}
