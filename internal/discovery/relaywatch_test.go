package discovery

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/membership"
	"hollyyoke.example/hollyyoke/internal/testkit"
)

// These tests play the servers of changes on sockets of their own, request by
// request and where it matters byte by byte.

// server is a server of changes that answers nothing by itself.
type server struct {
	t    *testing.T
	addr string
	ln   net.Listener
	came chan request

	mu    sync.Mutex
	conns []net.Conn
}

// request is one call that has come.
type request struct {
	net.Conn
	query string
	gzip  bool
}

// serverHost is an address of the loopback network that this process has to
// itself: a port of a server that is down must be free when it comes back.
var serverHost = fmt.Sprintf("127.88.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)

func newServer(t *testing.T) *server {
	t.Helper()
	ln, err := net.Listen("tcp", serverHost+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, addr: ln.Addr().String(), ln: ln, came: make(chan request, 1000)}
	t.Cleanup(s.die)
	go s.accept(ln)
	return s
}

func (s *server) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.came <- request{conn, r.URL.RawQuery, r.Header.Get("Accept-Encoding") == "gzip"}
	}
}

// die resets all connections and refuses new ones.
func (s *server) die() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// revive listens again on the same address.
func (s *server) revive() {
	s.t.Helper()
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.ln = ln
	go s.accept(ln)
}

// expect waits for a call with that query.
func (s *server) expect(query string) request {
	s.t.Helper()
	r := testkit.Receive(s.t, s.came)
	if r.query != query {
		s.t.Fatalf("the call is %q, not %q", r.query, query)
	}
	if r.gzip == strings.HasPrefix(query, "watch") {
		s.t.Errorf("%q asks for gzip: %v", query, r.gzip)
	}
	return r
}

// answer answers a call with a body.
func (r request) answer(text string) {
	fmt.Fprintf(r, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// compressed answers a call with a gzip body.
func (r request) compressed(text string) {
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	io.WriteString(w, text)
	w.Close()
	fmt.Fprintf(r, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", body.Len(), body.Bytes())
}

func (r request) unavailable() {
	io.WriteString(r, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// open begins the answer to a watch.
func (r request) open() { io.WriteString(r, testkit.WatchHead) }

// tell sends a line of a watch.
func (r request) tell(text string) { io.WriteString(r, testkit.Chunk(text+"\n")) }

// state is an object of a server: hosts as name=health.
func state(version int, whole bool, hosts ...string) string {
	var list []string
	for _, text := range hosts {
		name, health, _ := strings.Cut(text, "=")
		list = append(list, fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:9","health":%q}`, name, health))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, whole, strings.Join(list, ","))
}

// subject is a dispatcher that follows servers.
type subject struct {
	*testkit.Rig
	t        *testing.T
	registry *Registry

	mu      sync.Mutex
	lines   []string // of the log
	applied []membership.Version
}

const subjectZone = "near"

// follow starts a dispatcher that follows the first servers as those of its zone
// and the last ones, as many as are far, as those of another.
func follow(t *testing.T, far int, servers ...*server) *subject {
	t.Helper()
	s := &subject{Rig: testkit.NewRig(t, func(s *decision.Settings) { s.DrainGrace = 500 * time.Millisecond }), t: t}
	s.Do(func() {
		s.Dispatcher.Log = func(text string) {
			s.mu.Lock()
			s.lines = append(s.lines, text)
			s.mu.Unlock()
		}
		s.registry = newRegistry(s.Rig, "")
		s.registry.OnVersionApplied = func(v membership.Version) {
			s.mu.Lock()
			s.applied = append(s.applied, v)
			s.mu.Unlock()
		}
		s.registry.Follow(s.config(far, servers...))
	})
	return s
}

func (s *subject) config(far int, servers ...*server) FollowConfig {
	config := FollowConfig{Name: "d 1", Zone: subjectZone, Acknowledge: 10 * time.Millisecond, Seed: 1}
	for i, server := range servers {
		zone := subjectZone
		if i >= len(servers)-far {
			zone = fmt.Sprintf("far%d", i)
		}
		config.Servers = append(config.Servers, membership.Server{Zone: zone, Address: server.addr})
	}
	return config
}

// known starts it from a list.
func (s *subject) known(list string) *subject {
	s.t.Helper()
	s.Do(func() {
		if err := s.registry.LoadInitial([]byte(list)); err != nil {
			s.t.Error(err)
		}
	})
	return s
}

// hosts is what is listed, as name=health, in order.
func (s *subject) hosts() string {
	var list []string
	s.Do(func() {
		for name, b := range s.registry.workers {
			health := map[decision.WorkerState]string{decision.Running: "ready", decision.Draining: "draining"}[b.State]
			list = append(list, name+"="+health)
		}
	})
	slices.Sort(list)
	return strings.Join(list, " ")
}

func (s *subject) version() (v membership.Version) {
	s.Do(func() { v = s.registry.follower.version })
	return v
}

func (s *subject) stats() (stats Stats) {
	s.Do(func() { stats = s.registry.Stats() })
	return stats
}

// reaches waits for a version to be in force, and checks what is listed then.
func (s *subject) reaches(v membership.Version, hosts string) {
	s.t.Helper()
	testkit.Until(s.t, fmt.Sprintf("version %d is in force", v), func() bool { return s.version() >= v })
	if got, now := s.hosts(), s.version(); now != v || got != hosts {
		s.t.Fatalf("version %d: %s; want %d: %s", now, got, v, hosts)
	}
}

// follows waits until a server is in use.
func (s *subject) follows(server *server) {
	s.t.Helper()
	testkit.Until(s.t, server.addr+" is followed", func() bool { return s.stats().Server == server.addr })
}

// logged counts the lines of the log that hold a text.
func (s *subject) logged(text string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

const (
	callFrom  = "after=%d&name=d+1"
	watchFrom = "watch=1&after=%d&name=d+1"
)

// serveFirst answers the first call and opens the watch.
func (s *server) serveFirst(from int, object string, version int) request {
	s.t.Helper()
	s.expect(fmt.Sprintf(callFrom, from)).answer(object)
	watch := s.expect(fmt.Sprintf(watchFrom, version))
	watch.open()
	return watch
}

// The plain course: a compressed or plain snapshot, deltas on the watch, and an
// acknowledgement after each, on the connection that is kept.
func TestFollow(t *testing.T) {
	for _, compressed := range []bool{true, false} {
		home := newServer(t)
		s := follow(t, 0, home).known(``)
		first := home.expect("after=0&name=d+1")
		if text := state(7, true, "a=ready", "b=ready"); compressed {
			first.compressed(text)
		} else {
			first.answer(text)
		}
		watch := home.expect("watch=1&after=7&name=d+1")
		watch.open()
		s.reaches(7, "a=ready b=ready")
		ack := home.expect("after=7&name=d+1")
		if ack.Conn != first.Conn {
			t.Error("the acknowledgement has a connection of its own")
		}
		ack.answer(state(7, false))
		watch.tell(state(9, false, "a=draining", "c=ready"))
		s.reaches(9, "a=draining b=ready c=ready")
		home.expect("after=9&name=d+1").answer(state(10, false, "b=gone")) // what the watch has missed
		s.reaches(10, "a=draining c=ready")
		watch.tell(state(10, false, "b=gone")) // and now tells
		watch.tell(state(11, false, "a=gone"))
		s.reaches(11, "c=ready")
		testkit.Until(t, "version 11 is acknowledged", func() bool {
			r := testkit.Receive(t, home.came)
			r.answer(state(11, false))
			return r.query == "after=11&name=d+1"
		})
		testkit.Until(t, "its answer has come", func() bool { return s.stats().Acknowledged >= 3 })
		stats := s.stats()
		if stats.Applied != 4 || stats.Snapshots != 1 || stats.Deltas != 3 || stats.Refused != 0 || stats.Failovers != 0 ||
			stats.BytesRead < 500 || stats.BytesWritten < 100 || stats.Version != 11 {
			t.Errorf("%+v", stats)
		}
		s.mu.Lock()
		if want := []membership.Version{7, 9, 10, 11}; !slices.Equal(s.applied, want) {
			t.Errorf("applied %v, want %v", s.applied, want)
		}
		s.mu.Unlock()
	}
}

// A server that has nothing for versions that it is told is not asked for a
// snapshot again and again.
func TestNoAcknowledgementWhereItCostsASnapshot(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	watch := home.serveFirst(0, state(1, true, "a=ready"), 1)
	home.expect("after=1&name=d+1").answer(state(1, true, "a=ready"))
	for v := 2; v < 6; v++ {
		watch.tell(state(v, false, fmt.Sprintf("b%d=ready", v)))
		s.reaches(membership.Version(v), "a=ready "+strings.Join([]string{"b2=ready", "b3=ready", "b4=ready", "b5=ready"}[:v-1], " "))
	}
	s.Do(func() {
		if f := s.registry.follower; !f.current.ignoresAfter || f.ackPending {
			t.Error("it is called again")
		}
	})
}

// A server dies in the middle of a change: none of it is in force, and the next
// server is asked from the version in force.
func TestServerDiesInTheMiddleOfAChange(t *testing.T) {
	home, other := newServer(t), newServer(t)
	s := follow(t, 1, home, other).known(``)
	watch := home.serveFirst(0, state(5, true, "a=ready", "b=ready"), 5)
	s.reaches(5, "a=ready b=ready")
	text := testkit.Chunk(state(6, false, "a=gone", "b=draining") + "\n")
	release := s.BlockLoop()
	s.Write(t, watch, text[:len(text)-8])
	release()
	s.Do(func() {}) // it has been read
	if got := s.hosts(); got != "a=ready b=ready" {
		t.Fatalf("half of a change is in force: %s", got)
	}
	home.die()
	other.serveFirst(5, state(6, false, "a=gone", "b=draining"), 6)
	s.reaches(6, "b=draining")
	s.follows(other)
	if stats := s.stats(); stats.Failovers != 1 {
		t.Errorf("%d failovers", stats.Failovers)
	}
}

// A server that is behind never takes the version in force back: it is passed
// over, whether it says so by a status, by an older version on its first call or
// by one on its watch.
func TestServersThatAreBehind(t *testing.T) {
	old := state(3, true, "old=ready")
	for name, behind := range map[string]func(*server){
		"a status":       func(s *server) { s.expect("after=5&name=d+1").unavailable() },
		"older snapshot": func(s *server) { s.expect("after=5&name=d+1").answer(old) },
		"older delta":    func(s *server) { s.expect("after=5&name=d+1").compressed(state(4, false)) },
		"older watch": func(s *server) {
			watch := s.serveFirst(5, state(5, false), 5)
			watch.tell(old)
		},
	} {
		t.Run(name, func(t *testing.T) {
			home, second, third := newServer(t), newServer(t), newServer(t)
			s := follow(t, 2, home, second, third).known(``)
			home.serveFirst(0, state(5, true, "a=ready"), 5)
			s.follows(home)
			home.die()
			next, last := second, third
			var first request
			select {
			case first = <-second.came:
			case first = <-third.came:
				next, last = third, second
			case <-time.After(testkit.Patience):
				t.Fatal("no server is asked")
			}
			next.came <- first
			behind(next)
			last.serveFirst(5, state(6, false, "b=ready"), 6)
			s.reaches(6, "a=ready b=ready")
			s.follows(last)
		})
	}
}

// The successor of a server comes back with an older version than it had.
func TestSuccessorWithAnOlderVersion(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	home.serveFirst(0, state(8, true, "a=ready", "b=ready"), 8)
	s.reaches(8, "a=ready b=ready")
	home.die()
	home.revive()
	for {
		r := testkit.Receive(t, home.came)
		if r.query != "after=8&name=d+1" { // an acknowledgement to the former one
			continue
		}
		r.answer(state(2, true, "old=ready"))
		break
	}
	home.expect("after=8&name=d+1").answer(state(3, true, "old=ready"))
	if got := s.hosts(); s.version() != 8 || got != "a=ready b=ready" {
		t.Fatalf("version %d: %s", s.version(), got)
	}
	home.serveFirst(8, state(9, false, "b=gone"), 9)
	s.reaches(9, "a=ready")
}

// A watch that falls silent is left for the next server, one that trickles is not.
func TestSilentWatch(t *testing.T) {
	home, other := newServer(t), newServer(t)
	s := follow(t, 1, home, other).known(``)
	watch := home.serveFirst(0, state(5, true, "a=ready"), 5)
	s.follows(home)
	text := testkit.Chunk(state(6, false, "b=ready") + "\n")
	watch.tell("")
	s.Do(func() { s.registry.follower.current.watch.expire() }) // its time is up
	other.serveFirst(5, state(7, false, "c=ready"), 7)
	s.reaches(7, "a=ready c=ready")
	io.WriteString(watch, text) // too late
	s.follows(other)
}

// In the very turn in which a watch's time is up, bytes of it are here.
func TestSilenceIsOverAsALineComes(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	watch := home.serveFirst(0, state(5, true, "a=ready"), 5)
	s.follows(home)
	release := s.BlockLoop()
	s.Dispatcher.Loop.Post(func() { s.registry.follower.current.watch.expire() })
	s.Write(t, watch, testkit.Chunk(state(6, false, "a=draining")+"\n"))
	release()
	s.reaches(6, "a=draining")
	if n := s.logged("silent"); n != 0 {
		t.Error("the watch counts as silent")
	}
}

// A large snapshot that comes byte by byte is neither given up nor in force before
// its end.
func TestSnapshotByteByByte(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprintf("w%04d=ready", i))
	}
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	io.WriteString(w, state(5, true, names...))
	w.Close()
	first := home.expect("after=0&name=d+1")
	fmt.Fprintf(first, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", body.Len())
	raw := body.Bytes()
	for i := range raw {
		if i == len(raw)-1 {
			if got := s.hosts(); got != "" {
				t.Fatal("a part of the snapshot is in force: ", got)
			}
		}
		first.Write(raw[i : i+1])
	}
	home.expect("watch=1&after=5&name=d+1").open()
	s.reaches(5, strings.Join(names, " "))
}

// The same in chunks, and a delta byte by byte on the watch.
func TestChunkedSnapshotAndDeltaByteByByte(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	first := home.expect("after=0&name=d+1")
	io.WriteString(first, testkit.WatchHead)
	text := state(5, true, "a=ready")
	for i := range text {
		io.WriteString(first, testkit.Chunk(text[i:i+1]))
	}
	io.WriteString(first, "0\r\n\r\n")
	watch := home.expect("watch=1&after=5&name=d+1")
	watch.open()
	s.reaches(5, "a=ready")
	for _, b := range []byte(testkit.Chunk(state(6, false, "a=draining", "b=ready") + "\n")) {
		watch.Write([]byte{b})
	}
	s.reaches(6, "a=draining b=ready")
}

// An answer that inflates to more than the bound, has more bytes than that as it
// is sent, or more elements, is refused, and the next server is asked.
func TestAnswersBeyondTheirBounds(t *testing.T) {
	bomb := func(text string, unit string, size int) []byte {
		var body bytes.Buffer
		w := gzip.NewWriter(&body)
		io.WriteString(w, text)
		piece := strings.Repeat(unit, 1<<20/len(unit))
		for n := 0; n <= size; n += len(piece) {
			io.WriteString(w, piece)
		}
		w.Close()
		return body.Bytes()
	}
	for name, x := range map[string]struct {
		body []byte
		why  error
	}{
		"white space": {bomb(`{"seq":9,"whole":true,`, " ", mostInflated), errInflated},
		"elements":    {bomb(`{"seq":9,"whole":true,"hosts":[`, "{},", mostElements*3), errElements},
	} {
		t.Run(name, func(t *testing.T) {
			home, other := newServer(t), newServer(t)
			s := follow(t, 1, home, other).known(``)
			first := home.expect("after=0&name=d+1")
			fmt.Fprintf(first, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", len(x.body))
			first.Write(x.body)
			other.serveFirst(0, state(5, true, "a=ready"), 5)
			s.reaches(5, "a=ready")
			if s.logged(x.why.Error()) != 1 {
				t.Errorf("the log does not say %q", x.why)
			}
		})
	}
	var g gathered
	var err error
	for range mostGathered>>20 + 1 {
		if err = errors.Join(err, g.add(make([]byte, 1<<20), 0)); err != nil {
			break
		}
	}
	if !errors.Is(err, errGathered) || len(g.bytes) > mostGathered {
		t.Errorf("%d bytes are gathered, %v", len(g.bytes), err)
	}
}

// A change of which any part is wrong is refused whole with one line that names
// the field; what was in force stays, and the next good one applies.
func TestBadChangeIsRefusedWhole(t *testing.T) {
	good := `{"host":"a","dial":"127.0.0.1:9","health":"draining"}`
	for field, object := range map[string]string{
		"hosts[1].health: unknown value":                          good + `,{"host":"b","dial":"127.0.0.1:9","health":"asleep"}`,
		"hosts[1].dial":                                           good + `,{"host":"b","dial":"nowhere","health":"ready"}`,
		"hosts[1].host is empty":                                  good + `,{"dial":"127.0.0.1:9","health":"ready"}`,
		"hosts[1].block: a string cannot stand here":              good + `,{"host":"b","block":"7"}`,
		"limits.max_attempts":                                     good + `],"settings":[{"key":"over_share_worth","value":2},{"key":"limits.max_attempts","value":3}`,
		"settings[0].key: a number cannot stand here":             good + `],"settings":[{"key":7}`,
		"hosts[0].health: unknown value \"asleep\"; version 5 st": `{"host":"a","dial":"127.0.0.1:9","health":"asleep"},` + good,
	} {
		t.Run(field, func(t *testing.T) {
			home := newServer(t)
			s := follow(t, 0, home).known(``)
			s.Do(func() { s.registry.applySettings = onlyWorth(nil) })
			watch := home.serveFirst(0, state(5, true, "a=ready"), 5)
			watch.tell(`{"seq":6,"whole":false,"hosts":[` + object + `]}`)
			testkit.Until(t, "it is refused", func() bool { return s.stats().Refused == 1 })
			if got := s.hosts(); s.version() != 5 || got != "a=ready" {
				t.Errorf("version %d: %s", s.version(), got)
			}
			watch.tell(state(7, false, "c=ready"))
			s.reaches(7, "a=ready c=ready")
			s.follows(home)
			if n := s.logged("is refused whole"); n != 1 || s.logged(field) != 1 {
				t.Errorf("%d lines, %d name the field: %q", n, s.logged(field), s.lines)
			}
		})
	}
}

// Settings of a change come into force in the core, and one that may not change
// while the program runs refuses the whole change.
func TestSettingsReachTheCore(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	watch := home.serveFirst(0, state(5, true, "a=ready"), 5)
	watch.tell(`{"seq":6,"whole":false,"hosts":[],"settings":[{"key":"over_share_worth","value":0.25}]}`)
	s.reaches(6, "a=ready")
	watch.tell(`{"seq":7,"whole":false,"hosts":[{"host":"a","health":"gone"}],"settings":[{"key":"over_share_worth","value":0.5},{"key":"limits.max_attempts","value":9}]}`)
	testkit.Until(t, "it is refused", func() bool { return s.stats().Refused == 1 })
	s.Do(func() {
		if worth := s.Dispatcher.Settings.OverQuotaWeight; worth != 0.25 {
			t.Errorf("the worth is %v", worth)
		}
	})
	if got := s.hosts(); s.version() != 6 || got != "a=ready" || s.logged("limits.max_attempts") != 1 {
		t.Errorf("version %d: %s; %q", s.version(), got, s.lines)
	}
}

// onlyWorth takes changes of one setting, all or none, and tells them.
func onlyWorth(told func()) func([]setting) error {
	return func(changes []setting) error {
		for i, c := range changes {
			if c.Key != "over_share_worth" {
				return fmt.Errorf("settings[%d]: %s cannot change while the program runs", i, c.Key)
			}
		}
		if told != nil {
			told()
		}
		return nil
	}
}

// Two servers of the zone, one behind: the other one's version is in force.
func TestTwoServersOneBehind(t *testing.T) {
	one, two := newServer(t), newServer(t)
	s := follow(t, 0, one, two)
	s.known(`{"seq":40,"settings":[],"hosts":[{"host":"k","dial":"127.0.0.1:9","health":"ready"}]}`)
	for range 2 {
		select {
		case r := <-one.came:
			r.answer(state(39, true, "old=ready"))
		case r := <-two.came:
			r.answer(state(41, false, "n=ready"))
			two.expect("watch=1&after=41&name=d+1").open()
			s.reaches(41, "k=ready n=ready")
			s.follows(two)
			return
		case <-time.After(testkit.Patience):
			t.Fatal("no server is asked")
		}
	}
	t.Fatal("the one that is not behind is not asked")
}

// Settings and hosts of one object are in force together: whoever looks from
// another turn of the loop sees both or none.
func TestSettingsAndHostsTogether(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	worth := false
	s.Do(func() { s.registry.applySettings = onlyWorth(func() { worth = true }) })
	watch := home.serveFirst(0, state(5, true, "a=ready"), 5)
	s.reaches(5, "a=ready")
	text := testkit.Chunk(`{"seq":6,"whole":false,"settings":[{"key":"over_share_worth","value":0.5}],"hosts":[{"host":"b","dial":"127.0.0.1:9","health":"ready"}]}` + "\n")
	seen, looks := false, 0
	look := func() {
		if host := s.registry.workers["b"] != nil; host != worth {
			t.Errorf("host %v, setting %v", host, worth)
		}
		seen = worth
		looks++
	}
	for i := range len(text) {
		io.WriteString(watch, text[i:i+1])
		s.Do(look)
	}
	testkit.Until(t, "it is in force", func() bool {
		s.Do(look)
		return seen
	})
	if looks < len(text) {
		t.Errorf("%d looks", looks)
	}
	s.Do(func() {
		_, list, err := s.registry.Export()
		if err != nil || !bytes.Contains(list, []byte(`"settings":[{"key":"over_share_worth","value":0.5}]`)) {
			t.Errorf("a successor is told %s, %v", list, err)
		}
	})
}

// A drain is in force in the very turn in which its bytes are taken in: an
// attempt that begins right behind them does not go there.
func TestDrainIsInForceInTheTurnOfItsBytes(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	watch := home.serveFirst(0, state(5, true, "a=ready"), 5)
	s.follows(home)
	home.expect("after=5&name=d+1") // is not answered, so that all bytes from now on are the drain's
	before := s.stats().BytesRead
	watch.tell(state(6, false, "a=draining"))
	testkit.Until(t, "the drain's bytes are taken in", func() (taken bool) {
		s.Do(func() {
			taken = s.registry.stats.BytesRead > before
			if state := s.registry.workers["a"].State; taken && state != decision.Draining {
				t.Errorf("the turn behind the bytes sees %v", state)
			}
		})
		return taken
	})
}

// All servers are down at the start: the known list serves in its time, and the
// server that comes up is found.
func TestAllServersDownAtTheStart(t *testing.T) {
	home, other := newServer(t), newServer(t)
	home.die()
	other.die()
	s := follow(t, 1, home, other)
	s.known(`{"seq":40,"hosts":[{"host":"k","dial":"127.0.0.1:9","health":"ready"}]}`)
	testkit.Until(t, "the known list serves", func() (heard bool) {
		s.Do(func() { heard = s.registry.Ready() && s.Dispatcher.ReadyWorkers() == 1 })
		return heard
	})
	if n := s.logged(": "); n != 1 {
		t.Errorf("the outage has %d lines: %q", n, s.lines)
	}
	other.revive()
	other.serveFirst(0, state(44, true, "k=draining"), 44) // of its settings nothing is known: all is asked for
	s.reaches(44, "k=draining")
}

// Back to the own zone's server once it works, and not before it has caught up.
func TestReturnToTheOwnZone(t *testing.T) {
	home, other := newServer(t), newServer(t)
	home.die()
	s := follow(t, 1, home, other).known(``)
	away := other.serveFirst(0, state(5, true, "a=ready"), 5)
	s.follows(other)
	home.revive()
	s.Do(func() { s.dueNow() })
	back := home.expect("after=5&name=d+1")
	away.tell(state(6, false, "b=ready"))
	s.reaches(6, "a=ready b=ready")
	back.answer(state(5, false)) // it is behind by now
	testkit.Until(t, "it is passed over", func() (none bool) {
		s.Do(func() { none = len(s.registry.follower.trials) == 0 })
		return none
	})
	s.follows(other)
	s.Do(func() { s.dueNow() })
	home.expect("after=6&name=d+1").answer(state(6, false))
	watch := home.expect("watch=1&after=6&name=d+1")
	watch.open()
	away.tell(state(7, false, "c=ready"))
	s.reaches(7, "a=ready b=ready c=ready")
	watch.tell(state(6, false))
	s.Do(func() {}) // behind again: the one in use stays
	s.follows(other)
	watch.tell(state(7, false, "c=ready"))
	s.follows(home)
	watch.tell(state(8, false, "a=gone"))
	s.reaches(8, "b=ready c=ready")
}

// dueNow makes the next attempt at a better server due.
func (s *subject) dueNow() {
	f := s.registry.follower
	f.selector = membership.NewSelector(f.config.Name, f.config.Zone, f.config.Servers, 1)
	f.step()
}

// Other servers, said anew: the one in use stays until a new one has caught up.
func TestOtherServersWhileRunning(t *testing.T) {
	old, next := newServer(t), newServer(t)
	s := follow(t, 0, old).known(``)
	watch := old.serveFirst(0, state(5, true, "a=ready"), 5)
	s.follows(old)
	s.Do(func() { s.registry.Follow(s.config(0, next)) })
	call := next.expect("after=5&name=d+1")
	watch.tell(state(6, false, "b=ready"))
	s.reaches(6, "a=ready b=ready")
	call.answer(state(6, false, "b=ready"))
	other := next.expect("watch=1&after=6&name=d+1")
	other.open()
	other.tell("")
	s.follows(next)
	if _, err := watch.Read(make([]byte, 1)); err == nil {
		t.Error("the former watch is open")
	}
}

// A kept connection that the server has closed meanwhile is made anew.
func TestAcknowledgementOnAClosedConnection(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	first := home.expect("after=0&name=d+1")
	first.answer(state(5, true, "a=ready"))
	watch := home.expect("watch=1&after=5&name=d+1")
	watch.open()
	home.expect("after=5&name=d+1").answer(state(5, false))
	testkit.Until(t, "it is acknowledged", func() bool { return s.stats().Acknowledged == 1 })
	release := s.BlockLoop()
	s.Write(t, watch, testkit.Chunk(state(6, false, "b=ready")+"\n"))
	s.Dispatcher.Loop.Post(s.registry.follower.acknowledge) // with the connection's end on its way
	first.Close()
	release()
	for acknowledged := false; !acknowledged; {
		r := testkit.Receive(t, home.came)
		r.answer(state(6, false))
		acknowledged = r.query == "after=6&name=d+1"
	}
	s.follows(home)
	testkit.Until(t, "it is acknowledged", func() bool { return s.stats().Acknowledged >= 2 })
}

// FuzzDecodeChange: what is read is what encoding/json reads of the whole text.
func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(state(3, true, "a=ready")))
	f.Add([]byte(`{"seq":1,"more":[{}],"hosts":null,"settings":[{"key":"k","value":[1]}]}`))
	f.Add([]byte(`{"seq":1,"hosts":[{"host":7}]} x`))
	f.Add([]byte("{ \"seq\" :\n\n 1 , \"hosts\":[ {\"host\": \"a  \\\"  b\" } ] }"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := decodeChange(bytes.NewReader(text))
		again, errAgain := decodeChange(&compact{in: iotest.OneByteReader(bytes.NewReader(text))})
		if (err == nil) != (errAgain == nil) || fmt.Sprint(c.hosts, c.version) != fmt.Sprint(again.hosts, again.version) {
			t.Errorf("%q: %+v, %v; byte by byte %+v, %v", text, c, err, again, errAgain)
		}
		var list endpointList
		if json.Unmarshal(text, &list) != nil || err != nil || c.wrong != nil {
			return
		}
		if fmt.Sprint(c.hosts, c.version, c.whole) != fmt.Sprint(list.Hosts, list.Seq, list.Whole) {
			t.Errorf("%q: %+v, want %+v", text, c, list)
		}
	})
}

// After a refused change only the version before it is acknowledged as in force,
// until a call brings what was left out.
func TestWhatARefusedChangeLeftOut(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	watch := home.serveFirst(0, state(5, true, "a=ready"), 5)
	home.expect("after=5&name=d+1").answer(state(5, false))
	testkit.Until(t, "it is acknowledged", func() bool { return s.stats().Acknowledged == 1 })
	watch.tell(state(6, false, "a=draining", "b=asleep"))
	watch.tell(state(7, false, "c=ready"))
	s.reaches(7, "a=ready c=ready")
	home.expect("after=7&name=d+1&acked=5&fleet=1").answer(state(7, false))
	testkit.Until(t, "it is acknowledged", func() bool { return s.stats().Acknowledged == 2 })
	s.Do(func() { // the time of the next look at what is missing
		s.registry.follower.repairedAt -= idleAcknowledge
		s.registry.follower.acknowledge()
	})
	home.expect("after=5&name=d+1").answer(state(7, false, "a=draining", "b=ready", "c=ready"))
	testkit.Until(t, "what was left out is in force", func() bool { return s.hosts() == "a=draining b=ready c=ready" })
	watch.tell(state(8, false, "c=gone"))
	s.reaches(8, "a=draining b=ready")
	home.expect("after=8&name=d+1")
	s.Do(func() {
		if f := s.registry.follower; f.resume != 8 || s.registry.stats.Refused != 1 {
			t.Errorf("complete up to %d, %d refused", f.resume, s.registry.stats.Refused)
		}
	})
}

// A delta that fits one state alone is not taken in by another: the server is
// asked again.
func TestDeltaForAnotherState(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	watch := home.serveFirst(0, state(5, true, "a=ready", "b=ready"), 5)
	home.expect("after=5&name=d+1").answer(state(6, false, "b=draining")) // the watch is still at 5
	s.reaches(6, "a=ready b=draining")
	exact := strings.Replace(state(8, false, "a=draining"), `"whole":false`, `"whole":false,"exact":true`, 1)
	watch.tell(exact) // b has changed back meanwhile, which a delta from 5 does not tell
	again := home.expect("after=6&name=d+1")
	if s.version() != 6 || s.hosts() != "a=ready b=draining" {
		t.Fatalf("version %d: %s", s.version(), s.hosts())
	}
	testkit.Until(t, "the snapshot is in force", func() bool {
		again.answer(state(8, true, "a=draining", "b=ready"))
		select {
		case again = <-home.came: // the first one may have been an acknowledgement that the watch's end overtook
		default:
		}
		return s.version() == 8
	})
	s.reaches(8, "a=draining b=ready")
}

// An exact delta that fits is taken in as any other.
func TestExactDeltaThatFits(t *testing.T) {
	home := newServer(t)
	s := follow(t, 0, home).known(``)
	watch := home.serveFirst(0, state(5, true, "a=ready", "b=ready"), 5)
	watch.tell(strings.Replace(state(8, false, "a=draining"), `"whole":false`, `"whole":false,"exact":true`, 1))
	s.reaches(8, "a=draining b=ready")
	s.Do(func() {
		if f := s.registry.follower; f.resume != 8 {
			t.Errorf("complete up to %d", f.resume)
		}
	})
}

// A server may end its watch in order where what comes next is better had
// compressed: it is called at once, and stays the one in use. One that does so
// again without anything newer has failed.
func TestWatchEndedInOrder(t *testing.T) {
	home, other := newServer(t), newServer(t)
	s := follow(t, 1, home, other).known(``)
	watch := home.serveFirst(0, state(1, true, "a=ready"), 1)
	s.follows(home)
	home.expect("after=1&name=d+1").answer(state(1, false))
	io.WriteString(watch, "0\r\n\r\n")
	home.expect("after=1&name=d+1").compressed(state(2, false, "a=gone", "b=ready"))
	s.reaches(2, "b=ready")
	watch = home.expect("watch=1&after=2&name=d+1")
	watch.open()
	if stats := s.stats(); stats.Server != home.addr || stats.Failovers != 0 {
		t.Errorf("%+v", stats)
	}
	io.WriteString(watch, "0\r\n\r\n")
	home.expect("after=2&name=d+1").answer(state(2, false))
	watch = home.expect("watch=1&after=2&name=d+1")
	watch.open()
	io.WriteString(watch, "0\r\n\r\n")
	other.serveFirst(2, state(3, false, "b=draining"), 3)
	s.reaches(3, "b=draining")
}
