package transport

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"hollyyoke.example/hollyyoke/internal/eventloop"
)

const patience = 20 * time.Second

// watcher is an owner that tells what it hears.
type watcher struct {
	data   chan string
	closed chan error
	e      *Engine
}

func newWatcher(e *Engine) *watcher {
	return &watcher{make(chan string, 1000), make(chan error, 1000), e}
}
func (w *watcher) OnData(_ *Conn, b *Buffer)   { w.data <- string(b.Bytes()); w.e.Pool.Put(b) }
func (w *watcher) OnClosed(_ *Conn, err error) { w.closed <- err }
func (w *watcher) gone(t *testing.T) (e error) { return receive(t, w.closed) }

func receive[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return v
}

func engine(t *testing.T, descriptors int) *Engine {
	loop := eventloop.New()
	e, err := NewEngine(loop, descriptors)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	t.Cleanup(func() { loop.Stop(); <-done; e.StopListening() })
	return e
}

// do runs f on the loop's goroutine.
func do(e *Engine, f func()) {
	done := make(chan struct{})
	e.Loop.Post(func() { f(); close(done) })
	<-done
}

type dialed struct {
	c   *Conn
	err error
}

func dial(e *Engine, addr string, own Handler) chan dialed {
	got := make(chan dialed, 1)
	e.Dial(addr, patience, own, func(c *Conn, err error) {
		if c != nil {
			c.Write([]byte("first")) // crashed once, where nbio did not hold the connection yet
		}
		got <- dialed{c, err}
	})
	return got
}

// Dialing reaches the address that was meant, which nbio's own dial did not,
// and tells a refused connection; slots are freed when it ends.
func TestDial(t *testing.T) {
	e := engine(t, 100)
	ln, err := net.Listen("tcp", "127.5.6.7:0")
	if err != nil {
		t.Fatal(err)
	}
	w := newWatcher(e)
	got := dial(e, ln.Addr().String(), w)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := receive(t, got).c
	if b := make([]byte, 5); c == nil || c.Handle == 0 {
		t.Fatal("no connection")
	} else if _, err := io.ReadFull(conn, b); err != nil || string(b) != "first" {
		t.Fatalf("%q, %v", b, err)
	}
	conn.Write([]byte("hello"))
	if s := receive(t, w.data); s != "hello" {
		t.Errorf("read %q", s)
	}
	conn.Close()
	w.gone(t)
	do(e, func() {
		if c.Handle != 0 || e.OpenConnections() != 0 || c.Write([]byte("x")) {
			t.Error("the connection is still there")
		}
	})
	ln.Close()
	if d := receive(t, dial(e, ln.Addr().String(), w)); d.err == nil {
		t.Error("a refused connection is open")
	}
}

// What has not left yet is told: that decides whether a job may have run. End
// lets all of it leave before the connection closes.
func TestPartialWritesAndEnd(t *testing.T) {
	e := engine(t, 100)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := dial(e, ln.Addr().String(), newWatcher(e))
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := receive(t, got).c
	large := bytes.Repeat([]byte("x"), 32<<20) // more than any socket buffer takes
	do(e, func() {
		c.Write(large)
		if c.Flushed(c.WriteOffset()) || !c.Flushed(5) {
			t.Errorf("%d of %d bytes have left", c.SentBytes(), c.WriteOffset())
		}
		c.CloseGracefully()
	})
	// End waits a second for a peer that is slow, so this one reads at once.
	n, err := io.Copy(io.Discard, conn)
	if n != int64(len(large)+5) || err != nil {
		t.Errorf("%d bytes came, %v", n, err)
	}
}

// No more connections than allowed are open; full tells of one that waits, and
// it comes in once there is room.
func TestGate(t *testing.T) {
	e := engine(t, 100)
	w, full := newWatcher(e), make(chan bool, 100)
	opened := make(chan *Conn, 10)
	addr, err := e.Listen("127.0.0.1:0", 2, true, func(c *Conn) Handler { opened <- c; return w }, func() { full <- true })
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	first := receive(t, opened)
	receive(t, opened)
	receive(t, full)
	do(e, func() {
		if len(opened) != 0 {
			t.Error("a third is open")
		}
		first.Close()
	})
	receive(t, opened)
	dials := 0
	for ; e.dials.try(); dials++ {
	}
	if d := receive(t, dial(e, addr.String(), w)); dials != e.dials.most || d.err != ErrNoDescriptor {
		t.Errorf("after %d dials: %v", dials, d.err)
	}
}

func TestBuffers(t *testing.T) {
	var p Pool
	b := p.Get()
	if !b.Append([]byte("abc")) || b.Append(make([]byte, BufferSize)) || !b.Append(make([]byte, BufferSize-3)) || b.Append([]byte("x")) {
		t.Error("wrong room")
	}
	if b.Consume(2); b.Bytes()[0] != 'c' || len(b.Bytes()) != BufferSize-2 {
		t.Error("wrong cut")
	}
	p.Put(nil)
	p.Put(b)
	if again := p.Get(); again != b || len(again.Bytes()) != 0 {
		t.Error("the buffer is not used again, or not empty")
	}
}

// No more is read of a connection than its owner takes in: a peer that sent as
// fast as it could once filled the memory with what waited for the loop. What a
// peer sent before it closed still comes, and an end while paused is told.
func TestReadingWaitsForTheOwner(t *testing.T) {
	e := engine(t, 100)
	w := newWatcher(e)
	opened := make(chan *Conn, 10)
	own := func(c *Conn) Handler { opened <- c; return w }
	narrow, err1 := e.Listen("127.0.0.1:0", 10, true, own, func() {})
	wide, err2 := e.Listen("127.0.0.1:0", 10, false, own, func() {})
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	open := func(addr net.Addr) (net.Conn, *Conn) {
		peer, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { peer.Close() })
		return peer, receive(t, opened)
	}
	peer, c := open(narrow.Addr())
	do(e, c.Pause)
	total := 5 << 20
	go peer.Write(bytes.Repeat([]byte("x"), total))
	for range 10 {
		time.Sleep(time.Millisecond)
		do(e, func() {})
	}
	if n := len(w.data); n != 0 {
		t.Fatalf("%d buffers came while paused", n)
	}
	do(e, c.Resume)
	for n := 0; n < total; {
		n += len(receive(t, w.data))
		if held := e.Pool.BytesInUse(); held > 4*BufferSize {
			t.Fatalf("%d bytes are held", held)
		}
	}
	peer, c = open(narrow.Addr())
	do(e, c.Pause)
	peer.Close()
	w.gone(t)
	peer, _ = open(wide.Addr())
	release := make(chan bool)
	e.Loop.Post(func() { <-release })
	for _, part := range []string{"one ", "two ", "three"} { // while the loop is busy elsewhere
		peer.Write([]byte(part))
		time.Sleep(5 * time.Millisecond)
	}
	peer.Close()
	time.Sleep(5 * time.Millisecond)
	close(release)
	w.gone(t)
	got := ""
	for len(w.data) > 0 {
		got += <-w.data
	}
	if got != "one two three" {
		t.Errorf("%q came before the end", got)
	}
}

// Free buffers give their memory back; those in use count with what they hold.
func TestBuffersTakeUpWhatTheyHold(t *testing.T) {
	var p Pool
	var small, large []*Buffer
	for range 40 {
		b := p.Get()
		b.Append([]byte("small"))
		small = append(small, b)
	}
	if n := p.BytesInUse(); n != 40*page {
		t.Errorf("40 small ones hold %d bytes", n)
	}
	for range 40 {
		b := p.Get()
		b.Fill(make([]byte, 2*BufferSize))
		large = append(large, b)
	}
	if n := p.BytesInUse(); n != 40*page+40*BufferSize {
		t.Errorf("with 40 large ones they hold %d bytes", n)
	}
	for _, b := range append(small, large...) {
		p.Put(b)
	}
	taken := 0
	for _, b := range p.free {
		taken += b.high
	}
	if n := p.BytesInUse(); n != 0 || taken > 80*coolBytes+warmBytes {
		t.Errorf("free, they hold %d bytes and take up %d", n, taken)
	}
	if b := p.Get(); !b.Append(make([]byte, BufferSize)) || b.Bytes()[BufferSize-1] != 0 {
		t.Error("a cooled buffer cannot be used again")
	}
}

// A connection closed while the poller still has an event of it must not give
// its number to the next one: the event closed that one, unread. The poller is
// held between two events here, as a busy loop holds it.
func TestCloseSparesTheNextOwner(t *testing.T) {
	e := engine(t, 100)
	w := newWatcher(e)
	opened := make(chan *Conn, 20)
	a, err := e.Listen("127.0.0.1:0", 20, false, func(c *Conn) Handler { opened <- c; return w }, func() {})
	if err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", a.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	fly := func(n int) {
		e.flights.Lock()
		e.flying = n
		e.flights.Unlock()
		e.landed.Signal()
	}
	first, second := dial(), dial()
	receive(t, opened)
	receive(t, opened)
	var peers []net.Conn
	var conns []*Conn
	for range 6 {
		peers = append(peers, dial())
		conns = append(conns, receive(t, opened))
	}
	fly(mostFlying)
	first.Write([]byte("first")) // the poller waits with it
	time.Sleep(20 * time.Millisecond)
	second.Write([]byte("second")) // and will wait with this one, while it has the ends of the others
	for _, p := range peers {
		p.Close()
	}
	closed, come := make(chan bool), make(chan bool)
	e.Loop.Post(func() {
		for _, c := range conns {
			c.Close()
		}
		close(closed)
		<-come
	})
	fly(mostFlying - 1)
	receive(t, closed)
	next := []net.Conn{dial(), dial(), dial()}
	time.Sleep(50 * time.Millisecond) // they should have been accepted; where not, the test shows less
	close(come)
	fly(0)
	for range 3 {
		receive(t, opened)
	}
	for _, conn := range next {
		conn.Write([]byte("next"))
	}
	heard := map[string]int{}
	for range 5 {
		heard[receive(t, w.data)]++
	}
	if heard["first"] != 1 || heard["second"] != 1 || heard["next"] != 3 || len(w.closed) > 0 {
		t.Errorf("heard %v; %d connections were closed unread", heard, len(w.closed))
	}
}

// A process that has less room for a while accepts less, closes nothing for it,
// and takes all again; a fixed bound stays, and so does a smaller part at a
// listener that comes later.
func TestResize(t *testing.T) {
	e := engine(t, 124)
	opened := make(chan *Conn, 100)
	w := newWatcher(e)
	own := func(c *Conn) Handler { opened <- c; return w }
	serve := func(most int) *Acceptor {
		a, err := e.Listen("127.0.0.1:0", most, true, own, func() {})
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	dial := func(a *Acceptor, n int) {
		for range n {
			conn, err := net.Dial("tcp", a.String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
		}
	}
	wide, fixed := serve(10), serve(4).FixLimit()
	e.Resize(24 + 50) // half of what is usable
	dial(wide, 7)
	dial(fixed, 4)
	for range 9 {
		receive(t, opened)
	}
	later := serve(6)
	dial(later, 4)
	for range 3 {
		receive(t, opened)
	}
	time.Sleep(20 * time.Millisecond) // time for one too many, which would be a fault
	if n := len(opened); n > 0 || e.dials.most != 20 {
		t.Fatalf("%d more than half have come; %d may be dialed", n, e.dials.most)
	}
	e.Resize(124)
	for range 3 {
		receive(t, opened)
	}
	if e.Resize(1 << 20); e.dials.most != 40 {
		t.Errorf("%d may be dialed, more than at first", e.dials.most)
	}
}

func skimmed(e *Engine, c *Conn) (n int) {
	do(e, func() { n = c.skimmed })
	return n
}

// What is skimmed is bounded and reaches no owner; the peer's end, which waits
// behind it, is heard.
func TestSkim(t *testing.T) {
	e := engine(t, 100)
	w := newWatcher(e)
	opened := make(chan *Conn, 2)
	a, err := e.Listen("127.0.0.1:0", 20, true, func(c *Conn) Handler { c.Discard(1 << 20); opened <- c; return w }, func() {})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		bytes int
		heard bool
	}{{0, true}, {100, true}, {700 << 10, true}, {64 << 20, false}} {
		conn, err := net.Dial("tcp", a.String())
		if err != nil {
			t.Fatal(err)
		}
		c := receive(t, opened)
		sent := make(chan int, 1)
		go func() {
			n, _ := conn.Write(make([]byte, x.bytes))
			conn.Close()
			sent <- n
		}()
		if !x.heard { // it stops for good, so that the peer gets no further than the system's buffers
			for end, last, since := time.Now().Add(patience), skimmed(e, c), time.Now(); last < 1<<20 || time.Since(since) < 50*lingerStep; time.Sleep(lingerStep) {
				if now := skimmed(e, c); now != last {
					last, since = now, time.Now()
				}
				if time.Now().After(end) {
					t.Fatalf("%d bytes were skimmed, and it does not stop", last)
				}
			}
			if n := skimmed(e, c); n > 1<<20+BufferSize {
				t.Errorf("%d bytes were skimmed, %d at the most", n, 1<<20)
			}
			do(e, c.Close)
			receive(t, sent)
			continue
		}
		w.gone(t)
		if n := receive(t, sent); n != x.bytes || len(w.data) > 0 {
			t.Errorf("%d of %d bytes sent, the owner got %d pieces", n, x.bytes, len(w.data))
		}
	}
}

// A connection rests only while nothing of the peer's is here that its owner has
// not got: no bytes, read or unread, and no end.
func TestResting(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn){
		"nothing": func(*net.TCPConn) {},
		"a byte":  func(c *net.TCPConn) { c.Write([]byte("x")) },
		"its end": func(c *net.TCPConn) { c.CloseWrite() },
		"a reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, paused := range []bool{false, true} {
			e := engine(t, 100)
			w := newWatcher(e)
			opened := make(chan *Conn, 1)
			a, err := e.Listen("127.0.0.1:0", 20, true, func(c *Conn) Handler { opened <- c; return w }, func() {})
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp", a.String())
			if err != nil {
				t.Fatal(err)
			}
			c := receive(t, opened)
			do(e, func() {
				if paused {
					c.Pause()
				}
				if !c.Idle() || !c.NothingUnread() {
					t.Errorf("%s: it does not rest at first", name)
				}
				act(conn.(*net.TCPConn)) // on loopback it is here when the call returns
				if c.Idle() != (name == "nothing") {
					t.Errorf("%s, paused %v: resting is %v", name, paused, c.Idle())
				}
				if c.NothingUnread() != (name != "a byte") {
					t.Errorf("%s, paused %v: quiet is %v", name, paused, c.NothingUnread())
				}
			})
			conn.Close()
		}
	}
}

// A closed listener counts its connections down to none, also where it had no
// room for another as it closed, or waited for one.
func TestOpenCountsDown(t *testing.T) {
	for _, most := range []int{1, 5} {
		e := engine(t, 100)
		w := newWatcher(e)
		opened, full := make(chan *Conn, 1), make(chan bool, 10)
		a, err := e.Listen("127.0.0.1:0", most, true, func(c *Conn) Handler { opened <- c; return w }, func() { full <- true })
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", a.String())
		if err != nil {
			t.Fatal(err)
		}
		receive(t, opened)
		if most == 1 {
			receive(t, full) // it waits for room
		}
		a.Close()
		if n := a.OpenConnections(); n < 1 {
			t.Errorf("%d open, one is", n)
		}
		conn.Close()
		w.gone(t)
		for end := time.Now().Add(patience); a.OpenConnections() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("room for %d: %d open, none is", most, a.OpenConnections())
			}
		}
	}
}
